"""Takeover of stored jobs and running tasks by a new owner."""

from __future__ import annotations

import random

import pytest
from tests.support.step_documents import WORKERS_PREFIX
from tests.support.step_store import size_of_answer
from tests.support.steps import StepWorld, step

from lagoonpulley.owner.role import OwnerRole
from lagoonpulley.store.messages import ReadRange, Transaction
from lagoonpulley.workload.documents import (
    JOBS_PREFIX,
    FinalDocument,
    JobKeys,
    encode_submission,
)
from lagoonpulley.workload.record import JobState
from lagoonpulley.workload.spec import JobSpec


def test_job_runs_to_completion():
    world = StepWorld()
    world.run(1.0)
    world.submit("a" * 16, step(count=3), step(after=(0,)))
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 5.0)
    assert len(world.executions("a" * 16)) == 4
    world.run(1.0)
    assert JobKeys("a" * 16).submission not in world.store.key_value_by_key
    assert JobKeys("a" * 16).progress not in world.store.key_value_by_key


def test_takeover_adopts_what_runs():
    world = StepWorld()
    world.run(1.0)
    world.submit("a" * 16, step(count=3), payload="seconds=6")
    world.run(0.5)
    world.kill(world.owner())
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 12.0)
    assert len(world.executions("a" * 16)) == 3


def test_takeover_keeps_final_state_of_job_whose_last_run_ends_later():
    world = StepWorld(workers=2)
    world.run(1.0)
    # The end of one gang member completes all of them. The other worker cannot be
    # reached, so the job is final while one of its runs is still tracked.
    world.submit("b" * 16, step(count=4, processors=8000, gang=True))
    world.run(0.5)
    hidden = world.executions("b" * 16)[0]
    worker_id = next(
        w.id for w in world.worker_by_id.values() if hidden in w.executions
    )
    world.dead_workers.add(worker_id)
    world.run_until(lambda: world.final_state("b" * 16) == "completed", 4.0)
    world.kill(world.owner())
    world.run_until(lambda: _is_loaded(world), 6.0)
    world.dead_workers.clear()
    world.run(20.0)
    assert world.final_state("b" * 16) == "completed"


def test_job_that_ended_while_all_jobs_were_read_again_is_not_run_again():
    world = StepWorld()
    world.run(1.0)
    world.submit("a" * 16)
    key = JobKeys("a" * 16).submission
    read_before = world.store.key_value_by_key[key]
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 5.0)
    world.run(0.5)
    owner = world.owner().owner
    owner._jobs.load_jobs(owner._term, [read_before])
    world.run(3.0)
    assert len(world.executions("a" * 16)) == 1


def _is_loaded(world: StepWorld) -> bool:
    for entry in world.entry_by_name.values():
        owner: OwnerRole = entry.owner
        if entry.alive and owner._term is not None and owner._term.loaded:
            return True
    return False


def test_successor_sends_no_stop_to_a_worker_that_is_not_listed():
    world = StepWorld()
    world.run(1.0)
    world.submit("a" * 16, step(count=3), payload="seconds=4")
    world.run(0.5)
    missing = tuple(WORKERS_PREFIX + worker_id for worker_id in world.worker_by_id)
    world.store.apply(Transaction(deletes=missing), world.clock.mono)
    world.kill(world.owner())
    world.cancel("a" * 16)
    world.run_until(lambda: world.final_state("a" * 16) == "cancelled", 5.0)
    # A stop command without an address would raise an error in the fake network.
    world.run(3.0)


def test_successor_soon_places_beside_a_worker_that_is_silent():
    world = StepWorld()
    world.run(7.0)
    world.dead_workers.add("w0")
    world.kill(world.owner())
    world.run_until(lambda: has_owner(world), 4.0)
    world.submit("a" * 16, step())
    world.run_until(lambda: world.executions("a" * 16), 0.4)


def has_owner(world):
    entries = world.entry_by_name.values()
    return any(entry.alive and entry.owner._term is not None for entry in entries)


def store_jobs(world, open_count, final_count, payload_bytes=1500):
    """Write the documents of open and of final jobs, and return the open jobs' ids."""
    rng = random.Random(1)
    ids = [f"{rng.getrandbits(64):016x}" for _ in range(open_count + final_count)]
    now = world.clock.now.wall
    payload = "seconds=600 ".ljust(payload_bytes)
    for job_id in ids[:open_count]:
        spec = JobSpec(
            id=job_id,
            queue="reviews",
            team="north",
            payload=payload,
            steps=(step(),),
            submitted_at=now,
        )
        world.put(JobKeys(job_id).submission, encode_submission(spec))
    final = FinalDocument(state=JobState.COMPLETED, team="north", ended_at=now)
    for job_id in ids[open_count:]:
        world.put(JobKeys(job_id).final, final.model_dump_json())
    return ids[:open_count]


# Answers of the store arrive at 10 and at 2 Mbit/s.
@pytest.mark.parametrize(
    ("bytes_per_s", "within_s"), [(1_250_000, 8.0), (250_000, 30.0)]
)
def test_takeover_loads_many_jobs_over_slow_link(bytes_per_s, within_s):
    world = StepWorld(entries=3)
    world.run(1.0)
    world.kill(world.owner())
    open_ids = store_jobs(world, open_count=1000, final_count=6000)
    for entry in world.entry_by_name.values():
        entry.store_bytes_per_s = bytes_per_s
    world.run_until(lambda: _is_loaded(world), within_s)
    term = world.owner().owner._term
    assert set(open_ids) <= set(term.record_by_id)
    assert len(term.ended_at_by_job_id) == 6000


def count_bytes_of_job_reads(world):
    """Record the size of each answer to a read of the jobs; returns the list."""
    apply = world.store.apply
    sizes = []

    def apply_and_count(operation, now):
        result = apply(operation, now)
        is_read = isinstance(operation, ReadRange)
        if is_read and operation.prefix.startswith(JOBS_PREFIX):
            sizes.append(size_of_answer(result))
        return result

    world.store.apply = apply_and_count
    return sizes


def test_silent_watch_on_slow_link_leaves_most_of_it_to_other_calls():
    world = StepWorld(entries=1)
    store_jobs(world, open_count=0, final_count=3000)
    world.run_until(lambda: _is_loaded(world), 5.0)
    world.run(1.0)
    bytes_per_s = world.owner().store_bytes_per_s = 1_250_000
    # The watch reports the submission, but not the commit of the final state.
    world.submit("a" * 16, step(), payload="seconds=1")
    world.delivers_watch_events = False
    world.submit("b" * 16, step(), payload="seconds=1")
    world.run_until(lambda: world.final_state("b" * 16) == "completed", 9.0)
    sizes = count_bytes_of_job_reads(world)
    world.run(10.0)
    assert 0 < sum(sizes) < 0.3 * 10.0 * bytes_per_s

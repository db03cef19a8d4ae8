"""Checkpoints that are too long for a progress document."""

from __future__ import annotations

import pytest
from tests.support.steps import StepWorld, step

from lagoonpulley.owner import long_checkpoints
from lagoonpulley.workload.documents import CHECKPOINTS_PREFIX

JOB = "a" * 16
PAYLOAD = "saves=5000 seconds=3"
LONG = "c" * 5000


@pytest.fixture
def world():
    made = StepWorld(workers=2)
    # By then, leases that an earlier owner may have granted have expired.
    made.run(8.0)
    return made


def stored_keys(world):
    return [k for k in world.store.key_value_by_key if k.startswith(CHECKPOINTS_PREFIX)]


def crash_worker_of(world, job_id):
    (running,) = (e for e in world.executions(job_id) if e.ended_at is None)
    world.crash_worker(running.incarnation[0])


def start_again_after_a_crash(world, payload=PAYLOAD):
    """Let the worker of a job crash, and return the run that follows."""
    world.submit(JOB, step(saves_progress=True), payload=payload)
    world.run(1.5)
    crash_worker_of(world, JOB)
    world.run_until(lambda: len(world.executions(JOB)) == 2, 8.0)
    return world.executions(JOB)[1]


def test_long_checkpoint_is_dropped_or_cut_before_the_next_start(world):
    second = start_again_after_a_crash(world)
    assert second.resumed_from == LONG
    world.run_until(lambda: world.final_state(JOB) == "completed", 6.0)


def test_long_checkpoint_is_lost_with_the_owner(world):
    world.submit(JOB, step(saves_progress=True), payload=PAYLOAD)
    world.run(1.5)
    # Nothing else may run the task before the next owner does.
    other = next(w for w in world.worker_by_id if not world.worker_by_id[w].executions)
    world.dead_workers.add(other)
    crash_worker_of(world, JOB)
    world.run_until(lambda: len(stored_keys(world)) == 1, 12.0)
    assert len(world.executions(JOB)) == 1
    world.kill(world.owner())
    world.run_until(lambda: len(world.executions(JOB)) == 2, 20.0)
    assert world.executions(JOB)[1].resumed_from == LONG


def test_stored_checkpoint_outlives_its_job(world):
    start_again_after_a_crash(world)
    assert len(stored_keys(world)) == 1
    world.run_until(lambda: world.final_state(JOB) == "completed", 6.0)
    world.run(0.5)
    assert not stored_keys(world)
    held = world.owner().owner._term.long_checkpoints
    assert held.held_characters == 0


def test_checkpoint_of_a_job_that_is_gone_stays_for_ever(world):
    """The owner was killed between the end of the job and the deletion."""
    world.put(f"{CHECKPOINTS_PREFIX}{JOB}/0.0.0", LONG)
    world.kill(world.owner())
    world.run(40.0)
    assert not stored_keys(world)


def test_long_checkpoints_fill_the_memory_of_the_owner(world, monkeypatch):
    """A checkpoint beyond the bound costs its own task, and no other."""
    monkeypatch.setattr(long_checkpoints, "MAX_HELD_CHARACTERS", 8000)
    other = "b" * 16
    world.submit(other, step(saves_progress=True), payload="saves=6000 seconds=14")
    world.run(0.5)
    second = start_again_after_a_crash(world)
    assert second.resumed_from == ""
    world.run_until(lambda: world.final_state(JOB) == "completed", 6.0)
    world.run_until(lambda: world.final_state(other) == "completed", 20.0)


def test_value_that_the_store_never_takes_blocks_all_commits(world):
    """Long checkpoints are written beside the journal."""
    world.unwritable_prefixes.add(CHECKPOINTS_PREFIX)
    start_again_after_a_crash(world)
    other = "b" * 16
    world.submit(other, step())
    world.run_until(lambda: world.final_state(other) == "completed", 3.0)


def test_long_checkpoints_of_a_gang_are_held_after_it_is_done(world):
    """One end represents all members, and so does the room of their checkpoints."""
    gang = step(count=2, gang=True, saves_progress=True)
    world.submit(JOB, gang, step(after=(0,)), payload="saves=5000 seconds=1")
    held = world.owner().owner._term.long_checkpoints
    world.run_until(lambda: held.held_characters == 10_000, 3.0)
    world.run_until(lambda: held.held_characters == 5000, 3.0)
    world.run_until(lambda: world.final_state(JOB) == "completed", 4.0)
    world.run(0.3)
    assert held.held_characters == 0

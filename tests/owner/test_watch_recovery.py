"""Recovery of the owner's watch of the jobs when its answer cannot arrive."""

from __future__ import annotations

import random

import pytest
from tests.owner.test_takeover import store_jobs
from tests.support.steps import StepWorld, step

from lagoonpulley.owner.watch_progress import WatchProgress
from lagoonpulley.store.messages import (
    ReadRange,
    StoreResult,
    StoreStatus,
    WatchPrefix,
)
from lagoonpulley.workload.documents import (
    CANCEL,
    JOBS_PREFIX,
    JobKeys,
    encode_submission,
)
from lagoonpulley.workload.spec import JobSpec

SLOW_LINK_BYTES_PER_S = 250_000
# Within which an accepted job has to be known.
VISIBLE_S = 3.0


def put_submission(world, job_id, payload="seconds=600"):
    spec = JobSpec(
        id=job_id,
        queue="reviews",
        team="north",
        payload=payload,
        steps=(step(),),
        submitted_at=world.clock.now.wall,
    )
    world.put(JobKeys(job_id).submission, encode_submission(spec))


def submit_steadily(world, rng, interval_s, until_s):
    """Store a submission of about 1.5 KB at each interval; the first one now."""
    if world.clock.mono >= until_s:
        return
    job_id = f"{rng.getrandbits(64):016x}"
    put_submission(world, job_id, "seconds=600 ".ljust(1500))
    world.clock.after(
        interval_s, lambda: submit_steadily(world, rng, interval_s, until_s)
    )


def has_started_any(world):
    return any(worker.executions for worker in world.worker_by_id.values())


def test_changes_during_a_slow_load_become_known():
    world = StepWorld(entries=2)
    world.run(1.0)
    store_jobs(world, open_count=0, final_count=6000)
    world.kill(world.owner())
    for entry in world.entry_by_name.values():
        entry.store_bytes_per_s = SLOW_LINK_BYTES_PER_S
        entry.shares_store_link = True
    began = world.clock.mono
    # Other ids than those of the stored jobs.
    rng = random.Random(2)
    submit_steadily(world, rng, 0.005, began + 9.0)
    world.run(9.0)
    submit_steadily(world, rng, 0.1, began + 100.0)
    world.run_until(lambda: has_started_any(world), 40.0)
    world.run_until(
        lambda: world.owner().owner._jobs.known_revision > world.store.revision - 20,
        60.0,
    )
    assert len(world.owner().owner._term.record_by_id) > 1800


def replace_watch_answers(world, answer):
    """Answer each watch of the jobs with ``answer``; return the times of page reads."""
    apply = world.store.apply
    read_times = []

    def apply_or_replace(operation, now):
        if isinstance(operation, WatchPrefix) and operation.prefix == JOBS_PREFIX:
            return answer(operation)
        if isinstance(operation, ReadRange) and operation.prefix == JOBS_PREFIX:
            read_times.append(now)
        return apply(operation, now)

    world.store.apply = apply_or_replace
    return read_times


def test_history_shorter_than_a_load_leaves_pauses_between_loads():
    world = StepWorld(entries=1)
    store_jobs(world, open_count=0, final_count=300)
    world.run(1.0)
    read_times = replace_watch_answers(
        world, lambda operation: StoreResult(StoreStatus.NOT_FOUND)
    )
    world.run(10.0)
    assert 10 < len(read_times) < 50


def test_watch_goes_on_from_a_reread_that_went_further():
    world = StepWorld(entries=1)
    world.run(1.0)
    watched_from = []

    def answer(operation):
        watched_from.append(operation.after)
        return StoreResult(StoreStatus.OK, revision=operation.after)

    replace_watch_answers(world, answer)
    world.submit("a" * 16, payload="seconds=1")
    owner = world.owner().owner
    owner.start(owner._jobs._reread_jobs(owner._term, owner._jobs._watched))
    for send in owner._outbox:
        world._route(world.owner(), send.to, send.message)
    owner._outbox = []
    world.run(4.0)
    assert watched_from[-1] > watched_from[0]
    assert world.final_state("a" * 16) == "completed"


def test_reread_applies_a_cancellation_of_a_job_not_known_before():
    world = StepWorld(entries=1)
    world.run(1.0)
    world.submit("a" * 16, payload="seconds=1")
    world.delivers_watch_events = False
    # While the watch is silent, only a reread can report the job and its end.
    put_submission(world, "b" * 16)
    world.put(JobKeys("b" * 16).cancel, CANCEL)
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 9.0)
    world.run_until(lambda: world.final_state("b" * 16) == "cancelled", 3.0)
    assert not world.executions("b" * 16)


def test_jobs_are_not_loaded_again_after_the_store_was_away():
    world = StepWorld(entries=1)
    world.run(1.0)
    term = world.owner().owner._term
    read_times = record_job_reads(world)
    world.store_up = False
    world.run(0.6)
    put_submission(world, "a" * 16)
    world.store_up = True
    world.run_until(lambda: world.executions("a" * 16), 3.0)
    assert world.owner().owner._term is term
    assert not read_times


def record_job_reads(world):
    """Return the times of page reads of the jobs, which are answered as usual."""
    apply = world.store.apply
    read_times = []

    def apply_and_count(operation, now):
        if isinstance(operation, ReadRange) and operation.prefix == JOBS_PREFIX:
            read_times.append(now)
        return apply(operation, now)

    world.store.apply = apply_and_count
    return read_times


@pytest.mark.parametrize(("after_s", "may_recover"), [(3.9, False), (4.1, True)])
def test_pause_before_the_next_recovery_is_a_multiple_of_the_last(after_s, may_recover):
    progress = WatchProgress(now=0.0, load_s=9.0)
    assert progress.may_recover(0.0)
    progress.begin_reread()
    assert not progress.may_recover(1.9)
    progress.end_reread(2.0, transfer_s=2.0)
    assert progress.may_recover(2.0 + after_s) is may_recover


def test_silence_during_a_reread_does_not_delay_the_next_one():
    world = StepWorld(entries=1)
    # More than one page.
    store_jobs(world, open_count=0, final_count=6000)
    world.run(1.0)
    # The store keeps no history, so that only reads report new jobs.
    replace_watch_answers(world, lambda watch: StoreResult(StoreStatus.NOT_FOUND))
    owner = world.owner().owner
    watched = owner._jobs._watched
    world.run_until(lambda: watched._is_rereading, 3.0)
    world.owner().unreadable_prefixes = (JOBS_PREFIX,)
    world.run(4.0)
    world.owner().unreadable_prefixes = ()
    world.run_until(lambda: not watched._is_rereading, 9.0)
    put_submission(world, "a" * 16)
    world.run_until(lambda: world.executions("a" * 16), VISIBLE_S)


@pytest.mark.parametrize("silent_watches_advance", [False, True])
def test_job_that_silent_watches_have_passed_over_is_never_known(
    silent_watches_advance,
):
    """An answer without events was believed to tell that there were none."""
    world = StepWorld()
    world.run(3.0)
    world.silent_watches_advance = silent_watches_advance
    world.delivers_watch_events = False
    world.run(1.0)
    world.submit("a" * 16)
    world.run(3.0)
    world.delivers_watch_events = True
    world.run_until(lambda: world.executions("a" * 16), 2.0)

"""Commits that the store does not take: they cost only the job that they are about."""

from __future__ import annotations

import pytest
from tests.support.logged_events import capture_events
from tests.support.steps import StepWorld, step

from lagoonpulley.owner.journal import Journal
from lagoonpulley.owner.pending import PENDING_KEY
from lagoonpulley.store.messages import StoreResult, StoreStatus
from lagoonpulley.workload.documents import JobKeys
from lagoonpulley.workload.record import JobRecord
from lagoonpulley.workload.spec import JobSpec

JOB = "a" * 16
OTHERS = [f"{number:016x}" for number in range(6)]


@pytest.fixture
def world():
    made = StepWorld(workers=3)
    # By then, leases that an earlier owner may have granted have expired.
    made.run(8.0)
    return made


def submit_others(world):
    for job in OTHERS:
        world.submit(job, step(), step(after=(0,)), payload="seconds=0.5")


def assert_others_are_done(world):
    world.run_until(
        lambda: all(world.final_state(job) == "completed" for job in OTHERS), 6.0
    )


def test_commit_that_the_store_refuses_stops_all_jobs(world):
    """One progress document was refused, and its commit repeated for ever."""
    world.unwritable_prefixes.add(JobKeys(JOB).progress)
    world.submit(JOB, step(count=3))
    submit_others(world)
    assert_others_are_done(world)
    assert world.final_state(JOB) == "failed"
    assert not world.executions(JOB)


def test_next_owner_meets_the_refused_commit_again(world):
    world.unwritable_prefixes.add(JobKeys(JOB).progress)
    world.submit(JOB, step(count=3))
    world.run_until(lambda: world.final_state(JOB) == "failed", 4.0)
    world.kill(world.owner())
    world.run(9.0)
    with capture_events() as events:
        submit_others(world)
        assert_others_are_done(world)
    assert not events.named("commit_refused")


def test_job_whose_progress_is_refused_later_keeps_ends_unacknowledged(world):
    """Ends are acknowledged in order, so one that is not holds back all others."""
    world.submit(JOB, step(count=3), step(after=(0,)), payload="seconds=2")
    world.run(1.0)
    world.unwritable_prefixes.add(JobKeys(JOB).prefix)
    world.unwritable_prefixes.add(JobKeys(JOB).progress)
    submit_others(world)
    with capture_events() as events:
        assert_others_are_done(world)
        world.run(3.0)
    assert {event["job"] for event in events.named("progress_unstorable")} == {JOB}
    assert not any(worker.has_ends() for worker in world.worker_by_id.values())


def test_value_that_the_store_refuses_stops_all_jobs(world):
    world.unwritable_prefixes.add(PENDING_KEY)
    submit_others(world)
    assert_others_are_done(world)


def test_store_is_taken_for_unreachable_after_it_refuses_a_commit(world):
    """Calls are then relayed by other entries, and submissions refused."""
    world.unwritable_prefixes.add(JobKeys(JOB).progress)
    world.submit(JOB, step())
    world.run(1.0)
    owner = world.owner()
    assert not owner.store_health.is_unreachable()
    assert not owner.store_health.is_directly_unreachable()


def test_single_refusal_ends_a_job(world):
    """Only the store's last word counts."""
    world.unwritable_prefixes.add(JobKeys(JOB).progress)
    world.submit(JOB, step())
    # A first refusal comes some milliseconds after the submission.
    world.run(0.05)
    world.unwritable_prefixes.clear()
    world.run_until(lambda: world.final_state(JOB) == "completed", 4.0)


def test_records_beside_a_document_that_is_too_long_are_not_committed():
    """It is found before it is sent: a store may close the connection instead."""
    journal = Journal(token=1, head_revision=1, max_value_bytes=1000)
    steps = (step(count=60),)
    large = JobRecord.from_spec(JobSpec(JOB, "q", "north", "", steps, 0.0))
    for key in large.task_by_key:
        large.begin_run(key, 1, "w0", 1)
    small = JobRecord.from_spec(JobSpec("b" * 16, "q", "north", "", (step(),), 0.0))
    journal.enqueue(large)
    journal.enqueue(small)
    commit = journal.next_commit()
    assert list(commit.record_by_id) == ["b" * 16]
    assert journal.pop_unstorable() == [large]


def test_callbacks_of_a_refused_commit_are_lost():
    journal = Journal(token=1, head_revision=1)
    durable = []
    specs = [JobSpec(job, "q", "north", "", (step(),), 0.0) for job in OTHERS]
    for spec in specs:
        journal.enqueue(
            JobRecord.from_spec(spec), lambda spec=spec: durable.append(spec.id)
        )
    journal.next_commit()
    journal.apply_refusal()
    commits = 0
    while commit := journal.next_commit():
        commits += 1
        assert commit.size == 1
        journal.apply_result(StoreResult(StoreStatus.OK, revision=commits + 1))
    assert durable == OTHERS
    assert commits == len(OTHERS)


def test_last_suspect_is_committed_together_with_others():
    """What is refused could then not be told from what came meanwhile."""
    journal = Journal(token=1, head_revision=1)
    records = [
        JobRecord.from_spec(JobSpec(job, "q", "north", "", (step(),), 0.0))
        for job in OTHERS
    ]
    for record in records[:2]:
        journal.enqueue(record)
    journal.next_commit()
    journal.apply_refusal()
    for record in records[2:]:
        journal.enqueue(record)
    sizes = []
    while commit := journal.next_commit():
        sizes.append(commit.size)
        journal.apply_result(StoreResult(StoreStatus.OK, revision=len(sizes) + 1))
    assert sizes == [1, 1, 4]

"""Jobs that repeat many times: what their owner holds and stores of them."""

from __future__ import annotations

import pytest
from tests.support.steps import StepWorld, step

from lagoonpulley.model.resources import Resources
from lagoonpulley.owner.adoption import adopt_run
from lagoonpulley.upstream.tasks import TaskRef
from lagoonpulley.workload.documents import JobKeys, ProgressDocument
from lagoonpulley.workload.record import MAX_LIVE_TASKS, EndKind, JobRecord
from lagoonpulley.workload.spec import JobSpec, TaskKey

JOB = "a" * 16


@pytest.fixture
def world():
    made = StepWorld(workers=3)
    # By then, leases that an earlier owner may have granted have expired.
    made.run(8.0)
    return made


def submit_repeating(world, repeats, interval_s, *steps, payload="seconds=0.1"):
    first_at = world.clock.now.wall + 0.5
    times = {"first_at": first_at, "interval_s": interval_s, "repeats": repeats}
    world.submit(JOB, *steps, payload=payload, **times)


def record_of(world):
    return world.owner().owner._term.record_by_id[JOB]


def completed_runs(world):
    return [e for e in world.executions(JOB) if e.ended_at is not None]


def test_tasks_that_are_due_in_hours_are_held(world):
    """The records of a day of occurrences ended every owner by its memory."""
    submit_repeating(world, 1440, 60.0, step(count=10), step(count=10, after=(0,)))
    world.run(3.0)
    assert len(record_of(world).task_by_key) == 20


def test_tasks_that_were_done_long_ago_are_held_and_stored(world):
    submit_repeating(world, 400, 0.05, step(count=10))
    world.run_until(lambda: len(completed_runs(world)) >= 2000, 40.0)
    record = record_of(world)
    assert len(record.task_by_key) < 500
    stored = world.store.key_value_by_key[JobKeys(JOB).progress].value
    assert len(stored) < 30_000


def test_occurrences_that_are_not_held_are_run_again_by_the_next_owner(world):
    submit_repeating(world, 100, 0.1, step(count=10))
    world.run(6.0)
    assert record_of(world).done_occurrences.ranges()[0][0] == 0
    world.kill(world.owner())
    world.run_until(lambda: world.final_state(JOB) == "completed", 40.0)
    runs_by_task = {}
    for execution in completed_runs(world):
        ref = execution.ref
        runs_by_task.setdefault(ref.key, []).append(ref.run)
    assert len(runs_by_task) == 1000
    assert all(runs == [1] for runs in runs_by_task.values())


def test_task_of_a_repeating_job_never_returns_to_the_worker_it_failed_on(world):
    """Its demands were made anew at each check, so no time ever passed for them."""
    for worker_id in sorted(world.worker_by_id)[1:]:
        world.add_worker(worker_id, capacity=Resources(500, 512))
    world.set_policy(2, queues={"reviews": {"max_attempts": 4, "target_s": 1.0}})
    world.run(1.0)
    world.failing_workers = {"w0"}
    submit_repeating(world, 1, 1.0, step())
    world.run_until(lambda: world.executions(JOB), 3.0)
    world.run(0.1)
    world.failing_workers = set()
    world.run_until(lambda: world.final_state(JOB) == "completed", 8.0)


def test_gang_of_a_repeating_job_never_gets_a_reservation(world):
    """Small tasks that end one after the other leave it no room at once."""
    reviews = {"max_attempts": 2, "priority": 1, "target_s": 1.0}
    world.set_policy(
        2, queues={"reviews": reviews, "checks": {**reviews, "priority": 2}}
    )
    world.run(1.0)
    for number in range(60):
        small = f"{number:016x}"
        payload = f"seconds={0.7 + number % 7 * 0.1:.1f}"
        world.submit(
            small, step(count=4, processors=4000), payload=payload, queue="checks"
        )
    submit_repeating(world, 40, 0.3, step(count=2, processors=16000, gang=True))
    world.run_until(lambda: world.executions(JOB), 6.0)
    assert world.final_state(f"{59:016x}") is None


def test_job_that_repeats_is_completed_before_its_last_occurrence(world):
    submit_repeating(world, 50, 0.2, step(count=10))
    world.run(6.0)
    assert world.final_state(JOB) is None
    world.run_until(lambda: world.final_state(JOB) == "completed", 15.0)
    assert len(completed_runs(world)) == 500


def test_late_run_of_an_occurrence_that_is_not_held_blocks_its_worker(world):
    submit_repeating(world, 100, 0.1, step(count=10), payload="seconds=0.1")
    world.run(6.0)
    term = world.owner().owner._term
    worker = next(iter(term.worker_by_id.values()))
    (first, _), *_ = record_of(world).done_occurrences.ranges()
    ref = TaskRef(JOB, TaskKey(first, 0, 0), 2)
    tracked = adopt_run(term, worker, ref)
    assert tracked.has_claim and tracked.stop_requested


def test_occurrence_that_an_owner_with_a_slow_clock_takes_over_never_completes():
    """By the next owner's wall clock, the last occurrence is not due yet."""
    times = {"first_at": 100.0, "interval_s": 10.0, "repeats": 2}
    earlier = JobRecord.from_spec(spec_of((step(),), **times))
    earlier.open_due_occurrences(wall=110.0, early_s=0.0)
    for key in list(earlier.task_by_key):
        earlier.begin_run(key, 1, "w0", 1)
    later = JobRecord.from_spec(earlier.spec)
    ProgressDocument.from_record(earlier).apply_to(later)
    later.open_due_occurrences(wall=105.0, early_s=0.0)
    for key, _, _ in later.runs():
        later.end_run(key, EndKind.DONE, "")
    assert later.is_done()


def spec_of(steps, **more):
    return JobSpec(JOB, "q", "north", "", steps, 0.0, **more)


def test_occurrences_that_are_due_at_once_are_all_held():
    """They are opened in order, as earlier ones are done."""
    spec = spec_of((step(count=1000),), first_at=0.0, interval_s=0.001, repeats=5000)
    record = JobRecord.from_spec(spec)
    record.open_due_occurrences(wall=100.0, early_s=0.0)
    assert len(record.task_by_key) == MAX_LIVE_TASKS
    assert not record.open_due_occurrences(wall=100.0, early_s=0.0)


def test_remaining_path_is_the_longest_of_the_steps_that_follow():
    steps = (step(), step(after=(0,)), step(after=(0,)), step(after=(2,)), step())
    assert spec_of(steps).remaining_paths_s() == [3.0, 1.0, 2.0, 1.0, 1.0]


def test_paths_of_many_steps_are_reckoned_again_for_each_step(monkeypatch):
    """Each step was compared to each other one, for each open step at each change."""
    calls = []
    original = JobSpec.remaining_paths_s

    def remaining_paths_s(spec):
        calls.append(spec.id)
        return original(spec)

    monkeypatch.setattr(JobSpec, "remaining_paths_s", remaining_paths_s)
    record = JobRecord.from_spec(spec_of(tuple(step() for _ in range(1000))))
    assert [record.remaining_path_s(number) for number in range(1000)] == [1.0] * 1000
    assert calls == [JOB]

"""Failures of runs that were given up, listed after later runs."""

from __future__ import annotations

from tests.support.steps import StepWorld, step

from lagoonpulley.owner.run_ends import end_given_up_run
from lagoonpulley.upstream.tasks import TaskRef
from lagoonpulley.workload.record import EndKind, JobRecord
from lagoonpulley.workload.spec import StepKey, TaskKey

JOB = "a" * 16


def test_failure_of_a_run_that_was_given_up_does_not_fail_a_task_that_is_done():
    world = StepWorld(workers=2)
    world.run(8.0)
    # The second step takes long enough that the job is not final meanwhile.
    world.submit(JOB, step(), step(after=(0,)), payload="seconds=0.5")
    world.run(0.05)
    term = world.owner().owner._term
    key = TaskKey(0, 0, 0)
    task = term.record_by_id[JOB].task_by_key[key]
    # As after a run that was given up, and one that failed; two may fail.
    task.given_up_runs.add(0)
    task.failures = 1
    world.run_until(lambda: task.done, 2.0)
    worker = term.worker_by_id["w0"]
    end_given_up_run(term, worker, TaskRef(JOB, key, 0), EndKind.FAILED)
    world.run_until(lambda: world.final_state(JOB) is not None, 5.0)
    assert world.final_state(JOB) == "completed"


def test_earlier_failure_of_a_gang_counts_when_it_is_listed_late():
    world = StepWorld(workers=1)
    world.run(1.0)
    world.submit(JOB, step(count=2, gang=True))
    record = JobRecord.from_spec(world.last_spec)
    keys = [TaskKey(0, 0, 0), TaskKey(0, 0, 1)]
    for key in keys:
        record.begin_run(key, 1, "w0", 1)
        record.give_up_run(key)
    for key in keys:
        record.begin_run(key, 2, "w0", 1)
        record.end_run(key, EndKind.FAILED, "")
    record.end_given_up_run(keys[0], 1, EndKind.FAILED)
    assert record.gang_failures_by_step[StepKey(0, 0)].count == 2

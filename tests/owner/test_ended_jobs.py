"""What an owner remembers of jobs that are gone, and for how long."""

from __future__ import annotations

from tests.support.steps import step

from lagoonpulley.owner import ended_jobs
from lagoonpulley.owner.ended_jobs import EndedJobs
from lagoonpulley.owner.worker_leases import MAX_COMMAND_DELAY_S
from lagoonpulley.workload.spec import TaskKey

MAX_LEASE_S = 6.0
STEPS = (step(), step(processors=2000))


def test_job_is_remembered_while_a_late_start_of_it_may_run():
    jobs = EndedJobs(MAX_LEASE_S)
    jobs.remember("first", "north", STEPS, now=0.0)
    jobs.remember("second", "north", STEPS, now=MAX_COMMAND_DELAY_S + MAX_LEASE_S)
    assert jobs.find("first").step_of(TaskKey(0, 1, 5)) is STEPS[1]
    jobs.remember("third", "north", STEPS, now=2 * (MAX_COMMAND_DELAY_S + MAX_LEASE_S))
    assert jobs.find("first") is None
    assert jobs.find("second") is not None


def test_final_state_that_is_read_again_does_not_hide_what_is_known():
    jobs = EndedJobs(MAX_LEASE_S)
    jobs.remember("first", "north", STEPS, now=0.0)
    jobs.remember("first", "north", (), now=1.0)
    assert jobs.find("first").steps is STEPS


def test_task_of_a_step_that_the_job_does_not_have_is_of_unknown_size():
    jobs = EndedJobs(MAX_LEASE_S)
    jobs.remember("first", "north", STEPS, now=0.0)
    assert jobs.find("first").step_of(TaskKey(0, 2, 0)) is None


def test_number_of_remembered_jobs_is_bounded(monkeypatch):
    monkeypatch.setattr(ended_jobs, "MAX_REMEMBERED_JOBS", 3)
    jobs = EndedJobs(MAX_LEASE_S)
    for number in range(5):
        jobs.remember(str(number), "north", STEPS, now=0.0)
    remembered = [jobs.find(str(number)) is not None for number in range(5)]
    assert remembered == [False, False, True, True, True]

"""Phases of jobs, from events of several entries."""

from __future__ import annotations

from lagoonpulley.observability.lifetimes import (
    PHASES,
    lifetimes_from_events,
    quantile,
)


def event(name, time, job="a", **fields):
    return {"event": name, "time": time, "job": job, **fields}


STORY = (
    event("job_final", 13.5, state="completed"),
    event("job_submitted", 10.0, queue="reviews"),
    event("task_placed", 10.5),
    event("job_known", 10.1, queue="reviews"),
    event("task_ended", 11.0, end="failed"),
    event("task_placed", 11.2),
    event("task_ended", 13.4, end="done"),
)


def test_lifetime_is_read_in_order_of_time():
    (job,) = lifetimes_from_events(STORY)
    lengths = {phase.name: round(phase.length_s(job), 3) for phase in PHASES}
    assert lengths == {"known": 0.1, "wait": 0.4, "run": 2.9, "final": 0.1, "all": 3.5}
    assert (job.queue, job.state, job.runs, job.failed_runs) == (
        "reviews",
        "completed",
        2,
        1,
    )


def test_phase_without_its_end_has_no_length():
    (job,) = lifetimes_from_events(STORY[1:3])
    assert PHASES[-1].length_s(job) is None


def test_job_whose_acceptance_is_not_in_the_logs_is_left_out():
    assert lifetimes_from_events(STORY[2:]) == []


def test_quantile_is_one_of_the_values():
    assert quantile([1.0, 2.0, 3.0, 4.0], 0.5) == 2.0
    assert quantile([1.0], 0.95) == 1.0

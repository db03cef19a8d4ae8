"""Tests of job timelines computed from the events of several entries."""

from __future__ import annotations

from lagoonpulley.observability.timelines import (
    PHASES,
    quantile,
    timelines_from_events,
)


def event(name, time, job="a", **fields):
    return {"event": name, "time": time, "job": job, **fields}


EVENTS = (
    event("job_final", 13.5, state="completed"),
    event("job_submitted", 10.0, queue="reviews"),
    event("task_placed", 10.5),
    event("job_known", 10.1, queue="reviews"),
    event("task_ended", 11.0, end="failed"),
    event("task_placed", 11.2),
    event("task_ended", 13.4, end="done"),
)


def test_timeline_orders_events_by_time():
    (job,) = timelines_from_events(EVENTS)
    durations = {phase.name: round(phase.duration_s(job), 3) for phase in PHASES}
    assert durations == {
        "known": 0.1,
        "wait": 0.4,
        "run": 2.9,
        "final": 0.1,
        "all": 3.5,
    }
    assert (job.queue, job.state, job.runs, job.failed_runs) == (
        "reviews",
        "completed",
        2,
        1,
    )


def test_phase_without_its_end_has_no_duration():
    (job,) = timelines_from_events(EVENTS[1:3])
    assert PHASES[-1].duration_s(job) is None


def test_job_without_logged_acceptance_is_omitted():
    assert timelines_from_events(EVENTS[2:]) == []


def test_quantile_is_one_of_the_values():
    assert quantile([1.0, 2.0, 3.0, 4.0], 0.5) == 2.0
    assert quantile([1.0], 0.95) == 1.0

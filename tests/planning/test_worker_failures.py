"""Avoidance of workers whose tasks fail or stall.

A worker that fails every task frees its capacity at once and attracts more tasks. A job
that fails everywhere must not cause the workers that ran it to be avoided.
"""

from __future__ import annotations

from lagoonpulley.planning.worker_failures import StallDetector, WorkerFailureTracker
from lagoonpulley.upstream.tasks import TaskRef
from lagoonpulley.workload.spec import TaskKey

WORKERS = 24


def ref(job_id, index=0, run=1):
    return TaskRef(job_id, TaskKey(0, 0, index), run)


def test_worker_that_fails_two_jobs_in_a_row_is_avoided():
    tracker = WorkerFailureTracker()
    assert tracker.record_failure("w", ref("a"), 10.0, WORKERS) is None
    assert tracker.record_failure("w", ref("a", 1), 10.1, WORKERS) is None
    assert tracker.record_failure("w", ref("b"), 10.2, WORKERS) > 12.0


def test_avoidance_grows_until_a_task_is_done():
    tracker = WorkerFailureTracker()
    tracker.record_failure("w", ref("a"), 0.0, WORKERS)
    first = tracker.record_failure("w", ref("b"), 0.0, WORKERS)
    tracker.record_failure("w", ref("c"), 0.0, WORKERS)
    second = tracker.record_failure("w", ref("d"), 0.0, WORKERS)
    assert second > first
    tracker.record_success("w")
    tracker.record_failure("w", ref("e"), 0.0, WORKERS)
    assert tracker.record_failure("w", ref("f"), 0.0, WORKERS) == first


def test_one_job_that_always_fails_does_not_avoid_its_worker():
    tracker = WorkerFailureTracker()
    for attempt in range(10):
        failed = ref("poison", run=attempt)
        assert tracker.record_failure("w", failed, attempt, WORKERS) is None


def test_job_that_fails_on_two_workers_does_not_count_against_them():
    tracker = WorkerFailureTracker()
    tracker.record_failure("w", ref("poison"), 0.0, WORKERS)
    tracker.record_failure("v", ref("poison", run=2), 0.0, WORKERS)
    assert tracker.record_failure("w", ref("a"), 0.0, WORKERS) is None
    assert tracker.record_failure("v", ref("a", 1), 0.0, WORKERS) is None


def test_no_more_than_a_third_of_the_workers_is_avoided():
    tracker = WorkerFailureTracker()
    avoided = []
    for number in range(WORKERS):
        worker = f"w{number}"
        tracker.record_failure(worker, ref(f"a{number}"), 0.0, WORKERS)
        avoided.append(tracker.record_failure(worker, ref(f"b{number}"), 0.0, WORKERS))
    assert sum(until is not None for until in avoided) == WORKERS // 3


def test_run_without_progress_is_stalled():
    detector = StallDetector()
    assert not detector.record_progress(40, 0.0, 6.0)
    assert not detector.record_progress(40, 1.0, 6.0)
    assert detector.record_progress(40, 2.0, 6.0)
    assert not detector.record_progress(41, 2.5, 6.0)


def test_short_run_has_a_shorter_stall_timeout():
    detector = StallDetector()
    detector.record_progress(40, 0.0, 0.8)
    assert not detector.record_progress(40, 0.4, 0.8)
    assert detector.record_progress(40, 0.6, 0.8)


def test_run_at_full_progress_is_never_stalled():
    detector = StallDetector()
    detector.record_progress(100, 0.0, 1.0)
    assert not detector.record_progress(100, 60.0, 1.0)

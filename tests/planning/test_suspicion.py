from __future__ import annotations

from lagoonpulley.planning.suspicion import StallWatch, Suspicion


def test_worker_that_fails_two_jobs_in_a_row_is_avoided():
    suspicion = Suspicion()
    assert suspicion.note_failure("w", "a", 10.0) is None
    assert suspicion.note_failure("w", "a", 10.1) is None
    assert suspicion.note_failure("w", "b", 10.2) > 12.0


def test_avoidance_grows_until_a_task_is_done():
    suspicion = Suspicion()
    suspicion.note_failure("w", "a", 0.0)
    first = suspicion.note_failure("w", "b", 0.0)
    suspicion.note_failure("w", "c", 0.0)
    second = suspicion.note_failure("w", "d", 0.0)
    assert second > first
    suspicion.note_success("w")
    suspicion.note_failure("w", "e", 0.0)
    assert suspicion.note_failure("w", "f", 0.0) == first


def test_one_job_that_always_fails_casts_no_suspicion():
    suspicion = Suspicion()
    for attempt in range(10):
        assert suspicion.note_failure("w", "poison", attempt) is None


def test_run_whose_progress_does_not_rise_stands_still():
    watch = StallWatch()
    assert not watch.note(40, 0.0)
    assert not watch.note(40, 1.0)
    assert watch.note(40, 2.0)
    assert not watch.note(41, 2.5)


def test_run_that_is_fully_at_work_never_stands_still():
    watch = StallWatch()
    watch.note(100, 0.0)
    assert not watch.note(100, 60.0)

"""Tests of when the watch of the jobs counts as silent."""

from __future__ import annotations

import pytest

from lagoonpulley.owner.watch_progress import WatchProgress


@pytest.fixture
def progress():
    return WatchProgress(now=0.0)


def test_unreported_commit_makes_the_watch_silent(progress):
    progress.record_commit(5, now=1.0)
    assert not progress.needs_reread(1.05)
    assert progress.needs_reread(1.15)


def test_reported_commit_needs_no_reread(progress):
    progress.record_commit(5, now=1.0)
    progress.record_watch(5, has_changes=True, now=1.01)
    assert not progress.needs_reread(9.0)


def test_watch_that_steadily_reports_is_not_silent_while_commits_overlap(progress):
    for number in range(100):
        now = 1.0 + number * 0.05
        progress.record_commit(number + 1, now)
        progress.record_watch(number, has_changes=True, now=now + 0.01)
        assert not progress.needs_reread(now + 0.02)


def test_commit_recorded_after_the_watch_reported_it_is_seen(progress):
    progress.record_watch(5, has_changes=True, now=1.0)
    progress.record_commit(5, now=1.01)
    assert not progress.needs_reread(9.0)


def test_watch_over_a_slow_link_is_not_silent_for_ever(progress):
    rereads = 0
    for number in range(1, 50):
        progress.record_commit(number, now=float(number))
        if progress.needs_reread(number + 0.35):
            rereads += 1
            progress.begin_reread()
            progress.end_reread(number + 0.36, transfer_s=0.01)
        progress.record_watch(number, has_changes=True, now=number + 0.4)
    assert rereads == 1


def test_watch_that_is_fast_again_is_soon_judged_as_before(progress):
    progress.record_commit(1, now=1.0)
    progress.record_watch(1, has_changes=True, now=4.0)
    for number in range(2, 30):
        progress.record_commit(number, now=float(number + 3))
        progress.record_watch(number, has_changes=True, now=number + 3.01)
    progress.record_commit(30, now=50.0)
    assert progress.needs_reread(50.15)


def test_silence_is_found_within_a_second_whatever_the_usual_lag(progress):
    progress.record_commit(1, now=1.0)
    progress.record_watch(1, has_changes=True, now=9.0)
    progress.record_commit(2, now=20.0)
    assert progress.needs_reread(21.0)


def test_answer_without_changes_does_not_lengthen_the_usual_lag(progress):
    progress.record_commit(1, now=1.0)
    progress.record_watch(1, has_changes=False, now=2.0)
    progress.record_commit(2, now=3.0)
    assert progress.needs_reread(3.15)


def test_no_reread_is_due_while_one_runs_and_for_a_multiple_of_its_time(progress):
    progress.record_commit(1, now=0.0)
    progress.begin_reread()
    assert not progress.needs_reread(5.0)
    progress.end_reread(11.0, transfer_s=10.0)
    assert not progress.needs_reread(50.0)
    assert progress.needs_reread(51.1)


def test_no_reread_is_due_soon_after_a_slow_load():
    progress = WatchProgress(now=10.0, load_s=2.0)
    progress.record_commit(1, now=10.0)
    assert not progress.needs_reread(17.9)
    assert progress.needs_reread(18.1)

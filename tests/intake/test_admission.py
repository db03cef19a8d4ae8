"""Admission decisions from the owner's status, without network."""

from __future__ import annotations

import random

import pytest

from lagoonpulley.intake.admission import (
    MAX_HELD_TASKS,
    MAX_OWNER_ABSENCE_S,
    MAX_RECENT_TASKS,
    RECENT_S,
    Admission,
)
from lagoonpulley.owner.status import OwnerStatus

READ_INTERVAL_S = 0.5
ABSENT_S = MAX_OWNER_ABSENCE_S + READ_INTERVAL_S


def new_admission():
    return Admission(random.Random(1))


def status(number, token=5, known=0, delay_s=0.0):
    return OwnerStatus(
        token=token, number=number, known_revision=known, start_delay_s=delay_s
    )


def read_delays(admission, delay_s, heartbeats, began=0.0, is_stale=False):
    """Record heartbeats that report a start delay; return the time of the last."""
    for number in range(heartbeats):
        found = status(int(began) + number + 1, delay_s=delay_s)
        admission.record_read(found, began + number, is_stale)
    return began + heartbeats - 1


def refused_of(admission, now, submissions=1000):
    return sum(admission.refusal(now) is not None for _ in range(submissions))


def read_for(admission, seconds, found, began=0.0):
    """Record the same status at each read, and return the time of the last one."""
    now = began
    while now < began + seconds:
        admission.record_read(found, now, is_stale=False)
        now += READ_INTERVAL_S
    admission.record_read(found, now, is_stale=False)
    return now


def test_admits_before_the_first_read():
    assert new_admission().refusal(1000.0) is None


@pytest.mark.parametrize("found", [None, status(7)])
def test_refuses_once_no_heartbeat_arrived_for_the_limit(found):
    admission = new_admission()
    now = read_for(admission, MAX_OWNER_ABSENCE_S - READ_INTERVAL_S, found)
    assert admission.refusal(now) is None
    now = read_for(admission, ABSENT_S, found, now)
    refusal = admission.refusal(now)
    assert refusal.reason == "no owner is working"
    assert refusal.retry_after_s >= 1


def test_admits_while_heartbeats_arrive():
    admission = new_admission()
    for number in range(20):
        read_for(admission, 1.0, status(number), number * 1.5)
        assert admission.refusal(number * 1.5 + 1.0) is None


@pytest.mark.parametrize("heartbeat", [status(8), status(1, token=6)])
def test_admits_again_after_a_heartbeat(heartbeat):
    admission = new_admission()
    now = read_for(admission, ABSENT_S, status(7))
    admission.record_read(heartbeat, now, is_stale=False)
    assert admission.refusal(now) is None


def test_earlier_heartbeat_of_a_stale_read_is_no_new_one():
    admission = new_admission()
    now = read_for(admission, ABSENT_S, status(7))
    admission.record_read(status(6), now, is_stale=True)
    admission.record_read(status(7), now, is_stale=False)
    assert admission.refusal(now) is not None


def test_admits_once_a_consistent_read_finds_a_heartbeat_of_a_restored_store():
    admission = new_admission()
    now = read_for(admission, ABSENT_S, status(7))
    admission.record_read(status(6, token=2), now, is_stale=False)
    assert admission.refusal(now) is None


def test_owner_that_is_behind_stays_so_between_late_heartbeats():
    admission = new_admission()
    now = read_delays(admission, 60.0, 3)
    now = read_for(admission, 2.4, status(3, delay_s=60.0), began=now)
    assert refused_of(admission, now) == 1000
    admission.record_read(status(4, delay_s=60.0), now, is_stale=False)
    assert refused_of(admission, now) == 1000


def test_admits_when_the_knowledge_is_old():
    admission = new_admission()
    now = read_for(admission, ABSENT_S, status(7))
    assert admission.refusal(now + 10.0) is None


def test_absence_is_not_counted_across_a_gap_between_reads():
    admission = new_admission()
    now = read_for(admission, ABSENT_S, status(7)) + 10.0
    admission.record_read(status(7), now, is_stale=False)
    assert admission.refusal(now) is None
    now = read_for(admission, ABSENT_S, status(7), now)
    assert admission.refusal(now) is not None


def test_owner_without_heartbeats_is_no_absent_owner():
    admission = new_admission()
    now = read_for(admission, ABSENT_S, status(7))
    admission.record_owner_without_heartbeats(now)
    assert admission.refusal(now) is None


def test_heartbeat_is_late_before_submissions_are_refused():
    admission = new_admission()
    now = read_for(admission, 2.0, status(7))
    assert admission.needs_consistent_read(now)
    assert admission.refusal(now) is None


@pytest.mark.parametrize(
    ("delay_s", "fewest", "most"),
    [(0.0, 0, 0), (1.0, 0, 0), (1.5, 200, 300), (2.0, 450, 550), (3.0, 1000, 1000)],
)
def test_refuses_a_share_that_grows_with_the_delay_of_the_owner(delay_s, fewest, most):
    admission = new_admission()
    now = read_delays(admission, delay_s, 3)
    assert fewest <= refused_of(admission, now) <= most


def test_retry_after_follows_the_delay_of_the_owner():
    admission = new_admission()
    now = read_delays(admission, 1.2, 3)
    restriction = admission.restriction(now)
    assert restriction.reason == "the owner is behind"
    assert restriction.retry_after_s == 2
    now = read_delays(admission, 60.0, 3, began=now + 1.0)
    assert admission.restriction(now).retry_after_s == 3


def test_admits_all_once_the_owner_has_caught_up():
    admission = new_admission()
    now = read_delays(admission, 5.0, 3)
    now = read_delays(admission, 0.2, 1, began=now + 1.0)
    assert refused_of(admission, now) == 0


def test_stale_read_alone_does_not_prove_that_the_owner_is_behind():
    admission = new_admission()
    now = read_delays(admission, 5.0, 3, is_stale=True)
    assert admission.needs_consistent_read(now)
    assert admission.restriction(now) is None


def read_heartbeats(admission, seconds, known, began=0.0):
    """Record a heartbeat a second, each with the same known revision."""
    for number in range(1, int(seconds) + 1):
        heartbeat = status(int(began) + number, known=known)
        admission.record_read(heartbeat, began + number, is_stale=False)
    return began + int(seconds)


def test_refuses_while_the_owner_does_not_learn_of_stored_submissions():
    admission = new_admission()
    admission.record_stored(8, 0.0)
    now = read_heartbeats(admission, 2, known=7)
    assert refused_of(admission, now) == 0
    now = read_heartbeats(admission, 4, known=7, began=now)
    assert refused_of(admission, now) == 1000
    now = read_heartbeats(admission, 1, known=8, began=now)
    assert refused_of(admission, now) == 0


def test_submission_during_a_takeover_does_not_count_as_unknown_to_the_owner():
    admission = new_admission()
    now = read_heartbeats(admission, 2, known=7)
    admission.record_stored(8, now + 0.1)
    for _ in range(5):
        now += READ_INTERVAL_S
        admission.record_read(status(2, known=7), now, is_stale=False)
        assert admission.restriction(now) is None
    admission.record_read(status(1, token=6, known=9), now + 0.3, is_stale=False)
    assert admission.restriction(now + 0.3) is None


def test_delay_that_one_heartbeat_shows_refuses_nothing():
    admission = new_admission()
    now = read_delays(admission, 0.0, 3)
    now = read_delays(admission, 5.0, 1, began=now + 1.0)
    assert admission.restriction(now) is None
    now = read_delays(admission, 5.0, 1, began=now + 1.0)
    assert admission.restriction(now).share == 1.0


def test_delay_before_a_gap_between_reads_does_not_count():
    admission = new_admission()
    now = read_delays(admission, 5.0, 3)
    now = read_delays(admission, 5.0, 1, began=now + 10.0)
    assert admission.restriction(now) is None


def test_job_is_admitted_whose_tasks_the_owner_cannot_hold_as_well():
    """Owner after owner would exceed its memory."""
    admission = new_admission()
    held = OwnerStatus(
        token=5, number=1, known_revision=0, held_tasks=MAX_HELD_TASKS - 100
    )
    admission.record_read(held, 0.0, is_stale=True)
    assert admission.refusal_of_tasks(100, 0.1) is None
    refusal = admission.refusal_of_tasks(101, 0.1)
    assert (refusal.share, refusal.retry_after_s) == (1.0, 3)
    admission.record_stored(7, 0.1, tasks=50)
    assert admission.refusal_of_tasks(51, 0.2) is not None
    admission.record_read(status(2), 1.0, is_stale=True)
    assert admission.refusal_of_tasks(5000, 1.0) is None


def test_many_large_jobs_are_admitted_before_the_owner_tells_of_them():
    admission = new_admission()
    admission.record_read(status(1), 0.0, is_stale=True)
    admission.record_stored(7, 0.1, tasks=MAX_RECENT_TASKS - 10)
    assert admission.refusal_of_tasks(11, 0.2) is not None
    assert admission.refusal_of_tasks(10, 0.2) is None
    assert admission.refusal_of_tasks(11, 0.2 + RECENT_S) is None

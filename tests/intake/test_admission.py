"""Admission decisions from the owner's status, without network."""

from __future__ import annotations

import pytest

from lagoonpulley.intake.admission import MAX_OWNER_ABSENCE_S, Admission
from lagoonpulley.owner.status import OwnerStatus

READ_INTERVAL_S = 0.5
ABSENT_S = MAX_OWNER_ABSENCE_S + READ_INTERVAL_S


def status(number, token=5):
    return OwnerStatus(token=token, number=number)


def read_for(admission, seconds, found, began=0.0):
    """Record the same status at each read, and return the time of the last one."""
    now = began
    while now < began + seconds:
        admission.record_read(found, now)
        now += READ_INTERVAL_S
    admission.record_read(found, now)
    return now


def test_admits_before_the_first_read():
    assert Admission().refusal(1000.0) is None


@pytest.mark.parametrize("found", [None, status(7)])
def test_refuses_once_no_heartbeat_arrived_for_the_limit(found):
    admission = Admission()
    now = read_for(admission, MAX_OWNER_ABSENCE_S - READ_INTERVAL_S, found)
    assert admission.refusal(now) is None
    now = read_for(admission, ABSENT_S, found, now)
    refusal = admission.refusal(now)
    assert refusal.reason == "no owner is working"
    assert refusal.retry_after_s >= 1


def test_admits_while_heartbeats_arrive():
    admission = Admission()
    for number in range(20):
        read_for(admission, 1.0, status(number), number * 1.5)
        assert admission.refusal(number * 1.5 + 1.0) is None


@pytest.mark.parametrize("heartbeat", [status(8), status(1, token=6)])
def test_admits_again_after_a_heartbeat(heartbeat):
    admission = Admission()
    now = read_for(admission, ABSENT_S, status(7))
    admission.record_read(heartbeat, now)
    assert admission.refusal(now) is None


def test_earlier_heartbeat_of_a_stale_read_is_no_new_one():
    admission = Admission()
    now = read_for(admission, ABSENT_S, status(7))
    admission.record_read(status(6), now)
    admission.record_read(status(7), now)
    assert admission.refusal(now) is not None


def test_admits_when_the_knowledge_is_old():
    admission = Admission()
    now = read_for(admission, ABSENT_S, status(7))
    assert admission.refusal(now + 10.0) is None


def test_absence_is_not_counted_across_a_gap_between_reads():
    admission = Admission()
    now = read_for(admission, ABSENT_S, status(7)) + 10.0
    admission.record_read(status(7), now)
    assert admission.refusal(now) is None
    now = read_for(admission, ABSENT_S, status(7), now)
    assert admission.refusal(now) is not None


def test_owner_without_heartbeats_is_no_absent_owner():
    admission = Admission()
    now = read_for(admission, ABSENT_S, status(7))
    admission.record_owner_without_heartbeats(now)
    assert admission.refusal(now) is None


def test_heartbeat_is_late_before_submissions_are_refused():
    admission = Admission()
    now = read_for(admission, 2.0, status(7))
    assert admission.is_heartbeat_late(now)
    assert admission.refusal(now) is None

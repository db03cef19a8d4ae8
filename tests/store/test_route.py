"""Tests of the choice between direct and relayed store calls.

An entry that the store does not answer relays its calls through other entries. A write
without an answer is not relayed: only the role that requested it can tell, on a second
attempt, whether the first one took effect.
"""

from __future__ import annotations

import pytest

from lagoonpulley.model.verdict import Ran
from lagoonpulley.runtime.role import CallFailed, Now, Reply, Request
from lagoonpulley.store.health import StoreHealthTracker
from lagoonpulley.store.messages import (
    Get,
    GrantLease,
    RenewLease,
    StoreResult,
    StoreStatus,
    Transaction,
)
from lagoonpulley.store.route import STORE_RELAY, RelayCall, StoreRoute

READ = Get("key")
CHANGE = Transaction()
NOT_RUN = CallFailed(Ran.NO, "busy")
NO_ANSWER = CallFailed(Ran.MAYBE, "timeout")
PART_OF_ANSWER = CallFailed(Ran.MAYBE, "timeout", partial=True)
ANSWER = StoreResult(StoreStatus.OK)


@pytest.fixture
def store_health():
    return StoreHealthTracker(lambda: Now(1.0, 1.0))


@pytest.fixture
def route(store_health):
    return StoreRoute(store_health)


def request(operation, reply_to="owner"):
    return Request("id", reply_to, operation, 1.0)


@pytest.mark.parametrize(
    ("operation", "result", "is_relayed"),
    [
        (CHANGE, ANSWER, False),
        (CHANGE, NOT_RUN, True),
        (CHANGE, NO_ANSWER, False),
        (GrantLease(1.0), NO_ANSWER, False),
        (READ, NO_ANSWER, True),
        (RenewLease("lease"), NO_ANSWER, True),
    ],
)
def test_only_calls_that_are_safe_to_retry_are_relayed(
    route, operation, result, is_relayed
):
    to, message = route.route_result(request(operation), result)
    if is_relayed:
        assert (to, message) == (STORE_RELAY, RelayCall(request(operation)))
    else:
        assert (to, message) == ("owner", Reply("id", result))


def test_call_for_another_entry_is_never_relayed(route):
    to, message = route.route_result(request(READ, STORE_RELAY), NOT_RUN)
    assert (to, message) == (STORE_RELAY, Reply("id", NOT_RUN))


def test_one_lost_answer_leaves_calls_direct(route, store_health):
    route.route_result(request(READ), NO_ANSWER)
    assert route.should_call_directly(request(READ))
    route.route_result(request(READ), NO_ANSWER)
    assert not route.should_call_directly(request(READ))
    route.route_result(request(READ, STORE_RELAY), ANSWER)
    assert route.should_call_directly(request(READ))


def test_store_is_unreachable_only_once_relayed_calls_fail_as_well(route, store_health):
    for _ in range(5):
        route.route_result(request(READ), NOT_RUN)
    assert not store_health.is_unreachable()
    store_health.record_result(answered=False)
    store_health.record_result(answered=False)
    assert store_health.is_unreachable()


def test_store_stays_reachable_after_one_write_without_an_answer(route, store_health):
    route.route_result(request(CHANGE), NO_ANSWER)
    assert not store_health.is_unreachable()
    route.route_result(request(CHANGE), NO_ANSWER)
    assert store_health.is_unreachable()
    route.route_result(request(READ), ANSWER)
    assert not store_health.is_unreachable()


def test_call_whose_answer_arrived_in_part_does_not_count_the_store_as_away(
    route, store_health
):
    for _ in range(4):
        to, message = route.route_result(request(READ), PART_OF_ANSWER)
        assert (to, message) == ("owner", Reply("id", PART_OF_ANSWER))
    assert not store_health.is_directly_unreachable()
    assert not store_health.is_unreachable()


def test_call_that_waited_briefly_does_not_count_the_store_as_away(route, store_health):
    for _ in range(4):
        brief = Request("id", "owner", CHANGE, 0.15)
        assert route.route_result(brief, NO_ANSWER) == ("owner", Reply("id", NO_ANSWER))
    assert not store_health.is_directly_unreachable()
    assert not store_health.is_unreachable()


def test_refused_call_that_waited_briefly_counts_the_store_as_away(route, store_health):
    for _ in range(2):
        route.route_result(Request("id", "owner", CHANGE, 0.15), NOT_RUN)
    assert store_health.is_directly_unreachable()

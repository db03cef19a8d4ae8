"""Which calls go another way after the store did not answer them."""

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
    ("operation", "result", "goes_round"),
    [
        (CHANGE, ANSWER, False),
        (CHANGE, NOT_RUN, True),
        (CHANGE, NO_ANSWER, False),
        (GrantLease(1.0), NO_ANSWER, False),
        (READ, NO_ANSWER, True),
        (RenewLease("lease"), NO_ANSWER, True),
    ],
)
def test_only_calls_that_may_be_repeated_go_round(route, operation, result, goes_round):
    to, message = route.route_result(request(operation), result)
    if goes_round:
        assert (to, message) == (STORE_RELAY, RelayCall(request(operation)))
    else:
        assert (to, message) == ("owner", Reply("id", result))


def test_call_for_another_entry_never_goes_round(route):
    to, message = route.route_result(request(READ, STORE_RELAY), NOT_RUN)
    assert (to, message) == (STORE_RELAY, Reply("id", NOT_RUN))


def test_one_lost_answer_leaves_calls_direct(route, store_health):
    route.route_result(request(READ), NO_ANSWER)
    assert route.should_call_directly(request(READ))
    route.route_result(request(READ), NO_ANSWER)
    assert not route.should_call_directly(request(READ))
    route.route_result(request(READ, STORE_RELAY), ANSWER)
    assert route.should_call_directly(request(READ))


def test_contact_is_lost_only_once_the_detour_failed_as_well(route, store_health):
    for _ in range(5):
        route.route_result(request(READ), NOT_RUN)
    assert not store_health.is_unreachable()
    store_health.record_result(answered=False)
    store_health.record_result(answered=False)
    assert store_health.is_unreachable()


def test_contact_survives_one_write_without_an_answer(route, store_health):
    route.route_result(request(CHANGE), NO_ANSWER)
    assert not store_health.is_unreachable()
    route.route_result(request(CHANGE), NO_ANSWER)
    assert store_health.is_unreachable()
    route.route_result(request(READ), ANSWER)
    assert not store_health.is_unreachable()

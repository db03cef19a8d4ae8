"""Readiness of an entry, depending on the policy, the store and shutdown."""

from __future__ import annotations

import pytest

from lagoonpulley.intake.readiness import MAX_STORE_SILENCE_S, EntryReadiness
from lagoonpulley.policy.messages import PolicyChanged, PolicyConfirmed
from lagoonpulley.policy.values import Policy
from lagoonpulley.runtime.role import Now
from lagoonpulley.store.health import StoreHealthTracker

POLICY = Policy(1, 1, {}, {}, {}, {})
MAX_POLICY_AGE_S = 1.5


class Clocks:
    def __init__(self):
        self.now = Now(100.0, 100.0)

    def __call__(self):
        return self.now

    def advance(self, seconds):
        self.now = Now(self.now.mono + seconds, self.now.wall + seconds)


@pytest.fixture
def clocks():
    return Clocks()


@pytest.fixture
def store_health(clocks):
    made = StoreHealthTracker(clocks)
    made.record_result(answered=True)
    return made


@pytest.fixture
def entry_readiness(store_health, clocks):
    made = EntryReadiness(store_health, clocks, MAX_POLICY_AGE_S)
    made.submit(PolicyChanged(POLICY))
    made.submit(PolicyConfirmed(clocks.now.mono))
    return made


def test_entry_without_a_policy_is_not_ready(store_health, clocks):
    assert not EntryReadiness(store_health, clocks, MAX_POLICY_AGE_S).is_ready()


def test_entry_is_ready_while_the_store_answers(entry_readiness, clocks):
    clocks.advance(MAX_STORE_SILENCE_S / 2)
    assert entry_readiness.is_ready()


def test_entry_without_store_contact_is_not_ready_until_the_store_answers(
    entry_readiness, clocks, store_health
):
    clocks.advance(MAX_STORE_SILENCE_S + 0.1)
    store_health.record_result(answered=False)
    assert not entry_readiness.is_ready()
    store_health.record_result(answered=True)
    assert entry_readiness.is_ready()


def test_entry_that_is_stopping_is_not_ready(entry_readiness):
    entry_readiness.stop()
    assert not entry_readiness.is_ready()


def test_entry_with_an_unconfirmed_policy_is_not_ready_until_it_is_confirmed(
    entry_readiness, clocks, store_health
):
    clocks.advance(MAX_POLICY_AGE_S)
    store_health.record_result(answered=True)
    assert not entry_readiness.is_ready()
    entry_readiness.submit(PolicyConfirmed(clocks.now.mono - 0.1))
    assert entry_readiness.is_ready()


def test_policy_is_current_for_a_limited_time_after_its_confirmation(
    entry_readiness, clocks
):
    clocks.advance(MAX_POLICY_AGE_S - 0.1)
    assert entry_readiness.current_policy() is POLICY
    clocks.advance(0.1)
    assert entry_readiness.current_policy() is None


def test_request_does_not_wait_for_the_policy_while_the_store_is_unreachable(
    store_health, clocks
):
    readiness = EntryReadiness(store_health, clocks, MAX_POLICY_AGE_S)
    for _ in range(2):
        store_health.record_result(answered=False)
    # A wait would end with the test's timeout.
    assert readiness.current_policy(wait_s=3600.0) is None

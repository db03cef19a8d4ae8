"""Readiness of an entry, depending on the policy, the store and shutdown."""

from __future__ import annotations

import pytest

from lagoonpulley.intake.readiness import MAX_STORE_SILENCE_S, EntryReadiness
from lagoonpulley.policy.messages import PolicyChanged
from lagoonpulley.policy.values import Policy
from lagoonpulley.runtime.role import Now
from lagoonpulley.store.health import StoreHealthTracker


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
def entry_readiness(store_health):
    made = EntryReadiness(store_health)
    made.submit(PolicyChanged(Policy(1, "policy", 1, {}, {}, {}, {})))
    return made


def test_entry_without_a_policy_is_not_ready(store_health):
    assert not EntryReadiness(store_health).is_ready()


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

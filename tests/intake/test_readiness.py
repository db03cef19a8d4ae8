"""When an entry asks for callers."""

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

    def pass_s(self, seconds):
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
def standing(store_health):
    made = EntryReadiness(store_health)
    made.submit(PolicyChanged(Policy(1, "policy", 1, {}, {}, {}, {})))
    return made


def test_entry_without_a_policy_is_not_ready(store_health):
    assert not EntryReadiness(store_health).is_ready()


def test_entry_is_ready_while_the_store_answers(standing, clocks):
    clocks.pass_s(MAX_STORE_SILENCE_S / 2)
    assert standing.is_ready()


def test_entry_that_the_store_left_alone_is_not_ready_until_it_answers(
    standing, clocks, store_health
):
    clocks.pass_s(MAX_STORE_SILENCE_S + 0.1)
    store_health.record_result(answered=False)
    assert not standing.is_ready()
    store_health.record_result(answered=True)
    assert standing.is_ready()


def test_entry_that_stops_is_not_ready(standing):
    standing.stop()
    assert not standing.is_ready()

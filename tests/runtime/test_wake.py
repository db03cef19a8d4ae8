"""Ticks of the roles, in real time and without limits on it."""

from __future__ import annotations

import queue

import pytest

from lagoonpulley.runtime.actors import WakePort
from lagoonpulley.runtime.role import WakeAfter

MAX_WAIT_S = 30.0


@pytest.fixture
def ticks():
    return queue.SimpleQueue()


@pytest.fixture
def wake(ticks):
    made = WakePort(lambda role, _tick: ticks.put(role))
    yield made
    made.close()


def test_role_without_an_interval_gets_one_tick(wake, ticks):
    wake.start({"once": None, "often": 0.01})
    received = []
    while received.count("often") < 4:
        received.append(ticks.get(timeout=MAX_WAIT_S))
    assert received.count("once") == 1


def test_role_without_an_interval_gets_the_ticks_that_it_asks_for(wake, ticks):
    wake.start({"once": None})
    assert ticks.get(timeout=MAX_WAIT_S) == "once"
    wake.submit(WakeAfter("once", 0.01))
    assert ticks.get(timeout=MAX_WAIT_S) == "once"

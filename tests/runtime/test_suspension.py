"""Time that only the boot-time clock counts."""

from __future__ import annotations

import pytest
from tests.support.logged_events import capture_events

from lagoonpulley.runtime.suspension import SuspensionLog


class Clocks:
    monotonic = 100.0
    boot_time = 150.0

    def advance(self, duration_s, suspended_s=0.0):
        self.monotonic += duration_s
        self.boot_time += duration_s + suspended_s


@pytest.fixture
def clocks():
    return Clocks()


@pytest.fixture
def log(clocks):
    return SuspensionLog(lambda: clocks.monotonic, lambda: clocks.boot_time)


def test_suspension_is_logged_once_with_its_length(clocks, log):
    clocks.advance(1.0, suspended_s=4.0)
    with capture_events() as events:
        log.check()
        clocks.advance(1.0)
        log.check()
    logged = events.named("process_suspended")
    assert [event["suspended_s"] for event in logged] == [4.0]


def test_time_without_a_suspension_is_not_logged(clocks, log):
    clocks.advance(3600.0)
    with capture_events() as events:
        log.check()
    assert events.named("process_suspended") == []

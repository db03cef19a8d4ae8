"""Delay, processing time and queue length of a role."""

from __future__ import annotations

import pytest
from tests.support.logged_events import capture_events

from lagoonpulley.observability.prometheus import REGISTRY
from lagoonpulley.runtime.role_meter import BEHIND_DELAY_S, KindLoad, RoleMeter


@pytest.fixture
def events():
    with capture_events() as captured:
        yield captured


def process(meter, queued_at, began_at, ended_at, kind="Tick"):
    meter.record_queued()
    meter.record_began(queued_at, began_at)
    meter.record_ended(kind, began_at, ended_at)


def test_meter_counts_messages_and_time_by_kind():
    meter = RoleMeter("subject")
    process(meter, 0.0, 0.0, 0.25)
    process(meter, 0.0, 0.25, 0.5)
    process(meter, 0.0, 0.5, 1.0, "reply:Get")
    assert meter.totals() == {
        "Tick": KindLoad(2, 0.5),
        "reply:Get": KindLoad(1, 0.5),
    }


def test_meter_counts_queued_messages():
    meter = RoleMeter("subject")
    for _ in range(3):
        meter.record_queued()
    assert meter.queued == 3
    meter.record_began(0.0, 0.0)
    assert meter.queued == 2


def test_each_reader_has_its_own_greatest_delay():
    meter = RoleMeter("subject")
    meter.add_reader()
    meter.add_reader()
    process(meter, 0.0, 0.125, 0.125)
    assert meter.take_max_delay(0) == 0.125
    process(meter, 1.0, 1.0625, 1.0625)
    assert meter.take_max_delay(0) == 0.0625
    assert meter.take_max_delay(1) == 0.125
    assert meter.take_max_delay(1) == 0.0


def test_role_within_the_limit_logs_nothing(events):
    meter = RoleMeter("subject")
    process(meter, 0.0, BEHIND_DELAY_S, BEHIND_DELAY_S)
    assert not events.named("role_behind")
    assert not events.named("role_caught_up")


def test_role_behind_is_logged_at_most_once_a_second(events):
    meter = RoleMeter("subject")
    for quarter in range(10):
        began_at = quarter / 4
        process(meter, began_at - 0.5, began_at, began_at)
    assert len(events.named("role_behind")) == 3
    assert not events.named("role_caught_up")


def test_role_behind_tells_what_kept_the_role_busy(events):
    meter = RoleMeter("subject")
    process(meter, 0.0, 0.0, 0.5)
    process(meter, 0.5, 0.5, 2.0, "reply:ReadRange")
    meter.record_queued()
    process(meter, 1.0, 2.0, 2.0)
    (event,) = events.named("role_behind")
    assert event["role"] == "subject"
    assert event["delay_s"] == 1.0
    assert event["queued"] == 1
    assert event["busy_share"] == 1.0
    assert (event["slowest"], event["slowest_s"]) == ("reply:ReadRange", 1.5)


def test_role_that_caught_up_is_logged_once(events):
    meter = RoleMeter("subject")
    process(meter, 0.0, 1.0, 1.0)
    process(meter, 0.0, 1.5, 1.5)
    process(meter, 2.0, 2.0, 2.0)
    process(meter, 3.0, 3.0, 3.0)
    (event,) = events.named("role_caught_up")
    assert event["behind_s"] == 1.0
    assert event["max_delay_s"] == 1.5


def test_metrics_are_updated_at_the_end_of_a_window():
    def value(name, **labels):
        return REGISTRY.get_sample_value(name, {"role": "windowed", **labels})

    meter = RoleMeter("windowed")
    process(meter, 0.0, 0.0, 0.5)
    name = "lagoonpulley_role_busy_seconds_total"
    assert value(name, kind="Tick") is None
    process(meter, 0.5, 0.75, 1.0)
    assert value(name, kind="Tick") == 0.75
    assert value("lagoonpulley_role_messages_total", kind="Tick") == 2
    assert value("lagoonpulley_role_queued_messages") == 0
    assert value("lagoonpulley_role_delay_seconds_sum") == 0.25

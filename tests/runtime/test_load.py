"""Intervals of a load meter."""

from __future__ import annotations

from lagoonpulley.observability.prometheus import REGISTRY
from lagoonpulley.runtime.load import CallLoad, LoadMeter
from lagoonpulley.runtime.role_meter import KindLoad


def process(meter, queued_at, began_at, ended_at, kind="Tick"):
    meter.record_queued()
    meter.record_began(queued_at, began_at)
    meter.record_ended(kind, began_at, ended_at)


def test_interval_holds_only_what_happened_in_it():
    processor_times = iter((3.0, 3.5, 4.5))
    load = LoadMeter(lambda: next(processor_times))
    role = load.add_role("subject")
    port = load.add_port("store")
    reader = load.add_reader()
    assert reader.read(0.0).duration_s == 0.0
    process(role, 0.0, 0.25, 0.5)
    port.record("Get", 100, 1000)
    reader.read(1.0)
    process(role, 1.0, 1.125, 1.25, "reply:Get")
    port.record("Get", 10, 20)
    port.record("Transaction", 300, 40)
    interval = reader.read(3.0)
    assert interval.duration_s == 2.0
    assert interval.processor_s == 1.0
    subject = interval.role_by_name["subject"]
    assert subject.by_kind == {"reply:Get": KindLoad(1, 0.125)}
    assert (subject.messages, subject.busy_s) == (1, 0.125)
    assert subject.max_delay_s == interval.max_delay_s() == 0.125
    assert interval.calls_by_port == {
        "store": {"Get": CallLoad(1, 10, 20), "Transaction": CallLoad(1, 300, 40)}
    }
    assert interval.calls_of("store") == CallLoad(2, 310, 60)
    assert interval.calls_of("other") == CallLoad()


def test_readers_are_independent():
    load = LoadMeter()
    early = load.add_reader()
    role = load.add_role("subject")
    late = load.add_reader()
    process(role, 0.0, 0.5, 0.75)
    assert early.read(1.0).role_by_name["subject"].messages == 1
    process(role, 1.0, 1.0, 1.25)
    assert early.read(2.0).role_by_name["subject"].max_delay_s == 0.0
    assert late.read(2.0).role_by_name["subject"].messages == 2


def test_calls_and_bytes_are_counted_as_metrics():
    LoadMeter().add_port("measured").record("Get", 100, 1000)
    labels = {"port": "measured", "operation": "Get"}
    assert REGISTRY.get_sample_value("lagoonpulley_calls_total", labels) == 1
    name = "lagoonpulley_call_bytes_total"
    assert REGISTRY.get_sample_value(name, {**labels, "direction": "sent"}) == 100
    received = {**labels, "direction": "received"}
    assert REGISTRY.get_sample_value(name, received) == 1000

"""The log line of an entry whose roles are behind."""

from __future__ import annotations

from tests.support.logged_events import capture_events

from lagoonpulley.runtime.entry_load import EntryLoadLog
from lagoonpulley.runtime.load import LoadMeter


def process(meter, queued_at, began_at, ended_at):
    meter.record_queued()
    meter.record_began(queued_at, began_at)
    meter.record_ended("Tick", began_at, ended_at)


def test_entry_load_is_logged_only_after_an_interval_with_a_role_behind():
    processor_times = iter((0.0, 1.0, 2.0, 3.0))
    load = LoadMeter(lambda: next(processor_times))
    role = load.add_role("subject")
    idle = load.add_role("idle")
    log = EntryLoadLog(load.add_reader())
    load.add_port("store").record("Get", 50, 500)
    with capture_events() as events:
        log.write_if_due(0.0)
        process(role, 0.0, 0.125, 0.5)
        log.write_if_due(5.0)
        assert not events.named("entry_load")
        process(role, 5.0, 6.0, 7.0)
        process(idle, 6.0, 6.0, 6.0)
        load.port_by_name["store"].record("Get", 100, 1000)
        log.write_if_due(9.0)
        assert not events.named("entry_load")
        log.write_if_due(10.0)
        (event,) = events.named("entry_load")
        log.write_if_due(15.0)
        assert len(events.named("entry_load")) == 1
    assert event["interval_s"] == 5.0
    assert event["behind"] == {"subject": {"delay_s": 1.0, "queued": 0, "messages": 1}}
    assert event["busy_share"] == {"subject": 0.2, "idle": 0.0}
    assert event["processor_share"] == 0.2
    assert event["store_calls_per_s"] == 0.2
    assert event["store_sent_bytes_per_s"] == 20
    assert event["store_received_bytes_per_s"] == 200

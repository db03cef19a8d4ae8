"""Tests of the reader of events in log files."""

from __future__ import annotations

from lagoonpulley.observability.log_lines import read_events, timestamp_of

EVENT = '{"event": "job_known", "job": "a"}'


def test_events_after_a_collector_prefix_are_read():
    lines = [EVENT, f"  17.8 entry-1 {EVENT}", "no event", '{"message": "other"}', "{"]
    assert [event["job"] for event in read_events(lines)] == ["a", "a"]


def test_timestamp_is_read_from_seconds_and_from_text():
    assert timestamp_of({"time": 1.5}) == 1.5
    assert timestamp_of({"time": "1970-01-01T00:00:01.500000+00:00"}) == 1.5
    assert timestamp_of({"time": "soon"}) is None

"""Events in log files of several kinds."""

from __future__ import annotations

from lagoonpulley.observability.log_lines import moment_of, read_events

EVENT = '{"event": "job_known", "job": "a"}'


def test_events_follow_whatever_a_collector_put_before_them():
    lines = [EVENT, f"  17.8 entry-1 {EVENT}", "no event", '{"message": "other"}', "{"]
    assert [event["job"] for event in read_events(lines)] == ["a", "a"]


def test_moment_is_read_from_seconds_and_from_text():
    assert moment_of({"time": 1.5}) == 1.5
    assert moment_of({"time": "1970-01-01T00:00:01.500000+00:00"}) == 1.5
    assert moment_of({"time": "soon"}) is None

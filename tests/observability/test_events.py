"""Length and number of the log lines about what other writers left."""

from __future__ import annotations

import pytest
from tests.support.logged_events import capture_events

from lagoonpulley.observability import events as module
from lagoonpulley.observability.events import MAX_TEXT_LENGTH, log_event


def test_log_line_with_a_long_text_is_cut():
    with capture_events() as events:
        log_event("long_text", key="x" * 1_000_000, short="servers/i-1", number=7)
    fields = events.named("long_text")[0]
    assert fields["key"].startswith("x" * MAX_TEXT_LENGTH)
    assert len(fields["key"]) < MAX_TEXT_LENGTH + 10
    assert (fields["short"], fields["number"]) == ("servers/i-1", 7)


@pytest.mark.parametrize(
    "event", ["test_entry_refused", "test_not_understood", "test_kind_unknown"]
)
def test_lines_about_odd_records_are_two_a_second(monkeypatch, event):
    monkeypatch.setattr(module.time, "monotonic", lambda: 5.0)
    with capture_events() as events:
        for number in range(100):
            log_event(event, key=f"servers/{number}")
    assert len(events.named(event)) == 2


@pytest.mark.parametrize("event", ["start_failed", "stop_failed"])
def test_failed_command_to_a_worker_leaves_a_line_for_each_run(monkeypatch, event):
    monkeypatch.setattr(module.time, "monotonic", lambda: 5.0)
    with capture_events() as events:
        for number in range(100):
            log_event(event, run=number)
    assert len(events.named(event)) == 100

"""Fixtures of the settings file of an entry, and of logs without earlier lines."""

from __future__ import annotations

import pytest

from lagoonpulley.observability import events

SETTINGS = """
node: "edge-1"
zone: "a"
ip: "127.0.0.1"
listen: {front: "127.0.0.1:0", ready: "127.0.0.1:0"}
portRange: [0, 15]
platform: {address: "127.0.0.1:1", ttlMinMs: 1000}
bounds: {holdMaxMs: 6000, early_ms: 250, status_s: 120, graceS: 6}
advice: "127.0.0.1:2"
unknownField: {nested: "value"}
"""


@pytest.fixture
def settings_file(tmp_path):
    path = tmp_path / "boot.yaml"
    path.write_text(SETTINGS)
    return path


@pytest.fixture
def fresh_log_limits(monkeypatch):
    """Forget the lines of earlier tests, which count towards the limits."""
    monkeypatch.setattr(events, "_quota_by_event", {})

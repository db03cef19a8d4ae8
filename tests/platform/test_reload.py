"""Tests of reloading the settings file."""

from __future__ import annotations

import pytest
from expression import Error

from lagoonpulley.platform import reload as reload_module
from lagoonpulley.platform.reload import SettingsReloader
from lagoonpulley.platform.settings import read_settings

REFUSED = Error("not parsed in this test")


@pytest.fixture
def applied():
    return []


@pytest.fixture
def reloader(settings_file, applied):
    path = str(settings_file)
    return SettingsReloader(path, read_settings(path).ok, applied.append)


def test_reload_applies_a_change_without_a_signal(settings_file, reloader, applied):
    text = settings_file.read_text().replace("127.0.0.1:1", "127.0.0.1:9")
    settings_file.write_text(text)
    reloader.reload_if_changed()
    assert [settings.store_address for settings in applied] == ["127.0.0.1:9"]


def test_reload_keeps_the_settings_when_the_file_is_invalid(
    settings_file, reloader, applied
):
    settings_file.write_text("node: [")
    reloader.request_reload()
    reloader.reload_if_changed()
    assert applied == []


def test_reload_without_a_change_applies_nothing(reloader, applied):
    reloader.request_reload()
    reloader.reload_if_changed()
    assert applied == []


def test_unchanged_file_is_read_once(settings_file, reloader, monkeypatch):
    parsed = []
    monkeypatch.setattr(
        reload_module, "read_settings", lambda path: parsed.append(path) or REFUSED
    )
    for _ in range(3):
        reloader.reload_if_changed()
    assert len(parsed) == 1
    settings_file.write_text(settings_file.read_text() + "\n")
    reloader.reload_if_changed()
    assert len(parsed) == 2

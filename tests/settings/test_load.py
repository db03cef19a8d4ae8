"""Tests of validating the settings file."""

from __future__ import annotations

import json

import pytest

from lagoonpulley.cli.main import main
from lagoonpulley.settings.load import parse_settings

VALID = {
    "entry_id": "timisoara-1",
    "data_centre": "timisoara",
    "data_centres": ["timisoara", "arad"],
    "store": {"url": "http://127.0.0.1:1"},
}


def errors_of(**changes):
    return [str(item) for item in parse_settings(json.dumps(VALID | changes)).error]


def test_settings_valid():
    assert parse_settings(json.dumps(VALID)).is_ok()


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"entry_id": "Upper"}, "$.entry_id"),
        ({"listen": {"http_port": 70000}}, "$.listen.http_port"),
        ({"listen": {"host": "localhost"}}, "$.listen.host"),
        ({"seeds": ["127.0.0.1"]}, "$.seeds"),
        ({"store": {}}, "$.store.url"),
        ({"unknown": 1}, "$.unknown"),
        ({"data_centre": "lugoj"}, "$"),
        ({"task_lease_s": 3, "session_lease_s": 3}, "$"),
    ],
)
def test_settings_error_names_the_path(changes, path):
    assert any(error.startswith(f"{path}:") for error in errors_of(**changes))


def test_settings_errors_are_all_reported():
    assert len(errors_of(entry_id="Upper", unknown=1)) == 2


def test_check_exit_codes(tmp_path, capsys):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(VALID | {"unknown": 1}))
    assert main(["check", str(path)]) == 1
    captured = capsys.readouterr()
    assert "$.unknown" in captured.err
    assert "Traceback" not in captured.err
    assert main(["check", str(tmp_path / "missing.json")]) == 1
    with pytest.raises(SystemExit) as usage:
        main(["check"])
    assert usage.value.code == 2

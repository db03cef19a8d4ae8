"""Tests of the command line parser and of the examples in the documentation."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from lagoonpulley.cli.main import build_parser, main
from lagoonpulley.gateway.schema import parse_jobs

ROOT = Path(__file__).resolve().parents[2]
EXAMPLES = ROOT / "docs" / "examples"
COMMANDS = (
    "serve",
    "check",
    "sheet",
    "key",
    "config",
    "job",
    "explain",
    "drain",
    "demo",
    "standin",
    "version",
)


@pytest.mark.parametrize("command", COMMANDS)
def test_help_of_each_command(command, capsys):
    with pytest.raises(SystemExit) as stopped:
        main([command, "--help"])
    assert stopped.value.code == 0
    assert "usage: lagoonpulley" in capsys.readouterr().out


def test_usage_error_exits_with_two():
    with pytest.raises(SystemExit) as stopped:
        main(["nonsense"])
    assert stopped.value.code == 2


def test_error_shows_no_traceback_unless_verbose(capsys):
    assert main(["sheet", "check", "missing.csv"]) == 1
    assert "Traceback" not in capsys.readouterr().err
    assert main(["-v", "sheet", "check", "missing.csv"]) == 1
    assert "Traceback" in capsys.readouterr().err


def test_version_is_that_of_the_project(capsys):
    assert main(["version"]) == 0
    version = capsys.readouterr().out.strip()
    assert f'version = "{version}"' in (ROOT / "pyproject.toml").read_text()


@pytest.mark.parametrize(
    "path", sorted(EXAMPLES.glob("*-*.json")), ids=lambda p: p.name
)
def test_example_settings_are_valid(path):
    assert main(["check", str(path)]) == 0


def test_example_sheet_and_job_are_valid():
    assert main(["sheet", "check", str(EXAMPLES / "sheet.csv")]) == 0
    assert parse_jobs((EXAMPLES / "review.json").read_bytes()).is_ok()


def test_readme_names_only_files_that_exist():
    text = (ROOT / "README.md").read_text()
    for name in re.findall(r"docs/[\w./-]+", text):
        assert (ROOT / name).exists(), name
    ports = {
        json.loads(path.read_text())["store"]["url"]
        for path in EXAMPLES.glob("*-*.json")
    }
    assert ports == {"http://127.0.0.1:7000"}


def test_parser_for_one_command_omits_the_others():
    parser = build_parser("version")
    assert parser.parse_args(["version"]).run
    with pytest.raises(SystemExit):
        parser.parse_args(["demo"])


def test_help_lists_every_command(capsys):
    with pytest.raises(SystemExit):
        main(["--help"])
    shown = capsys.readouterr().out
    for name in ("serve", "platform", "explain", "report", "demo", "version"):
        assert f"    {name} " in shown

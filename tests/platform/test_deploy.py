"""Tests of the deploy file and its validation errors."""

from __future__ import annotations

from pathlib import Path

import pytest

from lagoonpulley.cli.main import main
from lagoonpulley.platform.deploy import read_deploy_file

ROOT = Path(__file__).resolve().parents[2]

GOOD = """
build = "true"
[roles.entry]
run = "python3 -m lagoonpulley platform"
on = "edge"
share = 1.0
serves = ["edge"]
"""


def write(tmp_path, text):
    folder = tmp_path / "deploy"
    folder.mkdir()
    path = folder / "system.toml"
    path.write_text(text)
    return path


def test_deploy_file_of_this_repository_is_valid(capsys):
    assert main(["check", str(ROOT / "deploy" / "system.toml")]) == 0
    assert "valid, roles entry" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("build = ", "not TOML"),
        ('build = "true"\n', "roles"),
        (GOOD.replace("share = 1.0", "share = 1.5"), "roles.entry.share"),
        (GOOD.replace('on = "edge"', 'onn = "edge"'), "roles.entry.on"),
        (GOOD + "count = 2\n", "exclude each other"),
        (GOOD + 'template = "deploy/none"\n', "does not exist"),
    ],
)
def test_deploy_file_error_names_the_invalid_field(tmp_path, text, expected_error):
    result = read_deploy_file(write(tmp_path, text))
    assert result.is_error()
    assert expected_error in result.error


def test_template_must_be_small(tmp_path):
    path = write(tmp_path, GOOD + 'template = "deploy/boot"\n')
    template = path.parent / "boot"
    template.write_text("node: 1")
    assert read_deploy_file(path).is_ok()
    template.write_text("x" * 70_000)
    assert "larger than" in read_deploy_file(path).error


def test_check_refuses_a_role_that_runs_another_program(tmp_path, capsys):
    path = write(tmp_path, GOOD.replace("lagoonpulley platform", "http.server"))
    assert main(["check", str(path)]) == 1
    assert "runs another program" in capsys.readouterr().err


def test_check_validates_settings_of_the_platform(settings_file, capsys):
    assert main(["check", str(settings_file)]) == 0
    assert "valid, entry edge-1" in capsys.readouterr().out
    settings_file.write_text("node: 1")
    assert main(["check", str(settings_file)]) == 1
    assert "platform: Field required" in capsys.readouterr().err

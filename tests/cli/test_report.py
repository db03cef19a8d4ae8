"""Tests of the tables of phase durations."""

from __future__ import annotations

import json

from lagoonpulley.cli.main import main

EVENTS = (
    {"event": "job_submitted", "time": 10.0, "job": "a", "queue": "reviews"},
    {"event": "job_known", "time": 10.1, "job": "a", "queue": "reviews"},
    {"event": "task_placed", "time": 10.5, "job": "a"},
    {"event": "task_ended", "time": 12.5, "job": "a", "end": "done"},
    {"event": "job_final", "time": 12.5, "job": "a", "state": "completed"},
    {"event": "job_submitted", "time": 31.0, "job": "b", "queue": "checks"},
)


def write_logs(tmp_path):
    paths = [tmp_path / "one.log", tmp_path / "two.log"]
    for path, events in zip(paths, (EVENTS[:3], EVENTS[3:])):
        path.write_text("".join(json.dumps(event) + "\n" for event in events))
    return [str(path) for path in paths]


def test_report_joins_the_logs_of_several_entries(tmp_path, capsys):
    assert main(["report", *write_logs(tmp_path)]) == 0
    lines = capsys.readouterr().out.splitlines()
    row = next(line for line in lines if line.startswith("reviews"))
    assert row.split()[:4] == ["reviews", "1", "1", "0"]
    assert "0.400 / 0.400" in row
    assert "2.000 / 2.000" in row
    assert any("wait 16%" in line and "run 80%" in line for line in lines)


def test_report_prints_one_table_for_each_span(tmp_path, capsys):
    assert main(["report", "--every", "10", *write_logs(tmp_path)]) == 0
    output = capsys.readouterr().out
    assert "accepted from 0 s" in output
    assert "accepted from 20 s" in output
    assert "accepted from 10 s" not in output


def test_report_of_logs_without_jobs_fails(tmp_path, capsys):
    path = tmp_path / "empty.log"
    path.write_text("")
    assert main(["report", str(path)]) == 1
    assert "no accepted job" in capsys.readouterr().err

"""Tests of the sentences that explain a job."""

from __future__ import annotations

import json

from lagoonpulley.cli.main import main
from lagoonpulley.observability.events import log_event
from lagoonpulley.observability.logs import configure_logging
from lagoonpulley.settings.schema import LogSettings


def test_explain_reads_logged_events_of_one_job(tmp_path, capsys):
    path = tmp_path / "entry.log"
    configure_logging(LogSettings(file=str(path)), "timisoara-1")
    log_event(
        "task_placed",
        job="j-1",
        task="j-1/0",
        worker="w3",
        reason="best fit",
        candidates=7,
        waited_s=0.5,
        attempt=9,
        epoch=2,
    )
    log_event("task_placed", job="j-2", task="j-2/0", worker="w4")
    line = json.loads(path.read_text().splitlines()[0])
    assert (line["entry"], line["event"], line["worker"]) == (
        "timisoara-1",
        "task_placed",
        "w3",
    )
    assert main(["explain", "j-1", "--log", str(path)]) == 0
    output = capsys.readouterr().out
    assert "task j-1/0 placed on w3 (best fit, workers considered: 7)" in output
    assert "w4" not in output
    assert main(["explain", "j-9", "--log", str(path)]) == 1


def test_explain_orders_events_of_several_entries(tmp_path, capsys):
    events = (
        ("one", "job_submitted", 1.0, {"team": "north", "queue": "reviews"}),
        ("two", "job_known", 2.0, {"age_s": 1.0}),
        ("two", "task_placed", 3.0, {"task": [0, 0, 0], "run": 1, "worker": "w3"}),
        ("two", "task_ended", 4.0, {"task": [0, 0, 0], "run": 1, "end": "failed"}),
        ("two", "job_final", 5.0, {"state": "failed", "reason": "failed too often"}),
    )
    arguments = ["explain", "a" * 16]
    for name in ("one", "two"):
        path = tmp_path / f"{name}.log"
        lines = [
            json.dumps(
                {"event": event, "time": at, "entry": entry, "job": "a" * 16} | more
            )
            for entry, event, at, more in events
            if entry == name
        ]
        path.write_text("\n".join(f"12.0 {name} {line}" for line in lines))
        arguments[2:2] = ["--log", str(path)]
    assert main(arguments) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[1] for line in lines] == ["one", "two", "two", "two", "two"]
    assert "placed on w3 as run 1" in lines[2]
    assert "final: failed (failed too often)" in lines[4]

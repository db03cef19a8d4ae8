"""Tests of a job's story."""

from __future__ import annotations

import json

from lagoonpulley.cli.main import main
from lagoonpulley.observability.events import log_event
from lagoonpulley.observability.logs import configure_logging
from lagoonpulley.settings.schema import LogSettings


def test_explain_reads_what_was_logged(tmp_path, capsys):
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
    story = capsys.readouterr().out
    assert "task j-1/0 placed on w3 (best fit, 7 workers seen)" in story
    assert "w4" not in story
    assert main(["explain", "j-9", "--log", str(path)]) == 1

"""End-to-end test of the demo command over real sockets."""

from __future__ import annotations

from lagoonpulley.cli.main import main


def test_demo_answers_all(capsys):
    assert main(["demo"]) == 0
    last = capsys.readouterr().out.strip().splitlines()[-1]
    assert last == "demo: 4 accepted, 4 answered, 1 refused"

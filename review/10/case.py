"""A task takes ten times as long as its submitter estimated."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

from harness import CannotRun, Deployment, has_trouble, play, queue  # noqa: E402

JOB = "5c0e7a21d94b36f8"
ESTIMATE_MS = 24000
LONG_MS = 240000
WATCH_S = 75.0


def report(length_ms: int) -> dict:
    """Return a job of one task."""
    step = {"count": 1, "cpu": 4000, "memMb": 1000, "estimateMs": ESTIMATE_MS}
    return {"spec": f'{{"ms":{length_ms}}}', "steps": [step]}


def case(deployment: Deployment) -> str:
    """Return how the rule was broken, empty if it held."""
    for index in range(6):
        deployment.add_worker(f"w{index}")
    for index in range(2):
        deployment.add_worker(f"r{index}", service="reports")
    deployment.configure([queue("lookups"), queue("reports", service="reports")])
    deployment.start_entries()
    time.sleep(4.0)
    deployment.submit("reports", JOB, report(LONG_MS if has_trouble() else ESTIMATE_MS))
    turn_at = deployment.elapsed()
    if not deployment.wait_until(lambda: deployment.runs_of(JOB), 10.0):
        raise CannotRun("the job was not started")

    def is_done() -> bool:
        runs = deployment.runs_of(JOB).values()
        return any(run.get("how") == "done" for run in runs)

    deployment.wait_until(is_done, WATCH_S, 0.5)
    deployment.state_of("reports", JOB)
    until = deployment.elapsed()
    runs = deployment.runs_of(JOB)
    stops = sum(run.get("how") == "stopped" for run in runs.values())
    deployment.note(f"{len(runs)} runs, {stops} of them stopped by order")
    if is_done():
        return ""
    span = deployment.idle_span(JOB, turn_at, 0.0, until)
    if span is None:
        return ""
    return (
        f"nothing runs from {span[0]:.1f} to {span[1]:.1f} s on two idle workers; "
        f"{stops} of {len(runs)} runs were stopped"
    )


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))

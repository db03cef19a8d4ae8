"""A gang comes that no set of workers can hold; other jobs come beside it."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

from harness import Deployment, has_trouble, play, queue  # noqa: E402

GANG = "7e0e7a21d94b36f8"
WORKERS = 6
HOPELESS_WIDTH = 12
# One hopeless job beside so many others is a share of 0.048.
PLAIN_JOBS = 20
GAP_S = 0.2
WATCH_S = 35.0


def gang(width: int) -> dict:
    """Return a gang of one task for each of so many workers."""
    step = {"count": width, "cpu": 15000, "memMb": 1000, "estimateMs": 1000}
    step |= {"gang": True, "maxPerServer": 1}
    return {"spec": '{"ms":1000}', "steps": [step]}


def plain_job() -> dict:
    """Return a job of one task, several of which fit on any worker."""
    step = {"count": 1, "cpu": 4000, "memMb": 1000, "estimateMs": 1000}
    return {"spec": '{"ms":1000}', "steps": [step]}


def is_lost(deployment: Deployment, job: str, at: float, until: float) -> bool:
    """Return whether an accepted job was idle for too long before it was done."""
    for run in deployment.runs_of(job).values():
        if run.get("how") == "done":
            until = min(until, run["ended"])
    return deployment.idle_span(job, at, 0.0, until) is not None


def case(deployment: Deployment) -> str:
    """Return how the rule was broken, empty if it held."""
    for index in range(WORKERS):
        deployment.add_worker(f"w{index}")
    deployment.configure([queue("gangs"), queue("jobs", priority=2)])
    deployment.start_entries()
    time.sleep(4.0)
    width = HOPELESS_WIDTH if has_trouble() else WORKERS
    deployment.submit("gangs", GANG, gang(width))
    time.sleep(1.0)
    accepted_at: dict[str, float] = {}
    for number in range(PLAIN_JOBS):
        job = f"5c0e7a21d94b{number:04x}"
        deployment.submit("jobs", job, plain_job())
        accepted_at[job] = deployment.elapsed()
        time.sleep(GAP_S)
    time.sleep(WATCH_S)
    until = deployment.elapsed()
    lost = [
        job for job, at in accepted_at.items() if is_lost(deployment, job, at, until)
    ]
    for job in lost[:1]:
        deployment.state_of("jobs", job)
    deployment.state_of("gangs", GANG)
    if not lost:
        return ""
    return f"{len(lost)} of {len(accepted_at)} jobs idle beside idle workers"


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))

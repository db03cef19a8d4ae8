"""One task has a checkpoint of five thousand characters."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

from harness import CannotRun, Deployment, has_trouble, play, queue  # noqa: E402

SAVING = "7e0e7a21d94b36f8"
TASK = f"{SAVING}.0.0.0"
WORKERS = 6
LONG_CHECKPOINT = 5000
# As in the example of the page.
SHORT_CHECKPOINT = 16
# With no disruption near, an end counts as taken note of so long after it was listed.
NOTED_S = 0.1
PLAIN_EVERY_S = 3.0
LAST_PLAIN_S = 48.0
WATCH_S = 60.0


def saving_job(checkpoint: int) -> dict:
    """Return a job of one short task that saves its progress."""
    step = {"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 1000}
    spec = f'{{"ms":1000,"saved":{checkpoint}}}'
    return {"spec": spec, "steps": [step | {"savesProgress": True}]}


def plain_job() -> dict:
    """Return a job of one short task."""
    step = {"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 1000}
    return {"spec": '{"ms":1000}', "steps": [step]}


def is_lost(deployment: Deployment, job: str, at: float, until: float) -> bool:
    """Return whether an accepted job was idle for too long before it was done."""
    for run in deployment.runs_of(job).values():
        if run.get("how") == "done":
            until = min(until, run["ended"])
    return deployment.idle_span(job, at, 0.0, until) is not None


def starts_after_done(deployment: Deployment) -> int:
    """Return how often the task was started after it was done, and that was listed."""
    runs = deployment.runs_of(TASK).values()
    noted_at = [
        run["listed"] + NOTED_S
        for run in runs
        if run.get("how") == "done" and "listed" in run
    ]
    if not noted_at:
        return 0
    return sum(run["began"] > min(noted_at) for run in runs)


def case(deployment: Deployment) -> str:
    """Return how the rule was broken, empty if it held."""
    for index in range(WORKERS):
        deployment.add_worker(f"w{index}")
    deployment.configure([queue("reports"), queue("lookups", priority=0)])
    deployment.start_entries()
    time.sleep(4.0)
    checkpoint = LONG_CHECKPOINT if has_trouble() else SHORT_CHECKPOINT
    deployment.submit("reports", SAVING, saving_job(checkpoint))
    if not deployment.wait_until(lambda: deployment.runs_of(SAVING), 10.0):
        raise CannotRun("the job was not started")
    accepted_at: dict[str, float] = {}
    began = time.monotonic()
    number = 0
    while time.monotonic() < began + LAST_PLAIN_S:
        job = f"5c0e7a21d94b{number:04x}"
        status, _ = deployment.call("POST", f"/lookups/{job}", plain_job(), number % 3)
        if status == 200:
            accepted_at[job] = deployment.elapsed()
        number += 1
        time.sleep(PLAIN_EVERY_S)
    time.sleep(max(0.0, began + WATCH_S - time.monotonic()))
    until = deployment.elapsed()
    lost = [
        job for job, at in accepted_at.items() if is_lost(deployment, job, at, until)
    ]
    again = starts_after_done(deployment)
    deployment.state_of("reports", SAVING)
    deployment.note(f"starts of the task after its first end as done: {again}")
    deployment.note(f"short jobs: {len(accepted_at)} accepted, {len(lost)} left idle")
    if not again:
        return ""
    return (
        f"the task was started {again} times after it was done; beside it "
        f"{len(lost)} of {len(accepted_at)} short jobs were left idle"
    )


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))

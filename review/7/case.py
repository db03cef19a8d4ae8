"""Jobs that run each minute of a day are handed in beside short ones."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

from harness import CannotRun, Deployment, has_trouble, play, queue  # noqa: E402

# A burst of material-recon at the site: 2.17 a second, 1.8 times, for 4 s.
TIMED_JOBS = 15
BURST_S = 4.0
# One occurrence a minute for a day; the site files have jobs of 8.
TIMES = 1440
FEW_TIMES = 8
WATCH_S = 75.0
PLAIN_EVERY_S = 4.0
# A job that is handed in later cannot be idle for 7 s before the end.
LAST_PLAIN_S = 60.0


def timed_job(times: int) -> dict:
    """Return a job of two steps of ten tasks, which is due for the first time soon."""
    step = {"count": 10, "cpu": 500, "memMb": 100, "estimateMs": 1000}
    return {
        "spec": '{"ms":1000}',
        "steps": [step, step | {"after": [0]}],
        "repeatCount": times,
        "startAtMs": int((time.time() + 20.0) * 1000),
        "intervalMs": 60000,
    }


def plain_job() -> dict:
    """Return a job of one short task."""
    step = {"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 1000}
    return {"spec": '{"ms":1000}', "steps": [step]}


def hand_in(deployment: Deployment, job: str) -> float | None:
    """Hand a short job in once; return when it was accepted, if it was."""
    for entry in deployment.running_entries():
        status, _ = deployment.call("POST", f"/lookups/{job}", plain_job(), entry)
        if status == 200:
            return deployment.elapsed()
    return None


def is_lost(deployment: Deployment, job: str, at: float, until: float) -> bool:
    """Return whether an accepted job was idle for too long before it was done."""
    for run in deployment.runs_of(job).values():
        if run.get("how") == "done":
            until = min(until, run["ended"])
    return deployment.idle_span(job, at, 0.0, until) is not None


def case(deployment: Deployment) -> str:
    """Return how the rule was broken, empty if it held."""
    for index in range(6):
        deployment.add_worker(f"w{index}")
    deployment.configure([queue("reports"), queue("lookups", priority=0)])
    deployment.start_entries()
    time.sleep(4.0)
    body = timed_job(TIMES if has_trouble() else FEW_TIMES)
    for number in range(TIMED_JOBS):
        status, _ = deployment.call("POST", f"/reports/7e0e7a21d94b{number:04x}", body)
        if status != 200:
            deployment.note("this timed job was not accepted")
        time.sleep(BURST_S / TIMED_JOBS)
    accepted_at: dict[str, float] = {}
    began = time.monotonic()
    next_at = began
    while time.monotonic() < began + WATCH_S:
        deployment.kill_over_memory()
        now = time.monotonic()
        if now >= next_at and now < began + LAST_PLAIN_S:
            next_at = now + PLAIN_EVERY_S
            job = f"5c0e7a21d94b{len(accepted_at):04x}"
            at = hand_in(deployment, job)
            if at is not None:
                accepted_at[job] = at
        time.sleep(0.1)
    until = deployment.elapsed()
    lost = [
        job for job, at in accepted_at.items() if is_lost(deployment, job, at, until)
    ]
    ends = {entry.name: entry.own_ends for entry in deployment.entries}
    deployment.note(f"processes that ended by themselves: {ends}")
    deployment.note(f"short jobs: {len(accepted_at)} accepted, {len(lost)} left idle")
    if not accepted_at:
        raise CannotRun("no short job was accepted")
    if not lost:
        return ""
    return f"{len(lost)} of {len(accepted_at)} accepted jobs idle for 3 s; ends {ends}"


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))

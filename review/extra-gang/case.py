"""A gang that does not fit beside a service keeps small jobs from idle workers."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

from cell import configuration, route, run, trouble

WORKERS = 3
SERVICE_JOB = "5c0e7a21d94b36f0"
GANG_JOB = "5c0e7a21d94b36f8"
SMALL_JOBS = [f"5c0e7a21d94b37{number:02x}" for number in range(4)]
# A service with a task of 10 cores leaves 6 on its worker.
SERVICE = {
    "spec": "lasts",
    "steps": [{"count": 1, "cpu": 10000, "memMb": 1024, "longRunning": True}],
}
# A worker of 16 cores has room for one member; there are three workers.
GANG_STEP = {"count": WORKERS, "cpu": 12000, "memMb": 1024, "estimateMs": 1000}
GANG = {"spec": "seconds=1", "steps": [GANG_STEP | {"gang": True}]}
SMALL_STEP = {"count": 1, "cpu": 6000, "memMb": 1024, "estimateMs": 800}
SMALL = {"spec": "seconds=0.8", "steps": [SMALL_STEP]}
BETWEEN_JOBS_S = 1.5
FINISH_S = 14.0
NOTHING_RUNS_S = 3.0


def starts(cell, job):
    return [line for line in cell.lines("start") if line["task"].startswith(job)]


def scenario(cell):
    routes = [route("r-gang", "/gang/"), route("r-small", "/small/", priority=1)]
    cell.put("op/config", configuration(3, routes))
    for number in range(WORKERS):
        cell.start_worker(f"i-{number}")
    entries = [cell.start_entry(f"edge-{number}") for number in range(2)]
    cell.wait_ready(*entries)
    cell.submit(entries[0], f"/gang/{SERVICE_JOB}", SERVICE)
    cell.wait(lambda: starts(cell, SERVICE_JOB), 15, "the service runs")
    if trouble():
        cell.submit(entries[0], f"/gang/{GANG_JOB}", GANG)
        time.sleep(BETWEEN_JOBS_S)
    for job in SMALL_JOBS:
        cell.submit(entries[0], f"/small/{job}", SMALL)
    time.sleep(FINISH_S)
    time.sleep(NOTHING_RUNS_S)
    waiting = [job for job in SMALL_JOBS if not starts(cell, job)]
    if not waiting:
        return ""
    used = {line["worker"] for line in cell.lines("start")}
    return (
        f"LOST: {len(waiting)} of {len(SMALL_JOBS)} small jobs have not started for "
        f"{FINISH_S + NOTHING_RUNS_S:.0f} s, though {WORKERS - len(used)} of {WORKERS} "
        f"workers were idle all the while"
    )


run(__file__, scenario)

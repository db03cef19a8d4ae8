"""An owner that is elected again leaves an old count of pending jobs in place."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

from cell import CouldNotRun, configuration, route, run, trouble

PENDING = 4
FREEZE_S = 4.0
CONTACT_S = 3.0
VISIBLE_S = 3.0
SLACK_S = 2.0
WATCHED_S = 6.0


# No worker has the label yet, so the jobs wait.
STEP = {"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 1000, "requires": "b"}
JOB = {"spec": "seconds=1", "steps": [STEP]}


def job_ids(first):
    return [f"{first + number:016x}" for number in range(PENDING)]


def pending(cell, entry):
    status, body = cell.call(entry, "GET", "/desk/")
    return body["pending"] if status == 200 else None


def freeze(cell, frozen, successor):
    """Freeze the owner until the other entry has taken over, for at most 4 s."""
    began_at = time.monotonic()
    cell.send_signal(frozen, "STOP")
    try:
        yield
        cell.wait(
            lambda: cell.owner_name() == successor.name,
            FREEZE_S - 0.5,
            f"{successor.name} is the owner",
        )
        time.sleep(max(0.0, FREEZE_S - 1.0 - (time.monotonic() - began_at)))
    finally:
        cell.send_signal(frozen, "CONT")
    cell.wait_ready(frozen, successor)


def scenario(cell):
    cell.put("op/config", configuration(3, [route("r-desk", "/desk/")]))
    cell.start_worker("i-0", labels=("a", "r1-1"))
    first = cell.start_entry("edge-0")
    cell.wait(lambda: cell.owner_name() == first.name, 20, "edge-0 is the owner")
    second = cell.start_entry("edge-1")
    cell.wait_ready(first, second)

    for job_id in job_ids(0xA0):
        cell.submit(first, f"/desk/{job_id}", JOB)
    cell.wait(lambda: pending(cell, first) == PENDING, 10, "the count is shown")

    if trouble():
        for _ in freeze(cell, first, second):
            continue
    for job_id in job_ids(0xA0):
        cell.wait(
            lambda path=f"/desk/{job_id}": cell.call(second, "DELETE", path)[0] == 200,
            10,
            "the job is cancelled",
        )
    cell.wait(lambda: pending(cell, second) == 0, 10, "nothing is pending")
    time.sleep(CONTACT_S)

    if trouble():
        for _ in freeze(cell, second, first):
            for job_id in job_ids(0xB0):
                cell.submit(first, f"/desk/{job_id}", JOB)
    else:
        for job_id in job_ids(0xB0):
            cell.submit(first, f"/desk/{job_id}", JOB)

    time.sleep(CONTACT_S + VISIBLE_S + SLACK_S)
    shown = []
    until = time.monotonic() + WATCHED_S
    while time.monotonic() < until:
        shown += [pending(cell, entry) for entry in (first, second)]
        time.sleep(0.5)
    for job_id in job_ids(0xB0):
        if cell.call(first, "GET", f"/desk/{job_id}") != (200, {"state": "queued"}):
            raise CouldNotRun("a job does not wait")
    wrong = [count for count in shown if count is not None and 2 * count < PENDING]
    if not wrong:
        return ""
    return (
        f"MIXED: {PENDING} jobs accepted more than {VISIBLE_S + SLACK_S:.0f} s ago "
        f"have not begun; {len(wrong)} of {len(shown)} answers over {WATCHED_S:.0f} s "
        f"give {sorted(set(wrong))} as pending"
    )


run(__file__, scenario)

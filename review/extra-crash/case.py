"""A job is failed for the crash of a worker on which it has never run."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

from cell import CouldNotRun, configuration, route, run, trouble

WORKERS = 8
DOWN_S = 1.0
MAX_ATTEMPTS = 8
RUN_S = 10.0
STEP = {"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 10000}
BODY = {"spec": f"seconds={RUN_S}", "steps": [STEP]}
JOB = "5c0e7a21d94b36f8"
# The first worker crashes this soon after the start, the second one when the start
# arrives, before it has carried it out.
SOON_S = 0.1


class Scenario:
    """One job, on workers of which one at a time is down."""

    def __init__(self, cell):
        self.cell = cell
        queue = route("r-desk", "/desk/", maxAttempts=MAX_ATTEMPTS)
        cell.put("op/config", configuration(3, [queue]))
        ids = [f"i-{number}" for number in range(WORKERS)]
        self.worker_by_id = {each: cell.start_worker(each) for each in ids}
        self.entries = [cell.start_entry(f"edge-{number}") for number in range(2)]
        cell.wait_ready(*self.entries)

    def runs(self):
        return self.cell.lines("start")

    def crash(self, worker_id):
        worker = self.worker_by_id[worker_id]
        self.cell.send_signal(worker, "KILL")
        self.restart(worker_id)

    def restart(self, worker_id):
        """Start a crashed worker again under its id, after a while."""
        worker = self.worker_by_id[worker_id]
        worker.wait()
        time.sleep(DOWN_S)
        self.worker_by_id[worker_id] = self.cell.start_worker(worker_id, worker.port)

    def crash_workers(self):
        self.cell.wait(self.runs, 15, "the task runs")
        first_id = self.runs()[0]["worker"]
        for worker in self.worker_by_id.values():
            if worker is not self.worker_by_id[first_id]:
                self.cell.crash_at_start(worker, JOB)
        time.sleep(SOON_S)
        self.crash(first_id)
        crashed = self.cell.wait(lambda: self.cell.lines("crash"), 15, "a crash")
        for worker_id, worker in self.worker_by_id.items():
            if worker_id != crashed[0]["worker"]:
                self.cell.crash_at_start(worker, None)
        self.restart(crashed[0]["worker"])

    def state(self):
        status, body = self.cell.call(self.entries[1], "GET", f"/desk/{JOB}")
        return body["state"] if status == 200 else ""

    def play(self):
        """Hand the job in, and return what is wrong with its end."""
        self.cell.submit(self.entries[0], f"/desk/{JOB}", BODY)
        if trouble():
            self.crash_workers()
        self.cell.wait(
            lambda: self.state() in ("completed", "failed"), 30, "the job's end", 0.25
        )
        if any(line["how"] == "failed" for line in self.cell.lines("end")):
            raise CouldNotRun("a run ended as failed")
        if self.state() == "completed":
            return ""
        return (
            f"LOST: the job is shown as failed after {len(self.runs())} run, which did "
            f"not end as failed; maxAttempts is {MAX_ATTEMPTS}"
        )


def scenario(cell):
    return Scenario(cell).play()


run(__file__, scenario)

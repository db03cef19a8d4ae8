"""Stand-in for one worker: ``worker.py SETTINGS``, a file with JSON.

It follows the page PROTOCOL, "Running tasks" and "Service discovery". What a task does
is told by its ``spec``, a JSON text: ``ms`` is how long it works, ``serves`` that it
runs until it is stopped, ``saved`` how long its checkpoints are. While the file
``faultFile`` of its settings exists, the worker fails all that it starts.
"""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from http1 import Request, serve

STARTUP_S = 0.3
ENDS_A_PAGE = 500
MAX_WAIT_MS = 2000
TICK_S = 0.01
FAILS_AFTER_S = 0.2


@dataclass(slots=True)
class Run:
    """One run; times are of the worker's clock, in seconds."""

    task: str
    number: int
    began_at: float
    work_s: float
    serves: bool
    saved_chars: int
    fails_at: float | None
    stops_at: float | None = None
    pace: int = 100

    def percent(self, clock_s: float) -> int:
        """Return how far it is."""
        length_s = STARTUP_S if self.serves else self.work_s
        share = (clock_s - self.began_at) / max(length_s, 0.001)
        return min(100, int(100 * share))

    def saved(self, clock_s: float) -> str:
        """Return its checkpoint, of the work done so far."""
        if not self.saved_chars:
            return ""
        work_ms = int((clock_s - self.began_at) * 1000)
        return f"{work_ms:016x}".ljust(self.saved_chars, "0")


class Worker:
    """The runs, ends, lease and token of one lifetime."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.id = settings["id"]
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.lease_until_ms = 0
        self.run_by_task: dict[str, Run] = {}
        self.highest_by_task: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.end_count = 0
        self.listed_count = 0
        self.changed = asyncio.Event()
        self.log_path = Path(settings["log"])

    def log(self, event: str, **fields: Any) -> None:
        """Write one line for the harness."""
        line = {"at": time.time(), "worker": self.id, "event": event} | fields
        with self.log_path.open("a") as file:
            file.write(json.dumps(line) + "\n")

    def clock_ms(self) -> int:
        """Return the time on the worker's clock."""
        return int((time.monotonic() - self.began) * 1000)

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        del self.run_by_task[run.task]
        highest = self.highest_by_task.get(run.task, 0)
        self.highest_by_task[run.task] = max(highest, run.number)
        self.end_count += 1
        saved = run.saved(self.clock_ms() / 1000)
        self.ends.append([self.end_count, run.task, run.number, how, saved])
        self.log("end", task=run.task, run=run.number, how=how)
        self.changed.set()

    async def tick(self) -> None:
        """End runs whose time has come, or all when the lease expires."""
        while True:
            clock_ms = self.clock_ms()
            clock_s = clock_ms / 1000
            for run in list(self.run_by_task.values()):
                if run.stops_at is not None and clock_s >= run.stops_at:
                    self.end(run, "stopped")
                elif run.fails_at is not None and clock_s >= run.fails_at:
                    self.end(run, "failed")
                elif clock_ms > self.lease_until_ms:
                    self.end(run, "lapsed")
                elif not run.serves and clock_s >= run.began_at + run.work_s:
                    self.end(run, "done")
            await asyncio.sleep(TICK_S)

    async def handle(self, request: Request) -> tuple[int, Any]:
        """Answer one call."""
        if request.headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        body = request.json()
        token = body.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = token
        if request.path == "/api/run-start":
            return self._start(body)
        if request.path == "/api/run-stop":
            return self._stop(body)
        if request.path == "/api/hold":
            return await self._hold(body)
        if request.path == "/api/pace":
            return 200, {"clockMs": self.clock_ms()}
        return 404, {}

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + self.settings["holdMaxMs"]
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, longest))

    def _start(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number, clock_ms = body["task"], body["run"], self.clock_ms()
        if clock_ms > body["deadlineMs"]:
            return 409, {"clockMs": clock_ms, "reason": "late"}
        self._extend(body["deadlineMs"])
        present = self.run_by_task.get(task)
        if present is not None and present.number == number:
            return 200, {"clockMs": clock_ms}
        if present is not None or number <= self.highest_by_task.get(task, 0):
            return 409, {"clockMs": clock_ms, "reason": "old"}
        spec = json.loads(body["spec"])
        clock_s = clock_ms / 1000
        is_faulty = Path(self.settings["faultFile"]).exists()
        self.run_by_task[task] = Run(
            task=task,
            number=number,
            began_at=clock_s,
            work_s=spec.get("ms", 1000) / 1000,
            serves=spec.get("serves", False),
            saved_chars=spec.get("saved", 0),
            fails_at=clock_s + FAILS_AFTER_S if is_faulty else None,
        )
        self.log("start", task=task, run=number)
        return 200, {"clockMs": clock_ms}

    def _stop(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        highest = self.highest_by_task.get(task, 0)
        run = self.run_by_task.get(task)
        if run is None or run.number != number:
            self.highest_by_task[task] = max(highest, number)
        elif run.stops_at is None:
            self.log("stop", task=task, run=number)
            stop_s = self.settings["stopMs"] / 2000
            run.stops_at = self.clock_ms() / 1000 + stop_s
        return 200, {"clockMs": self.clock_ms()}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        acked = body.get("ackedSeq", 0)
        for number, task, run, how, _ in self.ends:
            if number <= acked:
                self.log("acked", task=task, run=run, how=how)
        self.ends = [end for end in self.ends if end[0] > acked]
        wait_ms = min(MAX_WAIT_MS, body.get("waitMs", 0))
        if wait_ms and not self.ends:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_ms / 1000)
        listed = self.ends[:ENDS_A_PAGE]
        for number, task, run, how, _ in listed:
            if number > self.listed_count:
                self.listed_count = number
                self.log("listed", task=task, run=run, how=how)
        clock_ms = self.clock_ms()
        clock_s = clock_ms / 1000
        running = [
            [run.task, run.number, run.saved(clock_s), run.percent(clock_s), 0]
            for run in self.run_by_task.values()
        ]
        return 200, {
            "clockMs": clock_ms,
            "born": self.born,
            "running": running,
            "finished": listed,
        }

    def entry(self, seq: int) -> str:
        """Return what the worker says of itself in the store."""
        settings = self.settings
        return json.dumps(
            {
                "service": settings["service"],
                "address": f"{settings['host']}:{settings['port']}",
                "zone": settings["zone"],
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": seq,
                "capacity": settings["capacity"],
                "labels": settings["labels"],
                "born": self.born,
            }
        )

    def beat(self) -> None:
        """Write the entry every heartbeat; it lapses after three of silence."""
        host, _, port = self.settings["store"].rpartition(":")
        period_s = self.settings["heartbeatMs"] / 1000
        seq = 0
        while True:
            seq += 1
            body = {"key": f"servers/{self.id}", "value": self.entry(seq)}
            body["ttlMs"] = 3 * self.settings["heartbeatMs"]
            with contextlib.suppress(OSError):
                channel = http.client.HTTPConnection(host, int(port), timeout=1.0)
                channel.request("POST", "/standin/put", json.dumps(body))
                channel.getresponse().read()
                channel.close()
            time.sleep(period_s)


async def main() -> None:
    """Serve until the process is killed."""
    with open(sys.argv[1]) as file:
        worker = Worker(json.load(file))
    settings = worker.settings
    await serve(settings["host"], settings["port"], worker.handle)
    worker.log("up", born=worker.born)
    asyncio.get_running_loop().run_in_executor(None, worker.beat)
    await worker.tick()


if __name__ == "__main__":
    asyncio.run(main())

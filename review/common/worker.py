"""Stand-in for a worker, after the pages' description.

A task of a job whose spec is ``seconds=2.5`` runs that long and ends as done, one of a
job whose spec is ``lasts`` runs until it is stopped.
"""

import http.client
import json
import math
import os
import signal
import sys
import threading
import time

from service import JsonHandler, serve

HEARTBEAT_S = 0.5
SILENT_BEATS = 3
STOP_S = 0.05
GREY_RUN_S = 0.2


class Worker:
    """What one lifetime of a worker runs, and which ends it lists."""

    def __init__(
        self,
        worker_id,
        port,
        told_port,
        store,
        record,
        service,
        labels,
        capacity,
        max_s,
    ):
        self.id = worker_id
        self.port = port
        self.told_port = told_port
        self.store = store
        self.record_path = record
        self.service = service
        self.labels = labels
        self.capacity = capacity
        # Until then, all that the worker starts fails soon.
        self.grey_until = 0.0
        # The worker crashes when an order to start this job arrives.
        self.crash_at_start_of = None
        self.max_lease_s = max_s
        self.changed = threading.Condition()
        self.born = int(time.time() * 1000)
        self.began_at = time.monotonic()
        self.token = 0
        self.lease_ends_at = 0.0
        self.running = {}
        self.ends = []
        self.count = 0
        self.highest_run = {}

    def record(self, event, **fields):
        """Append a line to the record of the case."""
        line = {"at": round(time.time(), 3), "worker": self.id, "event": event}
        with open(self.record_path, "a") as file:
            file.write(json.dumps(line | {"born": self.born} | fields) + "\n")

    def clock_ms(self):
        return int((time.monotonic() - self.began_at) * 1000)

    def extend(self, deadline_ms):
        until = self.began_at + deadline_ms / 1000
        longest = time.monotonic() + self.max_lease_s
        self.lease_ends_at = max(self.lease_ends_at, min(until, longest))

    def end(self, task, how):
        run = self.running.pop(task)
        self.count += 1
        self.ends.append([self.count, task, run["run"], how, ""])
        self.record("end", task=task, run=run["run"], how=how)
        self.changed.notify_all()

    def advance(self):
        now = time.monotonic()
        for task, run in list(self.running.items()):
            if run["stop_at"] is not None and run["stop_at"] <= now:
                self.end(task, "stopped")
            elif run["ends_at"] <= min(now, self.lease_ends_at):
                self.end(task, run["how"])
            elif self.lease_ends_at <= now:
                self.end(task, "lapsed")

    def start(self, body):
        task, number = body["task"], body["run"]
        if self.crash_at_start_of and task.startswith(self.crash_at_start_of):
            self.record("crash", task=task, run=number)
            os.kill(os.getpid(), signal.SIGKILL)
        known = self.running.get(task)
        if known and known["run"] == number:
            return 200, {}
        if body["deadlineMs"] < self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(body["deadlineMs"])
        if known or number <= self.highest_run.get(task, 0):
            return 409, {"reason": "old"}
        self.highest_run[task] = number
        lasts = body["spec"] == "lasts"
        seconds = math.inf if lasts else float(body["spec"].partition("=")[2] or 1.0)
        now = time.monotonic()
        is_grey = now < self.grey_until
        self.running[task] = {
            "run": number,
            "began_at": now,
            "ends_at": now + (GREY_RUN_S if is_grey else seconds),
            "how": "failed" if is_grey else "done",
            "stop_at": None,
        }
        self.record("start", task=task, run=number)
        return 200, {}

    def stop(self, body):
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        if run and run["run"] == number and run["stop_at"] is None:
            run["stop_at"] = time.monotonic() + STOP_S
        elif not run:
            self.highest_run[task] = max(number, self.highest_run.get(task, 0))
        return 200, {}

    def hold(self, body):
        self.ends = [end for end in self.ends if end[0] > body["ackedSeq"]]
        if body.get("deadlineMs"):
            self.extend(body["deadlineMs"])
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < until:
            self.changed.wait(0.01)
            self.advance()
        now = time.monotonic()
        running = []
        for task, run in self.running.items():
            whole_s = max(0.001, run["ends_at"] - run["began_at"])
            percent = min(99, int(100 * (now - run["began_at"]) / whole_s))
            if run["ends_at"] == math.inf:
                # It is at work.
                percent = 100
            running.append([task, run["run"], "", percent, 0])
        return 200, {"running": running, "finished": self.ends[:500]}

    def perform(self, path, body):
        with self.changed:
            self.advance()
            if body["fencingToken"] < self.token:
                return 409, self.stamp({"reason": "fence"})
            self.token = body["fencingToken"]
            calls = {
                "/api/run-start": self.start,
                "/api/run-stop": self.stop,
                "/api/hold": self.hold,
                "/api/pace": lambda _body: (200, {}),
            }
            status, answer = calls[path](body)
            return status, self.stamp(answer)

    def stamp(self, answer):
        return answer | {"clockMs": self.clock_ms(), "born": self.born}

    def entry(self, seq):
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.told_port}",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": seq,
            "capacity": self.capacity,
            "labels": self.labels,
            "born": self.born,
        }

    def beat(self):
        """Write the worker's entry to the store, as long as the process runs."""
        seq = 0
        while True:
            seq += 1
            with self.changed:
                self.advance()
            body = {
                "key": f"servers/{self.id}",
                "value": self.entry(seq),
                "silence_s": HEARTBEAT_S * SILENT_BEATS,
            }
            try:
                connection = http.client.HTTPConnection(self.store, timeout=2)
                connection.request("POST", "/standin/put", json.dumps(body))
                connection.getresponse().read()
                connection.close()
            except OSError:
                pass
            time.sleep(HEARTBEAT_S)

    def tick(self):
        """End runs in time, also between calls."""
        while True:
            with self.changed:
                self.advance()
            time.sleep(0.01)


def main():
    options = json.loads(sys.argv[1])
    worker = Worker(**options)

    class Handler(JsonHandler):
        def answer(self, method, path, body):
            if path == "/standin/grey":
                worker.grey_until = time.monotonic() + body["for_s"]
                return 200, {}
            if path == "/standin/crash":
                worker.crash_at_start_of = body["job"]
                return 200, {}
            if self.headers.get("Expected-Instance") != worker.id:
                return 421, {}
            return worker.perform(path, body)

    worker.record("born_here")
    threading.Thread(target=worker.beat, daemon=True).start()
    threading.Thread(target=worker.tick, daemon=True).start()
    serve(Handler, worker.port)


main()

"""Stand-in store, advisor and workers behind the HTTP API of the platform."""

from __future__ import annotations

import base64
import json
import threading
import time
from typing import Any

from werkzeug.wrappers import Request, Response

from lagoonpulley.standin.http import StandinServer
from lagoonpulley.standin.store import StoreState
from lagoonpulley.standin.task_worker import TaskWorkerState
from lagoonpulley.store.messages import (
    Get,
    GrantLease,
    ReadRange,
    RenewLease,
    RevokeLease,
    StoreStatus,
    Transaction,
    WatchPrefix,
    Write,
)
from lagoonpulley.upstream.tasks import (
    CommandAccepted,
    CommandRefused,
    Refusal,
    StartTask,
    StopTask,
    SyncWorker,
    TaskRef,
    WorkerAddress,
)
from lagoonpulley.workload.spec import TaskKey

POLL_INTERVAL_S = 0.01
LEASE_S = 6.0

_CODE_BY_STATUS = {
    StoreStatus.OK: 200,
    StoreStatus.NOT_FOUND: 404,
    StoreStatus.CONFLICT: 412,
}
_REASON_BY_REFUSAL = {
    Refusal.FENCED: "fence",
    Refusal.OLD: "old",
    Refusal.LATE: "late",
    Refusal.NO_ROOM: "room",
    Refusal.PERMIT: "ticket",
}


class PlatformStandin:
    """One HTTP server that acts as the store, the advisor and every worker."""

    def __init__(self, workers: int = 2) -> None:
        self.lock = threading.Lock()
        self.store = StoreState()
        self.down = False
        now = time.monotonic()
        self.worker_by_id = {
            f"i-{number}": TaskWorkerState(f"i-{number}", LEASE_S, now)
            for number in range(workers)
        }
        self.advice_requests: list[dict[str, Any]] = []
        self._server = StandinServer(self)
        self.address = self._server.url.removeprefix("http://")
        for worker in self.worker_by_id.values():
            self.put(f"servers/{worker.id}", self._server_document(worker))

    def put(self, key: str, value: Any) -> None:
        """Write a value to the store as JSON."""
        self.put_text(key, json.dumps(value))

    def put_text(self, key: str, text: str) -> None:
        """Write a text to the store, whatever it holds."""
        with self.lock:
            write = Write(key, text)
            self.store.apply(Transaction(puts=(write,)), time.monotonic())

    def close(self) -> None:
        """Stop the server and end all long polls."""
        self.down = True
        self._server.close()

    def __call__(self, environ: dict, start_response: Any) -> Any:
        request = Request(environ)
        response = self._respond(request)
        return response(environ, start_response)

    def _server_document(self, worker: TaskWorkerState) -> dict[str, Any]:
        return {
            "service": "desk",
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clockMs": 0,
            "born": worker.born,
        }

    def _respond(self, request: Request) -> Response:
        if self.down:
            return Response(status=503)
        if request.path.startswith("/api/kv-"):
            return self._answer_store(request)
        body = json.loads(request.get_data())
        if request.path == "/api/advise":
            self.advice_requests.append(body)
            good = [[worker_id, "ticket"] for worker_id in body["workers"]]
            return _json(200, {"good": good, "validMs": 2000})
        worker_id = request.headers["Expected-Instance"]
        return self._answer_worker(request.path, worker_id, body)

    def _answer_store(self, request: Request) -> Response:
        operation = _store_operation(request)
        until = time.monotonic() + getattr(operation, "wait_s", 0.0)
        while True:
            with self.lock:
                result = self.store.apply(operation, time.monotonic())
            waits = isinstance(operation, WatchPrefix)
            waits = waits and result.ok and not result.entries
            if not waits or time.monotonic() >= until or self.down:
                break
            time.sleep(POLL_INTERVAL_S)
        if isinstance(operation, WatchPrefix) and not result.ok:
            return Response(status=410)
        return _json(_CODE_BY_STATUS[result.status], _store_body(operation, result))

    def _answer_worker(self, path: str, worker_id: str, body: dict) -> Response:
        worker = self.worker_by_id[worker_id]
        command = _worker_command(path, worker_id, body)
        until = time.monotonic() + getattr(command, "wait_s", 0.0)
        while True:
            with self.lock:
                result = worker.apply(command, time.monotonic())
                waits = isinstance(command, SyncWorker) and not worker.has_ends()
            if not waits or time.monotonic() >= until or self.down:
                break
            time.sleep(POLL_INTERVAL_S)
        return _worker_response(result)


def _json(status: int, body: Any) -> Response:
    return Response(json.dumps(body), status=status, content_type="application/json")


def _store_operation(request: Request) -> Any:
    call = request.path.removeprefix("/api/")
    args = request.args
    if call == "kv-key":
        return Get(args["key"])
    if call == "kv-range":
        return ReadRange(args["prefix"], args.get("after", ""))
    if call == "kv-watch":
        wait_s = int(args["waitMs"]) / 1000
        return WatchPrefix(args["prefix"], int(args["after"]), wait_s)
    if call.startswith("kv-keep/"):
        return RenewLease(f"lease-{call.rpartition('/')[2]}")
    if call.startswith("kv-lease-end/"):
        return RevokeLease(f"lease-{call.rpartition('/')[2]}")
    body = json.loads(request.get_data())
    if call == "kv-lease":
        return GrantLease(body["ttlMs"] / 1000)
    return Transaction(
        tuple((row["key"], row["revision"]) for row in body["expect"]),
        tuple(
            Write(
                row["key"],
                base64.b64decode(row["value"]).decode(),
                f"lease-{row['lease']}" if row.get("lease") else "",
            )
            for row in body["puts"]
        ),
        tuple(body["deletes"]),
    )


def _key_value_body(key_value: Any) -> dict[str, Any]:
    if key_value.deleted:
        return {"key": key_value.key, "revision": key_value.revision, "tombstone": True}
    return {
        "key": key_value.key,
        "value": base64.b64encode(key_value.value.encode()).decode(),
        "revision": key_value.revision,
        "created": key_value.created,
        "lease": 0,
    }


def _store_body(operation: Any, result: Any) -> dict[str, Any]:
    if isinstance(operation, GrantLease):
        lease = int(result.lease_id.removeprefix("lease-"))
        return {"lease": lease, "ttlMs": operation.ttl_s * 1000}
    if isinstance(operation, Get):
        body = _key_value_body(result.entry) if result.entry else {}
        return body | {"storeRevision": result.revision}
    if isinstance(operation, Transaction):
        items = [_key_value_body(key_value) for key_value in result.entries]
        return {"revision": result.revision, "items": items}
    field = "events" if isinstance(operation, WatchPrefix) else "items"
    return {
        field: [_key_value_body(key_value) for key_value in result.entries],
        "truncated": result.truncated,
        "storeRevision": result.revision,
    }


def _worker_command(path: str, worker_id: str, body: dict) -> Any:
    to = WorkerAddress(worker_id, "")
    token = body["fencingToken"]
    if path == "/api/hold":
        return SyncWorker(
            to,
            token,
            body["ackedSeq"],
            body.get("deadlineMs"),
            body.get("waitMs", 0) / 1000,
        )
    job_id, *parts = body["task"].split(".")
    ref = TaskRef(job_id, TaskKey(*map(int, parts)), body["run"])
    if path == "/api/run-stop":
        return StopTask(to, ref, token)
    return StartTask(to, ref, body["spec"], body["deadlineMs"], token)


def _worker_response(result: Any) -> Response:
    if isinstance(result, CommandRefused):
        reason = _REASON_BY_REFUSAL[result.reason]
        return _json(409, {"clockMs": result.clock_ms, "reason": reason})
    if isinstance(result, CommandAccepted):
        return _json(200, {"clockMs": result.clock_ms})
    running = [[_task_name(r.ref), r.ref.run, "", r.percent, 0] for r in result.running]
    ended = [
        [e.number, _task_name(e.ref), e.ref.run, e.kind.value, ""] for e in result.ended
    ]
    return _json(
        200,
        {
            "clockMs": result.clock_ms,
            "born": result.born,
            "running": running,
            "finished": ended,
        },
    )


def _task_name(ref: TaskRef) -> str:
    return ".".join(map(str, (ref.job_id, *ref.key)))

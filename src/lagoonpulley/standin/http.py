"""HTTP servers for the simulated store and workers."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

from cheroot.wsgi import Server
from pydantic import TypeAdapter, ValidationError
from werkzeug.wrappers import Request, Response

from ..store.messages import (
    Delete,
    Get,
    GrantLease,
    ListInstances,
    ListKeys,
    Put,
    RenewLease,
    RevokeLease,
    StoreResult,
    StoreStatus,
    Watch,
)
from ..upstream.http import COMMAND_ADAPTER_BY_PATH
from ..upstream.messages import Sync, WorkerRefusal
from .store import StoreState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..store.messages import Instance, StoreOperation
    from .worker import WorkerState

__all__ = ["StandinServer", "StoreApp", "WorkersApp"]

WATCH_POLL_S = 0.02
SYNC_POLL_S = 0.02
SERVER_THREADS = 96

_CODE_BY_STATUS = {
    StoreStatus.OK: 200,
    StoreStatus.NOT_FOUND: 404,
    StoreStatus.CONFLICT: 409,
}
_RESULT_ADAPTER = TypeAdapter(StoreResult)
_PUT_ADAPTER = TypeAdapter(Put)
_DELETE_ADAPTER = TypeAdapter(Delete)
_GRANT_ADAPTER = TypeAdapter(GrantLease)


class StoreApp:
    """WSGI application of the simulated store."""

    def __init__(self, state: StoreState) -> None:
        self._state = state
        self._lock = threading.Lock()
        self.available = True

    def add_instance(self, instance: Instance) -> None:
        """Add an instance to the list or replace it."""
        with self._lock:
            self._state.set_instance(instance)

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Handle one HTTP request."""
        return self._respond(Request(environ))(environ, start_response)

    def _respond(self, request: Request) -> Response:
        if not self.available:
            return Response("unavailable", status=503)
        try:
            operation = _operation_of(request)
        except (ValidationError, ValueError) as error:
            return Response(str(error), status=400)
        if operation is None:
            return Response("no such path", status=400)
        deadline = time.monotonic() + getattr(operation, "wait_s", 0.0)
        while True:
            with self._lock:
                try:
                    result = self._state.apply(operation, time.monotonic())
                except ValueError as error:
                    return Response(str(error), status=413)
            if not isinstance(operation, (Watch, ListInstances)) or result.ok:
                break
            if time.monotonic() >= deadline or not self.available:
                break
            time.sleep(WATCH_POLL_S)
        return Response(
            _RESULT_ADAPTER.dump_json(result),
            status=_CODE_BY_STATUS[result.status],
            content_type="application/json",
        )


def _operation_of(request: Request) -> StoreOperation | None:
    parts = request.environ["PATH_INFO"].split("/", 3)[1:]
    if len(parts) < 2 or parts[0] != "v1":
        return None
    kind = parts[1]
    name = unquote(parts[2]) if len(parts) > 2 else ""
    body = request.get_data()
    match kind, request.method:
        case "kv", "GET":
            return Get(name)
        case "kv", "PUT":
            return _PUT_ADAPTER.validate_json(body)
        case "kv", "DELETE":
            return _DELETE_ADAPTER.validate_json(body)
        case "list", "GET":
            return ListKeys(name)
        case "leases", "POST":
            return _GRANT_ADAPTER.validate_json(body)
        case "leases", "PUT":
            return RenewLease(name)
        case "leases", "DELETE":
            return RevokeLease(name)
        case "watch", "GET":
            after = int(request.args["after"])
            return Watch(name, after, float(request.args["wait_s"]))
        case "instances", "GET":
            return ListInstances(
                request.args.get("data_centre", ""),
                int(request.args.get("after", 0)),
                float(request.args.get("wait_s", 0)),
            )
    return None


class WorkersApp:
    """WSGI application of all simulated workers, under ``/ID/v1/COMMAND``."""

    def __init__(self, workers: Iterable[WorkerState]) -> None:
        self._lock = threading.Lock()
        self.worker_by_id = {worker.id: worker for worker in workers}
        self.stopping = False

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Handle one HTTP request."""
        return self._respond(Request(environ))(environ, start_response)

    def _respond(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")
        worker = self.worker_by_id.get(parts[0])
        adapter = COMMAND_ADAPTER_BY_PATH.get(parts[-1])
        if worker is None or adapter is None:
            return Response("no such worker or command", status=404)
        try:
            command = adapter.validate_json(request.get_data())
        except ValidationError as error:
            return Response(str(error), status=400)
        result = self._apply(worker, command)
        body = TypeAdapter(type(result)).dump_json(result)
        status = 412 if isinstance(result, WorkerRefusal) else 200
        return Response(body, status=status, content_type="application/json")

    def _apply(self, worker: WorkerState, command: Any) -> Any:
        with self._lock:
            result = worker.apply(command, time.monotonic())
        if not isinstance(command, Sync) or isinstance(result, WorkerRefusal):
            return result
        deadline = time.monotonic() + command.wait_s
        while not result.reports and time.monotonic() < deadline:
            if self.stopping:
                break
            time.sleep(SYNC_POLL_S)
            with self._lock:
                worker.advance(time.monotonic())
                if command.epoch < worker.seen_epoch and worker.fencing:
                    return WorkerRefusal(worker.seen_epoch, worker.boot_id)
                if worker.has_final_reports():
                    result = worker.collect()
        return result


class StandinServer:
    """Serves one WSGI application; port 0 selects any free port."""

    def __init__(self, app: Any, host: str = "127.0.0.1", port: int = 0) -> None:
        self._server = Server((host, port), app, numthreads=SERVER_THREADS)
        self._server.shutdown_timeout = 1
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    @property
    def url(self) -> str:
        """URL of the server."""
        host, port = self._server.bind_addr[:2]
        return f"http://{host}:{port}"

    def close(self) -> None:
        """Stop the server and wait for its thread."""
        self._server.stop()
        self._thread.join()

"""HTTP server of the gateway: bounded connections, and threads for whole requests."""

from __future__ import annotations

import asyncio
import socket
import threading
from contextlib import suppress
from dataclasses import dataclass
from operator import attrgetter, itemgetter
from typing import TYPE_CHECKING

from ..observability.events import log_event
from .http_connection import SERVICE_UNAVAILABLE, HttpConnection, Phase
from .http_limits import HttpLimits
from .request_queue import RequestQueue
from .wsgi import run_application

if TYPE_CHECKING:
    from collections.abc import Callable

    from .wsgi import HttpRequest

__all__ = ["GatewayServer", "HttpListener"]

MAX_QUEUED_CONNECTIONS = 512
# Connections that are accepted before the limit on their number is looked at again.
ACCEPTED_AT_ONCE = 16
RECEIVE_BUFFER_BYTES = 16_384
SHUTDOWN_TIMEOUT_S = 5.0
SWEEP_INTERVAL_S = 0.5
LINGER_S = 1.0
REQUEST_TIMEOUT = 408

_held_bytes_of = attrgetter("held_bytes")


@dataclass(frozen=True, slots=True)
class HttpListener:
    """Address on which a server listens, and the number of its threads."""

    host: str
    port: int
    threads: int

    @classmethod
    def from_address(cls, address: str, threads: int) -> HttpListener:
        """Create a listener from ``IP:PORT``."""
        host, _, port = address.rpartition(":")
        return cls(host, int(port), threads)


class GatewayServer:
    """Server of a WSGI application with persistent connections.

    One thread receives requests and sends responses; a request takes one of the
    application's threads only once it has arrived as a whole. So a caller that sends
    slowly, or nothing, costs a connection, of which the longest waiting one is closed
    when there are too many.

    :raises OSError: when the address cannot be bound.
    """

    def __init__(
        self, listener: HttpListener, app: Callable, limits: HttpLimits | None = None
    ) -> None:
        self._app = app
        self._socket = _bind(listener.host, listener.port)
        self._bound: tuple[str, int] = self._socket.getsockname()[:2]
        self._requests = RequestQueue()
        self._loop = asyncio.new_event_loop()
        self._connections = _Connections(
            self._loop, limits or HttpLimits(), self._requests
        )
        self._workers = [
            threading.Thread(target=self._work, name=f"gateway-{number}", daemon=True)
            for number in range(listener.threads)
        ]
        self._thread = threading.Thread(target=self._serve, name="gateway", daemon=True)

    @property
    def address(self) -> str:
        """Address as ``IP:PORT``."""
        host, port = self._bound
        return f"{host}:{port}"

    def start(self) -> None:
        """Start to serve requests in threads of its own."""
        for worker in self._workers:
            worker.start()
        self._thread.start()

    def close(self) -> None:
        """Stop listening, answer the requests that have begun to arrive, and end.

        It may be called again, and before the start.
        """
        if self._thread.is_alive():
            with suppress(RuntimeError):
                self._loop.call_soon_threadsafe(self._connections.begin_close)
            self._thread.join()
            self._requests.close()
        self._socket.close()

    def _serve(self) -> None:
        try:
            self._loop.run_until_complete(self._connections.serve(self._socket))
        finally:
            self._loop.close()

    def _work(self) -> None:
        """Answer requests until their queue is closed."""
        while (item := self._requests.take()) is not None:
            connection, request = item
            response = run_application(self._app, request, self._bound)
            try:
                self._loop.call_soon_threadsafe(connection.send, response)
            except RuntimeError:
                # The loop has ended, as the answer came after the time to shut down.
                return


class _Connections:
    """All connections of a server, by what they are busy with.

    The connections of a phase are in the order in which they began it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: HttpLimits,
        requests: RequestQueue,
    ) -> None:
        self.limits = limits
        self._requests = requests
        self.receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self.is_closing = False
        self._loop = loop
        self._stopped = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._since_by_phase: dict[Phase, dict[HttpConnection, float]] = {
            phase: {} for phase in Phase
        }
        self._held_bytes = 0
        self._count = 0
        self._sweeps = False
        self._max_s_by_phase = {
            Phase.IDLE: limits.idle_s,
            Phase.RECEIVING: limits.request_s,
            Phase.SENDING: limits.send_s,
            Phase.LINGERING: LINGER_S,
        }

    async def serve(self, listening: socket.socket) -> None:
        """Serve until the server is closed."""
        self._server = await self._loop.create_server(
            lambda: HttpConnection(self), sock=listening, backlog=ACCEPTED_AT_ONCE
        )
        # Separately: asyncio also accepts as many connections as that in one go.
        listening.listen(MAX_QUEUED_CONNECTIONS)
        if self.is_closing:
            self._server.close()
        await self._stopped.wait()
        for connection in self._all():
            connection.abort()
        # Let the transports close their sockets.
        await asyncio.sleep(0)

    def begin_close(self) -> None:
        """Accept nothing more, and end once all requests are answered."""
        self.is_closing = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._since_by_phase[Phase.IDLE]):
            connection.close_if_idle()
        self._loop.call_later(SHUTDOWN_TIMEOUT_S, self._stopped.set)
        self._end_if_done()

    def add(self, connection: HttpConnection) -> None:
        """See :class:`~.http_connection.ConnectionOwner`."""
        self._since_by_phase[connection.phase][connection] = self._loop.time()
        self._count += 1
        if not self._sweeps:
            self._sweeps = True
            self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        if self._count > self.limits.connections:
            self._make_room()

    def remove(self, connection: HttpConnection) -> None:
        """See :class:`~.http_connection.ConnectionOwner`."""
        self._since_by_phase[connection.phase].pop(connection, None)
        self._forget_held_bytes(connection)
        self._requests.drop(connection)
        self._count -= 1
        self._end_if_done()

    def set_phase(self, connection: HttpConnection, phase: Phase) -> None:
        """See :class:`~.http_connection.ConnectionOwner`."""
        self._since_by_phase[connection.phase].pop(connection, None)
        connection.phase = phase
        self._since_by_phase[phase][connection] = self._loop.time()

    def set_held_bytes(self, connection: HttpConnection, count: int) -> None:
        """See :class:`~.http_connection.ConnectionOwner`."""
        self._held_bytes += count - connection.held_bytes
        connection.held_bytes = count
        while self._held_bytes > self.limits.held_bytes:
            receiving = self._since_by_phase[Phase.RECEIVING]
            largest = max(receiving, key=_held_bytes_of, default=None)
            if largest is None or not largest.held_bytes:
                return
            largest.refuse(SERVICE_UNAVAILABLE, "too many bytes are held")
            self._forget_held_bytes(largest)

    def answer(self, connection: HttpConnection, request: HttpRequest) -> None:
        """See :class:`~.http_connection.ConnectionOwner`."""
        self._requests.put(connection, request)

    def call_soon(self, callback: Callable[[], None]) -> None:
        """See :class:`~.http_connection.ConnectionOwner`."""
        self._loop.call_soon(callback)

    def record_refusal(self, status: int, reason: str) -> None:
        """See :class:`~.http_connection.ConnectionOwner`."""
        log_event("caller_refused", status=status, reason=reason)

    def _forget_held_bytes(self, connection: HttpConnection) -> None:
        self._held_bytes -= connection.held_bytes
        connection.held_bytes = 0

    def _make_room(self) -> None:
        """Close the connection that waits longest for its caller, if there is one.

        An ordinary caller's request arrives soon after its connection, and its next
        one may come on another connection. One that sends requests ahead never waits
        for its caller, so the first of these goes before all others.
        """
        for connection in self._since_by_phase[Phase.ANSWERING]:
            if connection.sends_ahead:
                self._refuse_connection(connection)
                return
        firsts = map(self._first_in, self._max_s_by_phase)
        waiting = [first for first in firsts if first is not None]
        if waiting:
            longest, _ = min(waiting, key=itemgetter(1))
            self._refuse_connection(longest)

    def _first_in(self, phase: Phase) -> tuple[HttpConnection, float] | None:
        """Return the connection that began a phase first, and when, if there is one."""
        return next(iter(self._since_by_phase[phase].items()), None)

    def _refuse_connection(self, connection: HttpConnection) -> None:
        # It counts until its socket is closed, but must not be chosen again.
        del self._since_by_phase[connection.phase][connection]
        phase = connection.phase.value
        log_event("connection_refused", phase=phase, connections=self._count)
        connection.abort()

    def _sweep(self) -> None:
        """Close the connections that have been in a phase for too long."""
        now = self._loop.time()
        for phase, max_s in self._max_s_by_phase.items():
            for connection, since in list(self._since_by_phase[phase].items()):
                if now - since < max_s:
                    break
                if phase is Phase.RECEIVING:
                    connection.refuse(REQUEST_TIMEOUT, "not received in time")
                else:
                    connection.abort()
        self._sweeps = bool(self._count)
        if self._sweeps:
            self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _all(self) -> list[HttpConnection]:
        return [each for since in self._since_by_phase.values() for each in since]

    def _end_if_done(self) -> None:
        if self.is_closing and not self._count:
            self._stopped.set()


def _bind(host: str, port: int) -> socket.socket:
    """Return a socket that is bound to an address.

    :raises OSError: when it cannot be bound.
    """
    bound = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, port))
        bound.listen(MAX_QUEUED_CONNECTIONS)
    except OSError:
        bound.close()
        raise
    return bound

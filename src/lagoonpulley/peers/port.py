"""gRPC adapter between entries; its event loop runs on a thread of its own."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import threading
from typing import TYPE_CHECKING, Any

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from ..model.verdict import Ran
from ..observability.events import log_event
from ..runtime.role import PEERS, CallFailed, Reply, Request
from .calls import PeerCall
from .codec import JsonCodec
from .on_demand import PreparePeers
from .service import METHOD_BY_REQUEST, PeerMethod

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Mapping

    from grpclib.server import Stream

__all__ = ["PeersPort"]

_log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
INCOMING_TIMEOUT_S = 30.0
CHANNEL_DRAIN_S = 20.0

GRPC_SERVER_LOGGER = "grpclib.server"
GRPC_DEADLINE_REASON = "Deadline exceeded"

_NOT_RUN_STATUSES = frozenset((Status.UNIMPLEMENTED, Status.UNAUTHENTICATED))


class PeersPort:
    """Sends calls to other entries and serves theirs.

    :param listener: listening socket; the port closes it.
    :param deliver: puts a message into the mailbox of a role.
    """

    def __init__(self, listener: socket.socket, deliver: Callable[[str, Any], None]):
        self._deliver = deliver
        self._codec = JsonCodec()
        self._channel_by_address: dict[str, Channel] = {}
        self._future_by_request_id: dict[str, asyncio.Future[Any]] = {}
        self._incoming_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing = False
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="peers-port", daemon=True
        )
        self._thread.start()
        self._server: Server | None = None
        logging.getLogger(GRPC_SERVER_LOGGER).addFilter(_late_call_filter)
        self.address = self._run(self._listen(listener))

    def submit(self, message: Any) -> None:
        """Start a call to another entry, or send the reply to an incoming one."""
        if isinstance(message, PreparePeers):
            return
        self._loop.call_soon_threadsafe(self._handle_message, message)

    def close(self) -> None:
        """Stop the server, the channels and the thread."""
        self._run(self._shut_down())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _listen(self, listener: socket.socket) -> str:
        """Start the server and return its address as ``IP:PORT``."""
        self._server = Server([_Service(self)], codec=self._codec)
        await self._server.start(sock=listener)
        return "{}:{}".format(*listener.getsockname()[:2])

    def _run(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def _handle_message(self, message: Any) -> None:
        if isinstance(message, Reply):
            future = self._future_by_request_id.pop(message.request_id, None)
            if future is not None and not future.done():
                future.set_result(message.result)
            return
        task = self._loop.create_task(self._perform_request(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _perform_request(self, request: Request) -> None:
        try:
            result = await self._call_peer(request.operation, request.timeout_s)
        except Exception as error:
            # The requesting role waits for exactly one reply, so no exception may
            # leave it without one.
            _log.exception("peer call failed")
            result = CallFailed(Ran.MAYBE, f"{type(error).__name__}: {error}")
        self._deliver(request.reply_to, Reply(request.request_id, result))

    async def _call_peer(self, call: PeerCall, timeout_s: float) -> Any:
        try:
            channel = self._channel(call.address)
            await asyncio.wait_for(
                channel.__connect__(), min(CONNECT_TIMEOUT_S, timeout_s)
            )
        except Exception as error:
            # Not only OSError: the address comes from a record or another entry, and
            # may be none. Nothing was sent, so the call may go to another entry.
            self._drop_channel(call.address)
            return CallFailed(Ran.NO, f"cannot connect to {call.address!a}: {error}")
        method = METHOD_BY_REQUEST[type(call.message)]
        unary = UnaryUnaryMethod(
            channel, method.path, method.request_type, method.answer_type
        )
        try:
            return await unary(call.message, timeout=timeout_s)
        except GRPCError as error:
            ran = Ran.NO if error.status in _NOT_RUN_STATUSES else Ran.MAYBE
            return CallFailed(ran, f"{call.address} answered {error.status.name}")
        except (TimeoutError, StreamTerminatedError, OSError) as error:
            self._drop_channel(call.address, CHANNEL_DRAIN_S)
            reason = f"no answer from {call.address}: {type(error).__name__}"
            return CallFailed(Ran.MAYBE, reason)

    def _channel(self, address: str) -> Channel:
        channel = self._channel_by_address.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), codec=self._codec)
            self._channel_by_address[address] = channel
        return channel

    def _drop_channel(self, address: str, drain_s: float = 0.0) -> None:
        """Make later calls open a new connection, and close the current one.

        :param drain_s: time that other calls have to finish on it, in seconds.
        """
        channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            self._loop.call_later(drain_s, channel.close)

    async def handle_incoming(
        self, method: PeerMethod, stream: Stream[Any, Any]
    ) -> None:
        """Pass an incoming call to its role and send the role's answer back."""
        began_at = self._loop.time()
        try:
            await self._answer_incoming(method, stream)
        except asyncio.CancelledError:
            # By grpclib, at the caller's deadline or when the caller hangs up.
            if not self._closing:
                _log_late_call(method, self._loop.time() - began_at)
            raise

    async def _answer_incoming(
        self, method: PeerMethod, stream: Stream[Any, Any]
    ) -> None:
        message = await stream.recv_message()
        self._incoming_count += 1
        request_id = f"peer:{self._incoming_count}"
        future: asyncio.Future[Any] = self._loop.create_future()
        self._future_by_request_id[request_id] = future
        request = Request(request_id, PEERS, message, _remaining_s(stream))
        self._deliver(method.role, request)
        try:
            # If the answer and the cancellation come at once, wait_for would drop the
            # cancellation, which grpclib reports as a fault.
            await asyncio.wait((future,), timeout=INCOMING_TIMEOUT_S)
        finally:
            self._future_by_request_id.pop(request_id, None)
        if not future.done():
            _log_late_call(method, INCOMING_TIMEOUT_S)
            raise GRPCError(Status.DEADLINE_EXCEEDED)
        await stream.send_message(future.result())

    async def _shut_down(self) -> None:
        self._closing = True
        self._server.close()
        for channel in self._channel_by_address.values():
            channel.close()
        for future in self._future_by_request_id.values():
            future.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._server.wait_closed(), CONNECT_TIMEOUT_S)


def _remaining_s(stream: Stream[Any, Any]) -> float:
    """Return for how many more seconds the calling entry waits for the answer."""
    if stream.deadline is None:
        return INCOMING_TIMEOUT_S
    return min(INCOMING_TIMEOUT_S, stream.deadline.time_remaining())


def _log_late_call(method: PeerMethod, waited_s: float) -> None:
    call = method.request_type.__name__
    log_event("peer_call_late", call=call, waited_s=round(waited_s, 3))


class _LateCallFilter(logging.Filter):
    """Replaces grpclib's tracebacks of a passed deadline by an event.

    grpclib writes one for a call whose deadline has passed when it arrives, before
    any handler is called.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether grpclib is to write a log record."""
        error = record.exc_info[1] if record.exc_info else None
        if not isinstance(error, TimeoutError) or error.args != (GRPC_DEADLINE_REASON,):
            return True
        log_event("peer_call_late", call="unknown", waited_s=0.0)
        return False


_late_call_filter = _LateCallFilter()


class _Service:
    """The gRPC service, which passes each call to the port."""

    def __init__(self, port: PeersPort) -> None:
        self._port = port

    def __mapping__(self) -> Mapping[str, Handler]:
        return {
            method.path: self._handler(method) for method in METHOD_BY_REQUEST.values()
        }

    def _handler(self, method: PeerMethod) -> Handler:
        async def handle(stream: Stream[Any, Any]) -> None:
            await self._port.handle_incoming(method, stream)

        return Handler(
            handle, Cardinality.UNARY_UNARY, method.request_type, method.answer_type
        )

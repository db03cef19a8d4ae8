"""Ports that call the platform's store, workers and advisor over HTTP."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Protocol

from ..model.verdict import Ran
from ..observability.events import log_event
from ..observability.prometheus import observe_store_call
from ..runtime.curl import CurlLoop
from ..runtime.role import CallFailed, Reply, Request
from ..store.route import STORE_RELAY, RelayCall, StoreRoute

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.curl import HttpAnswer, HttpCall, HttpFailure
    from ..runtime.load import PortMeter
    from ..store.health import StoreHealthTracker

__all__ = ["Codec", "HttpPort", "StoreHttpPort"]

MAX_REASON_LENGTH = 200


class Codec(Protocol):
    """Translates operations to HTTP calls and their outcomes to results."""

    def encode(self, operation: Any, timeout_s: float) -> HttpCall:
        """Return the HTTP call for an operation.

        An exception means that the operation cannot be sent.
        """
        ...

    def decode(self, operation: Any, outcome: HttpAnswer | HttpFailure) -> Any:
        """Return the result of an operation, decoded from its HTTP outcome.

        An exception counts as an answer that is not understood.
        """
        ...


class HttpPort:
    """Performs operations over HTTP and replies to the requesting role.

    :param name: name of the port's thread.
    :param deliver: puts a message into the mailbox of a role.
    :param meter: counts the calls and their bytes.
    """

    def __init__(
        self,
        name: str,
        codec: Codec,
        deliver: Callable[[str, Any], None],
        meter: PortMeter,
    ) -> None:
        self._codec = codec
        self._meter = meter
        self._deliver = deliver
        self._loop = CurlLoop(name)

    def submit(self, message: Request) -> None:
        """Start one operation; the reply follows when it completes."""
        operation = message.operation
        try:
            call = self._codec.encode(operation, message.timeout_s)
        except Exception as error:
            # Numbers and texts of an operation may come from others. The requesting
            # role waits for exactly one reply.
            self._refuse(message, error)
            return
        call = replace(call, total_timeout_s=message.total_timeout_s)
        started_at = time.monotonic()

        def complete(outcome: HttpAnswer | HttpFailure) -> None:
            traffic = outcome.traffic
            self._meter.record(
                type(operation).__name__, traffic.sent_bytes, traffic.received_bytes
            )
            result = self._decode(operation, outcome)
            self.finish(message, result, time.monotonic() - started_at)

        self._loop.submit(call, complete)

    def _refuse(self, request: Request, error: Exception) -> None:
        """Answer a request that cannot be sent; the other side is not concerned."""
        reason = _describe(error)
        kind = type(request.operation).__name__
        log_event("request_refused", operation=kind, reason=reason)
        failed = CallFailed(Ran.NO, f"request cannot be sent: {reason}")
        self._deliver(request.reply_to, Reply(request.request_id, failed))

    def _decode(self, operation: Any, outcome: HttpAnswer | HttpFailure) -> Any:
        try:
            return self._codec.decode(operation, outcome)
        except Exception as error:
            # The other side may have sent anything, and the thread must go on.
            reason = _describe(error)
            kind = type(operation).__name__
            log_event("answer_not_understood", operation=kind, reason=reason)
            return CallFailed(Ran.MAYBE, f"answer not understood: {reason}")

    def finish(self, request: Request, result: Any, took_s: float) -> None:
        """Deliver the result of a request.

        :param took_s: duration of the call in seconds.
        """
        self._deliver(request.reply_to, Reply(request.request_id, result))

    def close(self) -> None:
        """Stop the port's thread."""
        self._loop.close()


def _describe(error: Exception) -> str:
    """Return the kind and the text of an error, without parts that are not UTF-8."""
    text = str(error)[:MAX_REASON_LENGTH].encode(errors="replace").decode()
    return f"{type(error).__name__}: {text}"


class StoreHttpPort(HttpPort):
    """Calls the store directly, or through another entry when direct calls fail."""

    def __init__(
        self,
        codec: Codec,
        deliver: Callable[[str, Any], None],
        meter: PortMeter,
        store_health: StoreHealthTracker,
    ) -> None:
        super().__init__("store-port", codec, deliver, meter)
        self._route = StoreRoute(store_health)

    def submit(self, message: Request) -> None:
        """Start one operation directly, or pass it to the store relay."""
        if self._route.should_call_directly(message):
            super().submit(message)
        else:
            self._deliver(STORE_RELAY, RelayCall(message))

    def finish(self, request: Request, result: Any, took_s: float) -> None:
        """Deliver a result, or pass a failed call to the store relay."""
        answered = not isinstance(result, CallFailed)
        observe_store_call(type(request.operation).__name__, answered, took_s)
        self._deliver(*self._route.route_result(request, result))

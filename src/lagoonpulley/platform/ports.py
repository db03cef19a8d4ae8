"""Ports to the platform's store, workers and advisor."""

from __future__ import annotations

import time
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
    from ..store.health import StoreHealthTracker

__all__ = ["Codec", "HttpPort", "StoreHttpPort"]


class Codec(Protocol):
    """Form of some operations as HTTP calls."""

    def encode(self, operation: Any, timeout_s: float) -> HttpCall:
        """Return the HTTP call of an operation."""
        ...

    def decode(self, operation: Any, outcome: HttpAnswer | HttpFailure) -> Any:
        """Return the result that an outcome stands for."""
        ...


class HttpPort:
    """Performs operations over HTTP and replies to the role that asked."""

    def __init__(
        self, name: str, codec: Codec, deliver: Callable[[str, Any], None]
    ) -> None:
        self._codec = codec
        self._deliver = deliver
        self._loop = CurlLoop(name)

    def submit(self, message: Request) -> None:
        """Start one operation."""
        operation = message.operation
        call = self._codec.encode(operation, message.timeout_s)

        began = time.monotonic()

        def complete(outcome: HttpAnswer | HttpFailure) -> None:
            result = self._decode(operation, outcome)
            self.finish(message, result, time.monotonic() - began)

        self._loop.submit(call, complete)

    def _decode(self, operation: Any, outcome: HttpAnswer | HttpFailure) -> Any:
        try:
            return self._codec.decode(operation, outcome)
        except (ValueError, TypeError) as error:
            kind = type(operation).__name__
            log_event("answer_not_understood", operation=kind, reason=str(error))
            return CallFailed(Ran.MAYBE, f"answer not understood: {error}")

    def finish(self, request: Request, result: Any, took_s: float) -> None:
        """Answer a request; ``took_s`` is in seconds."""
        self._deliver(request.reply_to, Reply(request.request_id, result))

    def close(self) -> None:
        """Stop the port's thread."""
        self._loop.close()


class StoreHttpPort(HttpPort):
    """Sends calls the way that its route names."""

    def __init__(
        self,
        codec: Codec,
        deliver: Callable[[str, Any], None],
        store_health: StoreHealthTracker,
    ) -> None:
        super().__init__("store-port", codec, deliver)
        self._route = StoreRoute(store_health)

    def submit(self, message: Request) -> None:
        """Start one operation, here or by another entry."""
        if self._route.should_call_directly(message):
            super().submit(message)
        else:
            self._deliver(STORE_RELAY, RelayCall(message))

    def finish(self, request: Request, result: Any, took_s: float) -> None:
        """Answer a call, or have it go another way."""
        answered = not isinstance(result, CallFailed)
        observe_store_call(type(request.operation).__name__, answered, took_s)
        self._deliver(*self._route.route_result(request, result))

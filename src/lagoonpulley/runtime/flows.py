"""Flows: multi-step operations of a role, written as generators."""

from __future__ import annotations

import heapq
from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

from .role import TICK_INTERVAL_S, WAKE, Now, Reply, Request, Send, Tick, WakeAfter

__all__ = ["Call", "Flow", "FlowRole", "Sleep"]


@dataclass(frozen=True, slots=True)
class Call:
    """A call to another role or port whose result a flow waits for.

    The timeouts are in seconds, see :class:`~.role.Request`. Only ports enforce them;
    roles do not.
    """

    to: str
    operation: Any
    timeout_s: float
    total_timeout_s: float | None = None
    relayed_timeout_s: float | None = None


@dataclass(frozen=True, slots=True)
class Sleep:
    """A pause of at least ``duration_s`` seconds in a flow."""

    duration_s: float


Flow = Generator[Call | list[Call] | Sleep, Any, None]


@dataclass(slots=True)
class _PendingCalls:
    """The calls that a flow waits for.

    ``operations`` holds the names of their types. ``remaining`` is the number of
    replies still outstanding. A flow that yielded a single call is resumed with its
    result instead of a list.
    """

    flow: Flow
    results: list[Any]
    operations: list[str]
    remaining: int
    is_single: bool


class FlowRole:
    """Base class of roles that run flows; subclasses implement :meth:`receive`.

    A flow yields one :class:`Call` and is resumed with its result, or yields a list
    of calls and is resumed with the list of results in the same order, or yields a
    :class:`Sleep` and is resumed by the first tick after it.

    :param identity: prefix of the identifiers of this role's requests.
    """

    name = "role"
    tick_interval_s: float | None = TICK_INTERVAL_S

    def __init__(self, identity: str) -> None:
        self._identity = identity
        self._counter = 0
        self._pending_by_request_id: dict[str, tuple[_PendingCalls, int]] = {}
        self._sleeping: list[tuple[float, int, Flow]] = []
        self._outbox: list[Send] = []
        self.now = Now(0.0, 0.0)

    def handle(self, message: Any, now: Now) -> list[Send]:
        """Process one message; see :class:`~.role.Role`."""
        self.now = now
        if isinstance(message, Reply):
            self._resume(message)
        else:
            if isinstance(message, Tick):
                self._resume_sleeping()
            self.receive(message)
        outbox, self._outbox = self._outbox, []
        return outbox

    def kind_of(self, message: Any) -> str:
        """Return the type's name of a message, or ``reply:`` or ``request:`` and that
        of its operation; see :class:`~.role.Role`.
        """
        if isinstance(message, Request):
            return f"request:{type(message.operation).__name__}"
        if not isinstance(message, Reply):
            return type(message).__name__
        found = self._pending_by_request_id.get(message.request_id)
        if found is None:
            return "reply:unexpected"
        pending, index = found
        return f"reply:{pending.operations[index]}"

    def receive(self, message: Any) -> None:
        """Process a message that is not a :class:`Reply`."""
        raise NotImplementedError

    def emit(self, to: str, message: Any) -> None:
        """Queue a message, to be sent once the current message is processed."""
        self._outbox.append(Send(to, message))

    def answer(self, request: Request, result: Any) -> None:
        """Queue the reply to a request."""
        self.emit(request.reply_to, Reply(request.request_id, result))

    def start(self, flow: Flow) -> None:
        """Start a flow and run it up to its first call or sleep."""
        self._advance(flow, None)

    def _advance(self, flow: Flow, result: Any) -> None:
        try:
            yielded = flow.send(result)
            while isinstance(yielded, list) and not yielded:
                yielded = flow.send([])
        except StopIteration:
            return
        if isinstance(yielded, Sleep):
            self._counter += 1
            sleeper = (self.now.mono + yielded.duration_s, self._counter, flow)
            heapq.heappush(self._sleeping, sleeper)
            self.emit(WAKE, WakeAfter(self.name, yielded.duration_s))
            return
        is_single = isinstance(yielded, Call)
        calls = [yielded] if is_single else yielded
        pending = _PendingCalls(
            flow,
            results=[None] * len(calls),
            operations=[type(call.operation).__name__ for call in calls],
            remaining=len(calls),
            is_single=is_single,
        )
        for index, call in enumerate(calls):
            request_id = self._next_request_id()
            self._pending_by_request_id[request_id] = (pending, index)
            request = Request(
                request_id,
                self.name,
                call.operation,
                call.timeout_s,
                call.total_timeout_s,
                call.relayed_timeout_s,
            )
            self.emit(call.to, request)

    def _resume_sleeping(self) -> None:
        while self._sleeping and self._sleeping[0][0] <= self.now.mono:
            _, _, flow = heapq.heappop(self._sleeping)
            self._advance(flow, None)

    def _resume(self, reply: Reply) -> None:
        found = self._pending_by_request_id.pop(reply.request_id, None)
        if found is None:
            return
        pending, index = found
        pending.results[index] = reply.result
        pending.remaining -= 1
        if pending.remaining:
            return
        result = pending.results[0] if pending.is_single else pending.results
        self._advance(pending.flow, result)

    def _next_request_id(self) -> str:
        self._counter += 1
        return f"{self._identity}:{self.name}:{self._counter}"

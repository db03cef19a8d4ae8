"""Multi-step exchanges of a role, written as generators."""

from __future__ import annotations

import heapq
from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

from .role import WAKE, Now, Reply, Request, Send, Tick, WakeAfter

__all__ = ["Call", "Flow", "FlowRole", "Sleep"]


@dataclass(frozen=True, slots=True)
class Call:
    """One call that a flow waits for; ``timeout_s`` is in seconds."""

    to: str
    operation: Any
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Sleep:
    """A pause of at least ``duration_s`` seconds in a flow."""

    duration_s: float


Flow = Generator[Call | list[Call] | Sleep, Any, None]


@dataclass(slots=True)
class _Waiting:
    """A flow that waits for one reply or for a list of replies."""

    flow: Flow
    results: list[Any]
    missing: int
    single: bool


class FlowRole:
    """Base of roles that run flows; subclasses implement ``receive``.

    A flow yields one :class:`Call` and is resumed with its result, or yields a
    list of calls and is resumed with the list of results in the same order, or
    yields a :class:`Sleep` and is resumed by the tick that ends it.
    """

    name = "role"

    def __init__(self, identity: str) -> None:
        self._identity = identity
        self._counter = 0
        self._waiting_by_request_id: dict[str, tuple[_Waiting, int]] = {}
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
                self._wake()
            self.receive(message)
        outbox, self._outbox = self._outbox, []
        return outbox

    def receive(self, message: Any) -> None:
        """Process a message that is not a reply to a call of a flow.

        :param message: the message received.
        """
        raise NotImplementedError

    def emit(self, to: str, message: Any) -> None:
        """Queue a message to be sent when the current one has been processed."""
        self._outbox.append(Send(to, message))

    def answer(self, request: Request, result: Any) -> None:
        """Answer a request."""
        self.emit(request.reply_to, Reply(request.request_id, result))

    def start(self, flow: Flow) -> None:
        """Run a flow up to its first call."""
        self._step(flow, None)

    def _step(self, flow: Flow, result: Any) -> None:
        try:
            wanted = flow.send(result)
            while isinstance(wanted, list) and not wanted:
                wanted = flow.send([])
        except StopIteration:
            return
        if isinstance(wanted, Sleep):
            self._counter += 1
            entry = (self.now.mono + wanted.duration_s, self._counter, flow)
            heapq.heappush(self._sleeping, entry)
            self.emit(WAKE, WakeAfter(self.name, wanted.duration_s))
            return
        single = isinstance(wanted, Call)
        calls = [wanted] if single else wanted
        waiting = _Waiting(flow, [None] * len(calls), len(calls), single)
        for index, call in enumerate(calls):
            request_id = self._next_request_id()
            self._waiting_by_request_id[request_id] = (waiting, index)
            request = Request(request_id, self.name, call.operation, call.timeout_s)
            self.emit(call.to, request)

    def _wake(self) -> None:
        while self._sleeping and self._sleeping[0][0] <= self.now.mono:
            _, _, flow = heapq.heappop(self._sleeping)
            self._step(flow, None)

    def _resume(self, reply: Reply) -> None:
        found = self._waiting_by_request_id.pop(reply.request_id, None)
        if found is None:
            return
        waiting, index = found
        waiting.results[index] = reply.result
        waiting.missing -= 1
        if waiting.missing:
            return
        result = waiting.results[0] if waiting.single else waiting.results
        self._step(waiting.flow, result)

    def _next_request_id(self) -> str:
        self._counter += 1
        return f"{self._identity}:{self.name}:{self._counter}"

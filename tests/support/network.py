"""Fakes of the network, the store and workers, under one injected clock."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lagoonpulley.model.verdict import Ran
from lagoonpulley.runtime.role import CallFailed, Now, Reply, Request
from lagoonpulley.standin.store import StoreState
from lagoonpulley.standin.worker import WorkerState
from lagoonpulley.store.messages import ListInstances, Watch
from lagoonpulley.upstream.messages import Sync, WorkerRefusal

WALL_AT_START = 1_000_000.0
HOLD_POLL_S = 0.25


class Clock:
    """Time and the events that wait for it."""

    def __init__(self) -> None:
        self.mono = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    @property
    def now(self) -> Now:
        return Now(self.mono, WALL_AT_START + self.mono)

    def at(self, time: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (max(time, self.mono), self._count, action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        self.at(self.mono + delay_s, action)

    def advance(self, duration_s: float, after_each: Callable[[], None]) -> None:
        until = self.mono + duration_s
        while self._events and self._events[0][0] <= until:
            self.mono, _, action = heapq.heappop(self._events)
            action()
            after_each()
        self.mono = until


@dataclass
class Weather:
    """How badly the network and the store behave at present."""

    store_up: bool = True
    store_delay_s: float = 0.01
    lose_store_answers: float = 0.0
    lose_worker_answers: float = 0.0
    duplicate_commands: float = 0.0
    slow_commands: float = 0.0


class Network:
    """Carries calls, and loses, delays, duplicates and reorders them."""

    def __init__(self, clock: Clock, seed: int) -> None:
        self.clock = clock
        self.random = random.Random(seed)
        self.weather = Weather()
        self.store = StoreState()
        self.worker_by_address: dict[str, WorkerState] = {}
        self.dead_addresses: set[str] = set()
        self.cut_pairs: set[frozenset[str]] = set()
        self.place_by_address: dict[str, str] = {}
        self.store_requests = 0

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cut_pairs

    def chance(self, probability: float) -> bool:
        return probability > 0 and self.random.random() < probability

    def small_delay_s(self) -> float:
        return 0.001 + self.random.random() * 0.01

    def call_store(self, place: str, request: Request, reply: Callable) -> None:
        """Perform a store operation, if the weather lets it through."""
        self.store_requests += 1
        answer = _Once(self.clock, request, reply)
        if self.is_cut(place, "store"):
            self.clock.after(request.timeout_s, lambda: answer.fail(Ran.MAYBE))
            return
        if not self.weather.store_up:
            self.clock.after(self.small_delay_s(), lambda: answer.fail(Ran.NO))
            return
        self.clock.after(request.timeout_s, lambda: answer.fail(Ran.MAYBE))
        delay_s = self.weather.store_delay_s * (0.5 + self.random.random())
        lost = self.chance(self.weather.lose_store_answers)
        until = self.clock.mono + getattr(request.operation, "wait_s", 0.0)

        def perform() -> None:
            if not self.weather.store_up:
                return
            result = self.store.apply(request.operation, self.clock.mono)
            waits = isinstance(request.operation, Watch | ListInstances)
            if waits and not result.ok and self.clock.mono < until:
                self.clock.after(HOLD_POLL_S, perform)
                return
            if not lost:
                self.clock.after(delay_s, lambda: answer.succeed(result))

        self.clock.after(delay_s, perform)
        if self.chance(self.weather.duplicate_commands):
            self.clock.after(delay_s * 3, perform)

    def call_worker(self, place: str, request: Request, reply: Callable) -> None:
        """Send a command to a worker, perhaps twice, perhaps late."""
        answer = _Once(self.clock, request, reply)
        address = request.operation.address
        worker = self.worker_by_address[address]
        if address in self.dead_addresses:
            self.clock.after(self.small_delay_s(), lambda: answer.fail(Ran.NO))
            return
        self.clock.after(request.timeout_s, lambda: answer.fail(Ran.MAYBE))
        if self.is_cut(place, self.place_by_address[address]):
            return
        if self.is_cut(place, address):
            return
        delay_s = self.small_delay_s()
        if self.chance(self.weather.slow_commands):
            delay_s += self.random.random() * 1.5
        copies = 2 if self.chance(self.weather.duplicate_commands) else 1
        for copy in range(copies):
            lost = self.chance(self.weather.lose_worker_answers)
            arrival = delay_s + copy * self.random.random()
            self._arrive(worker, (place, address), request, arrival, lost, answer)

    def _arrive(
        self,
        worker: WorkerState,
        ends: tuple[str, str],
        request: Request,
        delay_s: float,
        lost: bool,
        answer: _Once,
    ) -> None:
        place, address = ends
        command = request.operation.command
        until = self.clock.mono + delay_s + getattr(command, "wait_s", 0.0)

        def respond(result: Any) -> None:
            if lost or self.is_cut(place, address):
                return
            if self.is_cut(place, self.place_by_address[address]):
                return
            self.clock.after(self.small_delay_s(), lambda: answer.succeed(result))

        def hold() -> None:
            if address in self.dead_addresses:
                return
            worker.advance(self.clock.mono)
            if command.epoch < worker.seen_epoch and worker.fencing:
                respond(WorkerRefusal(worker.seen_epoch, worker.boot_id))
            elif worker.has_final_reports() or self.clock.mono >= until:
                respond(worker.collect())
            else:
                self.clock.after(HOLD_POLL_S, hold)

        def arrive() -> None:
            if address in self.dead_addresses:
                return
            result = worker.apply(command, self.clock.mono)
            refused = isinstance(result, WorkerRefusal)
            if isinstance(command, Sync) and not refused and not result.reports:
                hold()
            else:
                respond(result)

        self.clock.after(delay_s, arrive)


class _Once:
    """Delivers the first outcome of a call and drops any later one."""

    def __init__(self, clock: Clock, request: Request, reply: Callable) -> None:
        self._request = request
        self._reply = reply
        self._done = False

    def succeed(self, result: Any) -> None:
        if not self._done:
            self._done = True
            self._reply(Reply(self._request.request_id, result))

    def fail(self, ran: Ran) -> None:
        self.succeed(CallFailed(ran, "the network lost the call"))

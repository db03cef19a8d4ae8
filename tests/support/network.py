"""Simulated clock, and a network to a simulated store and simulated workers."""

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

WALL_CLOCK_START_S = 1_000_000.0
LONG_POLL_INTERVAL_S = 0.25


class Clock:
    """Simulated time and the scheduled events, which run in order of time."""

    def __init__(self) -> None:
        self.mono = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    @property
    def now(self) -> Now:
        """The current time as roles get it."""
        return Now(self.mono, WALL_CLOCK_START_S + self.mono)

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time, or now if that has passed."""
        self._count += 1
        heapq.heappush(self._events, (max(time, self.mono), self._count, action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self.mono + delay_s, action)

    def advance(self, duration_s: float, after_each: Callable[[], None]) -> None:
        """Run the events of the next seconds.

        :param after_each: called after each event.
        """
        until = self.mono + duration_s
        while self._events and self._events[0][0] <= until:
            self.mono, _, action = heapq.heappop(self._events)
            action()
            after_each()
        self.mono = until


@dataclass
class NetworkConditions:
    """Present state of the store and the network.

    Rates are probabilities per call, or per delivered copy of a command for
    ``worker_answer_loss_rate``. A slow command arrives up to 1.5 s late.
    """

    store_up: bool = True
    store_delay_s: float = 0.01
    store_answer_loss_rate: float = 0.0
    worker_answer_loss_rate: float = 0.0
    duplication_rate: float = 0.0
    slow_command_rate: float = 0.0


class Network:
    """Delivers calls, and loses, delays, duplicates and reorders them."""

    def __init__(self, clock: Clock, seed: int) -> None:
        self.clock = clock
        self.random = random.Random(seed)
        self.conditions = NetworkConditions()
        self.store = StoreState()
        self.worker_by_address: dict[str, WorkerState] = {}
        self.dead_addresses: set[str] = set()
        self.cut_pairs: set[frozenset[str]] = set()
        self.data_centre_by_address: dict[str, str] = {}
        self.store_requests = 0

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether the link between two endpoints is cut.

        An endpoint is a data centre, the address of a worker or ``store``.
        """
        return frozenset((one, other)) in self.cut_pairs

    def draw(self, probability: float) -> bool:
        """Return ``True`` with the given probability."""
        return probability > 0 and self.random.random() < probability

    def small_delay_s(self) -> float:
        """Return a random delay of 1 to 11 ms."""
        return 0.001 + self.random.random() * 0.01

    def call_store(self, data_centre: str, request: Request, reply: Callable) -> None:
        """Apply a store operation unless the link is cut or the store is down.

        The operation may be applied twice, and its answer may be lost.
        """
        self.store_requests += 1
        answer = _SingleReply(self.clock, request, reply)
        if self.is_cut(data_centre, "store"):
            self.clock.after(request.timeout_s, lambda: answer.fail(Ran.MAYBE))
            return
        if not self.conditions.store_up:
            self.clock.after(self.small_delay_s(), lambda: answer.fail(Ran.NO))
            return
        self.clock.after(request.timeout_s, lambda: answer.fail(Ran.MAYBE))
        delay_s = self.conditions.store_delay_s * (0.5 + self.random.random())
        lost = self.draw(self.conditions.store_answer_loss_rate)
        until = self.clock.mono + getattr(request.operation, "wait_s", 0.0)

        def perform() -> None:
            if not self.conditions.store_up:
                return
            result = self.store.apply(request.operation, self.clock.mono)
            waits = isinstance(request.operation, Watch | ListInstances)
            if waits and not result.ok and self.clock.mono < until:
                self.clock.after(LONG_POLL_INTERVAL_S, perform)
                return
            if not lost:
                self.clock.after(delay_s, lambda: answer.succeed(result))

        self.clock.after(delay_s, perform)
        if self.draw(self.conditions.duplication_rate):
            self.clock.after(delay_s * 3, perform)

    def call_worker(self, data_centre: str, request: Request, reply: Callable) -> None:
        """Send a command to a worker unless the link is cut or the worker is down.

        The command may be delayed or duplicated, and its answer may be lost.
        """
        answer = _SingleReply(self.clock, request, reply)
        address = request.operation.address
        worker = self.worker_by_address[address]
        if address in self.dead_addresses:
            self.clock.after(self.small_delay_s(), lambda: answer.fail(Ran.NO))
            return
        self.clock.after(request.timeout_s, lambda: answer.fail(Ran.MAYBE))
        if self.is_cut(data_centre, self.data_centre_by_address[address]):
            return
        if self.is_cut(data_centre, address):
            return
        delay_s = self.small_delay_s()
        if self.draw(self.conditions.slow_command_rate):
            delay_s += self.random.random() * 1.5
        copies = 2 if self.draw(self.conditions.duplication_rate) else 1
        for copy in range(copies):
            lost = self.draw(self.conditions.worker_answer_loss_rate)
            arrival_delay_s = delay_s + copy * self.random.random()
            self._deliver_command(
                worker, (data_centre, address), request, arrival_delay_s, lost, answer
            )

    def _deliver_command(
        self,
        worker: WorkerState,
        link: tuple[str, str],
        request: Request,
        delay_s: float,
        lost: bool,
        answer: _SingleReply,
    ) -> None:
        data_centre, address = link
        command = request.operation.command
        until = self.clock.mono + delay_s + getattr(command, "wait_s", 0.0)

        def respond(result: Any) -> None:
            if lost or self.is_cut(data_centre, address):
                return
            if self.is_cut(data_centre, self.data_centre_by_address[address]):
                return
            self.clock.after(self.small_delay_s(), lambda: answer.succeed(result))

        def long_poll() -> None:
            if address in self.dead_addresses:
                return
            worker.advance(self.clock.mono)
            if command.epoch < worker.seen_epoch and worker.fencing:
                respond(WorkerRefusal(worker.seen_epoch, worker.boot_id))
            elif worker.has_final_reports() or self.clock.mono >= until:
                respond(worker.collect())
            else:
                self.clock.after(LONG_POLL_INTERVAL_S, long_poll)

        def arrive() -> None:
            if address in self.dead_addresses:
                return
            result = worker.apply(command, self.clock.mono)
            refused = isinstance(result, WorkerRefusal)
            if isinstance(command, Sync) and not refused and not result.reports:
                long_poll()
            else:
                respond(result)

        self.clock.after(delay_s, arrive)


class _SingleReply:
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
        self.succeed(CallFailed(ran, "the simulated network dropped the call"))

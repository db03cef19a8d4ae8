"""Requests to queue advisors that one planning round makes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from .packing import eligible_workers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..policy.values import Queue
    from ..workload.record import JobRecord
    from ..workload.spec import StepKey
    from .cell import Cell, CellWorker
    from .demand import Demand
    from .permits import StepPermits

__all__ = ["AdviceBudget", "AdviceRequest", "AdviceRequests"]

# The advisor accepts at most this many workers in one request.
MAX_WORKERS_PER_REQUEST = 100
# If a step has a usable worker, the advisor is asked about further ones only once they
# are this share of the eligible workers.
MIN_UNKNOWN_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request to a queue's advisor about workers for a step, sent by ``entry``."""

    record: JobRecord
    key: StepKey
    queue: Queue
    worker_ids: tuple[str, ...]
    entry: str


class AdviceBudget(Protocol):
    """Limits requests to advisors to what they can answer soon."""

    def reserve(self, cost_s: float, now: float) -> str | None:
        """Return the entry that may send a request, or ``None`` if all are busy.

        :param cost_s: how long the request keeps the advisor busy, in seconds.
        :param now: monotonic time in seconds.
        """
        ...


class AdviceRequests:
    """Collects the requests of one round, one per step at a time, within the budget.

    :param now: monotonic time of the round in seconds.
    """

    def __init__(self, cell: Cell, budget: AdviceBudget, now: float) -> None:
        self._cell = cell
        self._budget = budget
        self._now = now
        self._requests: list[AdviceRequest] = []

    @property
    def made(self) -> tuple[AdviceRequest, ...]:
        """The requests made so far."""
        return tuple(self._requests)

    def ask_about_new_workers(self, demand: Demand, permits: StepPermits) -> None:
        """Ask about the workers with the most room that were not asked about yet.

        Does nothing while the step has a usable worker and few others are unknown.
        """
        if not permits.may_request(self._now):
            return
        step = demand.step
        service = demand.queue.service
        workers = eligible_workers(self._cell, service, step, self._now, None)
        unknown = [
            worker
            for worker in workers
            if worker.info.id not in permits.known_ids
            and step.capacity_request.fits_in(worker.info.capacity)
        ]
        usable = any(worker.info.id in permits.allowed_ids for worker in workers)
        if not unknown or (usable and len(unknown) < len(workers) * MIN_UNKNOWN_SHARE):
            return
        unknown.sort(key=lambda worker: -worker.free.processors_milli)
        self._request(demand, permits, unknown)

    def ask_about(
        self, demand: Demand, permits: StepPermits, workers: Iterable[CellWorker]
    ) -> None:
        """Ask for new permits for the given workers, the first ones if too many."""
        if permits.may_request(self._now):
            self._request(demand, permits, workers)

    def _request(
        self, demand: Demand, permits: StepPermits, workers: Iterable[CellWorker]
    ) -> None:
        unique_ids = dict.fromkeys(worker.info.id for worker in workers)
        worker_ids = tuple(unique_ids)[:MAX_WORKERS_PER_REQUEST]
        cost_s = demand.queue.advice.cost_s(len(worker_ids))
        entry = self._budget.reserve(cost_s, self._now)
        if entry is None:
            return
        permits.request_pending = True
        self._requests.append(
            AdviceRequest(demand.record, demand.key, demand.queue, worker_ids, entry)
        )

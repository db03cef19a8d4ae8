"""Requests to queue advisors that one planning round makes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from .packing import eligible_workers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.resources import Resources
    from ..policy.values import Queue
    from ..workload.record import JobRecord
    from ..workload.spec import StepKey, StepSpec
    from .cell import Cell, CellWorker
    from .demand import Demand
    from .permits import StepPermits

__all__ = ["AdviceBudget", "AdviceRequest", "AdviceRequests", "find_room"]

# The advisor accepts at most this many workers in one request.
MAX_WORKERS_PER_REQUEST = 100
# Room is not kept free for a demand whose advisor takes longer to name its workers.
MAX_HELD_S = 0.1
# How much more room than needed the workers of a request should have.
SPARE_RATIO = 1.5


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request to a queue's advisor about workers for a step, sent by ``entry``."""

    record: JobRecord
    key: StepKey
    queue: Queue
    worker_ids: tuple[str, ...]
    entry: str


class AdviceBudget(Protocol):
    """Limits requests to advisors to what they can answer soon.

    Once a request would be refused, so is in the same round each that takes as long or
    longer.
    """

    def may_reserve(self, cost_s: float, now: float) -> bool:
        """Return whether :meth:`reserve` would find an entry."""
        ...

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
        # A request that takes as long as one that was refused is refused as well.
        self._refused_cost_s = float("inf")
        # The same of one that was not made, as it would have been refused.
        self._busy_cost_s = float("inf")

    @property
    def made(self) -> tuple[AdviceRequest, ...]:
        """The requests made so far."""
        return tuple(self._requests)

    def ask_about_new_workers(
        self,
        demand: Demand,
        permits: StepPermits,
        count: int,
        allowed_share: float,
        reserved_by_worker_id: dict[str, Resources],
    ) -> list[CellWorker]:
        """Ask about workers with room that the advisor was not asked about yet.

        Asks about no more than should be enough, as each worker costs the advisor
        time; about as many as possible if a gang does not fit now, since it starts
        where enough of its workers become free. Does nothing while the workers that
        the step may use have room for it, or the others have none.

        :param count: number of waiting tasks.
        :param allowed_share: share of the workers that the advisor should allow.
        :returns: the workers of the request, if one was made.
        """
        if not permits.may_request(self._now):
            return []
        if self.is_exhausted_for(demand.queue):
            permits.request_postponed = True
            return []
        if not permits.allowed_ids and self._is_busy_for(demand.queue):
            permits.request_postponed = True
            return []
        room, unknown = find_room(
            self._cell, demand, permits, self._now, reserved_by_worker_id
        )
        missing = count - room
        if missing <= 0 or not unknown:
            return []
        has_room = any(copies for copies, _ in unknown)
        if not has_room and not self._asks_ahead(demand, permits):
            return []
        step = demand.step
        unknown.sort(key=_gang_order if step.gang else _most_room_first)
        wanted = missing / allowed_share * SPARE_RATIO
        # The advisor decides on workers: one with much room may still be refused.
        asked = _first_with_room(unknown, wanted, missing, step)
        return asked if self._request(demand, permits, asked) else []

    @staticmethod
    def _asks_ahead(demand: Demand, permits: StepPermits) -> bool:
        """Return whether to ask before any of the workers has room.

        An advisor that answers soon is asked when there is room: its permits would
        expire before. A gang needs many workers at once, and reserves room on them.
        """
        if permits.allowed_ids:
            return False
        return demand.step.gang or demand.queue.advice.cost_s(1) > MAX_HELD_S

    def is_exhausted_for(self, queue: Queue) -> bool:
        """Return whether no request of a queue can be sent any more in this round."""
        return queue.advice.cost_s(1) >= self._refused_cost_s

    def _is_busy_for(self, queue: Queue) -> bool:
        """Return whether the budget would refuse any request of a queue by now.

        Tells that before workers are sought for a request.
        """
        cost_s = queue.advice.cost_s(1)
        if cost_s >= self._busy_cost_s:
            return True
        if self._budget.may_reserve(cost_s, self._now):
            return False
        self._busy_cost_s = cost_s
        return True

    def ask_about(
        self, demand: Demand, permits: StepPermits, workers: Iterable[CellWorker]
    ) -> bool:
        """Ask for new permits for the given workers.

        If they are too many, those without a valid one go first.

        :returns: whether a request was made.
        """
        if not permits.may_request(self._now):
            return False
        valid = permits.valid_ids(self._now)
        missing_first = sorted(workers, key=lambda worker: worker.info.id in valid)
        return self._request(demand, permits, missing_first)

    def _request(
        self, demand: Demand, permits: StepPermits, workers: Iterable[CellWorker]
    ) -> bool:
        unique_ids = dict.fromkeys(worker.info.id for worker in workers)
        worker_ids = tuple(unique_ids)[:MAX_WORKERS_PER_REQUEST]
        cost_s = demand.queue.advice.cost_s(len(worker_ids))
        entry = self._budget.reserve(cost_s, self._now)
        permits.request_postponed = entry is None
        if entry is None:
            self._refused_cost_s = min(self._refused_cost_s, cost_s)
            return False
        permits.request_pending = True
        self._requests.append(
            AdviceRequest(demand.record, demand.key, demand.queue, worker_ids, entry)
        )
        return True


def find_room(
    cell: Cell,
    demand: Demand,
    permits: StepPermits,
    now: float,
    reserved_by_worker_id: dict[str, Resources],
) -> tuple[int, list[tuple[int, CellWorker]]]:
    """Return for how many tasks the allowed workers have room now, and the others.

    The workers that the advisor was not asked about come with the number of tasks that
    fit there.

    :param now: monotonic time in seconds.
    """
    step = demand.step
    request = demand.request
    count_copies = request.copies_counter()
    service = demand.queue.service
    job_id = demand.record.spec.id
    allowed_ids, known_ids = permits.allowed_ids, permits.known_ids
    room = 0
    unknown: list[tuple[int, CellWorker]] = []
    for worker in eligible_workers(cell, service, step, now, None):
        worker_id = worker.info.id
        is_allowed = worker_id in allowed_ids
        if not is_allowed and worker_id in known_ids:
            continue
        copies = count_copies(worker.free_beside(reserved_by_worker_id))
        if step.most_per_worker:
            left = step.most_per_worker - worker.count_of(job_id, demand.key)
            copies = min(copies, max(0, left))
        if is_allowed:
            room += copies
        elif copies or request.fits_in(worker.info.capacity):
            unknown.append((copies, worker))
    return room, unknown


def _most_room_first(item: tuple[int, CellWorker]) -> int:
    return -item[0]


def _gang_order(item: tuple[int, CellWorker]) -> tuple[bool, int, int]:
    """Return the sort key by which fast workers with room come first."""
    copies, worker = item
    return not copies, worker.speed_tier, -copies


def _first_with_room(
    workers: list[tuple[int, CellWorker]], wanted: float, most: int, step: StepSpec
) -> list[CellWorker]:
    """Return the first workers that together have room for the wanted tasks now.

    If all of them have too little, a gang gets all workers, and other tasks as many as
    would do if they were idle.

    :param workers: pairs of the number of tasks that fit now and the worker.
    :param most: how many tasks of one worker count at most.
    """
    found: list[CellWorker] = []
    for copies, worker in workers:
        if not copies or wanted <= 0:
            break
        found.append(worker)
        wanted -= min(copies, most)
    if wanted <= 0:
        return found
    if step.gang:
        return [worker for _, worker in workers]
    for _, worker in workers[len(found) :]:
        if wanted <= 0:
            break
        found.append(worker)
        copies = step.capacity_request.copies_in(worker.info.capacity)
        wanted -= min(copies, step.most_per_worker or copies)
    return found

"""Room kept for the job that has waited longest without fitting."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..model.resources import Resources
    from .teams import PendingJob
    from .workers import Worker

__all__ = ["ExpectedEnd", "Reservation", "plan_reservation"]


@dataclass(frozen=True, slots=True)
class ExpectedEnd:
    """When a running task is expected to give back its room."""

    ends_at: float
    request: Resources


@dataclass(frozen=True, slots=True)
class Reservation:
    """Workers kept for a job until ``ready_at`` on the clock of the events."""

    pending: PendingJob
    worker_ids: frozenset[str]
    ready_at: float
    planned_at: float

    def admits(self, worker: Worker, expected_end: float) -> bool:
        """Return whether a task that ends then may use a worker meanwhile."""
        return worker.id not in self.worker_ids or expected_end <= self.ready_at


def plan_reservation(
    pending: PendingJob,
    count: int,
    workers: Iterable[Worker],
    ends_by_worker_id: Mapping[str, list[ExpectedEnd]],
    now: float,
) -> Reservation | None:
    """Choose the workers on which a job is expected to fit soonest.

    :param count: how many tasks have to fit at once.
    :param ends_by_worker_id: expected ends of the tasks on each worker.
    :param now: present time on the clock of the events.
    :returns: ``None`` when the job would never fit.
    """
    openings: list[tuple[float, int, str]] = []
    for worker in workers:
        ends = ends_by_worker_id.get(worker.id, [])
        for at in _opening_times(worker, pending.job.request, ends, count, now):
            openings.append((at, worker.order, worker.id))
    if len(openings) < count:
        return None
    openings.sort()
    chosen = openings[:count]
    return Reservation(
        pending=pending,
        worker_ids=frozenset(worker_id for _, _, worker_id in chosen),
        ready_at=max(now, chosen[-1][0]),
        planned_at=now,
    )


def _opening_times(
    worker: Worker,
    request: Resources,
    ends: list[ExpectedEnd],
    most: int,
    now: float,
) -> list[float]:
    free = worker.free
    times: list[float] = []
    at = now
    for end in [None, *sorted(ends, key=lambda end: end.ends_at)]:
        if end is not None:
            if end.ends_at == float("inf"):
                break
            at = max(now, end.ends_at)
            free = free.plus(end.request)
        while len(times) < most and request.fits_in(free):
            free = free.minus(request)
            times.append(at)
    return times

"""Reservations of workers for blocked jobs.

Without them, smaller jobs could be placed before a blocked one indefinitely.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from ..model.resources import Resources
    from .teams import PendingJob
    from .workers import Worker, WorkerTable

__all__ = ["ExpectedEnd", "Reservation", "ReservationTable", "plan_reservation"]

MAX_RESERVATION_S = 30.0
WORKERS_PER_RESERVATION = 6
MAX_RESERVATIONS = 24
MIN_WORKERS_EXAMINED = 32


@dataclass(frozen=True, slots=True)
class ExpectedEnd:
    """When a running task is expected to end, and the room that it frees."""

    ends_at: float
    request: Resources


@dataclass(frozen=True, slots=True)
class Reservation:
    """Workers reserved for a job, which is expected to fit on them at ``ready_at``.

    Other tasks may use these workers if they end by then. Times are on the clock
    that stamps the events.
    """

    pending: PendingJob
    worker_ids: frozenset[str]
    ready_at: float
    planned_at: float


class ReservationTable:
    """Reservations by job and by worker; a worker is reserved for at most one job."""

    def __init__(self, worker_table: WorkerTable) -> None:
        self._worker_table = worker_table
        self._by_job_id: dict[str, Reservation] = {}
        self._by_worker_id: dict[str, Reservation] = {}
        self._latest_ready_at = float("-inf")

    def has(self, pending: PendingJob) -> bool:
        """Return whether a job has a reservation."""
        return pending.job.id in self._by_job_id

    def is_full(self) -> bool:
        """Return whether the number of reservations has reached its bound."""
        max_reservations = max(
            1, len(self._worker_table.by_id) // WORKERS_PER_RESERVATION
        )
        return len(self._by_job_id) >= min(MAX_RESERVATIONS, max_reservations)

    def admits(self, worker: Worker, pending: PendingJob, expected_end: float) -> bool:
        """Return whether reservations allow a task of a job on a worker.

        :param expected_end: when the task is expected to end.
        """
        reservation = self._by_worker_id.get(worker.id)
        if reservation is None or reservation.pending is pending:
            return True
        return expected_end <= reservation.ready_at

    def workers_for(self, pending: PendingJob, expected_end: float) -> list[Worker]:
        """Return the reserved workers that a task of a job might be allowed on.

        :param expected_end: when the task is expected to end.
        """
        if expected_end <= self._latest_ready_at:
            return self._accepting(self._by_worker_id)
        return self.workers_of(pending)

    def unreserved_workers(self) -> list[Worker]:
        """Return the accepting workers that are not reserved."""
        return [
            worker for worker in self._worker_table.accepting() if not worker.reserved
        ]

    def workers_of(self, pending: PendingJob) -> list[Worker]:
        """Return the accepting workers that are reserved for a job."""
        reservation = self._by_job_id.get(pending.job.id)
        if reservation is None:
            return []
        reserved_ids = [
            worker_id
            for worker_id in reservation.worker_ids
            if self._by_worker_id.get(worker_id) is reservation
        ]
        return self._accepting(reserved_ids)

    def _accepting(self, worker_ids: Iterable[str]) -> list[Worker]:
        found = []
        for worker_id in worker_ids:
            worker = self._worker_table.by_id.get(worker_id)
            if worker is not None and worker.accepting:
                found.append(worker)
        return found

    def _update_latest_ready(self) -> None:
        self._latest_ready_at = max(
            (reservation.ready_at for reservation in self._by_job_id.values()),
            default=float("-inf"),
        )

    def add(self, reservation: Reservation) -> None:
        """Reserve workers for a job; those reserved for another job stay with it."""
        self.drop(reservation.pending)
        self._by_job_id[reservation.pending.job.id] = reservation
        self._update_latest_ready()
        for worker_id in reservation.worker_ids:
            self._by_worker_id.setdefault(worker_id, reservation)
            worker = self._worker_table.by_id.get(worker_id)
            if worker is not None:
                worker.reserved = True
                self._worker_table.mark_changed(worker)

    def drop(self, pending: PendingJob) -> None:
        """Release the workers reserved for a job."""
        reservation = self._by_job_id.pop(pending.job.id, None)
        if reservation is None:
            return
        self._update_latest_ready()
        for worker_id in reservation.worker_ids:
            if self._by_worker_id.get(worker_id) is not reservation:
                continue
            del self._by_worker_id[worker_id]
            worker = self._worker_table.by_id.get(worker_id)
            if worker is not None:
                worker.reserved = False
                self._worker_table.mark_changed(worker)
                self._worker_table.mark_freed(worker)

    def drop_expired(
        self, now: float, is_within_limit: Callable[[PendingJob], bool]
    ) -> None:
        """Drop reservations of jobs that are done or over a limit, and old ones."""
        for reservation in list(self._by_job_id.values()):
            pending = reservation.pending
            is_old = now - reservation.planned_at >= MAX_RESERVATION_S
            if pending.is_done or is_old or not is_within_limit(pending):
                self.drop(pending)

    def nearest_worker(self, request: Resources) -> Worker | None:
        """Return the unreserved worker that is least short of room for a request.

        Examines workers with the most free processors first, and stops once it has
        examined :data:`MIN_WORKERS_EXAMINED` workers and found one.
        """
        best = None
        best_shortfall = float("inf")
        seen = 0
        for bucket in self._worker_table.buckets_descending():
            for worker in bucket.values():
                seen += 1
                if worker.id in self._by_worker_id:
                    continue
                if not request.fits_in(worker.capacity):
                    continue
                shortfall = _shortfall(request, worker)
                if shortfall < best_shortfall:
                    best, best_shortfall = worker, shortfall
            if seen >= MIN_WORKERS_EXAMINED and best is not None:
                break
        return best


def _shortfall(request: Resources, worker: Worker) -> float:
    shortfall = 0.0
    for want, free, whole in zip(request, worker.free, worker.capacity):
        if want > free:
            shortfall += (want - free) / max(1, whole)
    return shortfall


def plan_reservation(
    pending: PendingJob,
    count: int,
    workers: Iterable[Worker],
    ends_by_worker_id: Mapping[str, list[ExpectedEnd]],
    now: float,
) -> Reservation | None:
    """Return a reservation of the workers on which a job is expected to fit first.

    :param count: number of tasks that have to fit at the same time.
    :param ends_by_worker_id: expected ends of the tasks on each worker.
    :param now: present time on the clock that stamps the events.
    :returns: ``None`` when the tasks are not expected to fit at any time.
    """
    fits: list[tuple[float, int, str]] = []
    for worker in workers:
        ends = ends_by_worker_id.get(worker.id, [])
        for at in _fit_times(worker, pending.job.request, ends, count, now):
            fits.append((at, worker.order, worker.id))
    if len(fits) < count:
        return None
    fits.sort()
    chosen = fits[:count]
    return Reservation(
        pending=pending,
        worker_ids=frozenset(worker_id for _, _, worker_id in chosen),
        ready_at=max(now, chosen[-1][0]),
        planned_at=now,
    )


def _fit_times(
    worker: Worker,
    request: Resources,
    ends: list[ExpectedEnd],
    max_count: int,
    now: float,
) -> list[float]:
    """Return when each of up to ``max_count`` tasks is expected to fit on a worker."""
    free = worker.free
    times: list[float] = []
    at = now
    for end in [None, *sorted(ends, key=lambda end: end.ends_at)]:
        if end is not None:
            if end.ends_at == float("inf"):
                break
            at = max(now, end.ends_at)
            free = free.plus(end.request)
        while len(times) < max_count and request.fits_in(free):
            free = free.minus(request)
            times.append(at)
    return times

"""Room kept for blocked jobs, so that smaller ones cannot pass them for ever."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from ..model.resources import Resources
    from .teams import PendingJob
    from .workers import Worker, WorkerTable

__all__ = ["ExpectedEnd", "Reservation", "ReservationBook", "plan_reservation"]

LONGEST_RESERVATION_S = 30.0
WORKERS_PER_RESERVATION = 6
MOST_RESERVATIONS = 24
WORKERS_LOOKED_AT = 32


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


class ReservationBook:
    """Reservations by job and by worker; a worker is kept for one job only."""

    def __init__(self, worker_table: WorkerTable) -> None:
        self._worker_table = worker_table
        self._by_job_id: dict[str, Reservation] = {}
        self._by_worker_id: dict[str, Reservation] = {}
        self._latest_ready_at = float("-inf")

    def has(self, pending: PendingJob) -> bool:
        """Return whether a job has a reservation."""
        return pending.job.id in self._by_job_id

    def is_full(self) -> bool:
        """Return whether no further reservation may be made."""
        most = max(1, len(self._worker_table.by_id) // WORKERS_PER_RESERVATION)
        return len(self._by_job_id) >= min(MOST_RESERVATIONS, most)

    def admits(self, worker: Worker, pending: PendingJob, expected_end: float) -> bool:
        """Return whether a job's task that ends then may use a worker."""
        held = self._by_worker_id.get(worker.id)
        if held is None or held.pending is pending:
            return True
        return expected_end <= held.ready_at

    def workers_for(self, pending: PendingJob, expected_end: float) -> list[Worker]:
        """Return the reserved workers that a job's task that ends then may use."""
        if expected_end <= self._latest_ready_at:
            return self._accepting(self._by_worker_id)
        return self.workers_of(pending)

    def unreserved_workers(self) -> list[Worker]:
        """Return the accepting workers that are kept for no job."""
        return [
            worker for worker in self._worker_table.accepting() if not worker.reserved
        ]

    def workers_of(self, pending: PendingJob) -> list[Worker]:
        """Return the accepting workers that are kept for a job."""
        reservation = self._by_job_id.get(pending.job.id)
        if reservation is None:
            return []
        kept = [
            worker_id
            for worker_id in reservation.worker_ids
            if self._by_worker_id.get(worker_id) is reservation
        ]
        return self._accepting(kept)

    def _accepting(self, worker_ids: Iterable[str]) -> list[Worker]:
        found = []
        for worker_id in worker_ids:
            worker = self._worker_table.by_id.get(worker_id)
            if worker is not None and worker.accepting:
                found.append(worker)
        return found

    def _note_latest_ready(self) -> None:
        self._latest_ready_at = max(
            (held.ready_at for held in self._by_job_id.values()),
            default=float("-inf"),
        )

    def add(self, reservation: Reservation) -> None:
        """Keep workers for a job; those kept for another job stay with it."""
        self.drop(reservation.pending)
        self._by_job_id[reservation.pending.job.id] = reservation
        self._note_latest_ready()
        for worker_id in reservation.worker_ids:
            self._by_worker_id.setdefault(worker_id, reservation)
            worker = self._worker_table.by_id.get(worker_id)
            if worker is not None:
                worker.reserved = True
                self._worker_table.mark_changed(worker)

    def drop(self, pending: PendingJob) -> None:
        """Let others use the workers kept for a job."""
        reservation = self._by_job_id.pop(pending.job.id, None)
        if reservation is None:
            return
        self._note_latest_ready()
        for worker_id in reservation.worker_ids:
            if self._by_worker_id.get(worker_id) is not reservation:
                continue
            del self._by_worker_id[worker_id]
            worker = self._worker_table.by_id.get(worker_id)
            if worker is not None:
                worker.reserved = False
                self._worker_table.mark_changed(worker)
                self._worker_table.mark_freed(worker)

    def drop_ended(self, now: float, is_due: Callable[[PendingJob], bool]) -> None:
        """Drop reservations that are used, too old, or no longer due."""
        for reservation in list(self._by_job_id.values()):
            pending = reservation.pending
            is_old = now - reservation.planned_at >= LONGEST_RESERVATION_S
            if pending.is_done or is_old or not is_due(pending):
                self.drop(pending)

    def nearest_worker(self, request: Resources) -> Worker | None:
        """Return the unreserved worker that lacks least for a request."""
        best = None
        best_lack = float("inf")
        seen = 0
        for bucket in self._worker_table.buckets_downwards():
            for worker in bucket.values():
                seen += 1
                if worker.id in self._by_worker_id:
                    continue
                if not request.fits_in(worker.capacity):
                    continue
                lack = _lack(request, worker)
                if lack < best_lack:
                    best, best_lack = worker, lack
            if seen >= WORKERS_LOOKED_AT and best is not None:
                break
        return best


def _lack(request: Resources, worker: Worker) -> float:
    lack = 0.0
    for want, free, whole in zip(request, worker.free, worker.capacity):
        if want > free:
            lack += (want - free) / max(1, whole)
    return lack


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

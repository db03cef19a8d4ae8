"""Baseline schedulers for comparison with the placement core.

They are simple enough to be correct by inspection, but slow or unfair to teams.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from lagoonpulley.model.job import JobKind, task_id_of
from lagoonpulley.placement.events import (
    JobSubmitted,
    Place,
    TaskAdopted,
    TaskEnded,
    TeamsChanged,
    WorkerChanged,
)


class _Worker:
    """A worker and its free capacity."""

    def __init__(self, worker_id: str, capacity: Any) -> None:
        self.id = worker_id
        self.free = capacity


class FifoScheduler:
    """Schedules jobs of all teams from one queue in order of submission.

    Subclasses choose the worker of a task. ``max_skipped_jobs`` bounds the number of
    jobs without room that one round tries.
    """

    reason = "baseline"
    max_skipped_jobs = 1

    def __init__(self) -> None:
        self.worker_by_id: dict[str, _Worker] = {}
        self.queue: deque[tuple[Any, deque[int], float]] = deque()
        self.placed_by_task_id: dict[str, tuple[Any, _Worker, float]] = {}

    def apply(self, event: Any, now: float) -> None:
        """Apply one event of the placement core."""
        match event:
            case WorkerChanged(worker_id, _, capacity, _):
                self.worker_by_id[worker_id] = _Worker(worker_id, capacity)
            case JobSubmitted(job, indexes, submitted_at):
                self.queue.append((job, deque(indexes), submitted_at))
            case TaskAdopted(job, index, worker_id, placed_at):
                self._reserve(job, index, self.worker_by_id[worker_id], placed_at)
            case TaskEnded(task_id):
                job, worker, _ = self.placed_by_task_id.pop(task_id)
                worker.free = worker.free.plus(job.request)
            case TeamsChanged():
                pass

    def decide(self, now: float, max_decisions: int = 64) -> list[Place]:
        """Return the placements of one round, which are already applied."""
        decisions: list[Place] = []
        skipped: list[tuple[Any, deque[int], float]] = []
        while (
            self.queue
            and len(skipped) < self.max_skipped_jobs
            and len(decisions) < max_decisions
        ):
            pending = self.queue.popleft()
            if not self._place(pending, now, decisions):
                skipped.append(pending)
        self.queue.extendleft(reversed(skipped))
        return decisions

    def waiting_tasks(self) -> int:
        """Return the number of tasks that wait for placement."""
        return sum(len(indexes) for _, indexes, _ in self.queue)

    def _place(self, pending: Any, now: float, decisions: list[Place]) -> bool:
        job, indexes, submitted_at = pending
        chosen: list[tuple[int, _Worker]] = []
        for index in indexes:
            worker = self.choose_worker(job)
            if worker is None:
                break
            self._reserve(job, index, worker, submitted_at)
            chosen.append((index, worker))
        if job.kind is JobKind.GANG and len(chosen) < len(indexes):
            for index, worker in chosen:
                self.placed_by_task_id.pop(task_id_of(job.id, index))
                worker.free = worker.free.plus(job.request)
            return False
        for index, worker in chosen:
            indexes.popleft()
            decisions.append(self._decision(job, index, worker, now - submitted_at))
        return not indexes

    def _decision(
        self, job: Any, index: int, worker: _Worker, waited_s: float
    ) -> Place:
        return Place(
            task_id_of(job.id, index), job, index, worker.id, self.reason, 0, waited_s
        )

    def _reserve(self, job: Any, index: int, worker: _Worker, at: float) -> None:
        worker.free = worker.free.minus(job.request)
        self.placed_by_task_id[task_id_of(job.id, index)] = (job, worker, at)

    def choose_worker(self, job: Any) -> _Worker | None:
        """Return a worker with room for a task of the job, or ``None``."""
        raise NotImplementedError


class FirstFit(FifoScheduler):
    """Places the oldest job first, on the first worker with enough free capacity."""

    reason = "first fit"

    def choose_worker(self, job: Any) -> _Worker | None:
        for worker in self.worker_by_id.values():
            if job.request.fits_in(worker.free):
                return worker
        return None


class ExhaustiveBestFit(FifoScheduler):
    """Places tasks on the fitting worker with least free capacity, and backfills.

    Free capacity is compared by processors first.
    """

    reason = "exhaustive best fit"
    max_skipped_jobs = 40

    def choose_worker(self, job: Any) -> _Worker | None:
        fitting = [
            worker
            for worker in self.worker_by_id.values()
            if job.request.fits_in(worker.free)
        ]
        return min(fitting, key=lambda worker: worker.free, default=None)

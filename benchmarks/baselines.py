"""Simple schedulers to compare with: obviously right, and slow or unfair."""

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


class _Room:
    """A worker's room, kept by plain sums."""

    def __init__(self, worker_id: str, capacity: Any) -> None:
        self.id = worker_id
        self.free = capacity


class FirstComeScheduler:
    """One queue for all; subclasses say how far behind its head they look."""

    reason = "baseline"
    depth = 1

    def __init__(self) -> None:
        self.room_by_worker_id: dict[str, _Room] = {}
        self.queue: deque[tuple[Any, deque[int], float]] = deque()
        self.placed: dict[str, tuple[Any, _Room, float]] = {}

    def apply(self, event: Any, now: float) -> None:
        match event:
            case WorkerChanged(worker_id, _, capacity, _):
                self.room_by_worker_id[worker_id] = _Room(worker_id, capacity)
            case JobSubmitted(job, indexes, submitted_at):
                self.queue.append((job, deque(indexes), submitted_at))
            case TaskAdopted(job, index, worker_id, placed_at):
                self._take(job, index, self.room_by_worker_id[worker_id], placed_at)
            case TaskEnded(task_id):
                job, room, _ = self.placed.pop(task_id)
                room.free = room.free.plus(job.request)
            case TeamsChanged():
                pass

    def decide(self, now: float, most: int = 64) -> list[Place]:
        decisions: list[Place] = []
        passed: list[tuple[Any, deque[int], float]] = []
        while self.queue and len(passed) < self.depth and len(decisions) < most:
            item = self.queue.popleft()
            if not self._place(item, now, decisions):
                passed.append(item)
        self.queue.extendleft(reversed(passed))
        return decisions

    def waiting_tasks(self) -> int:
        return sum(len(indexes) for _, indexes, _ in self.queue)

    def _place(self, item: Any, now: float, decisions: list[Place]) -> bool:
        job, indexes, submitted_at = item
        chosen: list[tuple[int, _Room]] = []
        for index in indexes:
            room = self.choose(job)
            if room is None:
                break
            self._take(job, index, room, submitted_at)
            chosen.append((index, room))
        if job.kind is JobKind.GANG and len(chosen) < len(indexes):
            for index, room in chosen:
                self.placed.pop(task_id_of(job.id, index))
                room.free = room.free.plus(job.request)
            return False
        for index, room in chosen:
            indexes.popleft()
            decisions.append(self._decision(job, index, room, now - submitted_at))
        return not indexes

    def _decision(self, job: Any, index: int, room: _Room, waited_s: float) -> Place:
        return Place(
            task_id_of(job.id, index), job, index, room.id, self.reason, 0, waited_s
        )

    def _take(self, job: Any, index: int, room: _Room, at: float) -> None:
        room.free = room.free.minus(job.request)
        self.placed[task_id_of(job.id, index)] = (job, room, at)

    def choose(self, job: Any) -> _Room | None:
        raise NotImplementedError


class FirstFit(FirstComeScheduler):
    """First come, first served, on the first worker with room."""

    reason = "first fit"

    def choose(self, job: Any) -> _Room | None:
        for room in self.room_by_worker_id.values():
            if job.request.fits_in(room.free):
                return room
        return None


class ExhaustiveBestFit(FirstComeScheduler):
    """Looks far into the queue and at every worker for the tightest fit."""

    reason = "exhaustive best fit"
    depth = 40

    def choose(self, job: Any) -> _Room | None:
        fitting = [
            room
            for room in self.room_by_worker_id.values()
            if job.request.fits_in(room.free)
        ]
        return min(fitting, key=lambda room: room.free, default=None)

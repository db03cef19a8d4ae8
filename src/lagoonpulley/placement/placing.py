"""Placement of single tasks and of whole gangs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.job import Job, JobKind, task_id_of
from .copies import copies_in
from .events import Decision, Place
from .policies import BestFit, Spread, WorkerPolicy

if TYPE_CHECKING:
    from ..model.resources import Resources
    from .state import CoreState
    from .teams import PendingJob
    from .workers import Worker

__all__ = ["Placing"]

FORGET_SHAPES_ABOVE = 10_000


class Placing:
    """Finds workers for the tasks of one job at a time."""

    def __init__(self, state: CoreState) -> None:
        self._state = state
        self._blocked_version_by_request: dict[Resources, int] = {}
        self._policy_by_kind: dict[JobKind, WorkerPolicy] = {
            JobKind.SERVICE: Spread(),
            JobKind.BATCH: BestFit(),
            JobKind.GANG: BestFit(),
            JobKind.URGENT: BestFit(),
        }

    def place(
        self, pending: PendingJob, now: float, decisions: list[Decision], most: int
    ) -> None:
        """Place what fits of a job.

        :param most: bound on the length of ``decisions``; a gang ignores it.
        """
        if pending.job.kind is JobKind.GANG:
            self._place_gang(pending, now, decisions)
        else:
            self.place_tasks(pending, now, decisions, most)

    def forget_old_shapes(self) -> None:
        """Bound what is remembered of requests that fitted nowhere."""
        if len(self._blocked_version_by_request) > FORGET_SHAPES_ABOVE:
            self._blocked_version_by_request.clear()

    def place_tasks(
        self, pending: PendingJob, now: float, decisions: list[Decision], most: int
    ) -> None:
        """Place the tasks of a job one by one."""
        while not pending.is_done and len(decisions) < most:
            place = self._try_place(pending, pending.indexes[0], now)
            if place is None:
                return
            pending.indexes.popleft()
            decisions.append(place)

    def _place_gang(
        self, pending: PendingJob, now: float, decisions: list[Decision]
    ) -> None:
        team = self._state.team(pending.job.team)
        if not team.has_quota_for(self._state.whole_request(pending)):
            return
        if not self._has_room_for_all(pending):
            return
        places: list[Place] = []
        for index in pending.indexes:
            place = self._try_place(pending, index, now, remembers=False)
            if place is None:
                self._undo(places, now)
                return
            places.append(place)
        pending.indexes.clear()
        decisions.extend(places)

    def _has_room_for_all(self, pending: PendingJob) -> bool:
        request = pending.job.request
        room = self._state.copies.count(request)
        for worker in self._state.reservations.workers_of(pending):
            room += copies_in(request, worker.free)
        return room >= len(pending.indexes)

    def _undo(self, places: list[Place], now: float) -> None:
        for place in reversed(places):
            placed = self._state.placed_by_task_id[place.task_id]
            self._state.count_waiting(placed.job.team, 1)
            self._state.give_back(placed, now, marks_freed=False)

    # One placement.

    def _try_place(
        self, pending: PendingJob, index: int, now: float, remembers: bool = True
    ) -> Place | None:
        """Place one task, if there is room.

        :param remembers: whether a failure holds for the request until room
            appears; not so while a gang holds room that it may give back.
        """
        job = pending.job
        team = self._state.team(job.team)
        if not team.has_quota_for(job.request):
            return None
        recent = self._recent_workers(pending, now)
        if recent is not None and not recent:
            if remembers:
                self._blocked_version_by_request[job.request] = (
                    self._state.worker_table.version
                )
            return None
        policy = self._policy_by_kind[job.kind]
        version = self._state.worker_table.version

        def admits(worker: Worker) -> bool:
            return self._admits(worker, pending, now)

        choice = policy.choose(
            self._state.worker_table,
            job.request,
            recent,
            admits,
            self._state.workers_of(job.id),
        )
        if choice.worker is None:
            if remembers:
                self._blocked_version_by_request[job.request] = version
            return None
        self._state.hold(job, index, choice.worker, now, pending.submitted_at)
        self._state.count_waiting(job.team, -1)
        return Place(
            task_id=task_id_of(job.id, index),
            job=job,
            index=index,
            worker_id=choice.worker.id,
            reason=policy.reason,
            candidates=choice.candidates,
            waited_s=now - pending.submitted_at,
        )

    def _recent_workers(self, pending: PendingJob, now: float) -> list[Worker] | None:
        """Return the workers on which a request may fit that fitted nowhere.

        Reserved workers are always among them, since what a reservation admits
        depends on more than the request. ``None`` means any worker may fit.
        """
        request = pending.job.request
        version = self._blocked_version_by_request.get(request, 0)
        if not version:
            return None
        recent = [
            worker
            for worker in self._state.worker_table.freed_since(version)
            if request.fits_in(worker.free)
        ]
        for worker in self._state.reservations.workers_for(
            pending, self._held_until(pending.job, now)
        ):
            if worker.freed_version <= version and request.fits_in(worker.free):
                recent.append(worker)
        return recent

    def _admits(self, worker: Worker, pending: PendingJob, now: float) -> bool:
        job = pending.job
        if not self._state.quarantine.admits(worker, job, now):
            return False
        return self._state.reservations.admits(
            worker, pending, self._held_until(job, now)
        )

    def _held_until(self, job: Job, now: float) -> float:
        """Return until when a task keeps a reserved worker from its reserver.

        Urgent work may use any worker, so it counts as ending at once.
        """
        if job.kind is JobKind.URGENT:
            return float("-inf")
        return self._state.expected_end(job, now)

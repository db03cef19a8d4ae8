"""Places single tasks, and gangs all at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.job import Job, JobKind, task_id_of
from .events import Decision, Place
from .fitting import count_fitting
from .policies import BestFit, Spread, WorkerPolicy

if TYPE_CHECKING:
    from ..model.resources import Resources
    from .state import CoreState
    from .teams import PendingJob
    from .workers import Worker

__all__ = ["TaskPlacer"]

MAX_BLOCKED_REQUESTS = 10_000


class TaskPlacer:
    """Chooses workers for the tasks of one job and commits them in the state.

    Remembers requests that fitted on no worker, so that later attempts examine only
    workers freed since.
    """

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
        self,
        pending: PendingJob,
        now: float,
        decisions: list[Decision],
        max_decisions: int,
    ) -> None:
        """Place the tasks of a job that fit; a gang is placed whole or not at all.

        :param max_decisions: bound on the length of ``decisions``; a gang ignores it.
        """
        if pending.job.kind is JobKind.GANG:
            self._place_gang(pending, now, decisions)
        else:
            self.place_tasks(pending, now, decisions, max_decisions)

    def prune_blocked_requests(self) -> None:
        """Clear the record of requests that fitted nowhere once it is too large."""
        if len(self._blocked_version_by_request) > MAX_BLOCKED_REQUESTS:
            self._blocked_version_by_request.clear()

    def place_tasks(
        self,
        pending: PendingJob,
        now: float,
        decisions: list[Decision],
        max_decisions: int,
    ) -> None:
        """Place the tasks of a job one by one until one does not fit."""
        while not pending.is_done and len(decisions) < max_decisions:
            place = self._try_place(pending, pending.indexes[0], now)
            if place is None:
                return
            pending.indexes.popleft()
            decisions.append(place)

    def _place_gang(
        self, pending: PendingJob, now: float, decisions: list[Decision]
    ) -> None:
        team = self._state.team(pending.job.team)
        if not team.allows(self._state.minimum_request(pending)):
            return
        if not self._has_room_for_all(pending):
            return
        places: list[Place] = []
        for index in pending.indexes:
            place = self._try_place(pending, index, now, records_failure=False)
            if place is None:
                self._undo(places, now)
                return
            places.append(place)
        pending.indexes.clear()
        decisions.extend(places)

    def _has_room_for_all(self, pending: PendingJob) -> bool:
        request = pending.job.request
        room = self._state.fit_counter.count(request)
        for worker in self._state.reservations.workers_of(pending):
            room += count_fitting(request, worker.free)
        return room >= len(pending.indexes)

    def _undo(self, places: list[Place], now: float) -> None:
        for place in reversed(places):
            placed = self._state.placed_by_task_id[place.task_id]
            self._state.adjust_waiting(placed.job.team, 1)
            self._state.release_task(placed, now, marks_freed=False)

    def _try_place(
        self, pending: PendingJob, index: int, now: float, records_failure: bool = True
    ) -> Place | None:
        """Place one task if it fits.

        :param records_failure: whether to treat the request as blocked until room
            appears. ``False`` for a gang, which may release the room of its other
            tasks without marking any worker as freed.
        """
        job = pending.job
        team = self._state.team(job.team)
        if not team.allows(job.request):
            return None
        candidate_workers = self._candidate_workers(pending, now)
        if candidate_workers is not None and not candidate_workers:
            if records_failure:
                self._blocked_version_by_request[job.request] = (
                    self._state.worker_table.freed_version
                )
            return None
        policy = self._policy_by_kind[job.kind]
        version = self._state.worker_table.freed_version

        def admits(worker: Worker) -> bool:
            return self._admits(worker, pending, now)

        choice = policy.choose(
            self._state.worker_table,
            job.request,
            candidate_workers,
            admits,
            self._state.workers_of(job.id),
        )
        if choice.worker is None:
            if records_failure:
                self._blocked_version_by_request[job.request] = version
            return None
        self._state.commit_task(job, index, choice.worker, now, pending.submitted_at)
        self._state.adjust_waiting(job.team, -1)
        return Place(
            task_id=task_id_of(job.id, index),
            job=job,
            index=index,
            worker_id=choice.worker.id,
            reason=policy.reason,
            candidates=choice.candidates,
            waited_s=now - pending.submitted_at,
        )

    def _candidate_workers(
        self, pending: PendingJob, now: float
    ) -> list[Worker] | None:
        """Return the only workers on which a job's request may fit.

        For a request that fitted nowhere these are the workers freed since, and all
        reserved workers that the job may use, since what a reservation admits depends
        on more than the request. ``None`` means that any worker may fit.
        """
        request = pending.job.request
        version = self._blocked_version_by_request.get(request, 0)
        if not version:
            return None
        candidate_workers = [
            worker
            for worker in self._state.worker_table.freed_since(version)
            if request.fits_in(worker.free)
        ]
        for worker in self._state.reservations.workers_for(
            pending, self._occupied_until(pending.job, now)
        ):
            if worker.freed_version <= version and request.fits_in(worker.free):
                candidate_workers.append(worker)
        return candidate_workers

    def _admits(self, worker: Worker, pending: PendingJob, now: float) -> bool:
        job = pending.job
        if not self._state.quarantine.admits(worker, job, now):
            return False
        return self._state.reservations.admits(
            worker, pending, self._occupied_until(job, now)
        )

    def _occupied_until(self, job: Job, now: float) -> float:
        """Return the end of a task to compare with the start of reservations.

        Urgent tasks may use any reserved worker, so they count as ending at once.
        """
        if job.kind is JobKind.URGENT:
            return float("-inf")
        return self._state.expected_end(job, now)

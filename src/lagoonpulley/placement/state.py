"""State of the placement core: teams, workers, waiting jobs and placed tasks."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..model.job import Job, JobKind, task_id_of
from .estimates import RunTimeEstimates
from .fitting import FitCounter
from .quarantine import Quarantine
from .reservation import ReservationTable
from .teams import PendingJob, Team
from .workers import WorkerTable

if TYPE_CHECKING:
    from ..model.resources import Resources
    from .workers import Worker

__all__ = ["CoreState", "PlacedTask", "PlacementSettings"]


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Weights, time limits and search depth of placement.

    :param waiting_weight: dominant share, at weight 1, that each minute of waiting of
        a team's first job offsets.
    :param history_weight: factor of a team's past share, relative to its present one.
    :param history_half_life_s: time in which the weight of past use halves.
    :param backfill_depth: jobs per queue that a round examines.
    :param reserve_after_s: time for which a gang is blocked before it gets a
        reservation.
    :param max_backfill_s: time for which later jobs of a team may be placed before a
        blocked one.
    :param preempt_slack_s: an urgent job preempts others once its latest start is
        no further away than this.
    :param replan_after_s: time between two plans of gang reservations.
    :param preempt_again_after_s: time between two preemptions for the same job.
    :param share_preempt_after_s: time for which a job is blocked before tasks of
        teams above their share are preempted for it; ``None`` turns this off.
    :param share_slack: fraction above the fair share from which a team's batch tasks
        may be preempted.
    """

    waiting_weight: float = 0.0
    history_weight: float = 0.0
    history_half_life_s: float = 120.0
    backfill_depth: int = 8
    reserve_after_s: float = 2.0
    max_backfill_s: float = 10.0
    preempt_slack_s: float = 4.0
    replan_after_s: float = 1.0
    preempt_again_after_s: float = 5.0
    share_preempt_after_s: float | None = 0.5
    share_slack: float = 0.05


@dataclass(slots=True, eq=False)
class PlacedTask:
    """A task whose request is committed on a worker."""

    task_id: str
    job: Job
    index: int
    worker: Worker
    placed_at: float
    expected_end: float
    submitted_at: float
    preemption_requested: bool = False


class CoreState:
    """State that events and rounds of decisions change."""

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.worker_table = WorkerTable()
        self.team_by_name: dict[str, Team] = {}
        self.placed_by_task_id: dict[str, PlacedTask] = {}
        self.pending_by_job_id: dict[str, PendingJob] = {}
        self.waiting_team_names: dict[str, None] = {}
        self.urgent_heap: list[tuple[float, int, PendingJob]] = []
        self.estimates = RunTimeEstimates()
        self.quarantine = Quarantine(self.worker_table)
        self.reservations = ReservationTable(self.worker_table)
        self.fit_counter = FitCounter(self.worker_table)
        self.should_check_limits = False
        self.worker_ids_to_check: set[str] = set()
        self._task_ids_by_job_id: dict[str, dict[str, None]] = {}
        self._waiting_by_team: dict[str, int] = {}
        self._urgent_order = 0

    def team(self, name: str) -> Team:
        """Return a team; creates it on first use."""
        team = self.team_by_name.get(name)
        if team is None:
            team = self.team_by_name[name] = Team(name)
        return team

    def adjust_waiting(self, team: str, delta: int) -> None:
        """Add ``delta`` to the number of a team's waiting tasks."""
        self._waiting_by_team[team] = self._waiting_by_team.get(team, 0) + delta

    def set_usage(self, team: Team, used: Resources, now: float) -> None:
        """Set the resources that a team uses, and update its share."""
        half_life_s = self.settings.history_half_life_s
        team.set_usage(used, self.worker_table.total, now, half_life_s)

    def order_key(self, team: Team, now: float) -> float:
        """Return the sort key of a team under the configured weights."""
        return team.order_key(
            now, self.settings.history_weight, self.settings.waiting_weight
        )

    def waiting_tasks(self) -> int:
        """Return the number of tasks that wait for placement."""
        return sum(self._waiting_by_team.values())

    def waiting_tasks_of(self, team: str) -> int:
        """Return the number of a team's tasks that wait for placement."""
        return self._waiting_by_team.get(team, 0)

    def enqueue(self, pending: PendingJob, at_head: bool) -> None:
        """Queue a job for placement.

        :param at_head: whether it goes before its team's other jobs; urgent jobs are
            ordered by their latest start instead.
        """
        self.pending_by_job_id[pending.job.id] = pending
        if pending.job.kind is not JobKind.URGENT:
            self.team(pending.job.team).add(pending, at_head)
            self.waiting_team_names[pending.job.team] = None
            return
        self._urgent_order += 1
        item = (self.latest_start(pending), self._urgent_order, pending)
        heapq.heappush(self.urgent_heap, item)

    def latest_start(self, pending: PendingJob) -> float:
        """Return the time in seconds by which a job is to start.

        It is infinite for a job without a deadline.
        """
        job = pending.job
        deadline_s = job.deadline_s if job.deadline_s is not None else float("inf")
        return pending.submitted_at + deadline_s

    def requeue(self, placed: PlacedTask) -> None:
        """Queue a placed task again, before its job's other waiting tasks.

        If there are none, the job goes before its team's other jobs.
        """
        self.adjust_waiting(placed.job.team, 1)
        known = self.pending_by_job_id.get(placed.job.id)
        if known is not None and not known.is_done:
            known.indexes.appendleft(placed.index)
            self.team(placed.job.team).blocked_version = 0
            return
        pending = PendingJob(placed.job, deque((placed.index,)), placed.submitted_at)
        self.enqueue(pending, at_head=True)

    def remove_if_done(self, pending: PendingJob) -> None:
        """Remove a job that has no waiting task, and its reservation."""
        if not pending.is_done:
            return
        self.reservations.drop(pending)
        if self.pending_by_job_id.get(pending.job.id) is pending:
            del self.pending_by_job_id[pending.job.id]

    @staticmethod
    def minimum_request(pending: PendingJob) -> Any:
        """Return what a job needs at once: one task, or all waiting ones of a gang."""
        if pending.job.kind is not JobKind.GANG:
            return pending.job.request
        return pending.job.request.times(len(pending.indexes))

    def commit_task(
        self, job: Job, index: int, worker: Worker, now: float, submitted_at: float
    ) -> None:
        """Commit a task's request on a worker."""
        task_id = task_id_of(job.id, index)
        self.placed_by_task_id[task_id] = PlacedTask(
            task_id=task_id,
            job=job,
            index=index,
            worker=worker,
            placed_at=now,
            expected_end=self.expected_end(job, now),
            submitted_at=submitted_at,
        )
        self._task_ids_by_job_id.setdefault(job.id, {})[task_id] = None
        self.worker_table.commit(worker, task_id, job.request)
        team = self.team(job.team)
        self.set_usage(team, team.used.plus(job.request), now)

    def release_task(
        self, placed: PlacedTask, now: float, marks_freed: bool = True
    ) -> None:
        """Release the room of a placed task and remove the task.

        :param marks_freed: ``False`` undoes a commit of the present round.
        """
        del self.placed_by_task_id[placed.task_id]
        self._remove_task_of_job(placed)
        request = placed.job.request
        self.worker_table.release(
            placed.worker, placed.task_id, request, marks_freed=marks_freed
        )
        team = self.team(placed.job.team)
        self.set_usage(team, team.used.minus(request), now)

    def _remove_task_of_job(self, placed: PlacedTask) -> None:
        task_ids = self._task_ids_by_job_id[placed.job.id]
        del task_ids[placed.task_id]
        if not task_ids:
            del self._task_ids_by_job_id[placed.job.id]

    def expected_end(self, job: Job, now: float) -> float:
        """Return the expected end of a task that starts now; a service never ends."""
        if job.kind is JobKind.SERVICE:
            return float("inf")
        return now + self.estimates.run_time_s(job)

    def workers_of(self, job_id: str) -> list[str]:
        """Return the workers that hold a job's tasks, one entry per task."""
        return [
            self.placed_by_task_id[task_id].worker.id
            for task_id in self._task_ids_by_job_id.get(job_id, ())
        ]

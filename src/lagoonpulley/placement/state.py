"""What the placement core knows: teams, workers, jobs that wait and that run."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..model.job import Job, JobKind, task_id_of
from .copies import CopyCounter
from .estimates import RunTimeEstimates
from .quarantine import Quarantine
from .reservation import ReservationBook
from .teams import PendingJob, Team
from .workers import WorkerTable

if TYPE_CHECKING:
    from ..model.resources import Resources
    from .workers import Worker

__all__ = ["CoreState", "PlacedTask", "PlacementSettings"]


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """How a deployment weighs its aims; times are in seconds."""

    waiting_weight: float = 0.0
    history_weight: float = 0.0
    history_half_life_s: float = 120.0
    backfill_depth: int = 8
    reserve_after_s: float = 2.0
    overtake_for_s: float = 10.0
    preempt_slack_s: float = 4.0
    replan_after_s: float = 1.0
    preempt_again_after_s: float = 5.0
    share_preempt_after_s: float | None = 0.5
    share_slack: float = 0.05


@dataclass(slots=True, eq=False)
class PlacedTask:
    """A task that holds room on a worker."""

    task_id: str
    job: Job
    index: int
    worker: Worker
    placed_at: float
    expected_end: float
    submitted_at: float
    preempting: bool = False


class CoreState:
    """State that events change and that rounds of decisions read and change."""

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.worker_table = WorkerTable()
        self.team_by_name: dict[str, Team] = {}
        self.placed_by_task_id: dict[str, PlacedTask] = {}
        self.pending_by_job_id: dict[str, PendingJob] = {}
        self.waiting_teams: dict[str, None] = {}
        self.urgent: list[tuple[float, int, PendingJob]] = []
        self.estimates = RunTimeEstimates()
        self.quarantine = Quarantine(self.worker_table)
        self.reservations = ReservationBook(self.worker_table)
        self.copies = CopyCounter(self.worker_table)
        self.limits_to_check = False
        self.shrunk_worker_ids: set[str] = set()
        self._task_ids_by_job_id: dict[str, dict[str, None]] = {}
        self._waiting_by_team: dict[str, int] = {}
        self._urgent_order = 0

    # Teams.

    def team(self, name: str) -> Team:
        """Return a team, known from now on if it was not."""
        team = self.team_by_name.get(name)
        if team is None:
            team = self.team_by_name[name] = Team(name)
        return team

    def count_waiting(self, team: str, delta: int) -> None:
        """Change the number of a team's tasks that wait."""
        self._waiting_by_team[team] = self._waiting_by_team.get(team, 0) + delta

    def change_use(self, team: Team, used: Resources, now: float) -> None:
        """Set what a team has running."""
        half_life_s = self.settings.history_half_life_s
        team.change_use(used, self.worker_table.total, now, half_life_s)

    def order_key(self, team: Team, now: float) -> float:
        """Return the rank of a team under this deployment's weights."""
        return team.order_key(
            now, self.settings.history_weight, self.settings.waiting_weight
        )

    def waiting_tasks(self) -> int:
        """Return how many tasks wait for placement."""
        return sum(self._waiting_by_team.values())

    def waiting_tasks_of(self, team: str) -> int:
        """Return how many tasks of a team wait for placement."""
        return self._waiting_by_team.get(team, 0)

    # Jobs that wait.

    def enqueue(self, pending: PendingJob, at_head: bool) -> None:
        """Add a job that waits, behind or before its team's others."""
        self.pending_by_job_id[pending.job.id] = pending
        if pending.job.kind is not JobKind.URGENT:
            self.team(pending.job.team).add(pending, at_head)
            self.waiting_teams[pending.job.team] = None
            return
        self._urgent_order += 1
        entry = (self.latest_start(pending), self._urgent_order, pending)
        heapq.heappush(self.urgent, entry)

    def latest_start(self, pending: PendingJob) -> float:
        """Return by when a job must start to be in time, in seconds."""
        job = pending.job
        deadline_s = job.deadline_s if job.deadline_s is not None else float("inf")
        return pending.submitted_at + deadline_s

    def requeue(self, placed: PlacedTask) -> None:
        """Have a task wait again, before its job's others."""
        self.count_waiting(placed.job.team, 1)
        known = self.pending_by_job_id.get(placed.job.id)
        if known is not None and not known.is_done:
            known.indexes.appendleft(placed.index)
            self.team(placed.job.team).blocked_version = 0
            return
        pending = PendingJob(placed.job, deque((placed.index,)), placed.submitted_at)
        self.enqueue(pending, at_head=True)

    def forget_if_done(self, pending: PendingJob) -> None:
        """Drop a job of which no task waits any more."""
        if not pending.is_done:
            return
        self.reservations.drop(pending)
        if self.pending_by_job_id.get(pending.job.id) is pending:
            del self.pending_by_job_id[pending.job.id]

    @staticmethod
    def whole_request(pending: PendingJob) -> Any:
        """Return what a job needs at once: a gang all of its tasks."""
        if pending.job.kind is not JobKind.GANG:
            return pending.job.request
        return pending.job.request.times(len(pending.indexes))

    # Tasks that hold room.

    def hold(
        self, job: Job, index: int, worker: Worker, now: float, submitted_at: float
    ) -> None:
        """Take room on a worker for a task."""
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
        self.change_use(team, team.used.plus(job.request), now)

    def give_back(
        self, placed: PlacedTask, now: float, marks_freed: bool = True
    ) -> None:
        """Forget a task that held room.

        :param marks_freed: whether the room was taken before the present round.
        """
        del self.placed_by_task_id[placed.task_id]
        self._forget_task_of_job(placed)
        request = placed.job.request
        self.worker_table.release(
            placed.worker, placed.task_id, request, marks_freed=marks_freed
        )
        team = self.team(placed.job.team)
        self.change_use(team, team.used.minus(request), now)

    def _forget_task_of_job(self, placed: PlacedTask) -> None:
        task_ids = self._task_ids_by_job_id[placed.job.id]
        del task_ids[placed.task_id]
        if not task_ids:
            del self._task_ids_by_job_id[placed.job.id]

    def expected_end(self, job: Job, now: float) -> float:
        """Return when a task that starts now is likely to end."""
        if job.kind is JobKind.SERVICE:
            return float("inf")
        return now + self.estimates.run_time_s(job)

    def workers_of(self, job_id: str) -> list[str]:
        """Return the workers on which a job holds room."""
        return [
            self.placed_by_task_id[task_id].worker.id
            for task_id in self._task_ids_by_job_id.get(job_id, ())
        ]

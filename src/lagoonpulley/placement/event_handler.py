"""Applies events to the state of the placement core."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ..model.job import task_id_of
from .events import (
    Event,
    JobCancelled,
    JobSubmitted,
    TaskAdopted,
    TaskEnded,
    TaskOutcome,
    TaskWithdrawn,
    TeamPolicy,
    TeamsChanged,
    UsageReported,
    WorkerChanged,
    WorkerGone,
)
from .teams import PendingJob

if TYPE_CHECKING:
    from .state import CoreState, PlacedTask

__all__ = ["EventHandler"]


class EventHandler:
    """Updates the state for each kind of event."""

    def __init__(self, state: CoreState) -> None:
        self._state = state

    def apply(self, event: Event, now: float) -> None:
        """Apply one event to the state.

        :param now: time of the event in seconds; must not decrease between calls.
        """
        match event:
            case TaskEnded():
                self._end_task(event, now)
            case JobSubmitted():
                self._submit(event)
            case JobCancelled(job_id):
                self._cancel(job_id)
            case TaskWithdrawn():
                self._withdraw(event)
            case UsageReported():
                self._record_usage(event)
            case WorkerChanged():
                self._change_worker(event)
            case WorkerGone(worker_id):
                self._state.worker_table.remove(worker_id)
            case TaskAdopted():
                self._adopt(event, now)
            case TeamsChanged(policy_by_team):
                self._change_teams(policy_by_team)
            case _:
                raise TypeError(f"unknown event {event!r}")

    def _submit(self, event: JobSubmitted) -> None:
        job = event.job
        self._state.adjust_waiting(job.team, len(event.indexes))
        known = self._state.pending_by_job_id.get(job.id)
        if known is not None and not known.cancelled:
            known.indexes.extend(event.indexes)
            self._state.team(job.team).blocked_version = 0
            return
        pending = PendingJob(job, deque(event.indexes), event.submitted_at)
        self._state.enqueue(pending, at_head=False)

    def _cancel(self, job_id: str) -> None:
        pending = self._state.pending_by_job_id.pop(job_id, None)
        if pending is not None and not pending.cancelled:
            pending.cancelled = True
            self._state.adjust_waiting(pending.job.team, -len(pending.indexes))
            # It may have kept later jobs of its team from being tried.
            self._state.team(pending.job.team).blocked_version = 0

    def _withdraw(self, event: TaskWithdrawn) -> None:
        pending = self._state.pending_by_job_id.get(event.job_id)
        if pending is None or event.index not in pending.indexes:
            return
        pending.indexes.remove(event.index)
        self._state.adjust_waiting(pending.job.team, -1)
        self._state.team(pending.job.team).blocked_version = 0
        self._state.remove_if_done(pending)

    def _end_task(self, event: TaskEnded, now: float) -> None:
        placed = self._state.placed_by_task_id.get(event.task_id)
        if placed is None:
            return
        self._record_outcome(placed, event, now)
        self._state.release_task(placed, now)
        self._state.team(placed.job.team).blocked_version = 0
        if event.requeue:
            self._state.requeue(placed)

    def _record_outcome(self, placed: PlacedTask, event: TaskEnded, now: float) -> None:
        if event.outcome is TaskOutcome.FINISHED:
            self._state.estimates.record_run_time(placed.job, event.run_time_s)
            self._state.quarantine.record_success(placed.worker)
        elif event.outcome is TaskOutcome.FAILED:
            self._state.quarantine.record_failure(placed.worker, placed.job.id, now)

    def _adopt(self, event: TaskAdopted, now: float) -> None:
        worker = self._state.worker_table.by_id.get(event.worker_id)
        if worker is None or task_id_of(event.job.id, event.index) in (
            self._state.placed_by_task_id
        ):
            return
        self._state.commit_task(
            event.job, event.index, worker, event.placed_at, event.placed_at
        )
        self._state.should_check_limits = True
        self._state.worker_ids_to_check.add(worker.id)

    def _record_usage(self, event: UsageReported) -> None:
        placed = self._state.placed_by_task_id.get(event.task_id)
        if placed is None:
            return
        declared = placed.job.request.processors_milli
        excess = max(0, event.used_processors_milli - declared)
        worker = placed.worker
        worker.measured_excess_milli = (worker.measured_excess_milli + excess) // 2

    def _change_worker(self, event: WorkerChanged) -> None:
        known = self._state.worker_table.by_id.get(event.worker_id)
        if (
            known is not None
            and known.capacity == event.capacity
            and known.accepting == event.accepting
            and not known.gone
        ):
            return
        self._state.worker_table.put(
            event.worker_id, event.rack, event.capacity, event.accepting
        )
        self._state.worker_ids_to_check.add(event.worker_id)
        self._refresh_shares()

    def _change_teams(self, policy_by_team: dict[str, TeamPolicy]) -> None:
        for name, policy in policy_by_team.items():
            self._state.team(name).policy = policy
        for name, team in self._state.team_by_name.items():
            if name not in policy_by_team:
                team.policy = TeamPolicy(0.0, withdrawn=True)
            team.blocked_version = 0
        self._state.should_check_limits = True

    def _refresh_shares(self) -> None:
        for team in self._state.team_by_name.values():
            team.share = team.used.largest_fraction_of(self._state.worker_table.total)

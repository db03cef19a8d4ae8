"""Placement core: applies events to its state and decides placements."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.job import Job, JobKind
from .decision_maker import DecisionMaker
from .event_handler import EventHandler
from .fitting import count_fitting
from .state import CoreState, PlacedTask, PlacementSettings

if TYPE_CHECKING:
    from ..model.resources import Resources
    from .events import Decision, Event
    from .teams import PendingJob

__all__ = ["PlacedTask", "PlacementCore", "PlacementSettings"]

MAX_DECISIONS_PER_ROUND = 64


class PlacementCore:
    """Decides placements and preemptions for one group of workers.

    It uses no clock, randomness or I/O, so the same events always give the same
    decisions.
    """

    def __init__(self, settings: PlacementSettings | None = None) -> None:
        state = CoreState(settings or PlacementSettings())
        self._state = state
        self._event_handler = EventHandler(state)
        self._decision_maker = DecisionMaker(state)
        self.worker_table = state.worker_table
        self.team_by_name = state.team_by_name
        self.placed_by_task_id = state.placed_by_task_id
        self.pending_by_job_id = state.pending_by_job_id
        self.estimates = state.estimates
        self.quarantine = state.quarantine

    def apply(self, event: Event, now: float) -> None:
        """Apply one event to the state.

        :param now: time of the event in seconds; must not decrease between calls.
        """
        self._event_handler.apply(event, now)

    def decide(
        self, now: float, max_decisions: int = MAX_DECISIONS_PER_ROUND
    ) -> list[Decision]:
        """Return the decisions of one round.

        The returned placements are already part of the state.

        :param max_decisions: number of decisions after which no further job is
            tried; a caller that receives as many must call again.
        """
        return self._decision_maker.decide(now, max_decisions)

    def waiting_tasks(self) -> int:
        """Return the number of tasks that wait for placement."""
        return self._state.waiting_tasks()

    def waiting_tasks_of(self, team: str) -> int:
        """Return the number of a team's tasks that wait for placement."""
        return self._state.waiting_tasks_of(team)

    def waiting_urgent_jobs_of(self, team: str) -> list[PendingJob]:
        """Return the urgent jobs of a team with tasks that wait for placement."""
        return [
            pending
            for _, _, pending in self._state.urgent_heap
            if pending.job.team == team and not pending.is_done
        ]

    def find_lacking_resource(self, job: Job) -> str | None:
        """Return the resource that keeps the job from ever being placed, or ``None``.

        The check uses the whole capacity of every known worker.

        :returns: the first resource of which some worker has too little, or
            ``workers`` if there are too few workers and none lacks a resource.
        """
        found = 0
        lacking: set[str] = set()
        for worker in self.worker_table.by_id.values():
            fits = count_fitting(job.request, worker.capacity)
            found += fits
            if not fits:
                lacking.update(_lacking(job.request, worker.capacity))
        needed = job.tasks if job.kind is JobKind.GANG else 1
        if found >= needed:
            return None
        for name in job.request._fields:
            if name in lacking:
                return name
        return "workers"


def _lacking(request: Resources, capacity: Resources) -> list[str]:
    return [
        name
        for name, want, have in zip(request._fields, request, capacity)
        if want > have
    ]

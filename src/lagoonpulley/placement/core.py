"""The placement core: events in, decisions out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.job import Job, JobKind
from .changes import EventTaker
from .copies import copies_in
from .rounds import Rounds
from .state import CoreState, PlacedTask, PlacementSettings

if TYPE_CHECKING:
    from ..model.resources import Resources
    from .events import Decision, Event
    from .teams import PendingJob

__all__ = ["PlacedTask", "PlacementCore", "PlacementSettings"]

MAX_DECISIONS_PER_ROUND = 64


class PlacementCore:
    """Queues, shares, limits and placements of one group of workers.

    It has no clock, randomness or I/O: the same events give the same decisions.
    """

    def __init__(self, settings: PlacementSettings | None = None) -> None:
        state = CoreState(settings or PlacementSettings())
        self._state = state
        self._events = EventTaker(state)
        self._rounds = Rounds(state)
        self.worker_table = state.worker_table
        self.team_by_name = state.team_by_name
        self.placed_by_task_id = state.placed_by_task_id
        self.pending_by_job_id = state.pending_by_job_id
        self.estimates = state.estimates
        self.quarantine = state.quarantine

    def apply(self, event: Event, now: float) -> None:
        """Take in one event.

        :param now: time of the event in seconds; must not decrease.
        """
        self._events.apply(event, now)

    def decide(self, now: float, most: int = MAX_DECISIONS_PER_ROUND) -> list[Decision]:
        """Return what should happen now; placements count as done.

        :param most: bound on the number of placements of this round; a caller
            that gets as many calls again.
        """
        return self._rounds.decide(now, most)

    def waiting_tasks(self) -> int:
        """Return how many tasks wait for placement."""
        return self._state.waiting_tasks()

    def waiting_tasks_of(self, team: str) -> int:
        """Return how many tasks of a team wait for placement."""
        return self._state.waiting_tasks_of(team)

    def waiting_urgent_jobs_of(self, team: str) -> list[PendingJob]:
        """Return a team's urgent jobs that wait."""
        return [
            pending
            for _, _, pending in self._state.urgent
            if pending.job.team == team and not pending.is_done
        ]

    def find_lacking_resource(self, job: Job) -> str | None:
        """Return why no worker could ever hold the job, or ``None``.

        :returns: the name of the first resource that is lacking.
        """
        found = 0
        lacking: set[str] = set()
        for worker in self.worker_table.by_id.values():
            copies = copies_in(job.request, worker.capacity)
            found += copies
            if not copies:
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

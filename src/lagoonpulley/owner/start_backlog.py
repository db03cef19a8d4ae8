"""Measures for how long jobs wait because the owner is slow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..planning.demand import BlockReason
from ..workload.record import JobState

if TYPE_CHECKING:
    from ..planning.demand import Demand
    from .term import OwnerTerm

__all__ = ["StartBacklog"]


class StartBacklog:
    """Jobs of one term that wait for a planning round or for the commit of a start.

    Jobs that wait for capacity, a team's limit or permits are not among them.

    :param began_at: beginning of the term, in monotonic seconds.
    """

    def __init__(self, began_at: float) -> None:
        self._measured_at = began_at
        self._committed = 0
        self._placed_at_by_job_id: dict[str, float] = {}
        self._unplanned_since_by_job_id: dict[str, float] = {}

    def record_placement(self, job_id: str, now: float) -> None:
        """Record that tasks of a job were placed and await their commit."""
        self._placed_at_by_job_id.setdefault(job_id, now)

    def record_commit(self, job_id: str) -> None:
        """Record that the placements of a job are durable."""
        if self._placed_at_by_job_id.pop(job_id, None) is not None:
            self._committed += 1

    def measure_delay_s(self, term: OwnerTerm, now: float) -> float:
        """Return for how long a new job would wait for this owner, in seconds.

        It is the age of the oldest waiting job, or less if the rate of starts since
        the previous measurement would clear the backlog sooner.
        """
        rate = self._committed / max(now - self._measured_at, 0.001)
        self._measured_at = now
        self._committed = 0
        self._update_unplanned(term, now)
        since_by_job_id = self._unplanned_since_by_job_id | self._placed_at_by_job_id
        if not since_by_job_id:
            return 0.0
        oldest_s = now - min(since_by_job_id.values())
        if not rate:
            return oldest_s
        return min(oldest_s, len(since_by_job_id) / rate)

    def _update_unplanned(self, term: OwnerTerm, now: float) -> None:
        previous = self._unplanned_since_by_job_id
        self._unplanned_since_by_job_id = {
            demand.record.spec.id: previous.get(demand.record.spec.id, now)
            for demand in term.backlog.in_order()
            if _awaits_planning(demand)
        }


def _awaits_planning(demand: Demand) -> bool:
    """Return whether no planning round has considered a job's first step.

    Demands of repeating jobs are renewed at each check. A step that needs permits may
    wait for the advisor without a block reason.
    """
    if demand.block_reason is not BlockReason.NONE or demand.queue.advice is not None:
        return False
    record = demand.record
    return record.state is JobState.QUEUED and not record.spec.repeats

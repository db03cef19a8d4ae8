"""Open steps of all jobs, in order of urgency."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

from .planner import BlockReason

if TYPE_CHECKING:
    from .planner import Demand

__all__ = ["Backlog"]


class Backlog:
    """Demands by job; sorted anew only after a change."""

    def __init__(self) -> None:
        self._demands_by_job_id: dict[str, list[Demand]] = {}
        self._in_order: list[Demand] | None = None
        self._kept_for: list[tuple[str, tuple[int, int]]] = []

    def replace(self, job_id: str, demands: list[Demand]) -> None:
        """Set the demands of a job."""
        if demands:
            self._demands_by_job_id[job_id] = demands
        elif self._demands_by_job_id.pop(job_id, None) is None:
            return
        self._in_order = None

    def unblock(self, job_id: str) -> None:
        """Have the demands of a job looked at in the next round."""
        for demand in self._demands_by_job_id.get(job_id, ()):
            demand.block_reason = BlockReason.NOT

    def set_reserved_gangs(self, owners: list[tuple[str, tuple[int, int]]]) -> bool:
        """Learn which gangs room is kept for.

        :returns: whether that has changed, so that what was kept from others is to be
            looked at again.
        """
        if owners == self._kept_for:
            return False
        self._kept_for = owners
        for demand in self.in_order():
            if demand.block_reason is BlockReason.KEPT:
                demand.block_reason = BlockReason.NOT
        return True

    def in_order(self) -> list[Demand]:
        """Return all demands, the most urgent first."""
        if self._in_order is None:
            found = [
                demand
                for demands in self._demands_by_job_id.values()
                for demand in demands
            ]
            found.sort(key=attrgetter("order"))
            self._in_order = found
        return self._in_order

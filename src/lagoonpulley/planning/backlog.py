"""Pending steps of all jobs, sorted by urgency."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

from .planner import BlockReason

if TYPE_CHECKING:
    from .planner import Demand

__all__ = ["Backlog"]


class Backlog:
    """Demands by job; the sorted list is cached until a demand changes."""

    def __init__(self) -> None:
        self._demands_by_job_id: dict[str, list[Demand]] = {}
        self._in_order: list[Demand] | None = None
        self._reserved_gangs: list[tuple[str, tuple[int, int]]] = []

    def replace(self, job_id: str, demands: list[Demand]) -> None:
        """Set the demands of a job."""
        if demands:
            self._demands_by_job_id[job_id] = demands
        elif self._demands_by_job_id.pop(job_id, None) is None:
            return
        self._in_order = None

    def unblock(self, job_id: str) -> None:
        """Make the next planning round consider all demands of a job."""
        for demand in self._demands_by_job_id.get(job_id, ()):
            demand.block_reason = BlockReason.NONE

    def set_reserved_gangs(self, gangs: list[tuple[str, tuple[int, int]]]) -> bool:
        """Set the gangs that hold a reservation and unblock demands if they changed.

        :returns: whether the gangs changed, so that demands which a reservation
            blocked need another round.
        """
        if gangs == self._reserved_gangs:
            return False
        self._reserved_gangs = gangs
        for demand in self.in_order():
            if demand.block_reason is BlockReason.RESERVED:
                demand.block_reason = BlockReason.NONE
        return True

    def in_order(self) -> list[Demand]:
        """Return all demands, most urgent first."""
        if self._in_order is None:
            found = [
                demand
                for demands in self._demands_by_job_id.values()
                for demand in demands
            ]
            found.sort(key=attrgetter("order"))
            self._in_order = found
        return self._in_order

"""Pending steps of all jobs, sorted by urgency."""

from __future__ import annotations

from bisect import bisect_left, insort
from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .demand import Demand

__all__ = ["Backlog"]


_order_of = attrgetter("order")


class Backlog:
    """Demands by job, and a list of all that stays sorted as they change."""

    def __init__(self) -> None:
        self._demands_by_job_id: dict[str, list[Demand]] = {}
        self._in_order: list[Demand] = []
        self._reserved_gangs: list[tuple[str, tuple[int, int]]] = []

    def replace(self, job_id: str, demands: list[Demand]) -> None:
        """Set the demands of a job."""
        for demand in self._demands_by_job_id.pop(job_id, ()):
            index = bisect_left(self._in_order, demand.order, key=_order_of)
            del self._in_order[index]
        for demand in demands:
            insort(self._in_order, demand, key=_order_of)
        if demands:
            self._demands_by_job_id[job_id] = demands

    def demands_of(self, job_id: str) -> list[Demand]:
        """Return the demands of a job."""
        return self._demands_by_job_id.get(job_id, [])

    def unblock(self, job_id: str) -> None:
        """Make the next planning round consider all demands of a job."""
        for demand in self.demands_of(job_id):
            demand.unblock()

    def set_reserved_gangs(self, gangs: list[tuple[str, tuple[int, int]]]) -> bool:
        """Set the gangs that hold a reservation; return whether they changed."""
        if gangs == self._reserved_gangs:
            return False
        self._reserved_gangs = gangs
        return True

    def in_order(self) -> list[Demand]:
        """Return all demands, most urgent first; the list changes with the backlog."""
        return self._in_order

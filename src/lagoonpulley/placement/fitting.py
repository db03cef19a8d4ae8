"""Counts how many tasks of one request fit on the workers at the same time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.resources import Resources
    from .workers import WorkerTable

__all__ = ["FitCounter", "count_fitting"]

MAX_COUNTED_REQUESTS = 64


def count_fitting(request: Resources, room: Resources) -> int:
    """Return how many tasks of a request fit into the given room."""
    fits = -1
    for want, have in zip(request, room):
        if want <= 0:
            continue
        fitting = have // want
        if fits < 0 or fitting < fits:
            fits = fitting
    return max(0, fits)


class _FitCount:
    """Fitting tasks by worker, as of one changed version of the worker table."""

    __slots__ = ("by_worker_id", "total", "version")

    def __init__(self) -> None:
        self.by_worker_id: dict[str, int] = {}
        self.total = 0
        self.version = 0


class FitCounter:
    """Caches, per request, the number of tasks that fit on unrestricted workers.

    Each count is updated from the workers that changed since the last call.
    """

    def __init__(self, worker_table: WorkerTable) -> None:
        self._worker_table = worker_table
        self._count_by_request: dict[Resources, _FitCount] = {}

    def count(self, request: Resources) -> int:
        """Return how many tasks of a request fit on all unrestricted workers."""
        count = self._count_by_request.get(request)
        if count is None:
            if len(self._count_by_request) >= MAX_COUNTED_REQUESTS:
                self._count_by_request.pop(next(iter(self._count_by_request)))
            count = self._count_by_request[request] = _FitCount()
        for worker in self._worker_table.changed_since(count.version):
            fits = 0
            if worker.accepting and not worker.restricted:
                fits = count_fitting(request, worker.free)
            count.total += fits - count.by_worker_id.get(worker.id, 0)
            count.by_worker_id[worker.id] = fits
        count.version = self._worker_table.changed_version
        return count.total

"""How many tasks of one request fit into the cell at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.resources import Resources
    from .workers import WorkerTable

__all__ = ["CopyCounter", "copies_in"]

MOST_REQUESTS = 64


def copies_in(request: Resources, room: Resources) -> int:
    """Return how many tasks of a request fit into one worker's room."""
    copies = -1
    for want, have in zip(request, room):
        if want <= 0:
            continue
        fitting = have // want
        if copies < 0 or fitting < copies:
            copies = fitting
    return max(0, copies)


class _Count:
    """Copies by worker, as of one version of the table."""

    __slots__ = ("by_worker_id", "total", "version")

    def __init__(self) -> None:
        self.by_worker_id: dict[str, int] = {}
        self.total = 0
        self.version = 0


class CopyCounter:
    """Counts copies on unrestricted workers, looking only at changed ones."""

    def __init__(self, worker_table: WorkerTable) -> None:
        self._worker_table = worker_table
        self._count_by_request: dict[Resources, _Count] = {}

    def count(self, request: Resources) -> int:
        """Return how many tasks of a request fit at once."""
        count = self._count_by_request.get(request)
        if count is None:
            if len(self._count_by_request) >= MOST_REQUESTS:
                self._count_by_request.pop(next(iter(self._count_by_request)))
            count = self._count_by_request[request] = _Count()
        for worker in self._worker_table.changed_since(count.version):
            copies = 0
            if worker.accepting and not worker.restricted:
                copies = copies_in(request, worker.free)
            count.total += copies - count.by_worker_id.get(worker.id, 0)
            count.by_worker_id[worker.id] = copies
        count.version = self._worker_table.change_version
        return count.total

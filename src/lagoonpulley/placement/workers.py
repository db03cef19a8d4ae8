"""Workers, their capacity and the resources committed on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import ZERO, Resources

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["Worker", "WorkerTable"]

MILLI_PER_BUCKET = 1000


class Worker:
    """One worker, its capacity and the requests committed on it.

    ``bucket`` is its position in the index of the worker table, -1 outside the index.
    ``order`` is the order of arrival and breaks ties. ``measured_excess_milli`` is a
    moving average of measured processor use above the declared use. The scales turn
    amounts into fractions of the capacity.
    """

    __slots__ = (
        "accepting",
        "bucket",
        "capacity",
        "changed_version",
        "committed",
        "free",
        "failed_job_ids",
        "freed_version",
        "gone",
        "id",
        "measured_excess_milli",
        "memory_scale",
        "order",
        "processor_scale",
        "quarantine_count",
        "quarantined_until",
        "rack",
        "reserved",
        "suspected",
        "task_ids",
    )

    def __init__(self, worker_id: str, rack: str, capacity: Resources, order: int):
        self.id = worker_id
        self.rack = rack
        self.capacity = capacity
        self.committed = ZERO
        self.free = capacity
        self.order = order
        self.accepting = True
        self.bucket = -1
        self.freed_version = 0
        self.changed_version = 0
        self.measured_excess_milli = 0
        self.quarantined_until = 0.0
        self.quarantine_count = 0
        self.failed_job_ids: set[str] = set()
        self.gone = False
        self.reserved = False
        self.suspected = False
        self.memory_scale = max(1, capacity.memory_mb)
        self.processor_scale = max(1, capacity.processors_milli)
        self.task_ids: dict[str, None] = {}

    @property
    def restricted(self) -> bool:
        """Whether only some tasks may use the worker: it is reserved or suspected.

        A worker is suspected from its quarantine until a task finishes on it.
        """
        return self.reserved or self.suspected

    @property
    def is_over_capacity(self) -> bool:
        """Whether the commitments exceed the capacity, which may have shrunk."""
        return min(self.free) < 0


class WorkerTable:
    """All workers, indexed by their free processors.

    The index omits workers without a free slot, since every task needs at least one.

    ``freed_version`` rises whenever room appears on a worker. A caller whose request
    fitted on no worker at version ``v`` needs to check only the workers that
    ``freed_since(v)`` yields. ``changed_version`` rises on any change of room or
    restriction, so that cached counts are updated from the changed workers alone.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Worker] = {}
        self.freed_version = 1
        self.total = ZERO
        self._buckets: list[dict[str, Worker]] = []
        self.changed_version = 0
        self._by_freed_version: dict[str, Worker] = {}
        self._by_changed_version: dict[str, Worker] = {}
        self._next_order = 0
        self._next_index = 0

    def put(
        self, worker_id: str, rack: str, capacity: Resources, accepting: bool
    ) -> Worker:
        """Add a worker, or update its rack, capacity and whether it accepts tasks."""
        worker = self.by_id.get(worker_id)
        if worker is None:
            worker = Worker(worker_id, rack, capacity, self._next_order)
            self._next_order += 1
            self.by_id[worker_id] = worker
        else:
            self._count_total(worker, -1)
        worker.rack = rack
        worker.capacity = capacity
        worker.memory_scale = max(1, capacity.memory_mb)
        worker.processor_scale = max(1, capacity.processors_milli)
        worker.accepting = accepting
        worker.gone = False
        self._count_total(worker, 1)
        worker.free = capacity.minus(worker.committed)
        self._reindex(worker)
        self.mark_freed(worker)
        return worker

    def remove(self, worker_id: str) -> None:
        """Stop placing on a worker, and remove it once it holds no task."""
        worker = self.by_id.get(worker_id)
        if worker is None:
            return
        self._count_total(worker, -1)
        worker.accepting = False
        worker.gone = True
        self._reindex(worker)
        self._remove_if_empty(worker)

    def commit(self, worker: Worker, task_id: str, request: Resources) -> None:
        """Commit a task's request on a worker."""
        worker.task_ids[task_id] = None
        worker.committed = worker.committed.plus(request)
        worker.free = worker.capacity.minus(worker.committed)
        self._reindex(worker)

    def release(
        self, worker: Worker, task_id: str, request: Resources, marks_freed: bool = True
    ) -> None:
        """Release the request of a task.

        :param marks_freed: ``False`` to undo a commit if no request was recorded as
            blocked in the meantime.
        """
        del worker.task_ids[task_id]
        worker.committed = worker.committed.minus(request)
        worker.free = worker.capacity.minus(worker.committed)
        self._reindex(worker)
        if marks_freed:
            self.mark_freed(worker)
        self._remove_if_empty(worker)

    def mark_freed(self, worker: Worker) -> None:
        """Record that requests that did not fit on a worker may fit now."""
        self.freed_version += 1
        worker.freed_version = self.freed_version
        self._by_freed_version.pop(worker.id, None)
        self._by_freed_version[worker.id] = worker

    def freed_since(self, version: int) -> Iterator[Worker]:
        """Yield accepting workers freed after ``version``, the latest first."""
        for worker in reversed(self._by_freed_version.values()):
            if worker.freed_version <= version:
                return
            if worker.accepting:
                yield worker

    def mark_changed(self, worker: Worker) -> None:
        """Record that a worker's free room or restriction changed."""
        self.changed_version += 1
        worker.changed_version = self.changed_version
        self._by_changed_version.pop(worker.id, None)
        self._by_changed_version[worker.id] = worker

    def changed_since(self, version: int) -> Iterator[Worker]:
        """Yield workers changed after ``version``, the latest first."""
        for worker in reversed(self._by_changed_version.values()):
            if worker.changed_version <= version:
                return
            yield worker

    def accepting(self) -> Iterator[Worker]:
        """Yield all workers that accept tasks."""
        for worker in self.by_id.values():
            if worker.accepting:
                yield worker

    def next_round_robin(self, max_workers: int) -> list[Worker]:
        """Return accepting workers among the next ``max_workers``, round robin."""
        workers = list(self.by_id.values())
        if not workers:
            return []
        first = self._next_index % len(workers)
        self._next_index = first + max_workers
        chosen = workers[first : first + max_workers]
        if len(chosen) < max_workers:
            chosen += workers[: min(first, max_workers - len(chosen))]
        return [worker for worker in chosen if worker.accepting]

    def buckets_from(self, processors_milli: int) -> Iterator[dict[str, Worker]]:
        """Yield buckets of accepting workers, fewest free processors first.

        :param processors_milli: free processors that are needed; workers in the first
            bucket may have fewer.
        """
        first = max(0, processors_milli) // MILLI_PER_BUCKET
        for index in range(first, len(self._buckets)):
            if self._buckets[index]:
                yield self._buckets[index]

    def buckets_descending(self) -> Iterator[dict[str, Worker]]:
        """Yield buckets of accepting workers, most free processors first."""
        for bucket in reversed(self._buckets):
            if bucket:
                yield bucket

    def _reindex(self, worker: Worker) -> None:
        self.mark_changed(worker)
        wanted = -1
        free = worker.free
        if worker.accepting and free.processors_milli >= 0 and free.slots > 0:
            wanted = worker.free.processors_milli // MILLI_PER_BUCKET
        if wanted == worker.bucket:
            return
        if worker.bucket >= 0:
            del self._buckets[worker.bucket][worker.id]
        if wanted >= 0:
            while len(self._buckets) <= wanted:
                self._buckets.append({})
            self._buckets[wanted][worker.id] = worker
        worker.bucket = wanted

    def _remove_if_empty(self, worker: Worker) -> None:
        if not worker.gone or worker.task_ids:
            return
        del self.by_id[worker.id]
        self._by_freed_version.pop(worker.id, None)
        # Stays in _by_changed_version with no room, so that cached counts drop it.
        worker.free = ZERO

    def _count_total(self, worker: Worker, sign: int) -> None:
        if worker.accepting:
            self.total = self.total.plus(worker.capacity.times(sign))

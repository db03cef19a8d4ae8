"""Workers and the room on each of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import ZERO, Resources

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["Worker", "WorkerTable"]

MILLI_PER_BUCKET = 1000


class Worker:
    """One worker, its capacity and what is committed on it."""

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
        """Whether only some tasks may use the worker: reserved or suspected."""
        return self.reserved or self.suspected

    @property
    def is_over_capacity(self) -> bool:
        """Whether more is committed than the worker holds now."""
        return min(self.free) < 0


class WorkerTable:
    """All workers, indexed by their free processors.

    Workers without a free slot are left out of the index, since every task takes
    at least one.

    A version counter rises whenever room appears on a worker. A caller that
    saw a request fit nowhere at version ``v`` needs to look only at the workers
    that :meth:`freed_since` ``v`` yields.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Worker] = {}
        self.version = 1
        self.total = ZERO
        self._buckets: list[dict[str, Worker]] = []
        self.change_version = 0
        self._by_freed_version: dict[str, Worker] = {}
        self._by_changed_version: dict[str, Worker] = {}
        self._next_order = 0
        self._turn = 0

    def put(
        self, worker_id: str, rack: str, capacity: Resources, accepting: bool
    ) -> Worker:
        """Add a worker, or change its capacity and willingness."""
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
        """Place nothing more on a worker, and forget it once it is empty."""
        worker = self.by_id.get(worker_id)
        if worker is None:
            return
        self._count_total(worker, -1)
        worker.accepting = False
        worker.gone = True
        self._reindex(worker)
        self._forget_if_empty(worker)

    def commit(self, worker: Worker, task_id: str, request: Resources) -> None:
        """Take room for a task."""
        worker.task_ids[task_id] = None
        worker.committed = worker.committed.plus(request)
        worker.free = worker.capacity.minus(worker.committed)
        self._reindex(worker)

    def release(
        self, worker: Worker, task_id: str, request: Resources, marks_freed: bool = True
    ) -> None:
        """Give back the room of a task.

        :param marks_freed: ``False`` undoes a commit after which nothing was judged by
            the room that was left.
        """
        del worker.task_ids[task_id]
        worker.committed = worker.committed.minus(request)
        worker.free = worker.capacity.minus(worker.committed)
        self._reindex(worker)
        if marks_freed:
            self.mark_freed(worker)
        self._forget_if_empty(worker)

    def mark_freed(self, worker: Worker) -> None:
        """Record that requests may fit on this worker that did not before."""
        self.version += 1
        worker.freed_version = self.version
        self._by_freed_version.pop(worker.id, None)
        self._by_freed_version[worker.id] = worker

    def freed_since(self, version: int) -> Iterator[Worker]:
        """Yield accepting workers on which room appeared after ``version``."""
        for worker in reversed(self._by_freed_version.values()):
            if worker.freed_version <= version:
                return
            if worker.accepting:
                yield worker

    def mark_changed(self, worker: Worker) -> None:
        """Record that a worker's room or restriction is other than before."""
        self.change_version += 1
        worker.changed_version = self.change_version
        self._by_changed_version.pop(worker.id, None)
        self._by_changed_version[worker.id] = worker

    def changed_since(self, version: int) -> Iterator[Worker]:
        """Yield workers whose room changed after a change version."""
        for worker in reversed(self._by_changed_version.values()):
            if worker.changed_version <= version:
                return
            yield worker

    def accepting(self) -> Iterator[Worker]:
        """Yield all workers that accept tasks."""
        for worker in self.by_id.values():
            if worker.accepting:
                yield worker

    def next_in_turn(self, most: int) -> list[Worker]:
        """Return up to ``most`` accepting workers, others at each call."""
        workers = list(self.by_id.values())
        if not workers:
            return []
        first = self._turn % len(workers)
        self._turn = first + most
        chosen = workers[first : first + most]
        if len(chosen) < most:
            chosen += workers[: min(first, most - len(chosen))]
        return [worker for worker in chosen if worker.accepting]

    def buckets_from(self, processors_milli: int) -> Iterator[dict[str, Worker]]:
        """Yield groups of accepting workers, those with least room first.

        :param processors_milli: least amount of free processors of interest.
        """
        first = max(0, processors_milli) // MILLI_PER_BUCKET
        for index in range(first, len(self._buckets)):
            if self._buckets[index]:
                yield self._buckets[index]

    def buckets_downwards(self) -> Iterator[dict[str, Worker]]:
        """Yield groups of accepting workers, those with most room first."""
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

    def _forget_if_empty(self, worker: Worker) -> None:
        if not worker.gone or worker.task_ids:
            return
        del self.by_id[worker.id]
        self._by_freed_version.pop(worker.id, None)
        # It stays among the changed ones, so that counts of it end at nothing.
        worker.free = ZERO

    def _count_total(self, worker: Worker, sign: int) -> None:
        if worker.accepting:
            self.total = self.total.plus(worker.capacity.times(sign))

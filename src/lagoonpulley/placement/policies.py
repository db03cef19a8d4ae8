"""Policies that choose a worker for one task: best fit and spread."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..model.resources import Resources
    from .workers import Worker, WorkerTable

    Admits = Callable[[Worker], bool]

__all__ = ["BestFit", "Choice", "Spread", "WorkerPolicy"]


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen worker, if any, and the number of workers examined."""

    worker: Worker | None
    candidates: int


class WorkerPolicy(Protocol):
    """Chooses a worker for one task of a job."""

    reason: str

    def choose(
        self,
        worker_table: WorkerTable,
        request: Resources,
        candidate_workers: Iterable[Worker] | None,
        admits: Admits,
        used_workers: Iterable[str],
    ) -> Choice:
        """Return the best worker on which the request fits.

        :param candidate_workers: the only workers on which the request may fit, or
            ``None`` when every worker has to be examined.
        :param admits: whether the task may use a restricted worker.
        :param used_workers: workers that hold other tasks of the same job.
        """
        ...


class BestFit:
    """Bin packing: chooses the fitting worker with the fewest free processors.

    Ties in whole free processors go to the worker that has the least memory and
    accelerators left over and whose tasks least exceed their declared use.
    """

    reason = "best fit"

    def choose(
        self,
        worker_table: WorkerTable,
        request: Resources,
        candidate_workers: Iterable[Worker] | None,
        admits: Admits,
        used_workers: Iterable[str],
    ) -> Choice:
        """See :class:`WorkerPolicy`."""
        if candidate_workers is not None:
            return self._choose_among(candidate_workers, request, admits)
        seen = 0
        for bucket in worker_table.buckets_from(request.processors_milli):
            choice = self._choose_among(bucket.values(), request, admits)
            seen += choice.candidates
            if choice.worker is not None:
                return Choice(choice.worker, seen)
        return Choice(None, seen)

    @staticmethod
    def _choose_among(
        workers: Iterable[Worker], request: Resources, admits: Admits
    ) -> Choice:
        best = None
        best_key: tuple[int, float, int] = (0, 0.0, 0)
        seen = 0
        processors, memory, accelerators, slots, connections = request
        for worker in workers:
            seen += 1
            free = worker.free
            # Unrolled because placement spends most of its time in this loop.
            if (
                free[0] < processors
                or free[1] < memory
                or free[2] < accelerators
                or free[3] < slots
                or free[4] < connections
            ):
                continue
            if worker.restricted and not admits(worker):
                continue
            leftover = (free[1] - memory) / worker.memory_scale
            leftover += free[2] - accelerators
            leftover += worker.measured_excess_milli / worker.processor_scale
            key = (worker.bucket, leftover, worker.order)
            if best is None or key < best_key:
                best, best_key = worker, key
        return Choice(best, seen)


class Spread:
    """Spreads replicas over racks, then over workers.

    Ties go to the worker with the most free processors.
    """

    reason = "spread over racks"

    def choose(
        self,
        worker_table: WorkerTable,
        request: Resources,
        candidate_workers: Iterable[Worker] | None,
        admits: Admits,
        used_workers: Iterable[str],
    ) -> Choice:
        """See :class:`WorkerPolicy`."""
        on_worker, in_rack = _count_replicas(worker_table, used_workers)
        best = None
        best_key = None
        seen = 0
        for worker in (
            worker_table.accepting() if candidate_workers is None else candidate_workers
        ):
            seen += 1
            if not request.fits_in(worker.free):
                continue
            if worker.restricted and not admits(worker):
                continue
            key = (
                in_rack.get(worker.rack, 0),
                on_worker.get(worker.id, 0),
                -worker.free.processors_milli,
                worker.order,
            )
            if best_key is None or key < best_key:
                best, best_key = worker, key
        return Choice(best, seen)


def _count_replicas(
    worker_table: WorkerTable, used_workers: Iterable[str]
) -> tuple[dict[str, int], dict[str, int]]:
    on_worker: dict[str, int] = {}
    in_rack: dict[str, int] = {}
    for worker_id in used_workers:
        on_worker[worker_id] = on_worker.get(worker_id, 0) + 1
        worker = worker_table.by_id.get(worker_id)
        if worker is not None:
            in_rack[worker.rack] = in_rack.get(worker.rack, 0) + 1
    return on_worker, in_rack

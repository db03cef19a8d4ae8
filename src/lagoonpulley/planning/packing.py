"""Bin packing of the tasks of one step onto workers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from ..model.resources import Resources
from .worker_speed import SpeedTier

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..workload.spec import StepKey, StepSpec
    from .cell import Cell, CellWorker

__all__ = [
    "SpeedPreference",
    "StepTaskCounts",
    "eligible_workers",
    "least_at_risk",
    "pack_gang",
    "pack_tasks",
]

# A worker that crashed more recently is a worse place to find out why another did.
RECENT_CRASH_S = 10.0
# A task that was placed more recently would be suspected as well.
RECENT_PLACEMENT_S = 0.5


class SpeedPreference(Enum):
    """Which workers the tasks of a step go to first; a gang always goes to fast ones.

    Work that can wait goes to slow workers, and leaves the fast ones to the rest.
    """

    NONE = 0
    FAST = 1
    SLOW = -1


class StepTaskCounts:
    """Number of tasks of one step that each worker already has."""

    def __init__(self, count_by_worker_id: dict[str, int]) -> None:
        self.count_by_worker_id = count_by_worker_id

    @classmethod
    def from_workers(
        cls, workers: Iterable[CellWorker], step: StepSpec, job_id: str, key: StepKey
    ) -> StepTaskCounts:
        """Count the tasks, but only if the step limits its tasks per worker."""
        if not step.most_per_worker:
            return cls({})
        return cls({worker.info.id: worker.count_of(job_id, key) for worker in workers})


def eligible_workers(
    cell: Cell, service: str, step: StepSpec, now: float, worker_ids: set[str] | None
) -> list[CellWorker]:
    """Return the workers that may run a step, even if their capacity is used up.

    :param worker_ids: the workers that the queue's advisor allows, ``None`` for all.
    :param now: monotonic time in seconds.
    """
    workers: Iterable[CellWorker] = cell.worker_by_id.values()
    if worker_ids is not None:
        # An advisor allows few of many, so the others are left out first.
        worker_by_id = cell.worker_by_id.items()
        workers = [worker for key, worker in worker_by_id if key in worker_ids]
    label = step.required_label
    found = []
    for worker in workers:
        if not worker.accepting or worker.avoid_until > now:
            continue
        info = worker.info
        if info.service != service or (label and label not in info.labels):
            continue
        found.append(worker)
    return found


def pack_tasks(
    step: StepSpec,
    workers: Iterable[CellWorker],
    count: int,
    task_counts: StepTaskCounts,
    reserved_by_worker_id: dict[str, Resources],
    preference: SpeedPreference = SpeedPreference.NONE,
) -> list[CellWorker]:
    """Choose workers for up to ``count`` independent tasks, best fit first.

    :param reserved_by_worker_id: capacity that is reserved for other steps.
    :param preference: the speed goes before the fit.
    :returns: one worker per task; fewer if capacity is lacking.
    """
    state = _PackingState(step, workers, task_counts, reserved_by_worker_id, preference)
    chosen = []
    for _ in range(count):
        worker = state.place_next()
        if worker is None:
            break
        chosen.append(worker)
    return chosen


def least_at_risk(workers: Iterable[CellWorker], now: float) -> list[CellWorker]:
    """Return workers in the order in which a crash tells most, and harms least.

    :param now: monotonic time in seconds.
    """

    def sort_key(worker: CellWorker) -> tuple[bool, bool, int, int]:
        crashed_at = worker.crashed_at
        return (
            crashed_at is not None and now - crashed_at < RECENT_CRASH_S,
            now - worker.placed_at < RECENT_PLACEMENT_S,
            len(worker.claim_by_ref),
            worker.used.processors_milli,
        )

    return sorted(workers, key=sort_key)


def pack_gang(
    step: StepSpec,
    workers: Iterable[CellWorker],
    task_counts: StepTaskCounts,
    reserved_by_worker_id: dict[str, Resources],
) -> list[CellWorker]:
    """Choose workers for all tasks of a gang.

    A gang is as slow as its slowest worker, so slower workers are used only if the
    faster ones cannot hold it.

    :returns: one worker per task; empty if the gang does not fit as a whole.
    """
    workers = list(workers)
    tried = 0
    for slowest in SpeedTier:
        group = [worker for worker in workers if worker.speed_tier <= slowest]
        if len(group) == tried:
            continue
        tried = len(group)
        chosen = _pack_whole(step, group, task_counts, reserved_by_worker_id)
        if chosen:
            return chosen
    return []


def _pack_whole(
    step: StepSpec,
    workers: list[CellWorker],
    task_counts: StepTaskCounts,
    reserved_by_worker_id: dict[str, Resources],
) -> list[CellWorker]:
    """Choose workers for all tasks of a step.

    If the step asks for a single rack, the first rack that can hold all tasks is used.
    Otherwise, or if no rack can, best fit keeps the number of workers low.

    :returns: one worker per task; empty if the tasks do not all fit.
    """
    if step.same_rack:
        for group in _by_rack(workers).values():
            chosen = pack_tasks(
                step, group, step.count, task_counts, reserved_by_worker_id
            )
            if len(chosen) == step.count:
                return chosen
    chosen = pack_tasks(step, workers, step.count, task_counts, reserved_by_worker_id)
    return chosen if len(chosen) == step.count else []


class _PackingState:
    """Free capacity of the workers while tasks of one step are placed on them."""

    def __init__(
        self,
        step: StepSpec,
        workers: Iterable[CellWorker],
        task_counts: StepTaskCounts,
        reserved_by_worker_id: dict[str, Resources],
        preference: SpeedPreference,
    ) -> None:
        self._step = step
        self._speed_sign = preference.value
        self._request = step.capacity_request
        self._count_by_worker_id = dict(task_counts.count_by_worker_id)
        # Sorted so that the best fit is last. Placing a task on the best fit leaves it
        # the best fit for the next task, for as long as it has room.
        self._candidates = self._fitting(workers, reserved_by_worker_id)
        self._candidates.reverse()

    def _fitting(
        self, workers: Iterable[CellWorker], reserved_by_worker_id: dict[str, Resources]
    ) -> list[tuple[CellWorker, Resources]]:
        """Return the workers with room and their free capacity, best fit first."""
        found = []
        for worker in workers:
            free = worker.free_beside(reserved_by_worker_id)
            if self._request.fits_in(free):
                found.append((worker, free))
        found.sort(key=self._sort_key)
        return found

    def place_next(self) -> CellWorker | None:
        """Place one task by best fit; return its worker, or ``None`` if none fits."""
        while self._candidates:
            worker, free = self._candidates.pop()
            if not self._request.fits_in(free) or not self._is_below_task_limit(worker):
                continue
            self._candidates.append((worker, free.minus(self._request)))
            count = self._count_by_worker_id.get(worker.info.id, 0)
            self._count_by_worker_id[worker.info.id] = count + 1
            return worker
        return None

    def _sort_key(
        self, candidate: tuple[CellWorker, Resources]
    ) -> tuple[bool, int, int, int]:
        worker, free = candidate
        off_rack = bool(self._step.data_rack) and (
            self._step.data_rack not in worker.info.labels
        )
        speed_rank = worker.speed_tier * self._speed_sign
        return off_rack, speed_rank, free.processors_milli, free.memory_mb

    def _is_below_task_limit(self, worker: CellWorker) -> bool:
        max_per_worker = self._step.most_per_worker
        return (
            not max_per_worker
            or self._count_by_worker_id.get(worker.info.id, 0) < max_per_worker
        )


def _by_rack(workers: list[CellWorker]) -> dict[str, list[CellWorker]]:
    workers_by_rack: dict[str, list[CellWorker]] = {}
    for worker in workers:
        workers_by_rack.setdefault(worker.info.rack, []).append(worker)
    return workers_by_rack

"""Choice of workers for the tasks of one step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..workload.spec import StepKey, StepSpec
    from .cell import Cell, WorkerRoom

__all__ = ["Spread", "eligible_rooms", "pack_gang", "pack_tasks"]


class Spread:
    """How many tasks of the step each worker has already."""

    def __init__(self, count_by_worker_id: dict[str, int]) -> None:
        self.count_by_worker_id = count_by_worker_id

    @classmethod
    def from_rooms(
        cls, rooms: Iterable[WorkerRoom], step: StepSpec, job_id: str, key: StepKey
    ) -> Spread:
        """Count only where the step bounds its tasks on one worker."""
        if not step.most_per_worker:
            return cls({})
        return cls({room.info.id: room.count_of(job_id, key) for room in rooms})


def eligible_rooms(
    cell: Cell, service: str, step: StepSpec, now: float, worker_ids: set[str] | None
) -> list[WorkerRoom]:
    """Return the workers that may run a step, whether or not they have room.

    :param worker_ids: the only workers that the queue's policy allows, or ``None``.
    :param now: monotonic time in seconds.
    """
    found = []
    for room in cell.room_by_worker_id.values():
        if not room.accepting or room.info.service != service:
            continue
        if room.avoid_until > now:
            continue
        if worker_ids is not None and room.info.id not in worker_ids:
            continue
        if step.required_label and step.required_label not in room.info.labels:
            continue
        found.append(room)
    return found


def pack_tasks(
    step: StepSpec,
    rooms: Iterable[WorkerRoom],
    count: int,
    spread: Spread,
    kept_by_worker_id: dict[str, Resources],
) -> list[WorkerRoom]:
    """Choose workers for up to ``count`` independent tasks, best fit first.

    :param kept_by_worker_id: room that is kept for others.
    :returns: one worker a task, fewer when room is lacking.
    """
    packing = _Packing(step, rooms, spread, kept_by_worker_id)
    chosen = []
    for _ in range(count):
        room = packing.take_best()
        if room is None:
            break
        chosen.append(room)
    return chosen


def pack_gang(
    step: StepSpec,
    rooms: Iterable[WorkerRoom],
    spread: Spread,
    kept_by_worker_id: dict[str, Resources],
) -> list[WorkerRoom]:
    """Choose workers for all tasks of a gang.

    One rack is taken where the step asks for it and a rack has the room, else the
    fewest workers.

    :returns: one worker a task, or nothing when they do not all fit.
    """
    rooms = list(rooms)
    if step.same_rack:
        for group in _by_rack(rooms).values():
            chosen = pack_tasks(step, group, step.count, spread, kept_by_worker_id)
            if len(chosen) == step.count:
                return chosen
    chosen = pack_tasks(step, rooms, step.count, spread, kept_by_worker_id)
    return chosen if len(chosen) == step.count else []


class _Packing:
    """Free room of some workers while tasks of one step are put there."""

    def __init__(
        self,
        step: StepSpec,
        rooms: Iterable[WorkerRoom],
        spread: Spread,
        kept_by_worker_id: dict[str, Resources],
    ) -> None:
        self._step = step
        self._request = step.capacity_request
        self._free_by_worker_id: dict[str, Resources] = {}
        self._count_by_worker_id = dict(spread.count_by_worker_id)
        self._rooms = []
        for room in rooms:
            free = room.free
            kept = kept_by_worker_id.get(room.info.id)
            if kept is not None:
                free = free.minus(kept)
            if not self._request.fits_in(free):
                continue
            self._free_by_worker_id[room.info.id] = free
            self._rooms.append(room)

    def take_best(self) -> WorkerRoom | None:
        """Return the worker that is fullest after one more task, if any has room."""
        best: WorkerRoom | None = None
        best_key: tuple[bool, int, int] | None = None
        for room in self._rooms:
            free = self._free_by_worker_id[room.info.id]
            if not self._request.fits_in(free) or not self._may_take(room):
                continue
            key = self._key(room, free)
            if best_key is None or key < best_key:
                best, best_key = room, key
        if best is not None:
            worker_id = best.info.id
            free = self._free_by_worker_id[worker_id]
            self._free_by_worker_id[worker_id] = free.minus(self._request)
            count = self._count_by_worker_id.get(worker_id, 0)
            self._count_by_worker_id[worker_id] = count + 1
        return best

    def _key(self, room: WorkerRoom, free: Resources) -> tuple[bool, int, int]:
        off_rack = bool(self._step.data_rack) and (
            self._step.data_rack not in room.info.labels
        )
        return off_rack, free.processors_milli, free.memory_mb

    def _may_take(self, room: WorkerRoom) -> bool:
        most = self._step.most_per_worker
        return not most or self._count_by_worker_id.get(room.info.id, 0) < most


def _by_rack(rooms: list[WorkerRoom]) -> dict[str, list[WorkerRoom]]:
    rooms_by_rack: dict[str, list[WorkerRoom]] = {}
    for room in rooms:
        rooms_by_rack.setdefault(room.info.rack, []).append(room)
    return rooms_by_rack

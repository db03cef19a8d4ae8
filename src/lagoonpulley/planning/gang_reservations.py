"""Room kept free for gangs that wait, so that smaller work cannot pass them for ever.

Answers an overload of mixed work: tasks of less urgent steps fit into every gap, and
a gang, which needs all its room at once, would find it only when they run out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import Resources
from .packing import pack_tasks

if TYPE_CHECKING:
    from ..workload.spec import StepSpec
    from .cell import WorkerRoom
    from .packing import Spread

__all__ = ["GangReservations"]

# Gangs that room is kept for at a time; more would leave too much of it idle.
MOST_GANGS = 2
RESERVE_AFTER_S = 0.4


class GangReservations:
    """Room that later demands of one round must leave to earlier ones."""

    def __init__(self) -> None:
        self.kept_by_worker_id: dict[str, Resources] = {}
        self.owners: list[tuple[str, tuple[int, int]]] = []

    @property
    def is_full(self) -> bool:
        """Whether room is kept for as many gangs as may be."""
        return len(self.owners) >= MOST_GANGS

    def keep_for(
        self,
        owner: tuple[str, tuple[int, int]],
        step: StepSpec,
        rooms: list[WorkerRoom],
        spread: Spread,
    ) -> None:
        """Keep what is free now for a gang that does not fit yet.

        :param owner: the job and step that the room is kept for.
        :param rooms: the workers that may run the step.
        """
        if not _could_ever_fit(step, rooms):
            return
        self.owners.append(owner)
        chosen = pack_tasks(step, rooms, step.count, spread, self.kept_by_worker_id)
        for room in chosen:
            self._keep(room, step.capacity_request)
        self._keep_parts(step, rooms, step.count - len(chosen))

    def _keep_parts(
        self, step: StepSpec, rooms: list[WorkerRoom], missing: int
    ) -> None:
        """Keep the free parts of the emptiest workers, one task each."""
        by_room = sorted(rooms, key=lambda room: -self._free(room).processors_milli)
        for room in by_room[:missing]:
            free = self._free(room)
            part = [
                min(want, max(0, have))
                for want, have in zip(step.capacity_request, free)
            ]
            self._keep(room, Resources(*part))

    def _free(self, room: WorkerRoom) -> Resources:
        kept = self.kept_by_worker_id.get(room.info.id)
        return room.free.minus(kept) if kept else room.free

    def _keep(self, room: WorkerRoom, amount: Resources) -> None:
        kept = self.kept_by_worker_id.get(room.info.id, Resources())
        self.kept_by_worker_id[room.info.id] = kept.plus(amount)


def _could_ever_fit(step: StepSpec, rooms: list[WorkerRoom]) -> bool:
    """Return whether the gang fits on its workers when nothing else runs there."""
    found = 0
    for room in rooms:
        copies = [
            have // want
            for want, have in zip(step.capacity_request, room.info.capacity)
            if want
        ]
        found += min(copies, default=step.count)
        if found >= step.count:
            return True
    return False

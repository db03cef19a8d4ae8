"""Room on workers, and what teams have running."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model.resources import ZERO, Resources

if TYPE_CHECKING:
    from ..upstream.directory import WorkerInfo
    from ..upstream.tasks import TaskRef
    from ..workload.spec import StepKey

__all__ = ["Cell", "Claim", "WorkerRoom"]


@dataclass(frozen=True, slots=True)
class Claim:
    """Room that one run takes, or may take, on a worker.

    ``counted`` is held against the worker's capacity, ``request`` against the
    team's limit.
    """

    ref: TaskRef
    team: str
    request: Resources
    counted: Resources


@dataclass(slots=True, eq=False)
class WorkerRoom:
    """One worker, its capacity and the claims on it."""

    info: WorkerInfo
    accepting: bool = False
    avoid_until: float = 0.0
    used: Resources = ZERO
    claim_by_ref: dict[TaskRef, Claim] = field(default_factory=dict)

    @property
    def free(self) -> Resources:
        """Capacity that nothing claims."""
        return self.info.capacity.minus(self.used)

    def count_of(self, job_id: str, step_key: StepKey) -> int:
        """Return how many tasks of a step have a claim here."""
        count = 0
        for ref in self.claim_by_ref:
            if ref.job_id == job_id and ref.key.step_key == step_key:
                count += 1
        return count


class Cell:
    """All workers of one owner.

    ``version`` rises whenever room may have appeared.
    """

    def __init__(self) -> None:
        self.room_by_worker_id: dict[str, WorkerRoom] = {}
        self.used_by_team: dict[str, Resources] = {}
        self.version = 0

    def put_worker(self, info: WorkerInfo) -> WorkerRoom:
        """Add a worker or change what is known of it."""
        room = self.room_by_worker_id.get(info.id)
        if room is None:
            room = self.room_by_worker_id[info.id] = WorkerRoom(info)
        room.info = info
        self.version += 1
        return room

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker and every claim on it."""
        room = self.room_by_worker_id.pop(worker_id, None)
        if room is None:
            return
        for claim in list(room.claim_by_ref.values()):
            self._use(claim.team, ZERO.minus(claim.request))
        self.version += 1

    def set_accepting(self, worker_id: str, accepting: bool) -> None:
        """Note whether tasks may be placed on a worker."""
        room = self.room_by_worker_id.get(worker_id)
        if room is None or room.accepting == accepting:
            return
        room.accepting = accepting
        self.version += 1

    def claim(self, worker_id: str, claim: Claim) -> None:
        """Take room for a run; claims of one run count once."""
        room = self.room_by_worker_id[worker_id]
        if claim.ref in room.claim_by_ref:
            return
        room.claim_by_ref[claim.ref] = claim
        room.used = room.used.plus(claim.counted)
        self._use(claim.team, claim.request)

    def release(self, worker_id: str, ref: TaskRef) -> None:
        """Give back the room of a run."""
        room = self.room_by_worker_id.get(worker_id)
        claim = room.claim_by_ref.pop(ref, None) if room else None
        if room is None or claim is None:
            return
        room.used = room.used.minus(claim.counted)
        self._use(claim.team, ZERO.minus(claim.request))
        self.version += 1

    def used_by(self, team: str) -> Resources:
        """Return what a team has claimed."""
        return self.used_by_team.get(team, ZERO)

    def capacity_of(self, service: str) -> Resources:
        """Return the capacity of the accepting workers of a service."""
        total = ZERO
        for room in self.room_by_worker_id.values():
            if room.info.service == service and room.accepting:
                total = total.plus(room.info.capacity)
        return total

    def _use(self, team: str, change: Resources) -> None:
        self.used_by_team[team] = self.used_by(team).plus(change)

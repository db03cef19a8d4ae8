"""Room on workers, and what teams have running."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model.resources import ZERO, Resources

if TYPE_CHECKING:
    from ..upstream.directory import WorkerInfo
    from ..upstream.tasks import TaskRef
    from ..workload.spec import StepKey

__all__ = ["Cell", "Changes", "Claim", "WorkerRoom"]


@dataclass(frozen=True, slots=True)
class Claim:
    """Room that one run takes, or may take, on a worker.

    ``counted`` is held against the worker's capacity, ``request`` against the
    team's limit.
    """

    ref: TaskRef
    team: str
    request: Resources
    capacity_request: Resources


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


@dataclass(frozen=True, slots=True)
class Changes:
    """Workers on which room has appeared, and teams that run less than before."""

    freed: tuple[WorkerRoom, ...]
    relieved_teams: set[str]

    def may_fit(self, request: Resources) -> bool:
        """Return whether a task may fit now that did not before."""
        return any(room.accepting and request.fits_in(room.free) for room in self.freed)


class Cell:
    """All workers of one owner.

    It remembers on which workers room has appeared, and which teams have given
    some back, since it was last asked.
    """

    def __init__(self) -> None:
        self.room_by_worker_id: dict[str, WorkerRoom] = {}
        self.used_by_team: dict[str, Resources] = {}
        self._freed_by_id: dict[str, WorkerRoom] = {}
        self._relieved_teams: set[str] = set()
        self._avoided_by_id: dict[str, WorkerRoom] = {}

    def take_changes(self, now: float) -> Changes:
        """Return what has become possible since the last call.

        :param now: monotonic time in seconds.
        """
        for worker_id, room in list(self._avoided_by_id.items()):
            if room.avoid_until <= now:
                del self._avoided_by_id[worker_id]
                self._freed_by_id[worker_id] = room
        changes = Changes(tuple(self._freed_by_id.values()), self._relieved_teams)
        self._freed_by_id = {}
        self._relieved_teams = set()
        return changes

    def avoid(self, worker_id: str, until: float) -> None:
        """Place nothing on a worker until a monotonic time in seconds."""
        room = self.room_by_worker_id.get(worker_id)
        if room is not None:
            room.avoid_until = until
            self._avoided_by_id[worker_id] = room

    def put_worker(self, info: WorkerInfo) -> WorkerRoom:
        """Add a worker or change what is known of it."""
        room = self.room_by_worker_id.get(info.id)
        if room is None:
            room = self.room_by_worker_id[info.id] = WorkerRoom(info)
        has_changed = room.info != info
        room.info = info
        if has_changed:
            self._freed_by_id[info.id] = room
        return room

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker and every claim on it."""
        room = self.room_by_worker_id.pop(worker_id, None)
        if room is None:
            return
        for claim in list(room.claim_by_ref.values()):
            self._give_back(claim)
        self._freed_by_id.pop(worker_id, None)
        self._avoided_by_id.pop(worker_id, None)

    def set_accepting(self, worker_id: str, accepting: bool) -> bool:
        """Note whether tasks may be placed on a worker; return whether it is new."""
        room = self.room_by_worker_id.get(worker_id)
        if room is None or room.accepting == accepting:
            return False
        room.accepting = accepting
        self._freed_by_id[worker_id] = room
        return True

    def claim(self, worker_id: str, claim: Claim) -> None:
        """Take room for a run; claims of one run count once."""
        room = self.room_by_worker_id[worker_id]
        if claim.ref in room.claim_by_ref:
            return
        room.claim_by_ref[claim.ref] = claim
        room.used = room.used.plus(claim.capacity_request)
        self._use(claim.team, claim.request)

    def release(self, worker_id: str, ref: TaskRef) -> None:
        """Give back the room of a run."""
        room = self.room_by_worker_id.get(worker_id)
        claim = room.claim_by_ref.pop(ref, None) if room else None
        if room is None or claim is None:
            return
        room.used = room.used.minus(claim.capacity_request)
        self._freed_by_id[worker_id] = room
        self._give_back(claim)

    def used_by(self, team: str) -> Resources:
        """Return what a team has claimed."""
        return self.used_by_team.get(team, ZERO)

    def _give_back(self, claim: Claim) -> None:
        self._use(claim.team, ZERO.minus(claim.request))
        self._relieved_teams.add(claim.team)

    def _use(self, team: str, change: Resources) -> None:
        self.used_by_team[team] = self.used_by(team).plus(change)

"""Which tasks to start where, in order of urgency."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from ..upstream.tasks import TaskRef
from ..workload.spec import StepKey, TaskKey
from .cell import Claim
from .gang_reservations import RESERVE_AFTER_S, GangReservations
from .packing import Spread, eligible_rooms, pack_gang, pack_tasks

if TYPE_CHECKING:
    from ..model.resources import Resources
    from ..policy.values import Queue, TeamLimits
    from ..workload.record import JobRecord
    from .cell import Cell, Changes, WorkerRoom
    from .permits import PermitTable, StepPermits

__all__ = [
    "AdviceBudget",
    "AdviceRequest",
    "BlockReason",
    "Demand",
    "Plan",
    "Planner",
    "Start",
]

# Workers named in one question at most; the advisor takes no more.
MOST_NAMED = 100
# A step that may run somewhere is asked about again when this share is unknown.
UNKNOWN_SHARE = 0.3
# How long a step waits for room on workers on which it has not failed yet.
SHUN_PATIENCE_S = 1.0


class BlockReason(Enum):
    """Why a demand was not served when it was last looked at.

    ``KEPT``: room is there, or may be, and is kept for a gang.
    """

    NOT = "not"
    ROOM = "room"
    LIMIT = "limit"
    KEPT = "kept"
    ADVICE = "advice"


@dataclass(slots=True, eq=False)
class Demand:
    """An open step of a job with tasks that wait.

    ``due_at`` is when the job should be complete, in seconds of the wall clock.
    """

    record: JobRecord
    key: StepKey
    queue: Queue
    due_at: float
    block_reason: BlockReason = BlockReason.NOT
    room_lacks_since: float | None = None

    @property
    def order(self) -> tuple[int, float, str, StepKey]:
        """Rank among all demands; the lowest is served first."""
        return (self.queue.priority, self.due_at, self.record.spec.id, self.key)

    @property
    def shunned_ids(self) -> set[str]:
        """Workers on which a task of the step has failed or stood still."""
        return self.record.avoided_workers_by_step.get(self.key, set())

    def has_lacked_room(self, duration_s: float, now: float) -> bool:
        """Return whether room was lacking for so long already."""
        since = self.room_lacks_since
        return since is not None and now - since >= duration_s

    def is_worth_a_look(self, changes: Changes, now: float) -> bool:
        """Return whether anything that blocked the demand has changed."""
        match self.block_reason:
            case BlockReason.ROOM | BlockReason.KEPT:
                if self.shunned_ids and self.has_lacked_room(SHUN_PATIENCE_S, now):
                    return True
                return changes.may_fit(self.record.step_of(self.key).capacity_request)
            case BlockReason.LIMIT:
                return self.record.spec.team in changes.relieved_teams
            case BlockReason.ADVICE:
                return False
        return True


@dataclass(frozen=True, slots=True)
class Start:
    """Start tasks of one step, each on its worker, under one run number."""

    record: JobRecord
    run: int
    placements: tuple[tuple[TaskKey, str], ...]
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Ask a queue's advisor about workers for a step."""

    record: JobRecord
    key: StepKey
    queue: Queue
    worker_ids: tuple[str, ...]
    entry: str


@dataclass(frozen=True, slots=True)
class Plan:
    """The decisions of one round."""

    starts: tuple[Start, ...]
    advice_requests: tuple[AdviceRequest, ...]


class AdviceBudget(Protocol):
    """Keeps questions to advisors within what they can answer soon."""

    def reserve(self, cost_s: float, now: float) -> str | None:
        """Return the entry that may ask, or ``None`` when all are busy.

        :param cost_s: how long the question keeps the advisor busy, in seconds.
        :param now: monotonic time in seconds.
        """
        ...


class Planner:
    """Goes through the demands in order and places what fits.

    :param now: monotonic time in seconds of the round.
    :param advice: says which entry may ask an advisor now.
    """

    def __init__(
        self,
        cell: Cell,
        permits: PermitTable,
        limits_by_team: dict[str, TeamLimits],
        now: float,
        advice: AdviceBudget,
    ) -> None:
        self._advice = advice
        self._cell = cell
        self._permits = permits
        self._limits_by_team = limits_by_team
        self._now = now
        self._starts: list[Start] = []
        self._questions: list[AdviceRequest] = []
        self._held_back = GangReservations()

    @property
    def reserved_gangs(self) -> list[tuple[str, tuple[int, int]]]:
        """The steps that room was kept for in this round."""
        return self._held_back.owners

    def plan(self, demands: list[Demand], most_starts: int) -> Plan:
        """Return what to do now; the room of starts is claimed in the cell.

        :param demands: in order of urgency.
        :param most_starts: bound on the tasks started in this round.
        """
        started = 0
        changes = self._cell.take_changes(self._now)
        for demand in demands:
            if not demand.is_worth_a_look(changes, self._now):
                self._keep_room(demand)
                continue
            if started >= most_starts:
                # Left for the next round, with all that changed before this one.
                demand.block_reason = BlockReason.NOT
                continue
            demand.block_reason = BlockReason.NOT
            started += self._serve(demand)
            self._keep_room(demand)
        return Plan(tuple(self._starts), tuple(self._questions))

    def _keep_room(self, demand: Demand) -> None:
        """Keep room for a gang that has lacked it for a while."""
        step = demand.record.step_of(demand.key)
        if demand.block_reason is not BlockReason.ROOM or not step.gang:
            return
        if not demand.has_lacked_room(RESERVE_AFTER_S, self._now):
            return
        if self._held_back.is_full:
            return
        rooms = self._rooms_of(demand)
        spec = demand.record.spec
        spread = Spread.from_rooms(rooms, step, spec.id, demand.key)
        self._held_back.keep_for((spec.id, demand.key), step, rooms, spread)

    def _rooms_of(self, demand: Demand) -> list[WorkerRoom]:
        """Return the workers that may run a demand's step."""
        worker_ids = None
        if demand.queue.advice is not None:
            permits = self._permits.for_step(demand.record.spec.id, demand.key)
            worker_ids = permits.allowed_ids
        step = demand.record.step_of(demand.key)
        service = demand.queue.service
        rooms = eligible_rooms(self._cell, service, step, self._now, worker_ids)
        shunned = demand.shunned_ids
        if not shunned or demand.has_lacked_room(SHUN_PATIENCE_S, self._now):
            return rooms
        return [room for room in rooms if room.info.id not in shunned] or rooms

    def _serve(self, demand: Demand) -> int:
        """Start what fits of a demand; return the number of tasks."""
        step = demand.record.step_of(demand.key)
        waiting = demand.record.waiting_of(demand.key)
        if not waiting or (step.gang and len(waiting) < step.count):
            return 0
        permits = None
        if demand.queue.advice is not None:
            permits = self._permits.for_step(demand.record.spec.id, demand.key)
            self._ask_about_new_workers(demand, permits)
            if not permits.allowed_ids:
                if permits.request_pending:
                    demand.block_reason = BlockReason.ADVICE
                return 0
        rooms = self._rooms_of(demand)
        chosen = self._choose(demand, rooms, len(waiting))
        if not chosen:
            self._block(demand)
            return 0
        if permits is not None:
            chosen = self._with_permit(demand, permits, chosen, rooms, len(waiting))
        if not chosen:
            if permits.request_pending:
                demand.block_reason = BlockReason.ADVICE
            return 0
        self._start(demand, waiting, chosen)
        return len(chosen)

    def _choose(
        self, demand: Demand, rooms: list[WorkerRoom], count: int
    ) -> list[WorkerRoom]:
        """Return workers for the waiting tasks within the team's limit."""
        record, key = demand.record, demand.key
        step = record.step_of(key)
        allowed = self._allowed_by_limit(record.spec.team, step.request, count)
        spread = Spread.from_rooms(rooms, step, record.spec.id, key)
        kept = self._held_back.kept_by_worker_id
        if not step.gang:
            return pack_tasks(step, rooms, allowed, spread, kept)
        if allowed < step.count:
            return []
        return pack_gang(step, rooms, spread, kept)

    def _block(self, demand: Demand) -> None:
        """Note what keeps a demand waiting."""
        step = demand.record.step_of(demand.key)
        needed = step.count if step.gang else 1
        team = demand.record.spec.team
        allowed = self._allowed_by_limit(team, step.request, needed)
        if allowed < needed:
            demand.block_reason = BlockReason.LIMIT
            return
        if demand.room_lacks_since is None:
            demand.room_lacks_since = self._now
        demand.block_reason = (
            BlockReason.KEPT if self._held_back.owners else BlockReason.ROOM
        )

    def _allowed_by_limit(self, team: str, request: Resources, count: int) -> int:
        """Return how many of some tasks a team may start."""
        limits = self._limits_by_team.get(team)
        if limits is None:
            return count
        used = self._cell.used_by(team)
        for allowed in range(count):
            used = used.plus(request)
            if not limits.allows(used):
                return allowed
        return count

    def _ask_about_new_workers(self, demand: Demand, permits: StepPermits) -> None:
        if permits.request_pending or permits.next_request_at > self._now:
            return
        step = demand.record.step_of(demand.key)
        service = demand.queue.service
        rooms = eligible_rooms(self._cell, service, step, self._now, None)
        unknown = [
            room
            for room in rooms
            if room.info.id not in permits.known_ids
            and step.capacity_request.fits_in(room.info.capacity)
        ]
        usable = any(room.info.id in permits.allowed_ids for room in rooms)
        if not unknown or (usable and len(unknown) < len(rooms) * UNKNOWN_SHARE):
            return
        unknown.sort(key=lambda room: -room.free.processors_milli)
        self._ask(demand, permits, [room.info.id for room in unknown])

    def _with_permit(
        self,
        demand: Demand,
        permits: StepPermits,
        chosen: list[WorkerRoom],
        rooms: list[WorkerRoom],
        count: int,
    ) -> list[WorkerRoom]:
        """Return workers with a valid permit, and ask again where it lapsed."""
        valid = permits.valid_ids(self._now)
        if all(room.info.id in valid for room in chosen):
            return chosen
        if not permits.request_pending and permits.next_request_at <= self._now:
            names = dict.fromkeys(room.info.id for room in chosen)
            self._ask(demand, permits, list(names))
        usable = [room for room in rooms if room.info.id in valid]
        return self._choose(demand, usable, count)

    def _ask(self, demand: Demand, permits: StepPermits, worker_ids: list[str]) -> None:
        named = tuple(worker_ids[:MOST_NAMED])
        cost_s = demand.queue.advice.cost_s(len(named))
        entry = self._advice.reserve(cost_s, self._now)
        if entry is None:
            return
        permits.request_pending = True
        question = AdviceRequest(demand.record, demand.key, demand.queue, named, entry)
        self._questions.append(question)

    def _start(
        self, demand: Demand, waiting: list[TaskKey], chosen: list[WorkerRoom]
    ) -> None:
        record = demand.record
        step = record.step_of(demand.key)
        placements = list(zip(waiting, chosen))
        groups = [placements] if step.gang else [[place] for place in placements]
        for group in groups:
            keys = [key for key, _ in group]
            run = record.next_run_number(keys)
            checkpoint = record.checkpoint_for(keys)
            for key, room in group:
                self._claim(record, key, run, room)
            named = tuple((key, room.info.id) for key, room in group)
            self._starts.append(Start(record, run, named, checkpoint))

    def _claim(
        self, record: JobRecord, key: TaskKey, run: int, room: WorkerRoom
    ) -> None:
        record.begin_run(key, run, room.info.id, room.info.born)
        step = record.step_of(key)
        ref = TaskRef(record.spec.id, key, run)
        claim = Claim(ref, record.spec.team, step.request, step.capacity_request)
        self._cell.claim(room.info.id, claim)

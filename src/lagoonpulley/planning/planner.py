"""Planning rounds: choose which tasks to start on which workers, by urgency."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..upstream.tasks import TaskRef
from ..workload.spec import TaskKey
from .advice_requests import MAX_HELD_S, AdviceRequests
from .cell import SLOW_RUN_RATIO, Claim
from .demand import AVOID_FAILED_WORKERS_S, BlockReason
from .gang_reservations import (
    RESERVE_AFTER_S,
    GangReservations,
    fits_drained_workers,
    longest_reservation_s,
)
from .packing import (
    SpeedPreference,
    StepTaskCounts,
    eligible_workers,
    least_at_risk,
    pack_gang,
    pack_tasks,
)

if TYPE_CHECKING:
    from ..model.resources import Resources
    from ..policy.values import TeamLimits
    from ..workload.record import JobRecord
    from .advice_requests import AdviceBudget, AdviceRequest
    from .cell import Cell, CellWorker
    from .demand import Demand
    from .permits import PermitTable, StepPermits

__all__ = ["Plan", "Planner", "Start"]

# How long nothing is placed beside a task that may crash its worker: until it is
# started, and until its start no longer explains a crash.
PROBATION_S = 0.7
# A request for permits names at least so many workers, if there are.
MIN_WORKERS_FOR_PROBATION = 4
# Share of the workers that may have such a task at a time; a wide gang may exceed it.
MAX_PROBATION_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Start:
    """Decision to start tasks of one step under one run number.

    ``placements`` are pairs of a task and the id of its worker.
    """

    record: JobRecord
    run: int
    placements: tuple[tuple[TaskKey, str], ...]
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class Plan:
    """The decisions of one round.

    ``considered`` is the number of demands for which workers were sought.
    """

    starts: tuple[Start, ...]
    advice_requests: tuple[AdviceRequest, ...]
    considered: int


class Planner:
    """One planning round: serves the demands in order and places what fits.

    :param now: monotonic time of the round in seconds.
    :param advice_budget: limits the requests to advisors.
    :param wall: wall time of the round in seconds.
    """

    def __init__(
        self,
        cell: Cell,
        permits: PermitTable,
        limits_by_team: dict[str, TeamLimits],
        now: float,
        advice_budget: AdviceBudget,
        wall: float = 0.0,
    ) -> None:
        self._advice = AdviceRequests(cell, advice_budget, now)
        self._cell = cell
        self._permits = permits
        self._limits_by_team = limits_by_team
        self._now = now
        self._wall = wall
        self._starts: list[Start] = []
        self._reservations = GangReservations()

    @property
    def reserved_gangs(self) -> list[tuple[str, tuple[int, int]]]:
        """The steps that hold a reservation in this round."""
        return self._reservations.gangs

    def plan(self, demands: list[Demand], max_starts: int) -> Plan:
        """Decide the starts and advice requests; starts are claimed in the cell.

        :param demands: sorted by urgency.
        :param max_starts: no demand is served once this many tasks have started.
        """
        started = considered = 0
        changes = self._cell.pop_changes(self._now)
        reserved = self._reservations.reserved_by_worker_id
        for demand in demands:
            permits = self._permits_of(demand)
            if not demand.may_be_unblocked(changes, reserved, permits, self._now):
                self._hold_for(demand)
                if demand.step.gang:
                    self._reserve_for_gang(demand)
                continue
            if self._awaits_advisor(demand, permits):
                continue
            if started >= max_starts:
                # The changes are already consumed, so unblock it for the next round.
                demand.unblock()
                continue
            demand.unblock()
            demand.held_workers = ()
            if permits is not None:
                permits.request_postponed = False
            considered += 1
            started += self._start_waiting(demand)
            self._hold_for(demand)
            if demand.step.gang:
                self._reserve_for_gang(demand)
            if permits is not None and permits.request_postponed:
                # No event tells when an advisor is free again.
                demand.unblock()
        self._cell.record_reservations(reserved)
        return Plan(tuple(self._starts), self._advice.made, considered)

    def _permits_of(self, demand: Demand) -> StepPermits | None:
        """Return the permits of a demand's step, ``None`` if it needs none."""
        if demand.queue.advice is None:
            return None
        return self._permits.for_step(demand.record.spec.id, demand.key)

    def _awaits_advisor(self, demand: Demand, permits: StepPermits | None) -> bool:
        """Return whether a demand can do nothing before the advisor is free again."""
        if permits is None or not permits.request_postponed:
            return False
        return not permits.allowed_ids and self._advice.is_exhausted_for(demand.queue)

    def _hold_for(self, demand: Demand) -> None:
        """Keep the room of a demand that waits for the advisor from later demands.

        Otherwise each of them would find the same room free, and ask as well.
        """
        if demand.held_workers:
            self._reservations.hold(demand.held_workers, demand.request)

    def _reserve_for_gang(self, demand: Demand) -> None:
        """Reserve capacity for a gang that has lacked it for a while."""
        step = demand.step
        if demand.block_reason is not BlockReason.CAPACITY:
            return
        if not demand.has_lacked_capacity_for(RESERVE_AFTER_S, self._now):
            return
        if self._reservations.is_full or not demand.may_reserve(self._now):
            return
        workers = self._candidate_workers(demand)
        demand.fits_drained_workers = fits_drained_workers(step, workers)
        if not demand.fits_drained_workers:
            return
        if demand.reserved_until is None:
            duration_s = longest_reservation_s(workers, self._now)
            demand.reserved_until = self._now + duration_s
        spec = demand.record.spec
        task_counts = StepTaskCounts.from_workers(workers, step, spec.id, demand.key)
        self._reservations.reserve((spec.id, demand.key), step, workers, task_counts)

    def _candidate_workers(self, demand: Demand) -> list[CellWorker]:
        """Return the workers that may run a demand's step.

        Workers that the step avoids are left out unless there are no others or the
        step has lacked capacity for too long.
        """
        permits = self._permits_of(demand)
        worker_ids = permits.allowed_ids if permits is not None else None
        step = demand.step
        service = demand.queue.service
        workers = eligible_workers(self._cell, service, step, self._now, worker_ids)
        avoided = demand.avoided_worker_ids
        if not avoided or demand.has_lacked_capacity_for(
            AVOID_FAILED_WORKERS_S, self._now
        ):
            return workers
        return [
            worker for worker in workers if worker.info.id not in avoided
        ] or workers

    def _start_waiting(self, demand: Demand) -> int:
        """Start the waiting tasks that fit; return the number of started tasks."""
        step = demand.step
        waiting = demand.record.waiting_of(demand.key)
        if not waiting or (step.gang and len(waiting) < step.count):
            return 0
        if not self._is_within_team_limit(demand):
            demand.block(BlockReason.TEAM_LIMIT)
            return 0
        permits = self._permits_of(demand)
        if permits is not None:
            self._ask_about_new_workers(demand, permits, len(waiting))
            if not permits.allowed_ids:
                self._block_without_permits(demand, permits)
                return 0
        # Most jobs have no task that a worker has crashed under.
        if not demand.record.crashes_by_task:
            return self._start_tasks(demand, permits, waiting)
        suspects, others = demand.record.split_suspects(waiting)
        if not suspects:
            return self._start_tasks(demand, permits, waiting)
        if step.gang:
            return self._start_on_probation(demand, permits, waiting)
        started = self._start_tasks(demand, permits, others) if others else 0
        return started + self._start_on_probation(demand, permits, suspects)

    def _ask_about_new_workers(
        self, demand: Demand, permits: StepPermits, count: int
    ) -> None:
        """Ask the advisor for more workers if those that it allows lack room now."""
        reserved = self._reservations.reserved_by_worker_id
        share = self._permits.allowed_share(demand.queue.name)
        asked = self._advice.ask_about_new_workers(
            demand, permits, count, share, reserved
        )
        if asked and demand.queue.advice.cost_s(len(asked)) <= MAX_HELD_S:
            step = demand.step
            counts = StepTaskCounts.from_workers(
                asked, step, demand.record.spec.id, demand.key
            )
            demand.held_workers = tuple(
                pack_tasks(step, asked, count, counts, reserved)
            )

    def _start_tasks(
        self, demand: Demand, permits: StepPermits | None, keys: list[TaskKey]
    ) -> int:
        """Start those of the given tasks that fit; return their number."""
        workers = self._candidate_workers(demand)
        chosen = self._choose_workers(demand, workers, len(keys))
        if not chosen:
            self._set_lacks_capacity(demand)
            return 0
        if permits is not None:
            chosen = self._choose_permitted_workers(
                demand, permits, chosen, workers, len(keys)
            )
        if not chosen:
            self._block_without_permits(demand, permits)
            return 0
        self._add_starts(demand, keys, chosen)
        return len(chosen)

    def _start_on_probation(
        self, demand: Demand, permits: StepPermits | None, keys: list[TaskKey]
    ) -> int:
        """Start tasks that may crash their workers; return their number.

        One task or gang at a time goes to the workers with the least to lose, and
        nothing is placed beside it for a while. So the next crash tells for certain
        whether it is the cause.
        """
        step = demand.step
        groups = [keys] if step.gang else [[key] for key in keys]
        started = 0
        for group in groups:
            chosen = self._choose_for_probation(demand, permits, len(group))
            if not chosen:
                break
            self._add_starts(demand, group, chosen)
            for worker in chosen:
                self._cell.begin_probation(worker, self._now + PROBATION_S)
            started += len(group)
        return started

    def _choose_for_probation(
        self, demand: Demand, permits: StepPermits | None, count: int
    ) -> list[CellWorker]:
        """Choose the workers for one task or gang: few, with little to lose."""
        workers = least_at_risk(self._candidate_workers(demand), self._now)
        chosen = self._choose_few(demand, workers, count)
        if not chosen:
            self._block_probation(demand, len(workers))
            return []
        if permits is None:
            return chosen
        valid = permits.valid_ids(self._now)
        permitted = [worker for worker in workers if worker.info.id in valid]
        chosen_permitted = self._choose_few(demand, permitted, count)
        if chosen_permitted:
            return chosen_permitted
        asked = [*chosen, *workers[:MIN_WORKERS_FOR_PROBATION]]
        if self._advice.ask_about(demand, permits, asked):
            demand.held_workers = tuple(chosen)
        self._block_without_permits(demand, permits)
        return []

    def _choose_few(
        self, demand: Demand, workers: list[CellWorker], count: int
    ) -> list[CellWorker]:
        """Choose as few of the workers for one task or gang as hold it, if they do."""
        most = self._most_on_probation(len(workers))
        considered = 1
        while workers and most > 0:
            chosen = self._choose_workers(demand, workers[:considered], count)
            if len(chosen) == count:
                return chosen
            if considered >= most:
                break
            considered = min(most, 2 * considered)
        return []

    def _most_on_probation(self, workers: int) -> int:
        """Return how many of some workers may get a task that may crash them."""
        on_probation = self._cell.on_probation(self._now)
        if not on_probation:
            return workers
        share = int(len(self._cell.worker_by_id) * MAX_PROBATION_SHARE)
        return min(workers, share - on_probation)

    def _block_probation(self, demand: Demand, workers: int) -> None:
        """Block a demand of which a task or gang got no workers for its probation."""
        if not self._is_within_team_limit(demand):
            demand.block(BlockReason.TEAM_LIMIT)
            return
        if self._most_on_probation(workers) < workers:
            demand.block(BlockReason.PROBATION, self._cell.probation_ends_at(self._now))
            return
        self._set_lacks_capacity(demand)

    def _block_without_permits(self, demand: Demand, permits: StepPermits) -> None:
        """Block a demand that got no valid permits for workers with room."""
        if permits.request_pending:
            demand.block(BlockReason.ADVICE)
        elif permits.is_paused(self._now):
            demand.block(BlockReason.ADVISOR_PAUSE, permits.next_request_at)
        elif not permits.allowed_ids:
            self._set_lacks_capacity(demand)

    def _choose_workers(
        self, demand: Demand, workers: list[CellWorker], count: int
    ) -> list[CellWorker]:
        """Choose workers for up to ``count`` tasks within the team's limit."""
        record, key = demand.record, demand.key
        step = record.step_of(key)
        allowed = self._count_within_limit(record.spec.team, step.request, count)
        task_counts = StepTaskCounts.from_workers(workers, step, record.spec.id, key)
        reserved = self._reservations.reserved_by_worker_id
        if not step.gang:
            preference = self._speed_preference(demand)
            return pack_tasks(step, workers, allowed, task_counts, reserved, preference)
        if allowed < step.count:
            return []
        return pack_gang(step, workers, task_counts, reserved)

    def _speed_preference(self, demand: Demand) -> SpeedPreference:
        """Return whether a step has the time that slow workers take."""
        left_s = demand.due_at - self._wall
        if left_s >= demand.remaining_s * SLOW_RUN_RATIO:
            return SpeedPreference.SLOW
        return SpeedPreference.FAST

    def _is_within_team_limit(self, demand: Demand) -> bool:
        """Return whether the team's limit allows one more task, or the whole gang."""
        step = demand.step
        needed = step.count if step.gang else 1
        team = demand.record.spec.team
        return self._count_within_limit(team, step.request, needed) >= needed

    def _set_lacks_capacity(self, demand: Demand) -> None:
        """Record that no worker has room for a demand, as far as may be asked now."""
        if demand.lacks_capacity_since is None:
            demand.lacks_capacity_since = self._now
        until = demand.returns_to_avoided_at(self._now)
        permits = self._permits_of(demand)
        if permits is not None and permits.is_paused(self._now):
            # The reason stays, as a gang would lose its reservation with it.
            until = min(until, permits.next_request_at)
        reason = (
            BlockReason.RESERVED if self._reservations.gangs else BlockReason.CAPACITY
        )
        demand.block(reason, until)

    def _count_within_limit(self, team: str, request: Resources, count: int) -> int:
        """Return how many of ``count`` tasks fit within a team's limit."""
        limits = self._limits_by_team.get(team)
        if limits is None:
            return count
        used = self._cell.team_usage(team)
        for allowed in range(count):
            used = used.plus(request)
            if not limits.allows(used):
                return allowed
        return count

    def _choose_permitted_workers(
        self,
        demand: Demand,
        permits: StepPermits,
        chosen: list[CellWorker],
        workers: list[CellWorker],
        count: int,
    ) -> list[CellWorker]:
        """Replace workers without a valid permit; ask for more if they do not do."""
        valid = permits.valid_ids(self._now)
        if all(worker.info.id in valid for worker in chosen):
            return chosen
        usable = [worker for worker in workers if worker.info.id in valid]
        permitted = self._choose_workers(demand, usable, count)
        if len(permitted) < len(chosen) and self._advice.ask_about(
            demand, permits, chosen
        ):
            demand.held_workers = tuple(chosen)
        return permitted

    def _add_starts(
        self, demand: Demand, waiting: list[TaskKey], chosen: list[CellWorker]
    ) -> None:
        record = demand.record
        step = record.step_of(demand.key)
        placements = list(zip(waiting, chosen))
        groups = [placements] if step.gang else [[place] for place in placements]
        for group in groups:
            keys = [key for key, _ in group]
            run = record.next_run_number(keys)
            checkpoint = record.checkpoint_for(keys)
            for key, worker in group:
                self._claim(record, key, run, worker)
            placed = tuple((key, worker.info.id) for key, worker in group)
            self._starts.append(Start(record, run, placed, checkpoint))

    def _claim(
        self, record: JobRecord, key: TaskKey, run: int, worker: CellWorker
    ) -> None:
        record.begin_run(key, run, worker.info.id, worker.info.born)
        step = record.step_of(key)
        ref = TaskRef(record.spec.id, key, run)
        claim = Claim.from_step(ref, record.spec.team, step, self._now)
        self._cell.claim(worker.info.id, claim)
        worker.placed_at = self._now

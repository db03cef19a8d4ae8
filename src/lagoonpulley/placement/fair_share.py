"""Reservations and preemption that keep teams near their fair share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.job import JobKind
from .events import PreemptReason
from .preemption import choose_victims, preempt
from .reservation import ExpectedEnd, Reservation, plan_reservation
from .teams import MIN_WEIGHT

if TYPE_CHECKING:
    from .events import Decision
    from .state import CoreState
    from .teams import PendingJob, Team
    from .workers import Worker

__all__ = ["FairShareEnforcer", "weighted_share"]

SHARE_PREEMPTION_INTERVAL_S = 0.05
MAX_GANG_RESERVATIONS = 2


def weighted_share(team: Team) -> float:
    """Return the dominant share of a team divided by its weight."""
    return team.share / max(team.policy.weight, MIN_WEIGHT)


class FairShareEnforcer:
    """Reserves workers for blocked gangs and for teams below their fair share.

    It also preempts batch tasks of teams above their share for teams below it.
    """

    def __init__(self, state: CoreState) -> None:
        self._state = state
        self._reservations = state.reservations
        self._next_plan_at = float("-inf")
        self._next_share_preemption_at = float("-inf")
        self._fair_weighted_share = 0.0

    def plan_gang_reservations(self, now: float) -> None:
        """Drop expired reservations, and plan new ones for blocked gangs."""
        if now < self._next_plan_at:
            return
        self._next_plan_at = now + self._state.settings.replan_after_s
        self._reservations.drop_expired(now, self.is_within_limit)
        gangs = self._blocked_gangs(now)
        if not gangs:
            return
        ends = self._expected_ends()
        for gang in gangs[:MAX_GANG_RESERVATIONS]:
            self._reservations.drop(gang)
            workers = self._reservations.unreserved_workers()
            planned = plan_reservation(gang, len(gang.indexes), workers, ends, now)
            if planned is not None:
                self._reservations.add(planned)

    def is_within_limit(self, pending: PendingJob) -> bool:
        """Return whether the limit of its team allows the job to run."""
        team = self._state.team(pending.job.team)
        return team.allows(self._state.minimum_request(pending))

    def _blocked_gangs(self, now: float) -> list[PendingJob]:
        """Return each team's first blocked gang, in the fair order of teams.

        Reservations cover different workers, and a gang is placed whole or not at
        all, so gangs cannot deadlock.
        """
        blocked = []
        for name in self._state.waiting_team_names:
            team = self._state.team_by_name[name]
            pending = self._first_blocked_gang(team, now)
            if pending is not None and self.is_within_limit(pending):
                blocked.append((self._state.order_key(team, now), name, pending))
        blocked.sort(key=lambda item: item[:2])
        return [pending for _, _, pending in blocked]

    def _first_blocked_gang(self, team: Team, now: float) -> PendingJob | None:
        for pending in team.waiting_jobs(self._state.settings.backfill_depth):
            if pending.job.kind is not JobKind.GANG or pending.blocked_at is None:
                continue
            if now - pending.blocked_at >= self._state.settings.reserve_after_s:
                return pending
        return None

    def reserve_for(self, team: Team, now: float) -> None:
        """Reserve a worker for each blocked job of a team below its fair share."""
        if self._reservations.is_full() or not self._is_below_share(team):
            return
        for pending in team.waiting_jobs(self._state.settings.backfill_depth):
            if pending.job.kind is JobKind.GANG or pending.blocked_at is None:
                continue
            if self._reservations.has(pending) or not self.is_within_limit(pending):
                continue
            worker = self._reservations.nearest_worker(pending.job.request)
            if worker is None or self._reservations.is_full():
                return
            self._reservations.add(self._plan_on(worker, pending, now))

    def preempt_for_share(
        self, team: Team, now: float, decisions: list[Decision]
    ) -> None:
        """Preempt batch tasks of teams above their share for a team below its share."""
        after_s = self._state.settings.share_preempt_after_s
        if after_s is None or now < self._next_share_preemption_at:
            return
        if not self._is_below_share(team):
            return
        level = self._fair_weighted_share * (1.0 + self._state.settings.share_slack)
        for pending in team.waiting_jobs(self._state.settings.backfill_depth):
            job = pending.job
            if pending.blocked_at is None or now - pending.blocked_at < after_s:
                continue
            if job.kind is JobKind.GANG or not self.is_within_limit(pending):
                continue
            if now - pending.preempted_at < self._state.settings.preempt_again_after_s:
                continue
            above = {
                name
                for name, other in self._state.team_by_name.items()
                if weighted_share(other) > level
            }
            victims = choose_victims(
                self._state.worker_table,
                self._state.placed_by_task_id,
                above,
                job.request,
            )
            pending.preempted_at = now
            self._next_share_preemption_at = now + SHARE_PREEMPTION_INTERVAL_S
            preempt(victims, PreemptReason.SHARE, decisions)
            return

    def _plan_on(self, worker: Worker, pending: PendingJob, now: float) -> Reservation:
        placed = [self._state.placed_by_task_id[task_id] for task_id in worker.task_ids]
        ends = [ExpectedEnd(task.expected_end, task.job.request) for task in placed]
        ends_by_worker_id = {worker.id: ends}
        planned = plan_reservation(pending, 1, [worker], ends_by_worker_id, now)
        if planned is not None:
            return planned
        return Reservation(pending, frozenset((worker.id,)), now, now)

    def _is_below_share(self, team: Team) -> bool:
        """Return whether the weighted share of a team is below the fair one."""
        return weighted_share(team) < self._fair_weighted_share

    def update_fair_weighted_share(self) -> None:
        """Set the fair weighted share: total share divided by total weight.

        Counts teams that use resources or have queued jobs.
        """
        share = 0.0
        weight = 0.0
        for team in self._state.team_by_name.values():
            if not team.share and team.name not in self._state.waiting_team_names:
                continue
            share += team.share
            weight += team.policy.weight
        self._fair_weighted_share = share / weight if weight else 0.0

    def _expected_ends(self) -> dict[str, list[ExpectedEnd]]:
        ends: dict[str, list[ExpectedEnd]] = {}
        for placed in self._state.placed_by_task_id.values():
            expected = ExpectedEnd(placed.expected_end, placed.job.request)
            ends.setdefault(placed.worker.id, []).append(expected)
        return ends

"""What keeps teams near their shares: reservations and checkpoints for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.job import JobKind
from .events import PreemptReason
from .preemption import choose_victims, preempt
from .reservation import ExpectedEnd, Reservation, plan_reservation
from .teams import SMALLEST_WEIGHT

if TYPE_CHECKING:
    from .events import Decision
    from .state import CoreState
    from .teams import PendingJob, Team
    from .workers import Worker

__all__ = ["ShareKeeper", "rank"]

SHARE_PREEMPTION_PAUSE_S = 0.05
MOST_GANG_RESERVATIONS = 2


def rank(team: Team) -> float:
    """Return a team's dominant share by its weight."""
    return team.share / max(team.policy.weight, SMALLEST_WEIGHT)


class ShareKeeper:
    """Reserves room, and asks for checkpoints, for teams below their share."""

    def __init__(self, state: CoreState) -> None:
        self._state = state
        self._book = state.reservations
        self._next_plan_at = float("-inf")
        self._next_share_preemption_at = float("-inf")
        self._share_level = 0.0

    def keep(self, now: float) -> None:
        """Drop reservations that ended, and plan for blocked gangs."""
        if now < self._next_plan_at:
            return
        self._next_plan_at = now + self._state.settings.replan_after_s
        self._book.drop_ended(now, self.is_due)
        gangs = self._blocked_gangs(now)
        if not gangs:
            return
        ends = self._expected_ends()
        for gang in gangs[:MOST_GANG_RESERVATIONS]:
            self._book.drop(gang)
            workers = self._book.unreserved_workers()
            planned = plan_reservation(gang, len(gang.indexes), workers, ends, now)
            if planned is not None:
                self._book.add(planned)

    def is_due(self, pending: PendingJob) -> bool:
        """Return whether only room keeps a job from running, not a limit."""
        team = self._state.team(pending.job.team)
        return team.has_quota_for(self._state.whole_request(pending))

    def _blocked_gangs(self, now: float) -> list[PendingJob]:
        """Return each team's first blocked gang, in the fair order of teams.

        Their reservations are of different workers and hold nothing that runs, so
        no gang ever waits for what another one keeps for good.
        """
        due = []
        for name in self._state.waiting_teams:
            team = self._state.team_by_name[name]
            pending = self._first_blocked_gang(team, now)
            if pending is not None and self.is_due(pending):
                due.append((self._state.order_key(team, now), name, pending))
        due.sort(key=lambda item: item[:2])
        return [pending for _, _, pending in due]

    def _first_blocked_gang(self, team: Team, now: float) -> PendingJob | None:
        for pending in team.waiting_jobs(self._state.settings.backfill_depth):
            if pending.job.kind is not JobKind.GANG or pending.blocked_at is None:
                continue
            if now - pending.blocked_at >= self._state.settings.reserve_after_s:
                return pending
        return None

    def reserve_for(self, team: Team, now: float) -> None:
        """Keep a worker for the blocked job of a team that is below its share."""
        if self._book.is_full() or not self._is_below_share(team):
            return
        for pending in team.waiting_jobs(self._state.settings.backfill_depth):
            if pending.job.kind is JobKind.GANG or pending.blocked_at is None:
                continue
            if self._book.has(pending) or not self.is_due(pending):
                continue
            worker = self._book.nearest_worker(pending.job.request)
            if worker is None or self._book.is_full():
                return
            self._book.add(self._plan_on(worker, pending, now))

    def preempt_for_share(
        self, team: Team, now: float, decisions: list[Decision]
    ) -> None:
        """Checkpoint batch work above its share for a team below its own."""
        after_s = self._state.settings.share_preempt_after_s
        if after_s is None or now < self._next_share_preemption_at:
            return
        if not self._is_below_share(team):
            return
        level = self._share_level * (1.0 + self._state.settings.share_slack)
        for pending in team.waiting_jobs(self._state.settings.backfill_depth):
            job = pending.job
            if pending.blocked_at is None or now - pending.blocked_at < after_s:
                continue
            if job.kind is JobKind.GANG or not self.is_due(pending):
                continue
            if now - pending.preempted_at < self._state.settings.preempt_again_after_s:
                continue
            above = {
                name
                for name, other in self._state.team_by_name.items()
                if rank(other) > level
            }
            victims = choose_victims(
                self._state.worker_table,
                self._state.placed_by_task_id,
                above,
                job.request,
            )
            pending.preempted_at = now
            self._next_share_preemption_at = now + SHARE_PREEMPTION_PAUSE_S
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
        """Return whether a team uses less than an even level of share by weight."""
        return rank(team) < self._share_level

    def measure_share_level(self) -> None:
        """Work out the even level of share by weight of all active teams."""
        share = 0.0
        weight = 0.0
        for team in self._state.team_by_name.values():
            if not team.share and team.name not in self._state.waiting_teams:
                continue
            share += team.share
            weight += team.policy.weight
        self._share_level = share / weight if weight else 0.0

    def _expected_ends(self) -> dict[str, list[ExpectedEnd]]:
        ends: dict[str, list[ExpectedEnd]] = {}
        for placed in self._state.placed_by_task_id.values():
            expected = ExpectedEnd(placed.expected_end, placed.job.request)
            ends.setdefault(placed.worker.id, []).append(expected)
        return ends

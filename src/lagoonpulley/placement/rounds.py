"""Rounds of decisions: urgent work, then teams in fair order."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from ..model.job import JobKind
from .events import Decision, PreemptReason
from .placing import Placing
from .preemption import (
    choose_over_capacity,
    choose_over_limit,
    choose_victims,
    preempt,
)
from .shares import ShareKeeper, rank

if TYPE_CHECKING:
    from .state import CoreState
    from .teams import PendingJob, Team

__all__ = ["Rounds"]


class Rounds:
    """Decides what to place and what gives up its room."""

    def __init__(self, state: CoreState) -> None:
        self._state = state
        self._placing = Placing(state)
        self._keeper = ShareKeeper(state)

    def decide(self, now: float, most: int) -> list[Decision]:
        """Return what should happen now; placements count as done."""
        decisions: list[Decision] = []
        self._state.quarantine.release_ended(now)
        self._preempt_over_capacity(decisions)
        self._preempt_over_limit(decisions)
        self._place_urgent(now, decisions, most)
        self._keeper.keep(now)
        self._place_fairly(now, decisions, most)
        self._placing.forget_old_shapes()
        return decisions

    # Urgent work.

    def _place_urgent(self, now: float, decisions: list[Decision], most: int) -> None:
        unplaced: list[tuple[float, int, PendingJob]] = []
        while self._state.urgent and len(decisions) < most:
            entry = heapq.heappop(self._state.urgent)
            pending = entry[2]
            self._placing.place_tasks(pending, now, decisions, most)
            if pending.is_done:
                self._state.forget_if_done(pending)
                continue
            unplaced.append(entry)
            self._preempt_for(pending, now, decisions)
            if len(unplaced) >= self._state.settings.backfill_depth:
                break
        for entry in unplaced:
            heapq.heappush(self._state.urgent, entry)

    def _preempt_for(
        self, pending: PendingJob, now: float, decisions: list[Decision]
    ) -> None:
        job = pending.job
        team = self._state.team(job.team)
        if not team.has_quota_for(job.request):
            return
        if (
            self._state.latest_start(pending) - now
            > self._state.settings.preempt_slack_s
        ):
            return
        if now - pending.preempted_at < self._state.settings.preempt_again_after_s:
            return
        own_rank = rank(team)
        above = {
            name
            for name, other in self._state.team_by_name.items()
            if rank(other) >= own_rank
        }
        victims = choose_victims(
            self._state.worker_table, self._state.placed_by_task_id, above, job.request
        )
        pending.preempted_at = now
        preempt(victims, PreemptReason.URGENT, decisions)

    # Fair order.

    def _place_fairly(self, now: float, decisions: list[Decision], most: int) -> None:
        heap = self._teams_in_order(now)
        if not heap:
            return
        self._keeper.measure_share_level()
        while heap and len(decisions) < most:
            _, name = heapq.heappop(heap)
            team = self._state.team_by_name[name]
            if not self._may_progress(team):
                continue
            version = self._state.worker_table.version
            if self._place_for_team(team, now, decisions, most):
                heapq.heappush(heap, (self._state.order_key(team, now), name))
            else:
                team.note_blocked(version, self._state.settings.backfill_depth)
                self._keeper.reserve_for(team, now)
                self._keeper.preempt_for_share(team, now, decisions)

    def _teams_in_order(self, now: float) -> list[tuple[float, str]]:
        """Return a heap of the teams that may get a task now."""
        heap = []
        idle = []
        for name in self._state.waiting_teams:
            team = self._state.team_by_name[name]
            if not team.has_waiting():
                idle.append(name)
            elif self._may_progress(team):
                heap.append((self._state.order_key(team, now), name))
        for name in idle:
            del self._state.waiting_teams[name]
        heapq.heapify(heap)
        return heap

    def _may_progress(self, team: Team) -> bool:
        if team.policy.withdrawn:
            return False
        if not team.blocked_version:
            return True
        least = team.blocked_request
        for worker in self._state.worker_table.freed_since(team.blocked_version):
            if least.fits_in(worker.free):
                return True
        team.blocked_version = self._state.worker_table.version
        return False

    def _place_for_team(
        self, team: Team, now: float, decisions: list[Decision], most: int
    ) -> bool:
        for pending in team.waiting_jobs(self._state.settings.backfill_depth):
            is_gang = pending.job.kind is JobKind.GANG
            room = most - len(decisions) if is_gang else 1
            before = len(decisions)
            self._placing.place(pending, now, decisions, before + max(1, room))
            self._state.forget_if_done(pending)
            if len(decisions) > before:
                return True
            if self._may_not_be_overtaken(pending, now):
                return False
        return False

    def _may_not_be_overtaken(self, pending: PendingJob, now: float) -> bool:
        """Return whether a job was passed long enough by its team's others.

        A job that only its team's limit keeps from running holds nobody up.
        """
        if not self._keeper.is_due(pending):
            pending.blocked_at = None
            return False
        if pending.blocked_at is None:
            pending.blocked_at = now
        return now - pending.blocked_at >= self._state.settings.overtake_for_s

    # Preemption.

    def _preempt_over_limit(self, decisions: list[Decision]) -> None:
        if not self._state.limits_to_check:
            return
        self._state.limits_to_check = False
        for team in self._state.team_by_name.values():
            if not team.is_over_limit():
                continue
            victims = choose_over_limit(team, self._state.placed_by_task_id.values())
            preempt(victims, PreemptReason.OVER_LIMIT, decisions)

    def _preempt_over_capacity(self, decisions: list[Decision]) -> None:
        while self._state.shrunk_worker_ids:
            worker = self._state.worker_table.by_id.get(
                self._state.shrunk_worker_ids.pop()
            )
            if worker is None or not worker.is_over_capacity:
                continue
            placed = [
                self._state.placed_by_task_id[task_id] for task_id in worker.task_ids
            ]
            victims = choose_over_capacity(worker, placed)
            preempt(victims, PreemptReason.OVER_CAPACITY, decisions)

"""Decides one round: preemption, urgent jobs, then teams in fair order."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from ..model.job import JobKind
from .events import Decision, PreemptReason
from .fair_share import FairShareEnforcer, weighted_share
from .placer import TaskPlacer
from .preemption import (
    choose_victims,
    choose_victims_over_capacity,
    choose_victims_over_limit,
    preempt,
)

if TYPE_CHECKING:
    from .state import CoreState
    from .teams import PendingJob, Team

__all__ = ["DecisionMaker"]


class DecisionMaker:
    """Decides which tasks to place and which to preempt."""

    def __init__(self, state: CoreState) -> None:
        self._state = state
        self._placer = TaskPlacer(state)
        self._fair_share = FairShareEnforcer(state)

    def decide(self, now: float, max_decisions: int) -> list[Decision]:
        """Return the decisions of one round; placements are already in the state."""
        decisions: list[Decision] = []
        self._state.quarantine.release_ended(now)
        self._preempt_over_capacity(decisions)
        self._preempt_over_limit(decisions)
        self._place_urgent(now, decisions, max_decisions)
        self._fair_share.plan_gang_reservations(now)
        self._place_in_fair_order(now, decisions, max_decisions)
        self._placer.prune_blocked_requests()
        return decisions

    def _place_urgent(
        self, now: float, decisions: list[Decision], max_decisions: int
    ) -> None:
        unplaced: list[tuple[float, int, PendingJob]] = []
        while self._state.urgent_heap and len(decisions) < max_decisions:
            item = heapq.heappop(self._state.urgent_heap)
            pending = item[2]
            self._placer.place_tasks(pending, now, decisions, max_decisions)
            if pending.is_done:
                self._state.remove_if_done(pending)
                continue
            unplaced.append(item)
            self._preempt_for_urgent(pending, now, decisions)
            if len(unplaced) >= self._state.settings.backfill_depth:
                break
        for item in unplaced:
            heapq.heappush(self._state.urgent_heap, item)

    def _preempt_for_urgent(
        self, pending: PendingJob, now: float, decisions: list[Decision]
    ) -> None:
        job = pending.job
        team = self._state.team(job.team)
        if not team.allows(job.request):
            return
        if (
            self._state.latest_start(pending) - now
            > self._state.settings.preempt_slack_s
        ):
            return
        if now - pending.preempted_at < self._state.settings.preempt_again_after_s:
            return
        own_share = weighted_share(team)
        above = {
            name
            for name, other in self._state.team_by_name.items()
            if weighted_share(other) >= own_share
        }
        victims = choose_victims(
            self._state.worker_table, self._state.placed_by_task_id, above, job.request
        )
        pending.preempted_at = now
        preempt(victims, PreemptReason.URGENT, decisions)

    def _place_in_fair_order(
        self, now: float, decisions: list[Decision], max_decisions: int
    ) -> None:
        heap = self._build_team_heap(now)
        if not heap:
            return
        self._fair_share.update_fair_weighted_share()
        while heap and len(decisions) < max_decisions:
            _, name = heapq.heappop(heap)
            team = self._state.team_by_name[name]
            if not self._may_progress(team):
                continue
            version = self._state.worker_table.freed_version
            if self._place_for_team(team, now, decisions, max_decisions):
                heapq.heappush(heap, (self._state.order_key(team, now), name))
            else:
                team.record_blocked(version, self._state.settings.backfill_depth)
                self._fair_share.reserve_for(team, now)
                self._fair_share.preempt_for_share(team, now, decisions)

    def _build_team_heap(self, now: float) -> list[tuple[float, str]]:
        """Return a heap of the teams with jobs that may be placed, by sort key."""
        heap = []
        idle = []
        for name in self._state.waiting_team_names:
            team = self._state.team_by_name[name]
            if not team.has_waiting():
                idle.append(name)
            elif self._may_progress(team):
                heap.append((self._state.order_key(team, now), name))
        for name in idle:
            del self._state.waiting_team_names[name]
        heapq.heapify(heap)
        return heap

    def _may_progress(self, team: Team) -> bool:
        """Return whether any of a team's next jobs may fit.

        Jobs that were blocked may fit only on a worker freed since.
        """
        if team.policy.withdrawn:
            return False
        if not team.blocked_version:
            return True
        least = team.blocked_request
        for worker in self._state.worker_table.freed_since(team.blocked_version):
            if least.fits_in(worker.free):
                return True
        team.blocked_version = self._state.worker_table.freed_version
        return False

    def _place_for_team(
        self, team: Team, now: float, decisions: list[Decision], max_decisions: int
    ) -> bool:
        for pending in team.waiting_jobs(self._state.settings.backfill_depth):
            is_gang = pending.job.kind is JobKind.GANG
            room = max_decisions - len(decisions) if is_gang else 1
            before = len(decisions)
            self._placer.place(pending, now, decisions, before + max(1, room))
            self._state.remove_if_done(pending)
            if len(decisions) > before:
                return True
            if self._stops_backfill(pending, now):
                return False
        return False

    def _stops_backfill(self, pending: PendingJob, now: float) -> bool:
        """Return whether a blocked job ends backfilling for its team.

        It does once it was blocked for ``max_backfill_s``. A job that its team's limit
        keeps from running never does; its blocked time starts again.
        """
        if not self._fair_share.is_within_limit(pending):
            pending.blocked_at = None
            return False
        if pending.blocked_at is None:
            pending.blocked_at = now
        return now - pending.blocked_at >= self._state.settings.max_backfill_s

    def _preempt_over_limit(self, decisions: list[Decision]) -> None:
        if not self._state.should_check_limits:
            return
        self._state.should_check_limits = False
        for team in self._state.team_by_name.values():
            if not team.is_over_limit():
                continue
            victims = choose_victims_over_limit(
                team, self._state.placed_by_task_id.values()
            )
            preempt(victims, PreemptReason.OVER_LIMIT, decisions)

    def _preempt_over_capacity(self, decisions: list[Decision]) -> None:
        while self._state.worker_ids_to_check:
            worker = self._state.worker_table.by_id.get(
                self._state.worker_ids_to_check.pop()
            )
            if worker is None or not worker.is_over_capacity:
                continue
            placed = [
                self._state.placed_by_task_id[task_id] for task_id in worker.task_ids
            ]
            victims = choose_victims_over_capacity(worker, placed)
            preempt(victims, PreemptReason.OVER_CAPACITY, decisions)

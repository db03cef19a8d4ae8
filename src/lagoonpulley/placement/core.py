"""The placement core: events in, decisions out."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..model.job import Job, JobKind, task_id_of
from .copies import CopyCounter, copies_in
from .estimates import RunTimeEstimates
from .events import (
    Decision,
    Event,
    JobCancelled,
    JobSubmitted,
    Place,
    Preempt,
    PreemptReason,
    TaskAdopted,
    TaskEnded,
    TaskOutcome,
    TeamPolicy,
    TeamsChanged,
    UsageReported,
    WorkerChanged,
    WorkerGone,
)
from .policies import BestFit, Spread, WorkerPolicy
from .preemption import choose_over_capacity, choose_over_limit, choose_victims
from .quarantine import Quarantine
from .reservation import ReservationBook
from .shares import ShareKeeper, rank
from .teams import PendingJob, Team
from .workers import WorkerTable

if TYPE_CHECKING:
    from ..model.resources import Resources
    from .workers import Worker

__all__ = ["PlacedTask", "PlacementCore", "PlacementSettings"]

MAX_DECISIONS_PER_ROUND = 64
FORGET_SHAPES_ABOVE = 10_000


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """How a deployment weighs its aims; times are in seconds."""

    waiting_weight: float = 0.0
    history_weight: float = 0.0
    history_half_life_s: float = 120.0
    backfill_depth: int = 8
    reserve_after_s: float = 2.0
    overtake_for_s: float = 10.0
    preempt_slack_s: float = 4.0
    replan_after_s: float = 1.0
    preempt_again_after_s: float = 5.0
    share_preempt_after_s: float | None = 0.5
    share_slack: float = 0.05


@dataclass(slots=True, eq=False)
class PlacedTask:
    """A task that holds room on a worker."""

    task_id: str
    job: Job
    index: int
    worker: Worker
    placed_at: float
    expected_end: float
    submitted_at: float
    preempting: bool = False


class PlacementCore:
    """Queues, shares, limits and placements of one group of workers.

    It has no clock, randomness or I/O: the same events give the same decisions.
    """

    def __init__(self, settings: PlacementSettings | None = None) -> None:
        self.settings = settings or PlacementSettings()
        self.table = WorkerTable()
        self.team_by_name: dict[str, Team] = {}
        self.placed_by_task_id: dict[str, PlacedTask] = {}
        self.pending_by_job_id: dict[str, PendingJob] = {}
        self.estimates = RunTimeEstimates()
        self.quarantine = Quarantine(self.table)
        self._task_ids_by_job_id: dict[str, dict[str, None]] = {}
        self._waiting_by_team: dict[str, int] = {}
        self._urgent: list[tuple[float, int, PendingJob]] = []
        self._urgent_order = 0
        self._blocked_version_by_request: dict[Resources, int] = {}
        self._reservations = ReservationBook(self.table)
        self._copies = CopyCounter(self.table)
        self._keeper = ShareKeeper(self, self._reservations)
        self.waiting_teams: dict[str, None] = {}
        self._limits_to_check = False
        self._shrunk_worker_ids: set[str] = set()
        self._policy_by_kind: dict[JobKind, WorkerPolicy] = {
            JobKind.SERVICE: Spread(),
            JobKind.BATCH: BestFit(),
            JobKind.GANG: BestFit(),
            JobKind.URGENT: BestFit(),
        }

    def apply(self, event: Event, now: float) -> None:
        """Take in one event.

        :param now: time of the event in seconds; must not decrease.
        """
        match event:
            case TaskEnded():
                self._end_task(event, now)
            case JobSubmitted():
                self._submit(event)
            case JobCancelled(job_id):
                self._cancel(job_id)
            case UsageReported():
                self._note_usage(event)
            case WorkerChanged():
                self._change_worker(event)
            case WorkerGone(worker_id):
                self.table.remove(worker_id)
            case TaskAdopted():
                self._adopt(event, now)
            case TeamsChanged(policy_by_team):
                self._change_teams(policy_by_team)
            case _:
                raise TypeError(f"unknown event {event!r}")

    def decide(self, now: float, most: int = MAX_DECISIONS_PER_ROUND) -> list[Decision]:
        """Return what should happen now; placements count as done.

        :param most: bound on the number of placements of this round; a caller
            that gets as many calls again.
        """
        decisions: list[Decision] = []
        self.quarantine.release_ended(now)
        self._preempt_over_capacity(decisions)
        self._preempt_over_limit(decisions)
        self._place_urgent(now, decisions, most)
        self._keeper.keep(now)
        self._place_fairly(now, decisions, most)
        if len(self._blocked_version_by_request) > FORGET_SHAPES_ABOVE:
            self._blocked_version_by_request.clear()
        return decisions

    def waiting_tasks(self) -> int:
        """Return how many tasks wait for placement."""
        return sum(self._waiting_by_team.values())

    def waiting_tasks_of(self, team: str) -> int:
        """Return how many tasks of a team wait for placement."""
        return self._waiting_by_team.get(team, 0)

    def urgent_waiting_of(self, team: str) -> list[PendingJob]:
        """Return a team's urgent jobs that wait."""
        return [
            pending
            for _, _, pending in self._urgent
            if pending.job.team == team and not pending.is_done
        ]

    def could_ever_run(self, job: Job) -> str | None:
        """Return why no worker could ever hold the job, or ``None``.

        :returns: the name of the first resource that is lacking.
        """
        found = 0
        lacking: set[str] = set()
        for worker in self.table.by_id.values():
            copies = copies_in(job.request, worker.capacity)
            found += copies
            if not copies:
                lacking.update(_lacking(job.request, worker.capacity))
        needed = job.tasks if job.kind is JobKind.GANG else 1
        if found >= needed:
            return None
        for name in job.request._fields:
            if name in lacking:
                return name
        return "workers"

    # Events.

    def _submit(self, event: JobSubmitted) -> None:
        job = event.job
        self._count_waiting(job.team, len(event.indexes))
        known = self.pending_by_job_id.get(job.id)
        if known is not None and not known.cancelled:
            known.indexes.extend(event.indexes)
            self.team(job.team).blocked_version = 0
            return
        pending = PendingJob(job, deque(event.indexes), event.submitted_at)
        self._enqueue(pending, at_head=False)

    def _enqueue(self, pending: PendingJob, at_head: bool) -> None:
        self.pending_by_job_id[pending.job.id] = pending
        if pending.job.kind is not JobKind.URGENT:
            self.team(pending.job.team).add(pending, at_head)
            self.waiting_teams[pending.job.team] = None
            return
        self._urgent_order += 1
        entry = (self._latest_start(pending), self._urgent_order, pending)
        heapq.heappush(self._urgent, entry)

    def _latest_start(self, pending: PendingJob) -> float:
        job = pending.job
        deadline_s = job.deadline_s if job.deadline_s is not None else float("inf")
        return pending.submitted_at + deadline_s

    def _cancel(self, job_id: str) -> None:
        pending = self.pending_by_job_id.pop(job_id, None)
        if pending is not None and not pending.cancelled:
            pending.cancelled = True
            self._count_waiting(pending.job.team, -len(pending.indexes))

    def _end_task(self, event: TaskEnded, now: float) -> None:
        placed = self.placed_by_task_id.pop(event.task_id, None)
        if placed is None:
            return
        self._forget_task_of_job(placed)
        self._judge_worker(placed, event, now)
        self.table.release(placed.worker, placed.task_id, placed.job.request)
        team = self.team(placed.job.team)
        self._change_use(team, team.used.minus(placed.job.request), now)
        team.blocked_version = 0
        if event.requeue:
            self._requeue(placed)

    def _judge_worker(self, placed: PlacedTask, event: TaskEnded, now: float) -> None:
        if event.outcome is TaskOutcome.FINISHED:
            self.estimates.learn(placed.job, event.run_time_s)
            self.quarantine.record_success(placed.worker)
        elif event.outcome is TaskOutcome.FAILED:
            self.quarantine.record_failure(placed.worker, placed.job.id, now)

    def _requeue(self, placed: PlacedTask) -> None:
        self._count_waiting(placed.job.team, 1)
        known = self.pending_by_job_id.get(placed.job.id)
        if known is not None and not known.is_done:
            known.indexes.appendleft(placed.index)
            self.team(placed.job.team).blocked_version = 0
            return
        pending = PendingJob(placed.job, deque((placed.index,)), placed.submitted_at)
        self._enqueue(pending, at_head=True)

    def _forget_task_of_job(self, placed: PlacedTask) -> None:
        task_ids = self._task_ids_by_job_id[placed.job.id]
        del task_ids[placed.task_id]
        if not task_ids:
            del self._task_ids_by_job_id[placed.job.id]

    def _adopt(self, event: TaskAdopted, now: float) -> None:
        worker = self.table.by_id.get(event.worker_id)
        if worker is None or task_id_of(event.job.id, event.index) in (
            self.placed_by_task_id
        ):
            return
        self._hold(event.job, event.index, worker, event.placed_at, event.placed_at)
        self._limits_to_check = True
        self._shrunk_worker_ids.add(worker.id)

    def _note_usage(self, event: UsageReported) -> None:
        placed = self.placed_by_task_id.get(event.task_id)
        if placed is None:
            return
        declared = placed.job.request.processors_milli
        excess = max(0, event.used_processors_milli - declared)
        worker = placed.worker
        worker.measured_excess_milli = (worker.measured_excess_milli + excess) // 2

    def _change_worker(self, event: WorkerChanged) -> None:
        known = self.table.by_id.get(event.worker_id)
        if (
            known is not None
            and known.capacity == event.capacity
            and known.accepting == event.accepting
            and not known.gone
        ):
            return
        self.table.put(event.worker_id, event.rack, event.capacity, event.accepting)
        self._shrunk_worker_ids.add(event.worker_id)
        self._refresh_shares()

    def _change_teams(self, policy_by_team: dict[str, TeamPolicy]) -> None:
        for name, policy in policy_by_team.items():
            self.team(name).policy = policy
        for name, team in self.team_by_name.items():
            if name not in policy_by_team:
                team.policy = TeamPolicy(0.0, withdrawn=True)
            team.blocked_version = 0
        self._limits_to_check = True

    def _refresh_shares(self) -> None:
        for team in self.team_by_name.values():
            team.share = team.used.largest_fraction_of(self.table.total)

    # Urgent work.

    def _place_urgent(self, now: float, decisions: list[Decision], most: int) -> None:
        unplaced: list[tuple[float, int, PendingJob]] = []
        while self._urgent and len(decisions) < most:
            entry = heapq.heappop(self._urgent)
            pending = entry[2]
            self._place_tasks_of(pending, now, decisions, most)
            if pending.is_done:
                self._forget_if_done(pending)
                continue
            unplaced.append(entry)
            self._preempt_for(pending, now, decisions)
            if len(unplaced) >= self.settings.backfill_depth:
                break
        for entry in unplaced:
            heapq.heappush(self._urgent, entry)

    def _preempt_for(
        self, pending: PendingJob, now: float, decisions: list[Decision]
    ) -> None:
        job = pending.job
        team = self.team(job.team)
        if not team.may_add(job.request):
            return
        if self._latest_start(pending) - now > self.settings.preempt_slack_s:
            return
        if now - pending.preempted_at < self.settings.preempt_again_after_s:
            return
        own_rank = rank(team)
        above = {
            name for name, other in self.team_by_name.items() if rank(other) >= own_rank
        }
        victims = choose_victims(self.table, self.placed_by_task_id, above, job.request)
        pending.preempted_at = now
        self.preempt(victims, PreemptReason.URGENT, decisions)

    # Fair order.

    def _place_fairly(self, now: float, decisions: list[Decision], most: int) -> None:
        heap = self._teams_in_order(now)
        if not heap:
            return
        self._keeper.measure_share_level()
        while heap and len(decisions) < most:
            _, name = heapq.heappop(heap)
            team = self.team_by_name[name]
            if not self._may_progress(team):
                continue
            version = self.table.version
            if self._place_for_team(team, now, decisions, most):
                heapq.heappush(heap, (self.order_key(team, now), name))
            else:
                team.note_blocked(version, self.settings.backfill_depth)
                self._keeper.reserve_for(team, now)
                self._keeper.preempt_for_share(team, now, decisions)

    def _teams_in_order(self, now: float) -> list[tuple[float, str]]:
        """Return a heap of the teams that may get a task now."""
        heap = []
        idle = []
        for name in self.waiting_teams:
            team = self.team_by_name[name]
            if not team.has_waiting():
                idle.append(name)
            elif self._may_progress(team):
                heap.append((self.order_key(team, now), name))
        for name in idle:
            del self.waiting_teams[name]
        heapq.heapify(heap)
        return heap

    def _may_progress(self, team: Team) -> bool:
        if team.policy.withdrawn:
            return False
        if not team.blocked_version:
            return True
        least = team.blocked_request
        for worker in self.table.freed_since(team.blocked_version):
            if least.fits_in(worker.free):
                return True
        team.blocked_version = self.table.version
        return False

    def order_key(self, team: Team, now: float) -> float:
        """Return the rank of a team under this deployment's weights."""
        return team.order_key(
            now, self.settings.history_weight, self.settings.waiting_weight
        )

    def _place_for_team(
        self, team: Team, now: float, decisions: list[Decision], most: int
    ) -> bool:
        for pending in team.waiting(self.settings.backfill_depth):
            is_gang = pending.job.kind is JobKind.GANG
            room = most - len(decisions) if is_gang else 1
            before = len(decisions)
            self._place_job(pending, now, decisions, before + max(1, room))
            self._forget_if_done(pending)
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
        return now - pending.blocked_at >= self.settings.overtake_for_s

    def _place_job(
        self, pending: PendingJob, now: float, decisions: list[Decision], most: int
    ) -> None:
        if pending.job.kind is JobKind.GANG:
            self._place_gang(pending, now, decisions)
        else:
            self._place_tasks_of(pending, now, decisions, most)

    def _place_tasks_of(
        self, pending: PendingJob, now: float, decisions: list[Decision], most: int
    ) -> None:
        while not pending.is_done and len(decisions) < most:
            place = self._try_place(pending, pending.indexes[0], now)
            if place is None:
                return
            pending.indexes.popleft()
            decisions.append(place)

    def _place_gang(
        self, pending: PendingJob, now: float, decisions: list[Decision]
    ) -> None:
        team = self.team(pending.job.team)
        if not team.may_add(self.whole_request(pending)):
            return
        if not self._has_room_for_all(pending):
            return
        places: list[Place] = []
        for index in pending.indexes:
            place = self._try_place(pending, index, now, remembers=False)
            if place is None:
                self._undo(places, now)
                return
            places.append(place)
        pending.indexes.clear()
        decisions.extend(places)

    def _has_room_for_all(self, pending: PendingJob) -> bool:
        request = pending.job.request
        room = self._copies.count(request)
        for worker in self._reservations.workers_of(pending):
            room += copies_in(request, worker.free)
        return room >= len(pending.indexes)

    def _undo(self, places: list[Place], now: float) -> None:
        for place in reversed(places):
            placed = self.placed_by_task_id.pop(place.task_id)
            self._count_waiting(placed.job.team, 1)
            self._forget_task_of_job(placed)
            request = placed.job.request
            self.table.release(placed.worker, placed.task_id, request, is_new=False)
            team = self.team(placed.job.team)
            self._change_use(team, team.used.minus(request), now)

    # One placement.

    def _try_place(
        self, pending: PendingJob, index: int, now: float, remembers: bool = True
    ) -> Place | None:
        """Place one task, if there is room.

        :param remembers: whether a failure holds for the request until room
            appears; not so while a gang holds room that it may give back.
        """
        job = pending.job
        team = self.team(job.team)
        if not team.may_add(job.request):
            return None
        recent = self._recent_workers(pending, now)
        if recent is not None and not recent:
            if remembers:
                self._blocked_version_by_request[job.request] = self.table.version
            return None
        policy = self._policy_by_kind[job.kind]
        version = self.table.version

        def admits(worker: Worker) -> bool:
            return self._admits(worker, pending, now)

        choice = policy.choose(
            self.table, job.request, recent, admits, self._workers_of(job.id)
        )
        if choice.worker is None:
            if remembers:
                self._blocked_version_by_request[job.request] = version
            return None
        self._hold(job, index, choice.worker, now, pending.submitted_at)
        self._count_waiting(job.team, -1)
        return Place(
            task_id=task_id_of(job.id, index),
            job=job,
            index=index,
            worker_id=choice.worker.id,
            reason=policy.reason,
            candidates=choice.candidates,
            waited_s=now - pending.submitted_at,
        )

    def _recent_workers(self, pending: PendingJob, now: float) -> list[Worker] | None:
        """Return the workers on which a request may fit that fitted nowhere.

        Reserved workers are always among them, since what a reservation admits
        depends on more than the request. ``None`` means any worker may fit.
        """
        request = pending.job.request
        version = self._blocked_version_by_request.get(request, 0)
        if not version:
            return None
        recent = [
            worker
            for worker in self.table.freed_since(version)
            if request.fits_in(worker.free)
        ]
        for worker in self._reservations.workers_for(
            pending, self._held_until(pending.job, now)
        ):
            if worker.freed_version <= version and request.fits_in(worker.free):
                recent.append(worker)
        return recent

    def _admits(self, worker: Worker, pending: PendingJob, now: float) -> bool:
        job = pending.job
        if not self.quarantine.admits(worker, job, now):
            return False
        return self._reservations.admits(worker, pending, self._held_until(job, now))

    def _held_until(self, job: Job, now: float) -> float:
        """Return until when a task keeps a reserved worker from its reserver.

        Urgent work may use any worker, so it counts as ending at once.
        """
        if job.kind is JobKind.URGENT:
            return float("-inf")
        return self._expected_end(job, now)

    def _expected_end(self, job: Job, now: float) -> float:
        if job.kind is JobKind.SERVICE:
            return float("inf")
        return now + self.estimates.run_time_s(job)

    def _workers_of(self, job_id: str) -> list[str]:
        return [
            self.placed_by_task_id[task_id].worker.id
            for task_id in self._task_ids_by_job_id.get(job_id, ())
        ]

    def _hold(
        self, job: Job, index: int, worker: Worker, now: float, submitted_at: float
    ) -> None:
        task_id = task_id_of(job.id, index)
        self.placed_by_task_id[task_id] = PlacedTask(
            task_id=task_id,
            job=job,
            index=index,
            worker=worker,
            placed_at=now,
            expected_end=self._expected_end(job, now),
            submitted_at=submitted_at,
        )
        self._task_ids_by_job_id.setdefault(job.id, {})[task_id] = None
        self.table.commit(worker, task_id, job.request)
        team = self.team(job.team)
        self._change_use(team, team.used.plus(job.request), now)

    # Preemption.

    def _preempt_over_limit(self, decisions: list[Decision]) -> None:
        if not self._limits_to_check:
            return
        self._limits_to_check = False
        for team in self.team_by_name.values():
            if not team.is_over_limit():
                continue
            victims = choose_over_limit(team, self.placed_by_task_id.values())
            self.preempt(victims, PreemptReason.OVER_LIMIT, decisions)

    def _preempt_over_capacity(self, decisions: list[Decision]) -> None:
        while self._shrunk_worker_ids:
            worker = self.table.by_id.get(self._shrunk_worker_ids.pop())
            if worker is None or not worker.is_over_capacity:
                continue
            placed = [self.placed_by_task_id[task_id] for task_id in worker.task_ids]
            victims = choose_over_capacity(worker, placed)
            self.preempt(victims, PreemptReason.OVER_CAPACITY, decisions)

    @staticmethod
    def preempt(
        victims: list[PlacedTask], reason: PreemptReason, decisions: list[Decision]
    ) -> None:
        """Have tasks give up their room, unless that is under way."""
        for placed in victims:
            if placed.preempting:
                continue
            placed.preempting = True
            decisions.append(Preempt(placed.task_id, placed.worker.id, reason))

    # Small helpers.

    def team(self, name: str) -> Team:
        """Return a team, known from now on if it was not."""
        team = self.team_by_name.get(name)
        if team is None:
            team = self.team_by_name[name] = Team(name)
        return team

    def _count_waiting(self, team: str, delta: int) -> None:
        self._waiting_by_team[team] = self._waiting_by_team.get(team, 0) + delta

    def _change_use(self, team: Team, used: Resources, now: float) -> None:
        half_life_s = self.settings.history_half_life_s
        team.change_use(used, self.table.total, now, half_life_s)

    def _forget_if_done(self, pending: PendingJob) -> None:
        if not pending.is_done:
            return
        self._reservations.drop(pending)
        if self.pending_by_job_id.get(pending.job.id) is pending:
            del self.pending_by_job_id[pending.job.id]

    @staticmethod
    def whole_request(pending: PendingJob) -> Any:
        """Return what a job needs at once: a gang all of its tasks."""
        if pending.job.kind is not JobKind.GANG:
            return pending.job.request
        return pending.job.request.times(len(pending.indexes))


def _lacking(request: Resources, capacity: Resources) -> list[str]:
    return [
        name
        for name, want, have in zip(request._fields, request, capacity)
        if want > have
    ]

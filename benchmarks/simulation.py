"""Simulates a cell on virtual time and measures the decisions of a placement core."""

from __future__ import annotations

import heapq
import time
from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import Any

from .workload import CellSize, Workload

CHECKPOINT_DELAY_S = 0.5
SAMPLE_INTERVAL_S = 1.0
SHARE_WINDOW_S = 60.0
FULL_CELL_FRACTION = 0.85


@dataclass
class Sample:
    """State of the cell at one time.

    Shares and demands are dominant shares: the largest fraction of the cell's capacity
    over all resources. Demand includes the tasks that run and those that wait.
    """

    at: float
    used_fraction: float
    share_by_team: dict[str, float]
    demand_by_team: dict[str, float]


@dataclass
class Result:
    """Measurements of one core with one workload."""

    core: str
    waits_by_class: dict[str, list[float]] = field(default_factory=dict)
    unplaced_by_class: dict[str, int] = field(default_factory=dict)
    preemptions: int = 0
    decisions: int = 0
    decision_time_s: float = 0.0
    call_times_s: list[float] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)


class Simulation:
    """Simulates one run of one core.

    The core and its events may come from another revision of the package, so that
    classes are taken from ``events`` and decisions are told apart by their attributes.
    """

    def __init__(
        self, name: str, core: Any, events: Any, size: CellSize, workload: Workload
    ) -> None:
        self._core = core
        self._events = events
        self._size = size
        self._workload = workload
        self._result = Result(name, defaultdict(list), defaultdict(int))
        self._end_heap: list[tuple[float, int, str, int]] = []
        self._end_sequence = 0
        self._job_by_task_id: dict[str, Any] = {}
        self._remaining_s_by_task_id: dict[str, float] = {}
        self._started_at_by_task_id: dict[str, float] = {}
        self._placed_task_ids: set[str] = set()
        self._end_version_by_task_id: dict[str, int] = defaultdict(int)
        self._waiting_by_task_id: dict[str, Any] = {}
        self._used_by_team: dict[str, list[int]] = defaultdict(lambda: [0] * 5)
        self._waiting_by_team: dict[str, list[int]] = defaultdict(lambda: [0] * 5)
        self._total_capacity = [amount * size.workers for amount in size.capacity]

    def run(self) -> Result:
        """Simulate until the end of the run and return the measurements.

        A task that still waits at the end counts with its wait until then.
        """
        self._add_initial_state()
        arrivals = self._workload.arrivals
        position = 0
        next_sample = 0.0
        stop_at = self._size.duration_s
        while True:
            arrival_at = arrivals[position].at if position < len(arrivals) else stop_at
            end_at = self._end_heap[0][0] if self._end_heap else stop_at
            now = min(arrival_at, end_at, next_sample)
            if now >= stop_at:
                break
            if now == next_sample:
                self._record_sample(now)
                next_sample += SAMPLE_INTERVAL_S
                continue
            if end_at <= arrival_at:
                self._handle_end(now)
            else:
                self._handle_arrival(arrivals[position], now)
                position += 1
        for task_id in self._waiting_by_task_id:
            job, at = self._waiting_by_task_id[task_id]
            self._result.unplaced_by_class[job.task_class] += 1
            self._result.waits_by_class[job.task_class].append(stop_at - at)
        return self._result

    def _add_initial_state(self) -> None:
        events, size = self._events, self._size
        for number in range(size.workers):
            rack = f"rack-{number * size.racks // size.workers}"
            worker_id = f"w{number:04d}"
            self._apply(events.WorkerChanged(worker_id, rack, size.capacity, True), 0.0)
        policies = {
            team: events.TeamPolicy(weight)
            for team, weight in self._workload.weight_by_team.items()
        }
        self._apply(events.TeamsChanged(policies), 0.0)
        for number, job in enumerate(self._workload.services):
            worker_id = f"w{number % size.workers:04d}"
            self._adopt(job, worker_id, float("inf"))
        self._prefill()

    def _prefill(self) -> None:
        """Adopt small tasks, so that the run starts near its steady state.

        Their ends are spread evenly over four times the duration of the run.
        """
        size = self._size
        templates = [a for a in self._workload.arrivals if a.job.tasks == 1]
        for number in range(size.prefilled):
            arrival = templates[number % len(templates)]
            job = _make_prefilled_job(arrival.job, f"prefilled-{number}", 1000)
            worker_id = f"w{number % size.workers:04d}"
            ends_at = size.duration_s * 4 * (number + 1) / size.prefilled
            self._adopt(job, worker_id, ends_at)

    def _adopt(self, job: Any, worker_id: str, ends_at: float) -> None:
        self._apply(self._events.TaskAdopted(job, 0, worker_id, 0.0), 0.0)
        task_id = f"{job.id}/0"
        self._placed_task_ids.add(task_id)
        self._add_used(job, 1)
        self._started_at_by_task_id[task_id] = 0.0
        if ends_at != float("inf"):
            self._schedule_end(ends_at, task_id, job)

    def _handle_arrival(self, arrival: Any, now: float) -> None:
        job = arrival.job
        for index, run_time_s in enumerate(arrival.run_times_s):
            task_id = f"{job.id}/{index}"
            self._remaining_s_by_task_id[task_id] = run_time_s
            self._waiting_by_task_id[task_id] = (job, now)
            self._add_waiting(job, 1)
        event = self._events.JobSubmitted(job, tuple(range(job.tasks)), now)
        self._apply_and_decide(event, now)

    def _handle_end(self, now: float) -> None:
        """Process the earliest end, unless a preemption has rescheduled it."""
        _, _, task_id, version = heapq.heappop(self._end_heap)
        if version != self._end_version_by_task_id[task_id]:
            return
        job = self._job_by_task_id[task_id]
        checkpointed = self._remaining_s_by_task_id.get(task_id, 0.0) > 0
        self._add_used(job, -1)
        outcomes = self._events.TaskOutcome
        if checkpointed:
            self._waiting_by_task_id[task_id] = (job, now)
            self._add_waiting(job, 1)
            event = self._events.TaskEnded(task_id, outcomes.CHECKPOINTED, 0.0, True)
        else:
            ran_s = now - self._started_at_by_task_id[task_id]
            event = self._events.TaskEnded(task_id, outcomes.FINISHED, ran_s, False)
        self._apply_and_decide(event, now)

    def _apply_and_decide(self, event: Any, now: float) -> None:
        """Apply an event, then decide until a round places no task.

        The core bounds the decisions of a round, so that one round may not be enough.
        """
        decisions = True
        while decisions:
            began = time.perf_counter()
            if event is not None:
                self._core.apply(event, now)
            decisions = self._core.decide(now)
            took = time.perf_counter() - began
            event = None
            self._result.decision_time_s += took
            self._result.call_times_s.append(took)
            for decision in decisions:
                self._execute(decision, now)
            if not any(hasattr(decision, "job") for decision in decisions):
                break

    def _execute(self, decision: Any, now: float) -> None:
        if hasattr(decision, "job"):
            self._start(decision, now)
        else:
            self._preempt(decision, now)

    def _start(self, place: Any, now: float) -> None:
        self._result.decisions += 1
        task_id, job = place.task_id, place.job
        del self._waiting_by_task_id[task_id]
        self._add_waiting(job, -1)
        self._add_used(job, 1)
        if task_id not in self._placed_task_ids:
            self._placed_task_ids.add(task_id)
            self._result.waits_by_class[job.task_class].append(place.waited_s)
        self._started_at_by_task_id[task_id] = now
        ends_at = now + self._remaining_s_by_task_id[task_id]
        self._remaining_s_by_task_id[task_id] = 0.0
        self._schedule_end(ends_at, task_id, job)

    def _preempt(self, preempt: Any, now: float) -> None:
        task_id = preempt.task_id
        self._result.preemptions += 1
        ends_at = next(
            (
                at
                for at, _, name, version in self._end_heap
                if name == task_id and version == self._end_version_by_task_id[task_id]
            ),
            now,
        )
        remaining_s = ends_at - now - CHECKPOINT_DELAY_S
        if remaining_s <= 0:
            return
        self._remaining_s_by_task_id[task_id] = remaining_s
        self._schedule_end(
            now + CHECKPOINT_DELAY_S, task_id, self._job_by_task_id[task_id]
        )

    def _schedule_end(self, at: float, task_id: str, job: Any) -> None:
        self._end_version_by_task_id[task_id] += 1
        self._end_sequence += 1
        self._job_by_task_id[task_id] = job
        heapq.heappush(
            self._end_heap,
            (at, self._end_sequence, task_id, self._end_version_by_task_id[task_id]),
        )

    def _apply(self, event: Any, now: float) -> None:
        self._core.apply(event, now)

    def _add_used(self, job: Any, sign: int) -> None:
        used = self._used_by_team[job.team]
        for index, amount in enumerate(job.request):
            used[index] += sign * amount

    def _add_waiting(self, job: Any, sign: int) -> None:
        waiting = self._waiting_by_team[job.team]
        for index, amount in enumerate(job.request):
            waiting[index] += sign * amount

    def _record_sample(self, now: float) -> None:
        shares, demands = {}, {}
        for team in self._workload.weight_by_team:
            used = self._used_by_team[team]
            wanted = [u + w for u, w in zip(used, self._waiting_by_team[team])]
            shares[team] = self._dominant_share(used)
            demands[team] = self._dominant_share(wanted)
        totals = [sum(column) for column in zip(*self._used_by_team.values())]
        sample = Sample(now, self._dominant_share(totals), shares, demands)
        self._result.samples.append(sample)

    def _dominant_share(self, amounts: list[int]) -> float:
        return max(
            (a / t for a, t in zip(amounts, self._total_capacity) if t > 0), default=0.0
        )


def run_simulation(
    name: str, core: Any, events: Any, size: CellSize, workload: Workload
) -> Result:
    """Run a workload on a core and return the measurements.

    :param events: module of the event classes that the core accepts.
    """
    return Simulation(name, core, events, size, workload).run()


def _make_prefilled_job(job: Any, job_id: str, processors_milli: int) -> Any:
    request = job.request._replace(processors_milli=processors_milli, memory_mb=1024)
    return replace(job, id=job_id, request=request, tasks=1)


def fair_shares(
    demand_by_team: dict[str, float], weight_by_team: dict[str, float], total: float
) -> dict[str, float]:
    """Return the weighted max-min fair shares of ``total``, bounded by the demands."""
    share_by_team = dict.fromkeys(demand_by_team, 0.0)
    unsatisfied_teams = {team for team, demand in demand_by_team.items() if demand > 0}
    remaining = min(total, sum(demand_by_team.values()))
    while unsatisfied_teams and remaining > 1e-12:
        weights = sum(weight_by_team[team] for team in unsatisfied_teams)
        share_per_weight = remaining / weights
        satisfied_teams = [
            team
            for team in unsatisfied_teams
            if demand_by_team[team] <= share_per_weight * weight_by_team[team]
        ]
        if not satisfied_teams:
            for team in unsatisfied_teams:
                share_by_team[team] = share_per_weight * weight_by_team[team]
            break
        for team in satisfied_teams:
            share_by_team[team] = demand_by_team[team]
            remaining -= demand_by_team[team]
            unsatisfied_teams.discard(team)
    return share_by_team


def share_errors(result: Result, weight_by_team: dict[str, float]) -> list[float]:
    """Return the errors of the teams' shares over windows of one minute.

    An error is the absolute mean difference between a team's share and its fair part of
    the sum of all shares, as a fraction of the cell. Windows start every quarter of a
    minute, the first minute is left out. Only windows in which the cell is nearly full
    throughout count: otherwise the shares follow the demand.
    """
    errors = []
    samples = result.samples
    per_window = int(SHARE_WINDOW_S / SAMPLE_INTERVAL_S)
    for first in range(per_window, len(samples) - per_window + 1, per_window // 4):
        window = samples[first : first + per_window]
        if any(sample.used_fraction < FULL_CELL_FRACTION for sample in window):
            continue
        totals: dict[str, float] = defaultdict(float)
        for sample in window:
            used = sum(sample.share_by_team.values())
            fair_share_by_team = fair_shares(
                sample.demand_by_team, weight_by_team, used
            )
            for team, share in sample.share_by_team.items():
                totals[team] += (share - fair_share_by_team[team]) / per_window
        errors.extend(abs(error) for error in totals.values())
    return errors

"""Drives a placement core on virtual time and measures what it does."""

from __future__ import annotations

import heapq
import time
from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import Any

from .workload import CellSize, Workload

CHECKPOINT_S = 0.5
SAMPLE_S = 1.0
WINDOW_S = 60.0
FULL_ABOVE = 0.85


@dataclass
class Sample:
    """State of the cell at one moment; shares are dominant ones."""

    at: float
    used_fraction: float
    share_by_team: dict[str, float]
    demand_by_team: dict[str, float]


@dataclass
class Result:
    """What one core did with one workload."""

    core: str
    waits_by_class: dict[str, list[float]] = field(default_factory=dict)
    unplaced_by_class: dict[str, int] = field(default_factory=dict)
    preemptions: int = 0
    decisions: int = 0
    deciding_s: float = 0.0
    call_times_s: list[float] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)


class Simulation:
    """One run of one core."""

    def __init__(
        self, name: str, core: Any, events: Any, size: CellSize, workload: Workload
    ) -> None:
        self._core = core
        self._events = events
        self._size = size
        self._workload = workload
        self._result = Result(name, defaultdict(list), defaultdict(int))
        self._ends: list[tuple[float, int, str, int]] = []
        self._count = 0
        self._jobs: dict[str, Any] = {}
        self._remaining_s: dict[str, float] = {}
        self._started_at: dict[str, float] = {}
        self._first_placed: set[str] = set()
        self._version: dict[str, int] = defaultdict(int)
        self._waiting: dict[str, Any] = {}
        self._used_by_team: dict[str, list[int]] = defaultdict(lambda: [0] * 5)
        self._waiting_by_team: dict[str, list[int]] = defaultdict(lambda: [0] * 5)
        self._total = [amount * size.workers for amount in size.capacity]

    def run(self) -> Result:
        """Feed all arrivals and return what was measured."""
        self._set_up()
        arrivals = self._workload.arrivals
        position = 0
        next_sample = 0.0
        until = self._size.duration_s
        while True:
            arrival_at = arrivals[position].at if position < len(arrivals) else until
            end_at = self._ends[0][0] if self._ends else until
            now = min(arrival_at, end_at, next_sample)
            if now >= until:
                break
            if now == next_sample:
                self._sample(now)
                next_sample += SAMPLE_S
                continue
            if end_at <= arrival_at:
                self._end(now)
            else:
                self._arrive(arrivals[position], now)
                position += 1
        for task_id in self._waiting:
            job, at = self._waiting[task_id]
            self._result.unplaced_by_class[job.task_class] += 1
            self._result.waits_by_class[job.task_class].append(until - at)
        return self._result

    def _set_up(self) -> None:
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
        """Place short tasks that end evenly over the run, as in steady state."""
        size = self._size
        template = [a for a in self._workload.arrivals if a.job.tasks == 1]
        for number in range(size.prefilled):
            arrival = template[number % len(template)]
            job = _renamed(arrival.job, f"prefilled-{number}", 1000)
            worker_id = f"w{number % size.workers:04d}"
            ends_at = size.duration_s * 4 * (number + 1) / size.prefilled
            self._adopt(job, worker_id, ends_at)

    def _adopt(self, job: Any, worker_id: str, ends_at: float) -> None:
        self._apply(self._events.TaskAdopted(job, 0, worker_id, 0.0), 0.0)
        task_id = f"{job.id}/0"
        self._first_placed.add(task_id)
        self._use(job, 1)
        self._started_at[task_id] = 0.0
        if ends_at != float("inf"):
            self._schedule_end(ends_at, task_id, job)

    def _arrive(self, arrival: Any, now: float) -> None:
        job = arrival.job
        for index, run_time_s in enumerate(arrival.run_times_s):
            task_id = f"{job.id}/{index}"
            self._remaining_s[task_id] = run_time_s
            self._waiting[task_id] = (job, now)
            self._wait(job, 1)
        event = self._events.JobSubmitted(job, tuple(range(job.tasks)), now)
        self._step(event, now)

    def _end(self, now: float) -> None:
        _, _, task_id, version = heapq.heappop(self._ends)
        if version != self._version[task_id]:
            return
        job = self._jobs[task_id]
        checkpointed = self._remaining_s.get(task_id, 0.0) > 0
        self._use(job, -1)
        outcomes = self._events.TaskOutcome
        if checkpointed:
            self._waiting[task_id] = (job, now)
            self._wait(job, 1)
            event = self._events.TaskEnded(task_id, outcomes.CHECKPOINTED, 0.0, True)
        else:
            ran_s = now - self._started_at[task_id]
            event = self._events.TaskEnded(task_id, outcomes.FINISHED, ran_s, False)
        self._step(event, now)

    def _step(self, event: Any, now: float) -> None:
        decisions = True
        while decisions:
            began = time.perf_counter()
            if event is not None:
                self._core.apply(event, now)
            decisions = self._core.decide(now)
            took = time.perf_counter() - began
            event = None
            self._result.deciding_s += took
            self._result.call_times_s.append(took)
            for decision in decisions:
                self._carry_out(decision, now)
            if not any(hasattr(decision, "job") for decision in decisions):
                break

    def _carry_out(self, decision: Any, now: float) -> None:
        if hasattr(decision, "job"):
            self._start(decision, now)
        else:
            self._preempt(decision, now)

    def _start(self, place: Any, now: float) -> None:
        self._result.decisions += 1
        task_id, job = place.task_id, place.job
        del self._waiting[task_id]
        self._wait(job, -1)
        self._use(job, 1)
        if task_id not in self._first_placed:
            self._first_placed.add(task_id)
            self._result.waits_by_class[job.task_class].append(place.waited_s)
        self._started_at[task_id] = now
        ends_at = now + self._remaining_s[task_id]
        self._remaining_s[task_id] = 0.0
        self._schedule_end(ends_at, task_id, job)

    def _preempt(self, preempt: Any, now: float) -> None:
        task_id = preempt.task_id
        self._result.preemptions += 1
        ends_at = next(
            (
                at
                for at, _, name, version in self._ends
                if name == task_id and version == self._version[task_id]
            ),
            now,
        )
        left_s = ends_at - now - CHECKPOINT_S
        if left_s <= 0:
            return
        self._remaining_s[task_id] = left_s
        self._schedule_end(now + CHECKPOINT_S, task_id, self._jobs[task_id])

    def _schedule_end(self, at: float, task_id: str, job: Any) -> None:
        self._version[task_id] += 1
        self._count += 1
        self._jobs[task_id] = job
        heapq.heappush(self._ends, (at, self._count, task_id, self._version[task_id]))

    def _apply(self, event: Any, now: float) -> None:
        self._core.apply(event, now)

    def _use(self, job: Any, sign: int) -> None:
        used = self._used_by_team[job.team]
        for index, amount in enumerate(job.request):
            used[index] += sign * amount

    def _wait(self, job: Any, sign: int) -> None:
        waiting = self._waiting_by_team[job.team]
        for index, amount in enumerate(job.request):
            waiting[index] += sign * amount

    def _sample(self, now: float) -> None:
        shares, demands = {}, {}
        for team in self._workload.weight_by_team:
            used = self._used_by_team[team]
            wanted = [u + w for u, w in zip(used, self._waiting_by_team[team])]
            shares[team] = self._dominant(used)
            demands[team] = self._dominant(wanted)
        sums = [sum(column) for column in zip(*self._used_by_team.values())]
        sample = Sample(now, self._dominant(sums), shares, demands)
        self._result.samples.append(sample)

    def _dominant(self, amounts: list[int]) -> float:
        return max((a / t for a, t in zip(amounts, self._total) if t > 0), default=0.0)


def run_simulation(
    name: str, core: Any, events: Any, size: CellSize, workload: Workload
) -> Result:
    """Run a core over a workload.

    :param events: the module of events that the core understands.
    """
    return Simulation(name, core, events, size, workload).run()


def _renamed(job: Any, job_id: str, processors_milli: int) -> Any:
    request = job.request._replace(processors_milli=processors_milli, memory_mb=1024)
    return replace(job, id=job_id, request=request, tasks=1)


def fair_shares(
    demand_by_team: dict[str, float], weight_by_team: dict[str, float], total: float
) -> dict[str, float]:
    """Return the weighted max-min division of ``total`` under demands."""
    target = dict.fromkeys(demand_by_team, 0.0)
    open_teams = {team for team, demand in demand_by_team.items() if demand > 0}
    left = min(total, sum(demand_by_team.values()))
    while open_teams and left > 1e-12:
        weights = sum(weight_by_team[team] for team in open_teams)
        level = left / weights
        capped = [
            team
            for team in open_teams
            if demand_by_team[team] <= level * weight_by_team[team]
        ]
        if not capped:
            for team in open_teams:
                target[team] = level * weight_by_team[team]
            break
        for team in capped:
            target[team] = demand_by_team[team]
            left -= demand_by_team[team]
            open_teams.discard(team)
    return target


def share_errors(result: Result, weight_by_team: dict[str, float]) -> list[float]:
    """Return each team's error in each full minute, as a part of the cell.

    A minute is full when the cell is nearly used up and work waits throughout.
    """
    errors = []
    samples = result.samples
    per_window = int(WINDOW_S / SAMPLE_S)
    for first in range(per_window, len(samples) - per_window + 1, per_window // 4):
        window = samples[first : first + per_window]
        if any(sample.used_fraction < FULL_ABOVE for sample in window):
            continue
        sums: dict[str, float] = defaultdict(float)
        for sample in window:
            used = sum(sample.share_by_team.values())
            target = fair_shares(sample.demand_by_team, weight_by_team, used)
            for team, share in sample.share_by_team.items():
                sums[team] += (share - target[team]) / per_window
        errors.extend(abs(error) for error in sums.values())
    return errors

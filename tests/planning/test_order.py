"""Order of waiting steps under more work than the workers can do."""

from __future__ import annotations

import pytest

from lagoonpulley.model.resources import Resources
from lagoonpulley.planning.cell import Cell
from lagoonpulley.planning.demand import Demand
from lagoonpulley.planning.order import (
    AGED_AFTER_OBJECTIVES,
    Punctuality,
    SharePolicy,
    order_demands,
    punctuality,
)
from lagoonpulley.planning.permits import PermitTable
from lagoonpulley.planning.planner import Planner
from lagoonpulley.planning.team_use import TeamUse
from lagoonpulley.policy.values import Queue, TeamLimits
from lagoonpulley.upstream.directory import WorkerInfo
from lagoonpulley.workload.record import JobRecord
from lagoonpulley.workload.spec import JobSpec, StepKey, StepSpec

WORKERS = 10
CAPACITY = Resources(16_000, 65_536)
TASK = Resources(4000, 1024)
SLOTS = WORKERS * 4
RUN_S = 1.0
OBJECTIVE_S = 3.0
QUEUES = [Queue(f"q{priority}", "", "/", "s", priority) for priority in range(2)]
HOUR_S = 3600.0


class NoAdvice:
    def reserve(self, cost_s, now):
        return None


def make_demand(number, team="north", submitted_at=0.0, queue=QUEUES[0], steps=1):
    chain = tuple(
        StepSpec(1, TASK, RUN_S, after=(index - 1,) if index else ())
        for index in range(steps)
    )
    spec = JobSpec(f"{number:016x}", queue.name, team, "", chain, submitted_at)
    due_at = submitted_at + OBJECTIVE_S
    return Demand(JobRecord.from_spec(spec), StepKey(0, 0), queue, due_at)


def make_cell():
    cell = Cell()
    for number in range(WORKERS):
        worker_id = f"w{number}"
        info = WorkerInfo(worker_id, "s", worker_id, "a", CAPACITY, (), "", 1)
        cell.put_worker(info)
        cell.set_accepting(worker_id, True)
    return cell


class Cluster:
    """A full cell in virtual time: every second, all tasks end and others start."""

    def __init__(self, weights, half_life_s=4 * HOUR_S, max_past_excess=1.0):
        self.cell = make_cell()
        self.use = TeamUse(half_life_s)
        self.limits = {name: TeamLimits(name, w) for name, w in weights.items()}
        self.policy = SharePolicy(self.use, self.limits, max_past_excess)
        self.waiting = []
        self.running = []
        self.done = []
        self.now = 0.0
        self.count = 0
        self.use.update(self.cell, 0.0)

    def submit(self, team, jobs):
        for _ in range(jobs):
            self.count += 1
            self.waiting.append(make_demand(self.count, team, self.now))

    def step(self):
        """Let a second pass: tasks end, and the round starts others one by one."""
        for worker_id, ref in self.running:
            self.cell.release(worker_id, ref)
        self.running = []
        for _ in range(SLOTS):
            teams = {demand.record.spec.team for demand in self.waiting}
            excess = self.policy.excess_steps(teams, self.cell)
            ordered = order_demands(self.waiting, excess, self.now)
            planner = Planner(self.cell, PermitTable(), {}, self.now, NoAdvice())
            starts = planner.plan(ordered, 1).starts
            for start in starts:
                self._record(start)
            if not starts:
                break
        self.now += RUN_S
        self.use.update(self.cell, self.now)

    def _record(self, start):
        for demand in self.waiting:
            if demand.record is start.record:
                break
        self.waiting.remove(demand)
        self.done.append((self.now, demand))
        for worker_id, worker in self.cell.worker_by_id.items():
            for ref in worker.claim_by_ref:
                if ref.job_id == start.record.spec.id:
                    self.running.append((worker_id, ref))

    def started(self, team, since=0.0):
        return sum(d.record.spec.team == team and at >= since for at, d in self.done)

    def in_time(self, team):
        return sum(
            d.record.spec.team == team and at + RUN_S <= d.due_at for at, d in self.done
        )


def test_teams_get_their_weighted_shares_of_a_full_cell():
    cluster = Cluster({"north": 3.0, "south": 1.0})
    for _ in range(12):
        cluster.submit("north", SLOTS)
        cluster.submit("south", SLOTS)
        cluster.step()
    share = cluster.started("north") / len(cluster.done)
    assert share == pytest.approx(0.75, abs=0.03)


def test_team_with_many_jobs_delays_only_its_own():
    cluster = Cluster({"hot": 1.0, "north": 1.0, "south": 1.0})
    for second in range(8):
        cluster.submit("hot", 5 * SLOTS if second < 5 else 0)
        cluster.submit("north", SLOTS // 5)
        cluster.submit("south", SLOTS // 5)
        cluster.step()
    assert cluster.in_time("north") == cluster.in_time("south") == 8 * (SLOTS // 5)


def test_team_borrows_what_the_others_leave():
    cluster = Cluster({"north": 1.0, "south": 9.0})
    cluster.submit("north", SLOTS)
    cluster.step()
    assert cluster.started("north") == SLOTS


def test_past_use_slows_a_team_down_and_never_stops_it():
    started = {}
    for max_past_excess in (0.0, 1.0):
        cluster = Cluster(
            {"heavy": 1.0, "light": 1.0},
            half_life_s=15.0,
            max_past_excess=max_past_excess,
        )
        for _ in range(60):
            cluster.submit("heavy", SLOTS)
            cluster.step()
        cluster.waiting = []
        began = cluster.now
        for _ in range(6):
            cluster.submit("heavy", SLOTS)
            cluster.submit("light", SLOTS)
            cluster.step()
        started[max_past_excess] = cluster.started("heavy", began)
    assert started[0.0] == pytest.approx(3 * SLOTS, abs=SLOTS // 4)
    assert SLOTS // 4 < started[1.0] < started[0.0] * 0.8


def test_past_use_of_an_hour_ago_counts_half_after_the_half_life():
    use = TeamUse(4 * HOUR_S)
    use.restore({"north": 0.4}, 4 * HOUR_S)
    assert use.past_share("north") == pytest.approx(0.2)


def test_team_without_use_is_forgotten():
    use = TeamUse(60.0)
    use.restore({"north": 0.4}, HOUR_S)
    use.update(make_cell(), 0.0)
    assert use.past_by_team() == {}


def test_work_that_can_be_in_time_goes_before_work_that_cannot():
    late = make_demand(1, submitted_at=-2.5)
    in_time = make_demand(2, submitted_at=0.0)
    useless = make_demand(3, submitted_at=-9.0)
    ordered = order_demands([useless, late, in_time], {}, 0.0)
    assert ordered == [in_time, late, useless]


def test_remaining_steps_count_for_whether_a_job_can_be_in_time():
    assert punctuality(make_demand(1, steps=2), 1.0) is Punctuality.IN_TIME
    assert punctuality(make_demand(1, steps=3), 1.0) is Punctuality.LATE


def test_very_old_work_goes_first_again():
    aged_s = AGED_AFTER_OBJECTIVES * OBJECTIVE_S
    aged = make_demand(1, submitted_at=-aged_s - 1.0)
    assert order_demands([make_demand(2), aged], {}, 0.0)[0] is aged


def test_priority_goes_before_shares():
    urgent = make_demand(1, "hot", queue=QUEUES[0])
    other = make_demand(2, "north", queue=QUEUES[1])
    assert order_demands([other, urgent], {"hot": 8}, 0.0) == [urgent, other]


def test_overload_leaves_as_many_jobs_in_time_as_there_is_room_for():
    cluster = Cluster({"north": 1.0})
    for _ in range(12):
        cluster.submit("north", 2 * SLOTS)
        cluster.step()
    assert cluster.in_time("north") >= 11 * SLOTS

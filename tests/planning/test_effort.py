"""Effort of a planning round as the backlog and the number of workers grow."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lagoonpulley.model.resources import Resources
from lagoonpulley.planning import planner as planner_module
from lagoonpulley.planning.cell import Cell, Claim
from lagoonpulley.planning.demand import BlockReason, Demand
from lagoonpulley.planning.packing import StepTaskCounts, pack_tasks
from lagoonpulley.planning.permits import PermitTable
from lagoonpulley.planning.planner import Planner
from lagoonpulley.policy.values import Queue, TeamLimits
from lagoonpulley.upstream.directory import WorkerInfo
from lagoonpulley.upstream.tasks import TaskRef
from lagoonpulley.workload.record import JobRecord
from lagoonpulley.workload.spec import JobSpec, StepKey, StepSpec, TaskKey

WORKERS = 40
DEMANDS = 200
QUEUE = Queue("reviews", "", "/reviews/", "service")
BUSY = Resources(16_000, 4096)


class NoAdvice:
    def reserve(self, cost_s, now):
        return None


@pytest.fixture
def full_cell():
    """Return a cell without free capacity."""
    cell = Cell()
    for number in range(WORKERS):
        worker_id = f"w{number}"
        info = WorkerInfo(worker_id, "service", worker_id, "a", BUSY, (), "", 1)
        cell.put_worker(info)
        cell.set_accepting(worker_id, True)
        cell.claim(worker_id, Claim(make_ref(number), "north", BUSY, BUSY))
    return cell


def make_ref(number):
    return TaskRef(f"busy-{number}", TaskKey(0, 0, 0), 1)


def make_demand(number, processors_milli):
    step = StepSpec(1, Resources(processors_milli, 512), 1.0)
    spec = JobSpec(f"{number:016x}", "reviews", "north", "", (step,), 0.0)
    return Demand(JobRecord.from_spec(spec), StepKey(0, 0), QUEUE, float(number))


def plan(cell, demands, now, limits_by_team=None):
    planner = Planner(cell, PermitTable(), limits_by_team or {}, now, NoAdvice())
    return planner.plan(demands, 64).starts


def count_fit_checks(monkeypatch):
    return count_calls(monkeypatch, "fits_in")


def count_calls(monkeypatch, name):
    """Return a list that gets one item for each call of a method of resources."""
    calls = []
    original = getattr(Resources, name)

    def counted(self, other):
        calls.append(self)
        return original(self, other)

    monkeypatch.setattr(Resources, name, counted)
    return calls


def release_all(cell):
    for number in range(WORKERS):
        cell.release(f"w{number}", make_ref(number))
        cell.claim(f"w{number}", Claim(make_ref(number), "north", BUSY, BUSY))


def test_round_checks_each_size_once_for_each_freed_worker(full_cell, monkeypatch):
    demands = [make_demand(number, 1000 + number % 2) for number in range(DEMANDS)]
    plan(full_cell, demands, 1.0)
    release_all(full_cell)
    checks = count_fit_checks(monkeypatch)
    assert not plan(full_cell, demands, 2.0)
    assert len(checks) <= 2 * WORKERS


def test_smaller_demand_starts_after_a_larger_one_did_not_fit(full_cell):
    demands = [make_demand(number, 16_000) for number in range(4)]
    demands += [make_demand(number, 2000) for number in range(4, 8)]
    plan(full_cell, demands, 1.0)
    full_cell.release("w7", make_ref(7))
    half = Resources(12_000, 512)
    full_cell.claim("w7", Claim(make_ref(7), "north", half, half))
    starts = plan(full_cell, demands, 2.0)
    assert [start.record.spec.id for start in starts] == [
        demands[4].record.spec.id,
        demands[5].record.spec.id,
    ]


def test_packing_checks_each_worker_once_and_each_task_at_most_twice(monkeypatch):
    cell = Cell()
    for number in range(WORKERS):
        info = WorkerInfo(f"w{number}", "service", "", "a", BUSY, (), "", 1)
        cell.put_worker(info)
    tasks = 3 * WORKERS
    step = StepSpec(tasks, Resources(5000, 512), 1.0)
    checks = count_fit_checks(monkeypatch)
    workers = list(cell.worker_by_id.values())
    chosen = pack_tasks(step, workers, tasks, StepTaskCounts({}), {})
    assert len(chosen) == tasks
    assert len(checks) <= WORKERS + 2 * tasks


def test_round_computes_free_capacity_only_of_workers_that_change(
    full_cell, monkeypatch
):
    plan(full_cell, [make_demand(0, 1000)], 1.0)
    subtractions = count_calls(monkeypatch, "minus")
    full_cell.release("w0", make_ref(0))
    assert len(plan(full_cell, [make_demand(0, 1000)], 2.0)) == 1
    assert len(subtractions) < WORKERS / 4


def test_free_capacity_follows_claims_and_the_description():
    cell = Cell()
    info = WorkerInfo("w0", "service", "w0", "a", BUSY, (), "", 1)
    worker = cell.put_worker(info)
    small = Resources(1000, 512)
    cell.claim("w0", Claim(make_ref(0), "north", small, small))
    assert worker.free == BUSY.minus(small)
    cell.put_worker(replace(info, capacity=small))
    assert worker.free == Resources()
    cell.release("w0", make_ref(0))
    assert worker.free == small


def test_round_does_not_look_up_the_steps_of_blocked_demands(full_cell, monkeypatch):
    demands = [make_demand(number, 1000) for number in range(DEMANDS)]
    plan(full_cell, demands, 1.0)
    release_all(full_cell)
    looked_up = []
    original = JobRecord.step_of

    def step_of(self, key):
        looked_up.append(key)
        return original(self, key)

    monkeypatch.setattr(JobRecord, "step_of", step_of)
    assert not plan(full_cell, demands, 2.0)
    assert not looked_up


def test_round_does_not_look_for_workers_for_a_team_at_its_limit(
    full_cell, monkeypatch
):
    demands = [make_demand(number, 1000) for number in range(DEMANDS)]
    used = full_cell.team_usage("north")
    limits_by_team = {"north": TeamLimits("north", 1.0, used)}
    plan(full_cell, demands, 1.0, limits_by_team)
    assert {demand.block_reason for demand in demands} == {BlockReason.TEAM_LIMIT}
    release_all(full_cell)
    searches = []
    original = planner_module.eligible_workers

    def eligible_workers(*arguments):
        searches.append(arguments)
        return original(*arguments)

    monkeypatch.setattr(planner_module, "eligible_workers", eligible_workers)
    assert not plan(full_cell, demands, 2.0, limits_by_team)
    assert not searches
    full_cell.release("w0", make_ref(0))
    assert len(plan(full_cell, demands, 3.0, limits_by_team)) == 8

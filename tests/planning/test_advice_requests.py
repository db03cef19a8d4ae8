"""Requests to advisors while the cell is full and many steps wait."""

from __future__ import annotations

import pytest

from lagoonpulley.model.resources import Resources
from lagoonpulley.planning.cell import Cell, Claim
from lagoonpulley.planning.demand import BlockReason, Demand
from lagoonpulley.planning.permits import PermitTable
from lagoonpulley.planning.planner import Planner
from lagoonpulley.policy.values import AdvicePolicy, Queue
from lagoonpulley.upstream.directory import WorkerInfo
from lagoonpulley.upstream.tasks import Advice, TaskRef
from lagoonpulley.workload.record import JobRecord
from lagoonpulley.workload.spec import JobSpec, StepKey, StepSpec, TaskKey

WORKERS = 60
WAITING = 200
CAPACITY = Resources(16_000, 65_536)
TASK = Resources(4000, 1024)
QUEUE = Queue(
    "reviews", "", "/reviews/", "service", advice=AdvicePolicy(0.01, 0.0001, 2.0)
)


class AnyEntry:
    def may_reserve(self, cost_s, now):
        return True

    def reserve(self, cost_s, now):
        return "e0"


class BusyEntries:
    def may_reserve(self, cost_s, now):
        return False

    def reserve(self, cost_s, now):
        return None


@pytest.fixture
def cell():
    made = Cell()
    for number in range(WORKERS):
        worker_id = f"w{number}"
        info = WorkerInfo(worker_id, "service", worker_id, "a", CAPACITY, (), "", 1)
        made.put_worker(info)
        made.set_accepting(worker_id, True)
    return made


def occupy(cell):
    for number in range(WORKERS):
        ref = TaskRef(f"busy-{number}", TaskKey(0, 0, 0), 1)
        cell.claim(f"w{number}", Claim(ref, "north", CAPACITY, CAPACITY))


def release(cell, number):
    cell.release(f"w{number}", TaskRef(f"busy-{number}", TaskKey(0, 0, 0), 1))


def make_demand(number, count=1, gang=False):
    step = StepSpec(count, TASK, 1.0, gang=gang)
    spec = JobSpec(f"{number:016x}", "reviews", "north", "", (step,), 0.0)
    return Demand(JobRecord.from_spec(spec), StepKey(0, 0), QUEUE, float(number))


def plan(cell, permits, demands, now, budget=None):
    return Planner(cell, permits, {}, now, budget or AnyEntry()).plan(demands, 64)


def allow(permits, demand, worker_ids, now):
    known = permits.for_step(demand.record.spec.id, demand.key)
    known.add_advice(worker_ids, Advice(dict.fromkeys(worker_ids, "permit"), 2.0), now)
    known.request_pending = False
    demand.block_reason = BlockReason.NONE


def fill_and_free_one_worker(cell):
    """Fill the cell while many steps wait, whose permits expire; free one worker."""
    occupy(cell)
    permits = PermitTable()
    demands = [make_demand(number) for number in range(WAITING)]
    everyone = tuple(cell.worker_by_id)
    for demand in demands:
        allow(permits, demand, everyone, 0.0)
    plan(cell, permits, demands, 1.0)
    release(cell, 7)
    return permits, demands


def test_freed_room_is_asked_about_by_no_more_steps_than_it_holds(cell):
    permits, demands = fill_and_free_one_worker(cell)
    asked = plan(cell, permits, demands, 10.0).advice_requests
    assert [request.record for request in asked] == [d.record for d in demands[:4]]
    assert not plan(cell, permits, demands, 10.1).advice_requests


def test_answer_starts_the_steps_whose_room_was_kept(cell):
    permits, demands = fill_and_free_one_worker(cell)
    plan(cell, permits, demands, 10.0)
    allow(permits, demands[2], ("w7",), 10.1)
    starts = plan(cell, permits, demands, 10.1).starts
    assert [start.record for start in starts] == [demands[2].record]


def test_step_asks_about_few_workers_while_there_is_room(cell):
    request = plan(cell, PermitTable(), [make_demand(1, count=3)], 1.0)
    (asked,) = request.advice_requests
    assert 3 <= len(asked.worker_ids) <= 9


def test_gang_without_room_asks_about_all_workers(cell):
    occupy(cell)
    request = plan(cell, PermitTable(), [make_demand(1, count=20, gang=True)], 1.0)
    (asked,) = request.advice_requests
    assert len(asked.worker_ids) == WORKERS


def test_step_asks_about_more_workers_as_fewer_are_allowed(cell):
    sizes = []
    for allowed in (90, 30):
        permits = PermitTable()
        permits.record_answer("reviews", 100, allowed)
        made = plan(cell, permits, [make_demand(1, count=8)], 1.0)
        sizes.append(len(made.advice_requests[0].worker_ids))
    assert sizes[0] < sizes[1]


def test_room_on_a_refused_worker_leaves_a_step_waiting(cell):
    occupy(cell)
    permits = PermitTable()
    demand = make_demand(1)
    plan(cell, permits, [demand], 1.0)
    known = permits.for_step(demand.record.spec.id, demand.key)
    known.request_pending = False
    allowed = tuple(f"w{number}" for number in range(10))
    known.add_advice(tuple(cell.worker_by_id), Advice(dict.fromkeys(allowed, ""), 2), 1)
    demand.block_reason = BlockReason.CAPACITY
    release(cell, 20)
    assert not plan(cell, permits, [demand], 1.5).starts
    assert demand.block_reason is BlockReason.CAPACITY
    release(cell, 3)
    assert len(plan(cell, permits, [demand], 1.6).starts) == 1


def test_step_asks_again_once_an_advisor_is_free(cell):
    permits = PermitTable()
    demands = [make_demand(number) for number in range(WAITING)]
    assert not plan(cell, permits, demands, 1.0, BusyEntries()).advice_requests
    made = plan(cell, permits, demands, 1.1).advice_requests
    assert made[0].record is demands[0].record


def test_step_asks_again_though_its_permits_do(cell):
    """The best fit was asked about while all tasks started elsewhere."""
    permits = PermitTable()
    demand = make_demand(1, count=3)
    allow(permits, demand, ("w7",), 1.0)
    permits.for_step(demand.record.spec.id, demand.key).allowed_ids.add("w3")
    ref = TaskRef("busy", TaskKey(0, 0, 0), 1)
    cell.claim("w3", Claim(ref, "north", TASK, TASK))
    made = plan(cell, permits, [demand], 1.0)
    assert len(made.starts) == 3
    assert not made.advice_requests


def test_gang_on_more_workers_than_one_request_names_never_has_all_permits():
    """Each request named the same hundred workers, whose permits were valid."""
    wide = Cell()
    workers = 110
    for number in range(workers):
        worker_id = f"w{number}"
        info = WorkerInfo(worker_id, "service", worker_id, "a", TASK, (), "", 1)
        wide.put_worker(info)
        wide.set_accepting(worker_id, True)
    permits = PermitTable()
    demand = make_demand(0, count=workers, gang=True)
    # They have expired since.
    allow(permits, demand, tuple(wide.worker_by_id), 90.0)
    starts = ()
    for number in range(6):
        now = 100.0 + 0.5 * number
        planned = plan(wide, permits, [demand], now)
        starts += planned.starts
        for request in planned.advice_requests:
            allow(permits, demand, request.worker_ids, now + 0.4)
    assert starts

"""Every reason for which a step waits, and what is sure to end the wait."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from lagoonpulley.model.resources import Resources
from lagoonpulley.planning.backlog import Backlog
from lagoonpulley.planning.cell import Cell, Claim
from lagoonpulley.planning.demand import (
    AVOID_FAILED_WORKERS_S,
    LIFT_BY_REASON,
    BlockReason,
    Demand,
    Lift,
)
from lagoonpulley.planning.gang_reservations import RESERVE_AFTER_S
from lagoonpulley.planning.permits import PermitTable
from lagoonpulley.planning.planner import Planner
from lagoonpulley.policy.values import AdvicePolicy, Queue, TeamLimits
from lagoonpulley.upstream.directory import WorkerInfo
from lagoonpulley.upstream.tasks import Advice, TaskRef
from lagoonpulley.workload.record import JobRecord
from lagoonpulley.workload.spec import JobSpec, StepKey, StepSpec, TaskKey

WORKERS = 4
CAPACITY = Resources(16_000, 65_536)
TASK = Resources(4000, 1024)
BUSY = TaskRef("busy", TaskKey(0, 0, 0), 1)
NOW = 100.0
PAUSE_S = 0.5
PLAIN = Queue("checks", "", "/checks/", "service")
ADVISED = Queue(
    "reviews", "", "/reviews/", "service", advice=AdvicePolicy(0.01, 0.0001, 2.0)
)


class AnyEntry:
    def reserve(self, cost_s, now):
        return "e0"

    def may_reserve(self, cost_s, now):
        return True


@dataclass
class Rounds:
    """A cell, and rounds of planning in it."""

    cell: Cell = field(default_factory=Cell)
    permits: PermitTable = field(default_factory=PermitTable)
    backlog: Backlog = field(default_factory=Backlog)
    limits_by_team: dict[str, TeamLimits] = field(default_factory=dict)
    jobs: int = 0

    def __post_init__(self):
        for number in range(WORKERS):
            worker_id = f"w{number}"
            info = WorkerInfo(worker_id, "service", worker_id, "a", CAPACITY, (), "", 1)
            self.cell.put_worker(info)
            self.cell.set_accepting(worker_id, True)

    def add(self, queue=PLAIN, count=1, request=TASK, gang=False) -> Demand:
        self.jobs += 1
        step = StepSpec(count, request, 1.0, gang=gang)
        spec = JobSpec(f"{self.jobs:016x}", queue.name, "north", "", (step,), 0.0)
        due_at = float(self.jobs)
        demand = Demand(JobRecord.from_spec(spec), StepKey(0, 0), queue, due_at)
        self.backlog.replace(spec.id, [demand])
        return demand

    def occupy(self, *worker_ids):
        for worker_id in worker_ids or self.cell.worker_by_id:
            self.cell.claim(worker_id, Claim(BUSY, "south", CAPACITY, CAPACITY))

    def release(self, worker_id):
        self.cell.release(worker_id, BUSY)

    def allow(self, demand, *worker_ids):
        """Let the advisor allow some workers, the only ones that it was asked about."""
        advice = Advice(dict.fromkeys(worker_ids, "permit"), 2.0)
        known = self.permits.for_step(demand.record.spec.id, demand.key)
        known.add_advice(worker_ids, advice, NOW)
        return known

    def answer(self, demand):
        """Let the advisor allow none of the workers of the pending request."""
        known = self.permits.for_step(demand.record.spec.id, demand.key)
        known.known_ids.update(self.cell.worker_by_id)
        known.request_pending = False
        self.backlog.unblock(demand.record.spec.id)

    def used_by_worker(self):
        """Return the workers that have a task."""
        return [
            each.info.id for each in self.cell.worker_by_id.values() if any(each.used)
        ]

    def plan(self, now):
        """Return whether a round has started or asked anything."""
        planner = Planner(self.cell, self.permits, self.limits_by_team, now, AnyEntry())
        plan = planner.plan(self.backlog.in_order(), 64)
        self.backlog.set_reserved_gangs(planner.reserved_gangs)
        return bool(plan.starts or plan.advice_requests)


def lacks_room(rounds):
    rounds.occupy()
    return rounds.add(), lambda: rounds.release("w2"), 0.0


def lacks_room_but_on_a_worker_it_avoids(rounds):
    rounds.occupy("w1", "w2", "w3")
    demand = rounds.add()
    demand.record.avoided_workers_by_step[demand.key] = {"w0"}
    return demand, lambda: None, AVOID_FAILED_WORKERS_S


def lacks_room_that_is_held_for_another(rounds):
    """The other step is allowed no worker, so that it never starts."""
    other = rounds.add(ADVISED, count=WORKERS, request=CAPACITY)
    rounds.plan(NOW - 0.1)
    return rounds.add(), lambda: rounds.answer(other), 0.0


def is_at_its_team_limit(rounds):
    rounds.limits_by_team["north"] = TeamLimits("north", limit=Resources(4000, 0))
    rounds.cell.claim("w0", Claim(BUSY, "north", TASK, TASK))
    return rounds.add(), lambda: rounds.release("w0"), 0.0


def suspect_is_at_its_team_limit(rounds):
    """Its other task takes what the limit leaves, on a worker that it may not use."""
    rounds.limits_by_team["north"] = TeamLimits("north", limit=Resources(8000, 0))
    rounds.cell.claim("w3", Claim(BUSY, "north", TASK, TASK))
    demand = rounds.add(ADVISED, count=2)
    rounds.allow(demand, "w0", "w1")
    rounds.permits.for_step(demand.record.spec.id, demand.key).known_ids.update(
        rounds.cell.worker_by_id
    )
    demand.record.change_crashes(TaskKey(0, 0, 1), 1, 1.0)
    return demand, lambda: rounds.release("w3"), 0.0


def is_kept_out_by_a_gang(rounds):
    rounds.occupy("w0")
    gang = rounds.add(count=WORKERS, request=CAPACITY, gang=True)
    rounds.plan(NOW - RESERVE_AFTER_S - 0.1)
    rounds.plan(NOW - 0.05)
    demand = rounds.add()
    return demand, lambda: rounds.backlog.replace(gang.record.spec.id, []), 0.0


def awaits_its_advisor(rounds):
    demand = rounds.add(ADVISED)

    def allow():
        rounds.answer(demand)
        rounds.allow(demand, "w0")

    return demand, allow, 0.0


def was_refused_by_its_advisor(rounds):
    demand = rounds.add(ADVISED)
    known = rounds.permits.for_step(demand.record.spec.id, demand.key)
    known.next_request_at = NOW + PAUSE_S
    return demand, lambda: None, PAUSE_S


def was_refused_with_too_little_room_on_allowed_workers(rounds):
    demand = rounds.add(ADVISED, count=8, gang=True)
    rounds.allow(demand, "w0").next_request_at = NOW + PAUSE_S
    return demand, lambda: None, PAUSE_S


def was_refused_new_permits(rounds):
    demand = rounds.add(ADVISED)
    known = rounds.allow(demand, *rounds.cell.worker_by_id)
    known.expires_by_worker_id.clear()
    known.next_request_at = NOW + PAUSE_S
    return demand, lambda: None, PAUSE_S


def suspect_was_refused_new_permits(rounds):
    demand, lift, after_s = was_refused_new_permits(rounds)
    demand.record.change_crashes(TaskKey(0, 0, 0), 1, 1.0)
    return demand, lift, after_s


def suspect_waits_for_probations_on_workers_that_it_may_not_use(rounds):
    demand = rounds.add(ADVISED)
    demand.record.change_crashes(TaskKey(0, 0, 0), 1, 1.0)
    known = rounds.allow(demand, "w0", "w1")
    known.known_ids.update(rounds.cell.worker_by_id)
    for worker_id in ("w2", "w3"):
        worker = rounds.cell.worker_by_id[worker_id]
        rounds.cell.begin_probation(worker, NOW + PAUSE_S)
    return demand, lambda: None, PAUSE_S


CASES = (
    (BlockReason.CAPACITY, lacks_room),
    (BlockReason.CAPACITY, lacks_room_but_on_a_worker_it_avoids),
    (BlockReason.CAPACITY, lacks_room_that_is_held_for_another),
    (BlockReason.TEAM_LIMIT, is_at_its_team_limit),
    (BlockReason.TEAM_LIMIT, suspect_is_at_its_team_limit),
    (BlockReason.RESERVED, is_kept_out_by_a_gang),
    (BlockReason.ADVICE, awaits_its_advisor),
    (BlockReason.ADVISOR_PAUSE, was_refused_by_its_advisor),
    (BlockReason.CAPACITY, was_refused_with_too_little_room_on_allowed_workers),
    (BlockReason.ADVISOR_PAUSE, was_refused_new_permits),
    (BlockReason.ADVISOR_PAUSE, suspect_was_refused_new_permits),
    (
        BlockReason.PROBATION,
        suspect_waits_for_probations_on_workers_that_it_may_not_use,
    ),
)
CASE_NAMES = [make.__name__ for _, make in CASES]


@pytest.mark.parametrize(("reason", "make"), CASES, ids=CASE_NAMES)
def test_step_waits_for_ever_after_the_reason_has_passed(reason, make):
    rounds = Rounds()
    demand, lift, after_s = make(rounds)
    rounds.plan(NOW)
    assert demand.block_reason is reason
    assert not rounds.plan(NOW + 0.05), "the step is not left alone"
    lift()
    # One round may have to see first that others are gone.
    starts_at = NOW + 0.1 + after_s
    assert rounds.plan(starts_at) or rounds.plan(starts_at + 0.05)


def test_reason_to_wait_has_nothing_that_is_sure_to_end_it():
    assert set(LIFT_BY_REASON) == set(BlockReason)
    tried = {reason for reason, _ in CASES}
    assert tried == set(BlockReason) - {BlockReason.NONE}


@pytest.mark.parametrize(("reason", "make"), CASES, ids=CASE_NAMES)
def test_wait_that_a_time_ends_has_none(reason, make):
    rounds = Rounds()
    demand, _, after_s = make(rounds)
    rounds.plan(NOW)
    if LIFT_BY_REASON[reason] is Lift.TIME or after_s:
        assert NOW < demand.blocked_until <= NOW + after_s


def test_gang_loses_its_reservation_while_its_advisor_is_left_alone():
    """It could be asked about a worker more, and refused."""
    rounds = Rounds()
    rounds.occupy("w0")
    gang = rounds.add(ADVISED, count=WORKERS - 1, request=CAPACITY, gang=True)
    known = rounds.allow(gang, "w0", "w1", "w2")
    assert rounds.plan(NOW)
    known.request_pending = False
    known.next_request_at = NOW + RESERVE_AFTER_S + PAUSE_S
    rounds.backlog.unblock(gang.record.spec.id)
    rounds.add()
    rounds.add()
    rounds.plan(NOW + RESERVE_AFTER_S + 0.05)
    assert set(rounds.used_by_worker()) == {"w0", "w3"}


def test_step_waits_for_room_that_a_gang_has_ceased_to_reserve():
    """The gang reserves a worker with more room by now, and only its end was told."""
    rounds = Rounds()
    rounds.occupy("w0", "w3")
    half = Claim(
        TaskRef("half", TaskKey(0, 0, 0), 1), "south", TASK, Resources(8000, 0)
    )
    most = Claim(
        TaskRef("most", TaskKey(0, 0, 0), 1), "south", TASK, Resources(12_000, 0)
    )
    little = Claim(
        TaskRef("little", TaskKey(0, 0, 0), 1), "south", TASK, Resources(4000, 0)
    )
    rounds.cell.claim("w1", half)
    rounds.cell.claim("w2", most)
    rounds.cell.claim("w2", little)
    rounds.add(count=1, request=CAPACITY, gang=True)
    rounds.plan(NOW - RESERVE_AFTER_S - 0.1)
    rounds.plan(NOW - 0.05)
    small = rounds.add()
    rounds.plan(NOW)
    assert small.block_reason is BlockReason.RESERVED
    rounds.cell.release("w2", most.ref)
    assert any(rounds.plan(NOW + 0.05 * number) for number in range(1, 4))

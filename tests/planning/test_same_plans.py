"""Ways to plan for less processor time decide the same as the plain ones."""

from __future__ import annotations

import random

import pytest

from lagoonpulley.model.resources import Resources
from lagoonpulley.owner.advisors import AdvisorBalancer
from lagoonpulley.owner.settings import OwnerSettings
from lagoonpulley.planning.advice_requests import SPARE_RATIO, AdviceRequests
from lagoonpulley.planning.backlog import Backlog
from lagoonpulley.planning.cell import Cell, Claim
from lagoonpulley.planning.demand import Demand
from lagoonpulley.planning.packing import eligible_workers
from lagoonpulley.planning.permits import PermitTable, StepPermits
from lagoonpulley.planning.planner import Planner
from lagoonpulley.policy.values import AdvicePolicy, Queue
from lagoonpulley.upstream.directory import WorkerInfo
from lagoonpulley.upstream.tasks import Advice, TaskRef
from lagoonpulley.workload.record import EndKind, JobRecord
from lagoonpulley.workload.spec import JobSpec, StepKey, StepSpec, TaskKey

WORKERS = 40
NOW = 100.0
ADVICES = (AdvicePolicy(0.01, 0.0002, 2.0), AdvicePolicy(0.4, 0.006, 2.0))
QUEUES = tuple(
    Queue(f"q{number}", "", "/", "service", priority=number, advice=advice)
    for number, advice in enumerate(ADVICES)
)
REQUESTS = (
    Resources(),
    Resources(0, 4096),
    Resources(2500, 1024),
    Resources(7000, 20_000),
    Resources(1000, 1024, 1),
    Resources(17_000, 1024),
)


class LargestCost:
    """Grants requests that keep the advisor busy for no longer than a limit."""

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s

    def may_reserve(self, cost_s, now):
        """See ``AdviceBudget``."""
        return cost_s <= self._limit_s

    def reserve(self, cost_s, now):
        """See ``AdviceBudget``."""
        return "e0" if cost_s <= self._limit_s else None


def make_cell(rng):
    cell = Cell()
    for number in range(WORKERS):
        worker_id = f"w{number}"
        capacity = Resources(
            rng.choice((8000, 16_000)), 32_768, rng.choice((0, 0, 2)), 64
        )
        service = rng.choice(("service", "service", "service", "other"))
        labels = (rng.choice(("a", "b")),)
        info = WorkerInfo(worker_id, service, worker_id, "a", capacity, labels, "", 1)
        cell.put_worker(info)
        cell.set_accepting(worker_id, rng.random() < 0.9)
        if rng.random() < 0.1:
            cell.avoid(worker_id, NOW + rng.choice((-1.0, 0.0, 1.0)))
        for run in range(rng.choice((0, 1, 2))):
            used = Resources(rng.randrange(0, 12_000), rng.randrange(0, 20_000), 0, 1)
            ref = TaskRef(f"busy-{number}", TaskKey(0, 0, run), 1)
            cell.claim(worker_id, Claim(ref, "north", used, used))
    return cell


def make_demand(rng):
    queue = Queue("q", "", "/", "service", advice=rng.choice(ADVICES))
    step = StepSpec(
        rng.randrange(1, 40),
        rng.choice(REQUESTS),
        1.0,
        gang=rng.random() < 0.5,
        required_label=rng.choice(("", "", "a")),
    )
    spec = JobSpec("a" * 16, "q", "north", "", (step,), 0.0)
    return Demand(JobRecord.from_spec(spec), StepKey(0, 0), queue, 1.0)


def make_permits(rng, cell):
    permits = StepPermits()
    known = rng.sample(list(cell.worker_by_id), rng.choice((0, 5, 20, WORKERS)))
    allowed = {key: "permit" for key in known if rng.random() < 0.4}
    permits.add_advice(tuple(known), Advice(allowed, 2.0), NOW)
    return permits


def make_reserved(rng, cell):
    reserved = {}
    for worker_id in rng.sample(list(cell.worker_by_id), 8):
        reserved[worker_id] = Resources(rng.randrange(0, 9000), 512)
    return reserved


def plainly_eligible(cell, service, step, now, worker_ids):
    return [
        worker
        for worker in cell.worker_by_id.values()
        if worker.accepting
        and worker.info.service == service
        and worker.avoid_until <= now
        and (worker_ids is None or worker.info.id in worker_ids)
        and (not step.required_label or step.required_label in worker.info.labels)
    ]


def plainly_asked(cell, demand, permits, count, share, reserved):
    """Return the workers to ask about, by the rules of ``ask_about_new_workers``."""
    step = demand.step
    request = step.capacity_request
    room, unknown = 0, []
    for worker in plainly_eligible(cell, "service", step, NOW, None):
        free = worker.free.minus(reserved.get(worker.info.id, Resources()))
        if not request.fits_in(worker.info.capacity):
            continue
        if worker.info.id in permits.allowed_ids:
            room += request.copies_in(free)
        elif worker.info.id not in permits.known_ids:
            unknown.append((request.copies_in(free), worker))
    missing = count - room
    if missing <= 0 or not unknown:
        return []
    if step.gang:
        unknown.sort(key=lambda item: (not item[0], item[1].speed_tier, -item[0]))
    else:
        unknown.sort(key=lambda item: -item[0])
    is_slow = demand.queue.advice.cost_s(1) > 0.1
    asks_ahead = not permits.allowed_ids and (step.gang or is_slow)
    if not unknown[0][0] and not asks_ahead:
        return []
    wanted = missing / share * SPARE_RATIO
    found = []
    for copies, worker in unknown:
        if not copies or wanted <= 0:
            break
        found.append(worker)
        wanted -= min(copies, missing)
    if wanted <= 0:
        return found
    if step.gang:
        return [worker for _, worker in unknown]
    for _, worker in unknown[len(found) :]:
        if wanted <= 0:
            break
        found.append(worker)
        wanted -= request.copies_in(worker.info.capacity)
    return found


@pytest.mark.parametrize("seed", range(8))
def test_same_workers_are_eligible_as_by_looking_at_each(seed):
    rng = random.Random(seed)
    cell = make_cell(rng)
    for _ in range(40):
        demand = make_demand(rng)
        chosen = set(rng.sample(list(cell.worker_by_id), rng.randrange(WORKERS)))
        for worker_ids in (None, set(), chosen):
            args = (cell, "service", demand.step, NOW, worker_ids)
            assert eligible_workers(*args) == plainly_eligible(*args)


@pytest.mark.parametrize("seed", range(16))
def test_advisor_is_asked_about_the_same_workers_as_by_looking_at_each(seed):
    rng = random.Random(seed)
    asked_at_all = 0
    for _ in range(40):
        cell = make_cell(rng)
        demand, permits = make_demand(rng), make_permits(rng, cell)
        reserved = make_reserved(rng, cell)
        count, share = rng.randrange(1, 60), rng.uniform(0.1, 1.0)
        expected = plainly_asked(cell, demand, permits, count, share, reserved)
        requests = AdviceRequests(cell, LargestCost(10.0), NOW)
        asked = requests.ask_about_new_workers(demand, permits, count, share, reserved)
        assert asked == expected
        assert permits.request_pending == bool(expected)
        asked_at_all += bool(expected)
    assert asked_at_all > 5


class Entries(AdvisorBalancer):
    """Some entries; says only if ``foretells`` that none has time for a request."""

    def __init__(self, count: int, foretells: bool) -> None:
        super().__init__(None, OwnerSettings("e0", 6.0))
        self._address_by_name = {f"e{number}": "" for number in range(count)}
        self._foretells = foretells
        self.foretold = 0

    def may_reserve(self, cost_s, now):
        """See ``AdviceBudget``."""
        if not self._foretells:
            return True
        may = super().may_reserve(cost_s, now)
        self.foretold += not may
        return may


class BusyCell:
    """A cell with more work than the advisor answers for, planned round by round."""

    def __init__(self, seed: int, foretells: bool) -> None:
        self._rng = random.Random(seed)
        self.cell = make_cell(self._rng)
        self.entries = Entries(3, foretells)
        self.permits = PermitTable()
        self.backlog = Backlog()
        self.now = NOW
        self.decisions: list[tuple] = []
        self._events: list[tuple[float, int, tuple]] = []
        self._jobs = 0

    def run(self, rounds: int) -> None:
        """Plan so many rounds, while jobs arrive, runs end and advice is given."""
        for _ in range(rounds):
            self.now += 0.05
            self._submit()
            self._apply_events()
            self._plan()

    def _submit(self) -> None:
        for _ in range(self._rng.choice((0, 1, 2))):
            self._jobs += 1
            queue = self._rng.choice(QUEUES)
            gang = self._rng.random() < 0.5
            request = self._rng.choice(REQUESTS[2:5])
            step = StepSpec(self._rng.randrange(1, 12), request, 1.0, gang=gang)
            job_id = f"{self._jobs:016x}"
            spec = JobSpec(job_id, queue.name, "north", "", (step,), self.now)
            record = JobRecord.from_spec(spec)
            self.backlog.replace(
                job_id, [Demand(record, StepKey(0, 0), queue, self.now + 1.0)]
            )

    def _after(self, delay_s: float, *event) -> None:
        self._events.append((self.now + delay_s, len(self.decisions), event))

    def _apply_events(self) -> None:
        due = [event for at, _, event in self._events if at <= self.now]
        self._events = [item for item in self._events if item[0] > self.now]
        for kind, record, *more in due:
            if kind == "end":
                key, run, worker_id = more
                ref = TaskRef(record.spec.id, key, run)
                self.cell.release(worker_id, ref)
                record.end_run(key, EndKind.DONE, "")
            else:
                self._answer(record, *more)

    def _answer(self, record, key, worker_ids) -> None:
        permits = self.permits.for_step(record.spec.id, key)
        permits.request_pending = False
        chance = random.Random(f"{record.spec.id}{worker_ids}")
        allowed = {worker: "p" for worker in worker_ids if chance.random() < 0.4}
        permits.add_advice(worker_ids, Advice(allowed, 2.0), self.now)
        self.backlog.unblock(record.spec.id)

    def _plan(self) -> None:
        planner = Planner(self.cell, self.permits, {}, self.now, self.entries, self.now)
        plan = planner.plan(self.backlog.in_order(), 64)
        self.backlog.set_reserved_gangs(planner.reserved_gangs)
        started = [
            (start.record.spec.id, start.run, start.placements) for start in plan.starts
        ]
        asked = [
            (request.record.spec.id, request.worker_ids, request.entry)
            for request in plan.advice_requests
        ]
        self.decisions.append((started, asked, planner.reserved_gangs))
        for start in plan.starts:
            for key, worker_id in start.placements:
                chance = random.Random(f"{start.record.spec.id}{key}")
                run = (start.record, key, start.run, worker_id)
                self._after(chance.uniform(0.2, 1.5), "end", *run)
            if not start.record.waiting_of(StepKey(0, 0)):
                self.backlog.replace(start.record.spec.id, [])
        for request in plan.advice_requests:
            cost_s = request.queue.advice.cost_s(len(request.worker_ids))
            asked_about = (request.record, request.key, request.worker_ids)
            self._after(cost_s, "advice", *asked_about)


@pytest.mark.parametrize("seed", range(12))
def test_busy_advisors_foretold_change_no_decision(seed):
    plain, quick = BusyCell(seed, foretells=False), BusyCell(seed, foretells=True)
    plain.run(120)
    quick.run(120)
    assert quick.decisions == plain.decisions
    assert sum(len(started) for started, _, _ in plain.decisions) > 20
    assert quick.entries.foretold > 5

"""Order of the backlog, and the effort to keep it."""

from __future__ import annotations

import random

from lagoonpulley.model.resources import Resources
from lagoonpulley.planning.backlog import Backlog
from lagoonpulley.planning.demand import Demand
from lagoonpulley.policy.values import Queue
from lagoonpulley.workload.record import JobRecord
from lagoonpulley.workload.spec import JobSpec, StepKey, StepSpec

JOBS = 1000


class CountingId(str):
    """A job id that counts how often it is compared."""

    comparisons = 0

    def __eq__(self, other):
        CountingId.comparisons += 1
        return str.__eq__(self, other)

    __hash__ = str.__hash__


def make_demands(job_id, due_at=1.0, priority=0, steps=1):
    step = StepSpec(1, Resources(1000, 512), 1.0)
    spec = JobSpec(job_id, "reviews", "north", "", (step,) * steps, 0.0)
    queue = Queue("reviews", "", "/reviews/", "service", priority)
    record = JobRecord.from_spec(spec)
    return [Demand(record, StepKey(0, i), queue, due_at) for i in range(steps)]


def test_backlog_stays_sorted_while_demands_change():
    rng = random.Random(1)
    backlog = Backlog()
    demands_by_job_id = {}
    for _ in range(500):
        job_id = f"{rng.randrange(60):016x}"
        due_at, priority = float(rng.randrange(4)), rng.randrange(2)
        demands = make_demands(job_id, due_at, priority, rng.randint(1, 3))
        if rng.random() < 0.3:
            demands = []
        backlog.replace(job_id, demands)
        demands_by_job_id[job_id] = demands
        expected = [d for demands in demands_by_job_id.values() for d in demands]
        expected.sort(key=lambda demand: demand.order)
        assert backlog.in_order() == expected


def test_change_of_one_job_does_not_sort_the_whole_backlog():
    backlog = Backlog()
    for number in range(JOBS):
        job_id = CountingId(f"{number:016x}")
        backlog.replace(job_id, make_demands(job_id))
    backlog.in_order()
    job_id = CountingId(f"{JOBS // 2:016x}")
    demands = make_demands(job_id)
    CountingId.comparisons = 0
    backlog.replace(job_id, demands)
    assert demands[0] in backlog.in_order()
    assert CountingId.comparisons < JOBS / 10

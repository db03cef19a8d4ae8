"""Steps that wait in a cell in which nothing else happens."""

from __future__ import annotations

import pytest
from tests.support.steps import StepWorld, step

GANG = "f" * 16
WORKERS = 12
# Of a gang of six, two fit on a worker. The first request names nine workers.
GANG_STEP = step(count=6, processors=8000, gang=True)
ADVISED = {"max_attempts": 4, "target_s": 1.0, "advice": [0.5, 0.01, 2.0]}
QUEUES = {"reviews": ADVISED, "checks": {"max_attempts": 2, "priority": 2}}


@pytest.fixture
def world():
    made = StepWorld(entries=1, workers=WORKERS)
    made.set_policy(2, queues=QUEUES)
    made.run(8.0)
    return made


def run_gang_on_few_workers(world):
    """Let a gang run on the only three workers that its advisor has allowed so far."""
    world.forbidden_workers = set(sorted(world.worker_by_id)[3:9])
    world.submit(GANG, GANG_STEP, payload="seconds=30")
    world.run_until(lambda: len(world.executions(GANG)) == 6, 8.0)
    world.run(3.0)


def test_gang_whose_advisor_refused_its_requests_waits_for_ever(world):
    """Nothing told that the advisor may be asked again."""
    run_gang_on_few_workers(world)
    first, second, *_ = sorted(world.worker_by_id)
    world.add_worker(first, draining=True)
    world.crash_worker(second)
    world.advice_failures = 2
    world.run_until(lambda: len(world.executions(GANG)) == 12, 15.0)

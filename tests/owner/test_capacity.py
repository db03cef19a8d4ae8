"""Workers whose capacity changes while they run."""

from __future__ import annotations

import pytest
from tests.support.steps import CAPACITY, StepWorld, step

from lagoonpulley.model.resources import Resources

# From a worker's check-in with a smaller capacity until no start may exceed it.
SHRINK_BOUND_S = 4.5


@pytest.fixture
def world():
    made = StepWorld()
    made.run(7.0)
    return made


def test_smaller_capacity_is_kept_and_larger_one_used_again(world):
    for worker_id in list(world.worker_by_id):
        world.add_worker(worker_id, capacity=Resources(3000, 65536, 0))
    world.run(SHRINK_BOUND_S)
    world.submit("a" * 16, step(count=30, processors=1000), payload="seconds=30")
    world.run(3.0)
    for worker in world.worker_by_id.values():
        assert sum(e.ended_at is None for e in worker.executions) <= 3
    for worker_id in list(world.worker_by_id):
        world.add_worker(worker_id)
    world.run_until(lambda: len(world.executions("a" * 16)) == 30, 3.0)


def test_placement_that_waits_for_its_commit_keeps_a_smaller_capacity(world):
    world.submit("a" * 16, step(count=1, processors=CAPACITY[0]), payload="seconds=1")
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 5.0)
    release = world.hold_commits()
    world.submit("b" * 16, step(count=1, processors=CAPACITY[0]), payload="seconds=1")
    world.run(0.5)
    for worker_id in list(world.worker_by_id):
        world.add_worker(worker_id, capacity=Resources(3000, 65536, 0))
    world.run(SHRINK_BOUND_S)
    release()
    world.run(1.0)
    assert not world.executions("b" * 16)

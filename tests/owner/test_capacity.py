"""Room of workers whose capacity changes, and of runs that the owner does not know."""

from __future__ import annotations

import pytest
from tests.support.step_invariants import check_capacity
from tests.support.step_workers import CAPACITY
from tests.support.steps import StepWorld, step

from lagoonpulley.model.resources import Resources
from lagoonpulley.upstream.tasks import StartTask, TaskRef, WorkerAddress
from lagoonpulley.workload.spec import TaskKey

# From a worker's check-in with a smaller capacity until no start may exceed it.
SHRINK_BOUND_S = 4.5
FIRST = "a" * 16
SECOND = "b" * 16
SMALLER = Resources(4000, 65536, 0)
WHOLE = step(processors=CAPACITY[0])


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


def complete_first_job():
    """Return a cell of one worker, which is slow to stop a run, and the job's spec."""
    world = StepWorld(workers=1)
    world.run(8.0)
    world.submit(FIRST, WHOLE, payload="seconds=0.3")
    world.run_until(lambda: world.final_state(FIRST) == "completed", 2.0)
    world.run(1.0)
    world.worker_by_id["w0"].stop_s = 2.0
    return world, {FIRST: world.last_spec}


def start_late(world, worker_id, job_id, payload, index=0):
    """Let a worker carry out a late start of a run that the owner has done with."""
    ref = TaskRef(job_id, TaskKey(0, 0, index), 1)
    worker = world.restart_worker(worker_id)
    to = WorkerAddress(worker_id, worker_id)
    command = StartTask(to, ref, payload, not_after_ms=6000, token=0)
    worker.apply(command, world.clock.mono)
    world.add_worker(worker_id)
    # The owner hears of the restart and of the run.
    world.run(1.0)


def test_late_run_of_a_running_job_keeps_its_room_until_it_is_gone():
    world = StepWorld(workers=2)
    world.run(8.0)
    world.submit(FIRST, WHOLE, payload="seconds=9")
    first = world.last_spec
    world.run(0.5)
    (idle_id,) = (w.id for w in world.worker_by_id.values() if not w.executions)
    world.worker_by_id[idle_id].stop_s = 2.0
    start_late(world, idle_id, FIRST, "seconds=9")
    world.submit(SECOND, WHOLE, payload="seconds=1")
    specs = {FIRST: first, SECOND: world.last_spec}
    world.run_until(lambda: world.final_state(SECOND) == "completed", 5.0)
    check_capacity(world, specs)


def test_late_run_of_a_job_that_has_ended_keeps_its_room_until_it_is_gone():
    world, specs = complete_first_job()
    start_late(world, "w0", FIRST, "seconds=9")
    world.submit(SECOND, WHOLE, payload="seconds=1")
    specs[SECOND] = world.last_spec
    world.run_until(lambda: world.final_state(SECOND) == "completed", 5.0)
    check_capacity(world, specs)


def test_listed_run_of_a_task_that_its_job_lacks_is_stopped():
    world = StepWorld(workers=1)
    world.run(8.0)
    world.submit(FIRST, step(processors=1000), payload="seconds=4")
    world.run(0.5)
    start_late(world, "w0", FIRST, "seconds=9", index=7)
    world.run_until(lambda: world.final_state(FIRST) == "completed", 9.0)
    (odd,) = (e for e in world.executions(FIRST) if e.ref.key.index == 7)
    assert odd.ended_at - odd.started_at < 3.0


def test_placement_that_waits_for_its_commit_is_not_sent_beside_a_late_run():
    world, specs = complete_first_job()
    release = world.hold_commits()
    world.submit(SECOND, WHOLE, payload="seconds=1")
    specs[SECOND] = world.last_spec
    world.run(0.3)
    start_late(world, "w0", FIRST, "seconds=9")
    release()
    world.run_until(lambda: world.final_state(SECOND) == "completed", 6.0)
    check_capacity(world, specs)


@pytest.mark.parametrize("lagging", [False, True])
def test_next_incarnation_is_not_filled_to_the_capacity_of_the_previous_one(lagging):
    world = StepWorld(workers=1)
    world.run(8.0)
    old_record = world.record_of("w0")
    world.submit(FIRST, WHOLE, payload="seconds=1")
    spec = world.last_spec
    world.run(0.3)
    world.restart_worker("w0", SMALLER)
    if lagging:
        world.put(*old_record)
    world.run(1.5)
    world.add_worker("w0", capacity=SMALLER)
    world.run(3.0)
    check_capacity(world, {FIRST: spec})
    assert world.final_state(FIRST) is None

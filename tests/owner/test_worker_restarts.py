"""Commands and answers that outlive the incarnation of a worker they belong to."""

from __future__ import annotations

import pytest
from tests.support.step_invariants import check_all
from tests.support.steps import StepWorld, step

from lagoonpulley.upstream.tasks import SyncWorker

FIRST = "a" * 16
SECOND = "b" * 16


@pytest.fixture
def world():
    made = StepWorld(workers=1)
    # By then, leases that an earlier owner may have granted have expired.
    made.run(8.0)
    return made


def record_commands(worker):
    """Record the commands that a worker executes, each with its incarnation."""
    executed = []
    apply = worker.apply

    def apply_and_record(command, now):
        executed.append((worker.born, command))
        return apply(command, now)

    worker.apply = apply_and_record
    return executed


def restart(world, worker_id="w0"):
    """Restart a worker under its identifier; the directory lists it at once."""
    world.worker_by_id[worker_id].restart(world.clock.mono)
    world.add_worker(worker_id)


@pytest.mark.parametrize("seed", range(4))
def test_late_start_on_the_next_incarnation_never_runs_beside_its_successor(seed):
    world = StepWorld(seed=seed)
    world.run(8.0)
    world.late_start_probability = 0.5
    world.submit(FIRST, step(count=24, processors=1000), payload="seconds=4")
    world.run(1.0)
    world.late_start_probability = 0.0
    for worker_id in ("w0", "w1"):
        restart(world, worker_id)
    world.run_until(lambda: world.final_state(FIRST) == "completed", 30.0)
    check_all(world, {FIRST: world.last_spec}, {})


def test_late_acknowledgement_does_not_reach_the_next_incarnation(world):
    worker = world.worker_by_id["w0"]
    executed = record_commands(worker)
    world.submit(FIRST, step(count=3), payload="seconds=0.3")
    world.run(1.5)
    acknowledgement = executed[-1][1]
    assert acknowledgement.acknowledged == 3
    restart(world)
    world.run(1.0)
    world.submit(SECOND, step(), payload="seconds=2")
    world.run(0.3)
    world.dead_workers.add("w0")
    world.run(2.0)
    worker.apply(acknowledgement, world.clock.mono)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(SECOND) == "completed", 3.0)
    assert len(world.executions(SECOND)) == 1


def test_first_call_after_a_silent_restart_acknowledges_nothing(world):
    worker = world.worker_by_id["w0"]
    executed = record_commands(worker)
    world.submit(FIRST, step(count=3), payload="seconds=0.3")
    world.run(1.5)
    world.dead_workers.add("w0")
    world.run(2.0)
    # The directory still lists the previous incarnation.
    worker.restart(world.clock.mono)
    world.dead_workers.clear()
    world.run(1.0)
    to_new = [command for born, command in executed if born == worker.born]
    assert isinstance(to_new[0], SyncWorker)
    assert to_new[0].acknowledged == 0


def test_late_report_of_an_earlier_incarnation_ends_no_run(world):
    held = []
    reply = world._reply

    def hold_reply(entry, request, result):
        operation = request.operation
        if isinstance(operation, SyncWorker) and not operation.wait_s and not held:
            held.append((entry, request, result))
            return
        reply(entry, request, result)

    world.submit(FIRST, step(), payload="seconds=9")
    world.run(1.0)
    world._reply = hold_reply
    # The owner stops the run and asks at once whether it is gone.
    world.cancel(FIRST)
    world.run(0.5)
    assert held
    restart(world)
    world.run(1.0)
    world.submit(SECOND, step(), payload="seconds=2")
    world.run(0.5)
    reply(*held[0])
    world.run_until(lambda: world.final_state(SECOND) == "completed", 6.0)
    assert len(world.executions(SECOND)) == 1

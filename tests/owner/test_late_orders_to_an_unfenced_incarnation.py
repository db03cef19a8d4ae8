"""Late orders that reach the next incarnation of a worker before its owner does."""

from __future__ import annotations

import pytest
from tests.support.step_invariants import check_all
from tests.support.steps import StepWorld, step

from lagoonpulley.upstream.tasks import StartTask, SyncWorker

FIRST = "a" * 16
SECOND = "b" * 16


@pytest.mark.parametrize("is_listed", [False, True])
def test_late_start_holds_a_lease_that_the_owner_does_not_know(is_listed):
    """It runs behind a cut, beside its successor.

    ``not_after_ms`` is of the earlier incarnation's clock, so on the next one it is
    worth the longest lease, counted from the late execution.
    """
    world = StepWorld(workers=2)
    world.run(8.0)
    world.late_workers.update(("w0", "w1"))
    world.submit(FIRST, step(processors=16000), payload="seconds=9")
    world.run(0.05)
    (tracked,) = (
        worker
        for worker in world.owner().owner._term.worker_by_id.values()
        if worker.tracked_by_ref
    )
    late = tracked.info.id
    world.late_workers.clear()
    world.dead_workers.add(late)
    world.worker_by_id[late].restart(world.clock.mono)
    if is_listed:
        world.add_worker(late)
    world.run(20.0)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(FIRST) == "completed", 20.0)
    check_all(world, {FIRST: world.last_spec}, {})


def test_late_acknowledgement_before_the_first_call_of_the_owner():
    """A late start ends there as done; a late acknowledgement forgets that."""
    world = StepWorld(workers=1)
    world.run(8.0)
    worker = world.worker_by_id["w0"]
    executed = []
    apply = worker.apply

    def apply_and_record(command, now):
        executed.append(command)
        return apply(command, now)

    worker.apply = apply_and_record
    world.submit(FIRST, step(count=3), payload="seconds=0.3")
    world.run(1.5)
    # All three ends were acknowledged in an answered call long before this one.
    world.run(2.0)
    assert not worker.has_ends()
    calls = [c for c in executed if isinstance(c, SyncWorker) and c.wait_s]
    acknowledgement = max(calls[-2:], key=lambda call: call.acknowledged)
    assert acknowledgement.acknowledged == 3
    first_spec = world.last_spec
    world.late_workers.add("w0")
    world.submit(SECOND, step(), payload="seconds=0.5")
    world.run(0.05)
    world.late_workers.clear()
    world.dead_workers.add("w0")
    worker.restart(world.clock.mono)
    # The start is executed after three seconds, and the last call soon afterwards.
    world.run_until(lambda: len(world.executions(SECOND)) == 1, 4.0)
    assert isinstance(executed[-1], StartTask)
    world.run(0.8)
    worker.apply(acknowledgement, world.clock.mono)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(SECOND) == "completed", 9.0)
    check_all(world, {FIRST: first_spec, SECOND: world.last_spec}, {})
    assert len(world.executions(SECOND)) == 1

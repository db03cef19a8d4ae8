"""One crash of a worker, and a change of owner before its next incarnation answers."""

from __future__ import annotations

from tests.support.steps import StepWorld, step

JOB = "a" * 16


def test_one_crash_does_not_fail_a_job_when_the_owner_changes():
    """The run stays current, with the incarnation that has crashed.

    The next owner finds that incarnation beside the run, and another one in the
    directory, and counts the crash once more.
    """
    world = StepWorld(workers=2)
    world.run(8.0)
    world.submit(JOB, step(processors=16000), payload="seconds=2")
    world.run_until(lambda: world.executions(JOB), 1.0)
    (crashed,) = (w for w in world.worker_by_id.values() if w.executions)
    world.run(0.05)
    # It crashes once, soon after the start, and is out of reach when it is back.
    world.dead_workers.add(crashed.id)
    crashed.restart(world.clock.mono)
    world.add_worker(crashed.id)
    world.run(1.5)
    world.kill(world.owner())
    world.run_until(lambda: world.final_state(JOB) is not None, 30.0)
    assert world.final_state(JOB) == "completed"

"""Steps of one job that wait while others of its steps run."""

from __future__ import annotations

from tests.support.steps import StepWorld, step

JOB = "f" * 16


def test_gang_loses_what_it_has_waited_for_at_each_end_of_another_step():
    """Its demand was made anew each time, so it never got a reservation."""
    world = StepWorld(workers=2)
    queue = {"max_attempts": 2, "target_s": 1.0}
    world.set_policy(2, queues={"reviews": queue, "checks": {**queue, "priority": -1}})
    world.run(1.0)
    for number in range(8):
        seconds = f"seconds={0.5 + number * 0.13:.2f}"
        world.submit(
            f"{number:016x}", step(processors=4000), payload=seconds, queue="checks"
        )
    world.run(0.2)
    gang = step(count=2, processors=16000, gang=True)
    world.submit(JOB, gang, step(count=80, processors=4000))
    world.run_until(lambda: _has_begun(world, 0), 5.0)
    assert world.final_state(JOB) is None


def _has_begun(world, number):
    return any(run.ref.key.step == number for run in world.executions(JOB))

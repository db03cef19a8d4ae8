"""Gangs that compete with smaller and less urgent tasks for a full cell.

Small tasks fill every gap as soon as it appears, so that without a reservation a gang
never finds all its capacity at once.
"""

from __future__ import annotations

from tests.support.steps import StepWorld, step

QUEUES = {
    "reviews": {"max_attempts": 2, "priority": 1, "target_s": 1.0},
    "checks": {"max_attempts": 2, "priority": 2, "target_s": 1.0},
}


def overloaded_world():
    """Return a full cell with a backlog of small tasks that end at different times."""
    world = StepWorld(workers=2)
    world.set_policy(2, queues=QUEUES)
    world.run(1.0)
    for number in range(40):
        world.submit(
            f"{number:016x}",
            step(count=4, processors=4000),
            payload=f"seconds={0.7 + number % 7 * 0.1:.1f}",
            queue="checks",
        )
    return world


def test_gang_starts_while_smaller_tasks_are_pending():
    world = overloaded_world()
    gang = "f" * 16
    world.submit(gang, step(count=2, processors=16000, gang=True))
    world.run_until(lambda: world.executions(gang), 5.0)
    assert world.final_state(f"{39:016x}") is None


def test_reservation_of_a_gang_is_released_when_it_is_cancelled():
    world = overloaded_world()
    gang = "f" * 16
    world.submit(gang, step(count=2, processors=16000, gang=True))
    world.run(0.8)
    world.cancel(gang)
    finished = [f"{number:016x}" for number in range(40)]
    world.run_until(
        lambda: all(world.final_state(job) == "completed" for job in finished), 40.0
    )


def test_gang_that_can_never_fit_gets_no_reservation():
    world = overloaded_world()
    world.submit("f" * 16, step(count=3, processors=16000, gang=True))
    world.run_until(lambda: world.final_state(f"{39:016x}") == "completed", 30.0)

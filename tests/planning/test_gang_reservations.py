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


def world_of_idle_workers():
    """Return a cell of six idle workers."""
    world = StepWorld(workers=6)
    world.set_policy(2, queues=QUEUES)
    world.run(1.0)
    return world


def world_of_gang_behind(obstacle, payload="seconds=1"):
    """Return a cell in which a gang waits behind a step with a task on each worker."""
    world = world_of_idle_workers()
    world.submit("e" * 16, obstacle, payload=payload)
    world.run(1.0)
    world.submit("f" * 16, step(count=6, processors=12000, gang=True))
    world.run(1.0)
    return world


def assert_small_jobs_are_done(world):
    small = [f"{number:016x}" for number in range(20)]
    for job in small:
        world.submit(job, step(processors=2000), queue="checks")
    world.run_until(
        lambda: all(world.final_state(job) == "completed" for job in small), 12.0
    )


def test_gang_that_its_tasks_per_worker_keep_from_fitting_stops_smaller_jobs():
    """A gang with more tasks than its workers may take kept an idle cell to itself."""
    world = world_of_idle_workers()
    hopeless = step(count=12, processors=7500, gang=True, most_per_worker=1)
    world.submit("f" * 16, hopeless)
    world.run(1.0)
    assert_small_jobs_are_done(world)


def test_gang_behind_tasks_that_last_stops_smaller_jobs():
    """A gang that waits for room which no end of a task gives kept all other room."""
    service = step(count=6, processors=6000, long_running=True, most_per_worker=1)
    assert_small_jobs_are_done(world_of_gang_behind(service))


def test_gang_behind_tasks_that_take_longer_than_declared_stops_smaller_jobs():
    """A reservation lasted for as long as whatever kept its gang from starting."""
    slow = step(count=6, processors=6000, most_per_worker=1)
    assert_small_jobs_are_done(world_of_gang_behind(slow, payload="seconds=60"))


def test_gang_whose_reservation_has_ended_never_gets_another():
    """Tasks of 6 s that are declared as 1 s outlast a reservation, but not two."""
    world = world_of_idle_workers()
    for number in range(60):
        job = step(processors=8000)
        world.submit(f"{number:016x}", job, payload="seconds=6", queue="checks")
    world.run(1.0)
    gang = "f" * 16
    world.submit(gang, step(count=6, processors=16000, gang=True))
    world.run_until(lambda: world.executions(gang), 20.0)
    assert world.final_state(f"{59:016x}") is None


def test_job_that_lacked_room_before_a_reservation_waits_for_ever_after_it():
    """Room that became free while it was reserved was never offered to the job."""
    world = world_of_idle_workers()
    busy = step(count=6, processors=16000, most_per_worker=1)
    world.submit("e" * 16, busy, payload="seconds=3")
    world.run(1.0)
    waiting = "d" * 16
    world.submit(waiting, step(processors=4000), queue="checks")
    world.run(0.3)
    longer = step(processors=16000)
    world.submit("c" * 16, longer, payload="seconds=60")
    gang = "f" * 16
    world.submit(gang, step(count=6, processors=16000, gang=True))
    world.run_until(lambda: world.final_state("e" * 16), 6.0)
    world.run(0.5)
    world.cancel(gang)
    world.run_until(lambda: world.final_state(waiting) == "completed", 3.0)

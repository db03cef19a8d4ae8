"""Data centres that operators drain and take back."""

from __future__ import annotations

import pytest
from tests.support.step_documents import DRAINS_PREFIX
from tests.support.step_workers import CAPACITY
from tests.support.steps import StepWorld, step

# From the operators' request until no start may reach the data centre.
DRAIN_BOUND_S = 5.0
JOB = "a" * 16


@pytest.fixture
def world():
    made = StepWorld(workers=0)
    for number in range(4):
        made.add_worker(f"w{number}", data_centre="ab"[number % 2])
    made.run(7.0)
    return made


def drain(world, data_centre):
    world.put(DRAINS_PREFIX + data_centre, "")


def take_back(world, data_centre):
    world.delete(DRAINS_PREFIX + data_centre)


def workers_of(world, job):
    return {
        worker.id
        for worker in world.worker_by_id.values()
        for execution in worker.executions
        if execution.ref.job_id == job
    }


def test_drained_data_centre_gets_no_task(world):
    drain(world, "a")
    world.run(DRAIN_BOUND_S)
    world.submit(JOB, step(count=12, processors=2000), payload="seconds=0.5")
    world.run_until(lambda: world.final_state(JOB) == "completed", 5.0)
    assert workers_of(world, JOB) <= {"w1", "w3"}


def test_running_tasks_of_a_drained_data_centre_end_by_themselves(world):
    world.submit(JOB, step(count=8, processors=8000), payload="seconds=6")
    world.run(1.0)
    drain(world, "a")
    world.run_until(lambda: world.final_state(JOB) == "completed", 9.0)
    assert workers_of(world, JOB) == {"w0", "w1", "w2", "w3"}
    assert len(world.executions(JOB)) == 8


def test_data_centre_that_is_taken_back_gets_tasks(world):
    drain(world, "a")
    drain(world, "b")
    world.run(DRAIN_BOUND_S)
    world.submit(JOB, step(count=2, processors=CAPACITY[0]), payload="seconds=0.5")
    world.run(2.0)
    assert not world.executions(JOB)
    take_back(world, "a")
    world.run_until(lambda: world.final_state(JOB) == "completed", 5.0)
    assert workers_of(world, JOB) == {"w0", "w2"}


def test_new_owner_places_nothing_before_it_knows_the_drains(world):
    drain(world, "a")
    world.run(DRAIN_BOUND_S)
    world.kill(world.owner())
    world.submit(JOB, step(count=8, processors=2000), payload="seconds=0.5")
    world.run_until(lambda: world.final_state(JOB) == "completed", 9.0)
    assert workers_of(world, JOB) <= {"w1", "w3"}


def test_placement_that_waits_for_its_commit_is_not_sent_to_a_drained_centre(world):
    release = world.hold_commits()
    world.submit(JOB, step(count=4, processors=CAPACITY[0]), payload="seconds=0.5")
    world.run(0.5)
    drain(world, "a")
    world.run(1.0)
    release()
    world.run(3.0)
    assert workers_of(world, JOB) == {"w1", "w3"}


def test_request_for_an_unknown_data_centre_changes_nothing(world):
    drain(world, "elsewhere")
    drain(world, "")
    world.run(DRAIN_BOUND_S)
    world.submit(JOB, step(count=4, processors=CAPACITY[0]), payload="seconds=0.5")
    world.run_until(lambda: world.final_state(JOB) == "completed", 5.0)
    assert len(workers_of(world, JOB)) == 4

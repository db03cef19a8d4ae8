"""Steps that wait in a cell in which nothing else happens."""

from __future__ import annotations

import pytest
from tests.support.steps import StepWorld, step

GANG = "f" * 16
SMALL = "e" * 16
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


def let_advisor_answer_soon(world):
    """Let room be held until the advisor answers, as its answers are soon."""
    soon = {**ADVISED, "advice": [0.085, 0.001, 2.0]}
    world.set_policy(3, queues={**QUEUES, "reviews": soon})
    world.run(1.0)


def test_gang_whose_advisor_refused_its_requests_waits_for_ever(world):
    """Nothing told that the advisor may be asked again."""
    run_gang_on_few_workers(world)
    first, second, *_ = sorted(world.worker_by_id)
    world.add_worker(first, draining=True)
    world.crash_worker(second)
    world.advice_failures = 2
    world.run_until(lambda: len(world.executions(GANG)) == 12, 15.0)


def test_slow_advisor_is_never_asked_while_one_of_two_entries_cannot_reach_it():
    """The entry that was left alone counted as busy, and was tried first thereafter."""
    world = StepWorld(entries=2, workers=WORKERS)
    world.set_policy(2, queues=QUEUES)
    world.run(8.0)
    world.advice_failures = 1000
    world.submit(GANG, GANG_STEP)
    world.run_until(lambda: world.executions(GANG), 2.0)


def test_step_of_an_idle_cell_waits_for_seconds_as_its_advisor_refused_once(world):
    """The rules allow 3 s, and the only entry was left alone for as long."""
    world.advice_failures = 1
    world.submit(GANG, GANG_STEP)
    world.run_until(lambda: world.executions(GANG), 2.0)


def test_step_waits_for_ever_for_room_that_was_held_for_another(world):
    """The answer that ended the hold was told to the step that had asked only."""
    world.forbidden_workers = set(world.worker_by_id)
    hopeless = step(count=WORKERS, processors=12000)
    let_advisor_answer_soon(world)
    world.submit(GANG, hopeless)
    world.run(0.02)
    world.submit(SMALL, step(processors=6000), queue="checks")
    world.run_until(lambda: world.final_state(SMALL) == "completed", 4.0)


def test_step_waits_for_ever_for_room_that_was_held_for_a_cancelled_job(world):
    world.advice_s = 1.5
    let_advisor_answer_soon(world)
    world.submit(GANG, step(count=WORKERS, processors=12000))
    world.run(0.02)
    world.submit(SMALL, step(processors=6000), queue="checks")
    world.run(0.1)
    world.cancel(GANG)
    world.run_until(lambda: world.final_state(SMALL) == "completed", 4.0)


def test_step_with_few_tasks_on_a_worker_never_learns_of_more_workers(world):
    """The room for its tasks was counted as if all of them might go to one worker."""
    world.forbidden_workers = set(sorted(world.worker_by_id)[3:9])
    wide = step(count=6, processors=1000, gang=True, most_per_worker=1)
    world.submit(GANG, wide)
    world.run_until(lambda: world.final_state(GANG) == "completed", 10.0)

"""Ends of runs: which are applied, and when they are acknowledged."""

from __future__ import annotations

import pytest
from tests.support.logged_events import capture_events
from tests.support.steps import StepWorld, step

JOB = "a" * 16


@pytest.fixture
def world():
    made = StepWorld(workers=1)
    # By then, leases that an earlier owner may have granted have expired.
    made.run(8.0)
    return made


def give_up_a_run(world):
    """Let the owner give up a run of one second that ends while nobody hears of it."""
    world.submit(JOB, step(processors=16000))
    world.run(0.3)
    world.dead_workers.add("w0")
    world.run(4.0)


def test_end_that_changes_nothing_is_logged(world):
    give_up_a_run(world)
    world.cancel(JOB)
    world.run(1.0)
    with capture_events() as events:
        world.dead_workers.clear()
        world.run(1.0)
    (ignored,) = events.named("end_ignored")
    assert (ignored["run"], ignored["end"]) == (1, "done")


def test_restart_of_a_worker_is_logged(world):
    world.submit(JOB, step(), payload="seconds=3")
    world.run(1.0)
    with capture_events() as events:
        worker = world.worker_by_id["w0"]
        previous_born = worker.born
        worker.restart(world.clock.mono)
        world.run(1.0)
    (restarted,) = events.named("worker_restarted")
    assert restarted["previous_born"] == previous_born
    assert restarted["born"] == worker.born
    assert restarted["runs"] == 1

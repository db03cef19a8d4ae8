"""Invariants of a fully loaded cell during failures and late commands."""

from __future__ import annotations

import pytest
from tests.support.step_invariants import (
    check_all,
    check_no_start_after_acknowledged_end,
)
from tests.support.steps import StepWorld, step

from lagoonpulley.standin.task_worker import Execution
from lagoonpulley.upstream.tasks import TaskRef
from lagoonpulley.workload.record import EndKind
from lagoonpulley.workload.spec import TaskKey

TEAMS = {"north": [24000, 0, 0], "south": [0, 0, 0]}
STEPS = (
    (step(count=5, processors=7000),),
    (step(count=3, processors=6000, gang=True),),
    (step(count=4, processors=3000), step(count=2, after=(0,))),
)


def submit_more_than_fits(world, payload):
    """Submit jobs of all kinds for both teams, and return their specs by id."""
    spec_by_id = {}
    for number in range(12):
        job_id = f"{number:016x}"
        team = "north" if number % 2 else "south"
        world.submit(job_id, *STEPS[number % 3], payload=payload, team=team)
        spec_by_id[job_id] = world.last_spec
    return spec_by_id


@pytest.fixture
def loaded():
    """Return a cell with more jobs than capacity, and the job specs by id."""
    world = StepWorld(entries=3)
    world.set_policy(2, teams=TEAMS)
    world.run(7.0)
    return world, submit_more_than_fits(world, "seconds=2")


def check_until_completed(world, spec_by_id):
    world.run_until(
        lambda: all(world.final_state(job) == "completed" for job in spec_by_id), 60.0
    )
    check_all(world, spec_by_id, TEAMS)


def test_invariants_hold_under_full_load(loaded):
    check_until_completed(*loaded)


def test_invariants_hold_when_the_owner_dies(loaded):
    world, spec_by_id = loaded
    world.run(1.0)
    world.kill(world.owner())
    check_until_completed(world, spec_by_id)


def test_invariants_hold_when_a_worker_is_silent_for_a_while(loaded):
    world, spec_by_id = loaded
    world.run(1.0)
    world.dead_workers.add("w1")
    world.run(8.0)
    world.dead_workers.clear()
    check_until_completed(world, spec_by_id)


def test_invariants_hold_when_a_worker_starts_again(loaded):
    world, spec_by_id = loaded
    world.run(1.0)
    world.worker_by_id["w1"].restart(world.clock.mono)
    world.add_worker("w1")
    check_until_completed(world, spec_by_id)


def test_invariants_hold_when_commands_are_carried_out_late(loaded):
    world, spec_by_id = loaded
    world.late_workers.add("w1")
    check_until_completed(world, spec_by_id)


def done(run, started_at):
    """Return a run of one second that was acknowledged as done."""
    ended_at = started_at + 1.0
    ref = TaskRef("a" * 16, TaskKey(0, 0, 0), run)
    return Execution(ref, started_at, ended_at, ended_at, EndKind.DONE, ended_at)


@pytest.mark.parametrize("order", [1, -1])
def test_two_runs_that_were_acknowledged_as_done_break_the_rule(order):
    executions = [done(1, 0.0), done(2, 5.0)][::order]
    with pytest.raises(AssertionError):
        check_no_start_after_acknowledged_end(executions)


def test_gangs_break_each_other_for_ever_on_a_worker_that_answers_no_start():
    """Each returns to it before the broken run of the other has left the sound ones."""
    world = StepWorld(entries=3, seed=22)
    world.set_policy(2, teams=TEAMS)
    world.run(7.0)
    spec_by_id = submit_more_than_fits(world, "seconds=2.16")
    world.late_workers.add("w1")
    check_until_completed(world, spec_by_id)

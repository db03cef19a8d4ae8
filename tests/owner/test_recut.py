"""Workers that are back under their ids and are cut off soon after."""

from __future__ import annotations

import pytest
from tests.support.late_grants import is_completed
from tests.support.lateness import Lateness
from tests.support.recut import (
    crash_silently_and_cut_off,
    restart_unnoticed,
    world_with_one_worker,
)
from tests.support.step_invariants import check_all, check_one_run_at_a_time
from tests.support.steps import step

from lagoonpulley.upstream.tasks import StartTask

JOB = "a" * 16


def play_until_all_jobs_are_done(seed, kills_owner, **more):
    world, specs = crash_silently_and_cut_off(seed, kills_owner, **more)
    world.run_until(lambda: is_completed(world, specs), 60.0)
    check_all(world, specs, {})


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 6, 7, 9])
def test_lease_by_a_former_clock_outlives_the_wait_of_the_next_owner(seed):
    play_until_all_jobs_are_done(seed, kills_owner=True)


@pytest.mark.parametrize("offset_s", [-60.0, 60.0])
@pytest.mark.parametrize("seed", [1, 2, 3, 4, 6, 7, 9])
def test_restart_by_another_wall_clock_is_unknown_to_the_next_owner(seed, offset_s):
    """The workers' clocks are a minute off, so their start seems to be long ago."""
    play_until_all_jobs_are_done(seed, kills_owner=True, wall_offset_s=offset_s)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lease_by_a_former_clock_outlives_the_wait_of_the_same_owner(seed):
    play_until_all_jobs_are_done(seed, kills_owner=False)


def start_on_an_unknown_incarnation(is_answered, is_listed):
    """Start a task on a worker after an unnoticed restart, cut it off and wait.

    :param is_answered: whether the owner gets the answer to the start.
    :param is_listed: whether the directory gets to know the next incarnation.
    :returns: the runs of the task, until the next one has started elsewhere.
    """
    world, worker = world_with_one_worker(permit_valid_s=2.0)
    restart_unnoticed(world, worker)
    apply = world._apply

    def apply_and_cut_off(to, command):
        result = apply(to, command)
        if to is worker and worker.executions:
            world.dead_workers.add("w0")
        return result

    world._apply = apply_and_cut_off
    if not is_answered:
        world.lateness_by_worker["w0"] = Lateness(1.0, (StartTask,), 0.01, 0.02)
    world.submit(JOB, step(), payload="seconds=12")
    world.run_until(lambda: worker.executions, 0.5)
    if is_listed:
        world.add_worker("w0")
    world.add_worker("w1")
    world.run_until(lambda: len(world.executions(JOB)) == 2, 30.0)
    worker.advance(world.clock.mono)
    return world.executions(JOB)


@pytest.mark.parametrize("is_listed", [True, False])
def test_start_that_an_unknown_incarnation_accepts_runs_beside_its_successor(is_listed):
    check_one_run_at_a_time(start_on_an_unknown_incarnation(True, is_listed))


def test_unanswered_start_of_a_listed_incarnation_runs_beside_its_successor():
    check_one_run_at_a_time(start_on_an_unknown_incarnation(False, is_listed=True))


def test_unanswered_start_of_an_unlisted_incarnation_runs_beside_its_successor():
    check_one_run_at_a_time(start_on_an_unknown_incarnation(False, is_listed=False))

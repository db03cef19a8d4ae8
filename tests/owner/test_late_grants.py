"""Late commands that extend the leases of workers that nobody reaches."""

from __future__ import annotations

import pytest
from tests.support.late_grants import cut_off_workers_with_late_commands, is_completed
from tests.support.step_invariants import check_all
from tests.support.steps import Lateness, StepWorld

from lagoonpulley.upstream.tasks import Refusal, StartTask


def play_until_all_jobs_are_done(seed, kills_owner):
    world, specs = cut_off_workers_with_late_commands(seed, kills_owner)
    world.run_until(lambda: is_completed(world, specs), 30.0)
    check_all(world, specs, {})


@pytest.mark.parametrize("seed", [7, 8, 9, 13, 32, 36])
def test_late_grants_behind_a_cut_keep_no_run_alive_beside_its_successor(seed):
    play_until_all_jobs_are_done(seed, kills_owner=False)


@pytest.mark.parametrize("seed", [8, 9, 10, 13, 28, 31])
def test_late_grants_of_a_killed_owner_keep_no_run_alive_beside_its_successor(seed):
    play_until_all_jobs_are_done(seed, kills_owner=True)


@pytest.mark.parametrize(("restarts", "valid_s"), [(False, 2.0), (True, 60.0)])
def test_late_start_is_refused_without_a_valid_permit(restarts, valid_s):
    """This tests the simulated worker: a permit has a time and an incarnation."""
    world = StepWorld(workers=1)
    world.permit_valid_s = valid_s
    queue = {"max_attempts": 2, "target_s": 1.0, "advice": [0.5, 0.01, valid_s]}
    world.set_policy(2, queues={"reviews": queue})
    world.run(8.0)
    world.lateness_by_worker["w0"] = Lateness(kinds=(StartTask,), min_s=3.0, max_s=3.0)
    world.submit("a" * 16)
    world.run(1.0)
    world.dead_workers.add("w0")
    if restarts:
        world.restart_worker("w0")
    world.run(3.0)
    assert world.late_commands
    refusals = {getattr(late.result, "reason", None) for late in world.late_commands}
    assert refusals == {Refusal.PERMIT}
    assert not world.executions("a" * 16)

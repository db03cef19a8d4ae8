"""Late commands that extend the leases of workers that nobody reaches."""

from __future__ import annotations

import pytest
from tests.support.late_grants import cut_off_workers_with_late_commands, is_completed
from tests.support.step_invariants import check_all


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

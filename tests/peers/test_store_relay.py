"""Calls to the store by way of other entries."""

from __future__ import annotations

import pytest
from tests.support.steps import StepWorld, step


@pytest.fixture
def world():
    made = StepWorld(entries=3)
    made.run(3.0)
    return made


def test_owner_that_the_store_turns_away_goes_on_by_other_entries(world):
    owner = world.owner()
    token = owner.owner._term.token
    owner.has_store = False
    world.run(0.5)
    world.submit("a" * 16, step(count=3), step(after=(0,)))
    within_s = world.run_until(lambda: world.final_state("a" * 16), 4.0)
    assert within_s < 2.6
    assert world.owner() is owner
    assert owner.owner._term.token == token


def test_entry_calls_the_store_itself_once_it_is_back(world):
    owner = world.owner()
    owner.has_store = False
    world.run(1.0)
    assert owner.store_health.is_directly_unreachable()
    assert not owner.store_health.is_unreachable()
    owner.has_store = True
    world.run(0.5)
    assert not owner.store_health.is_directly_unreachable()


def test_store_is_away_when_no_entry_reaches_it(world):
    world.store_up = False
    world.run(1.0)
    assert all(
        entry.store_health.is_unreachable() for entry in world.entry_by_name.values()
    )
    world.store_up = True
    world.run(1.0)
    assert not any(
        entry.store_health.is_unreachable() for entry in world.entry_by_name.values()
    )


def test_second_owner_takes_over_when_the_first_reaches_nobody(world):
    first = world.owner()
    world.kill(first)
    world.run(3.0)
    assert world.owner() is not first

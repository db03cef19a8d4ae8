"""Propagation of the policy document, with and without access to the store."""

from __future__ import annotations

import pytest
from tests.support.steps import StepWorld


@pytest.fixture
def world():
    made = StepWorld(entries=3)
    made.run(1.0)
    return made


def version_of(world, name):
    return world.entry_by_name[name].roles["policy"]._version


def test_policy_reaches_every_entry(world):
    world.set_policy(7)
    world.run(0.2)
    assert {version_of(world, name) for name in world.entry_by_name} == {7}


def test_policy_version_never_decreases(world):
    world.set_policy(7)
    world.run(0.2)
    world.set_policy(6)
    world.run(0.5)
    assert version_of(world, "e0") == 7


def test_policy_is_relayed_while_this_entry_cannot_reach_the_store(world):
    world.run(2.5)
    world.entry_by_name["e0"].has_store = False
    world.run(1.0)
    world.set_policy(7)
    world.run(2.0)
    assert version_of(world, "e0") == 7


def test_policy_is_read_again_when_the_watch_history_is_compacted(world):
    world.store.compact_history()
    world.set_policy(7)
    world.store.compact_history()
    world.run(2.0)
    assert version_of(world, "e1") == 7

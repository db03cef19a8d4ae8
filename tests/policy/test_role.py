"""Propagation of the policy document, with and without access to the store."""

from __future__ import annotations

import pytest
from tests.support.step_documents import POLICY_KEY
from tests.support.steps import StepWorld

# The users' bounds from the acknowledgement of a version until requests are handled by
# it: on the sites of the first milestone, on the grown ones, and there while the store
# turns an entry away.
BOUND_S = 2.0
GROWN_BOUND_S = 3.0
TURNED_AWAY_BOUND_S = 9.0
TEN_MBIT_BYTES_PER_S = 1_250_000
# On the wire 1.2 MB, for which a link of 10 Mbit/s needs almost a second.
LARGE_POLICY_CHARACTERS = 900_000


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


def slow_down_links(world):
    for entry in world.entry_by_name.values():
        entry.store_bytes_per_s = TEN_MBIT_BYTES_PER_S
        entry.shares_store_link = True


def test_large_policy_is_in_force_in_time_over_a_slow_link(world):
    slow_down_links(world)
    world.set_policy(7, size=LARGE_POLICY_CHARACTERS)
    world.run(GROWN_BOUND_S)
    assert {version_of(world, name) for name in world.entry_by_name} == {7}


def test_large_policy_is_relayed_in_time_over_a_slow_link(world):
    slow_down_links(world)
    world.run(2.5)
    world.entry_by_name["e0"].has_store = False
    world.run(1.0)
    world.set_policy(7, size=LARGE_POLICY_CHARACTERS)
    world.run(TURNED_AWAY_BOUND_S)
    assert version_of(world, "e0") == 7


def test_submissions_do_not_download_a_large_policy_over_a_slow_link(world):
    slow_down_links(world)
    entry = world.entry_by_name["e0"]
    world.set_policy(7, size=LARGE_POLICY_CHARACTERS)
    for number in range(30):
        world.send_submission(entry, f"{number:016x}")
        world.run(GROWN_BOUND_S / 30)
    assert entry.version_answered_by == 7
    assert entry.store_bytes_by_operation["Transaction"] < LARGE_POLICY_CHARACTERS


def test_entry_that_cannot_read_the_policy_stops_answering_by_the_old_one(world):
    entry = world.entry_by_name["e0"]
    assert entry.version_answered_by == 1
    entry.unreadable_prefixes = (POLICY_KEY,)
    entry.has_peers = False
    world.set_policy(7)
    world.run(BOUND_S)
    assert entry.version_answered_by is None
    entry.unreadable_prefixes = ()
    world.run(BOUND_S)
    assert entry.version_answered_by == 7


def test_change_that_no_watch_reports_is_in_force_in_time(world):
    world.delivers_watch_events = False
    world.silent_watches_advance = True
    world.set_policy(7)
    world.run(1.0)
    world.delivers_watch_events = True
    world.run(BOUND_S - 1.0)
    assert {version_of(world, name) for name in world.entry_by_name} == {7}

"""Elections among entries of unequal capacity."""

from __future__ import annotations

import pytest
from tests.support.steps import STRONG, WEAK, StepWorld

from lagoonpulley.owner import session

SEEDS = range(40)
WEAK_NAMES = ("w0", "w1", "w2", "w3", "w4")
# The session of a dead owner, one retry, the reads and the jitter of an election.
TAKEOVER_BOUND_S = 1.6
# Added when a stronger entry is registered but does not stand for election.
HEAD_START_BOUND_S = 0.45
# Within which an accepted job has to be known, so also an owner that knows it.
VISIBLE_S = 3.0


def make_world(seed, strong_names=()):
    """Return a world with weak and strong entries that has settled.

    :param seed: chooses the random numbers of the entries.
    """
    world = StepWorld(entries=0, seed=seed)
    world.incarnation_count = 100 * seed
    for name in WEAK_NAMES:
        world.capacity_by_name[name] = WEAK
    for name in strong_names:
        world.capacity_by_name[name] = STRONG
    for name in world.capacity_by_name:
        world.start_entry(name)
    world.run(2.0)
    return world


def has_owner(world):
    entries = world.entry_by_name.values()
    return any(entry.alive and entry.owner._term is not None for entry in entries)


@pytest.mark.parametrize("seed", SEEDS)
def test_strongest_live_entry_becomes_owner(seed):
    world = make_world(seed, ("s0", "s1"))
    world.kill(world.owner())
    world.run_until(lambda: has_owner(world), TAKEOVER_BOUND_S)
    assert world.owner().name in ("s0", "s1")


@pytest.mark.parametrize("seed", SEEDS)
def test_weak_entry_becomes_owner_if_there_is_no_other(seed):
    world = make_world(seed)
    world.kill(world.owner())
    world.run_until(lambda: has_owner(world), TAKEOVER_BOUND_S)


@pytest.mark.parametrize("seed", SEEDS)
def test_weak_entry_soon_becomes_owner_if_the_strong_one_is_cut_off(seed):
    world = make_world(seed, ("s0", "s1"))
    strong = [world.entry_by_name[name] for name in ("s0", "s1")]
    world.kill(world.owner())
    # The session of the other strong entry outlives that of the owner.
    world.run(0.3)
    for entry in strong:
        world.kill(entry)
    world.run_until(lambda: has_owner(world), TAKEOVER_BOUND_S + HEAD_START_BOUND_S)
    assert world.owner().name in WEAK_NAMES


def test_first_owner_of_a_cell_is_a_strong_entry():
    for seed in SEEDS:
        assert make_world(seed, ("s0", "s1")).owner().name in ("s0", "s1")


def test_election_logs_the_capacity_and_the_stronger_entries(monkeypatch):
    events = []
    monkeypatch.setattr(
        session, "log_event", lambda event, **fields: events.append((event, fields))
    )
    world = make_world(1, ("s0", "s1"))
    world.kill(world.owner())
    # The session of the other strong entry outlives that of the owner.
    world.run(0.3)
    for name in ("s0", "s1"):
        world.kill(world.entry_by_name[name])
    world.run_until(lambda: has_owner(world), TAKEOVER_BOUND_S + HEAD_START_BOUND_S)
    elected = [fields for event, fields in events if event == "elected"]
    assert elected[-1] == {
        "token": world.owner().owner._term.token,
        "entry": world.owner().name,
        "processors_milli": WEAK.processors_milli,
        "link_mbps": WEAK.link_mbps,
        "stronger_entries": 1,
    }


@pytest.mark.parametrize("silent_watches_advance", [False, True])
def test_vacancy_is_noticed_while_watches_are_silent(silent_watches_advance):
    world = make_world(seed=1)
    world.delivers_watch_events = False
    world.silent_watches_advance = silent_watches_advance
    world.kill(world.owner())
    world.run_until(lambda: has_owner(world), VISIBLE_S)

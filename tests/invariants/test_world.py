"""Faults that the simulated cell counts as present."""

from __future__ import annotations

import random

from tests.support.history import History


def test_no_fault_is_counted_once_all_are_healed():
    history = History(seed=1)
    world = history.world
    entry_id = next(iter(world.entries))
    rng = random.Random(3)
    for _ in range(20):
        history.vary_network(rng)
    world.pause(entry_id)
    world.kill(entry_id)
    world.heal()
    assert world.fault_free_since() == world.clock.mono

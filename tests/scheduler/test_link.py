"""Tests of the exchange with workers, in a small cell under an injected clock."""

from __future__ import annotations

import pytest
from tests.support.world import World

from lagoonpulley.upstream.messages import Sync


@pytest.fixture
def world():
    made = World(seed=1)
    made.advance(5.0)
    return made


def count_syncs(world):
    counted = []
    for worker in world.workers.values():
        original = worker.apply

        def apply(command, now, original=original):
            if isinstance(command, Sync):
                counted.append(now)
            return original(command, now)

        worker.apply = apply
    return counted


def test_reports_that_cannot_be_made_durable_do_not_flood_workers(world):
    world.submit("timisoara-1", "timisoara/1", run_time_s=3.0)
    world.advance(1.0)
    world.set_store_up(False)
    world.advance(10.0)
    syncs = count_syncs(world)
    world.advance(20.0)
    at_rest = 4 * 20 / 2.0
    assert len(syncs) <= at_rest + 20 / 1.0 + 2


def test_report_is_acknowledged_once_the_store_is_back(world):
    world.submit("timisoara-1", "timisoara/1", run_time_s=3.0)
    world.advance(1.0)
    world.set_store_up(False)
    world.advance(10.0)
    world.set_store_up(True)
    world.advance(10.0)
    assert all(worker.collect().reports == () for worker in world.workers.values())
    assert sum(len(worker.executions) for worker in world.workers.values()) == 1

"""Tests of the worker link in a small simulated cell with an injected clock."""

from __future__ import annotations

import pytest
from tests.support.world import World

from lagoonpulley.upstream.messages import Sync


@pytest.fixture
def world():
    cell = World(seed=1)
    cell.advance(5.0)
    return cell


def count_syncs(world):
    sync_times = []
    for worker in world.workers.values():
        original = worker.apply

        def apply(command, now, original=original):
            if isinstance(command, Sync):
                sync_times.append(now)
            return original(command, now)

        worker.apply = apply
    return sync_times


def test_reports_that_cannot_be_made_durable_do_not_flood_workers(world):
    """A worker answers a sync at once while a report is not acknowledged.

    While the store is down, no report of a durable job can be acknowledged. Without
    a backoff the sync loop would call the worker without any pause.
    """
    world.submit("timisoara-1", "timisoara/1", run_time_s=3.0)
    world.advance(1.0)
    world.set_store_up(False)
    world.advance(10.0)
    syncs = count_syncs(world)
    world.advance(20.0)
    # An idle link syncs once per third of the task lease of 6 s; there are 4 workers.
    idle_syncs = 4 * 20 / 2.0
    # The link with the unacknowledged report backs off to one sync per second.
    assert len(syncs) <= idle_syncs + 20 / 1.0 + 2


def test_report_is_acknowledged_once_the_store_is_back(world):
    """A task that ends while the store is down must not be lost or run again.

    Its report stays on the worker until the store is back and the terminal state
    is committed.
    """
    world.submit("timisoara-1", "timisoara/1", run_time_s=3.0)
    world.advance(1.0)
    world.set_store_up(False)
    world.advance(10.0)
    world.set_store_up(True)
    world.advance(10.0)
    assert all(worker.collect().reports == () for worker in world.workers.values())
    assert sum(len(worker.executions) for worker in world.workers.values()) == 1

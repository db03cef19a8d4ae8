"""The report of an attempt that was given up while its worker was out of reach."""

from __future__ import annotations

from tests.support.world import World


def test_finished_attempt_that_was_given_up_is_not_run_again():
    """The worker lists it as finished before the task is placed again."""
    world = World(seed=1)
    world.advance(5.0)
    world.submit("timisoara-1", "timisoara/1", run_time_s=2.0)
    world.advance(1.0)
    # Both workers of the data centre, so that the task waits meanwhile.
    workers = {w: s for w, s in world.workers.items() if w.startswith("timisoara")}
    assert sum(len(worker.executions) for worker in workers.values()) == 1
    for worker_id in workers:
        world.stop_worker(worker_id)
    world.advance(15.0)
    for worker_id in workers:
        world.network.dead_addresses.discard(f"worker:{worker_id}")
    world.advance(8.0)
    assert all(worker.collect().reports == () for worker in workers.values())
    assert sum(len(worker.executions) for worker in workers.values()) == 1

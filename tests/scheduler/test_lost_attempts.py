"""Reports of attempts that were given up while their worker was out of reach."""

from __future__ import annotations

import pytest
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


def executions_of(world, job):
    task_id = f"{job.id}/0"
    return [
        (worker_id, execution)
        for worker_id, worker in world.workers.items()
        for execution in worker.executions
        if execution.task_id == task_id
    ]


def return_worker(world, worker_id):
    world.network.dead_addresses.discard(f"worker:{worker_id}")


def test_finish_of_an_attempt_that_was_given_up_stops_its_successor():
    world = World(seed=1)
    world.advance(5.0)
    caller = world.submit("timisoara-1", "timisoara/1", run_time_s=5.0, wait_s=60.0)
    world.advance(1.0)
    ((first, _),) = executions_of(world, caller.job)
    world.stop_worker(first)
    while len(executions_of(world, caller.job)) < 2:
        world.advance(0.1)
        assert world.clock.mono < 20.0
    return_worker(world, first)
    world.advance(2.0)
    assert caller.outcome.status.state == "finished"
    assert all(worker.running() == [] for worker in world.workers.values())
    world.advance(5.0)
    assert len(executions_of(world, caller.job)) == 2
    assert all(worker.collect().reports == () for worker in world.workers.values())


def test_finish_of_an_attempt_that_no_journal_names_is_not_run_again():
    """The worker comes back to an owner that has taken over without it."""
    world = World(seed=1)
    world.advance(5.0)
    caller = world.submit(
        "timisoara-1", "timisoara/1", run_time_s=2.0, exclusive=False, durable=True
    )
    world.advance(1.0)
    ((first, _),) = executions_of(world, caller.job)
    workers = [w for w in world.workers if w.startswith("timisoara")]
    for worker_id in workers:
        world.stop_worker(worker_id)
    for entry_id in ("timisoara-1", "timisoara-2"):
        world.kill(entry_id)
        world.start_entry(entry_id, "timisoara")
    # Until then, workers that the owner has not reached count against the limit.
    world.advance(30.0)
    return_worker(world, first)
    world.advance(8.0)
    assert world.workers[first].collect().reports == ()
    assert len(executions_of(world, caller.job)) == 1


def replace_owner(world):
    """Kill both entries of the data centre and let new ones take over."""
    for entry_id in ("timisoara-1", "timisoara-2"):
        world.kill(entry_id)
    for entry_id in ("timisoara-1", "timisoara-2"):
        world.start_entry(entry_id, "timisoara")
    world.advance(8.0)


def record_of(world, job):
    (record,) = (
        group.record_by_id[job.id]
        for entry in world.entries.values()
        for group in entry.roles["scheduler"]._group_by_name.values()
        if entry.alive and job.id in group.record_by_id
    )
    return record


@pytest.mark.parametrize("exclusive", [True, False])
def test_failure_that_was_acknowledged_counts_for_the_next_owner(exclusive):
    world = World(seed=1)
    world.advance(5.0)
    for worker in world.workers.values():
        worker.fail_all_tasks = True
    caller = world.submit(
        "timisoara-1", "timisoara/1", exclusive=exclusive, durable=True
    )
    retries = world.settings_of("timisoara-1", "timisoara").retries_per_task
    while not executions_of(world, caller.job):
        world.advance(0.01)
    ((first, execution),) = executions_of(world, caller.job)
    key = (execution.task_id, execution.attempt)
    while key in world.workers[first]._attempt_by_key:
        world.advance(0.01)
    replace_owner(world)
    world.advance(30.0)
    assert record_of(world, caller.job).is_finalized
    assert len(executions_of(world, caller.job)) <= retries + 1


def test_report_is_not_acknowledged_while_the_store_cannot_take_its_failure():
    world = World(seed=1)
    world.advance(5.0)
    caller = world.submit("timisoara-1", "timisoara/1", run_time_s=2.0)
    world.advance(1.0)
    ((first, execution),) = executions_of(world, caller.job)
    world.workers[first].fail_all_tasks = True
    world.set_store_up(False)
    world.advance(8.0)
    key = (execution.task_id, execution.attempt)
    assert key in world.workers[first]._attempt_by_key
    world.workers[first].fail_all_tasks = False
    world.set_store_up(True)
    world.advance(8.0)
    assert key not in world.workers[first]._attempt_by_key
    assert record_of(world, caller.job).tasks[0].failures == 1

"""Tests of the worker link in a small simulated cell with an injected clock."""

from __future__ import annotations

import pytest
from tests.support.invariants import no_exclusive_task_in_two_places
from tests.support.world import World

from lagoonpulley.model.verdict import Ran
from lagoonpulley.runtime.role import CallFailed, Reply
from lagoonpulley.upstream.messages import Fence, StartTasks, Sync


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


class HeldCalls:
    """Calls to one worker that are carried out and whose answers the test holds."""

    def __init__(self, world, worker_id):
        self._world = world
        self._worker = world.workers[worker_id]
        self._call_worker = world.network.call_worker
        self._kinds = set()
        self._held = []
        world.network.call_worker = self._call

    def hold(self, kind):
        self._kinds.add(kind)

    def stop_holding(self, kind):
        """Let further calls of a kind pass; those held so far stay so."""
        self._kinds.discard(kind)

    def release(self, kind, result=None):
        """Answer the held calls of a kind and let further ones pass.

        :param result: the answer, in place of the worker's own.
        """
        self.stop_holding(kind)
        released = [call for call in self._held if call[0] is kind]
        self._held = [call for call in self._held if call[0] is not kind]
        for _, request, own_result, reply in released:
            reply(Reply(request.request_id, result or own_result))
        return len(released)

    def _call(self, data_centre, request, reply):
        command = request.operation.command
        is_held = request.operation.worker_id == self._worker.id
        if not is_held or type(command) not in self._kinds:
            self._call_worker(data_centre, request, reply)
            return
        result = self._worker.apply(command, self._world.clock.mono)
        self._held.append((type(command), request, result, reply))


def test_late_fence_result_of_an_earlier_boot_does_not_run_a_task_twice(world):
    """Two fences are in flight, and the worker restarts between them."""
    lost = CallFailed(Ran.MAYBE, "no answer")
    # Until the first attempt is placed.
    world.mark_worker_leaving("timisoara-w1")
    world.advance(3.0)
    calls = HeldCalls(world, "timisoara-w0")
    calls.hold(Sync)
    world.advance(2.5)
    calls.hold(StartTasks)
    calls.hold(Fence)
    world.submit("timisoara-1", "timisoara/1", run_time_s=4.0)
    world.advance(1.0)
    assert calls.release(StartTasks, lost) == 1
    world.readmit_worker("timisoara-w1")
    world.restart_worker("timisoara-w0")
    # The answer to the first fence, from before the restart, is still on its way.
    calls.stop_holding(Fence)
    assert calls.release(Sync, lost) == 1
    world.advance(0.3)
    assert calls.release(Fence) == 1
    world.after_event = lambda: no_exclusive_task_in_two_places(world)
    world.advance(10.0)
    running = [w.id for w in world.workers.values() if w.running()]
    assert running == []

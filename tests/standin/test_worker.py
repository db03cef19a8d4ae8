"""Tests of the simulated worker, on which other tests rely."""

from __future__ import annotations

import pytest

from lagoonpulley.model.resources import Resources
from lagoonpulley.standin.worker import WorkerState
from lagoonpulley.upstream.messages import (
    Fence,
    StartTasks,
    StopTask,
    Sync,
    TaskStart,
    TaskStatus,
    WorkerRefusal,
)

CAPACITY = Resources(2000, 100, 0, 2, 2)


@pytest.fixture
def worker():
    return WorkerState("w1", CAPACITY)


def start(worker, now, task_id="j/0", attempt=1, epoch=1, run_s=10.0, boot=None):
    task = TaskStart(task_id, attempt, Resources(1000, 10, 0, 1, 1), run_s, "{}")
    boot_id = worker.boot_id if boot is None else boot
    return worker.apply(StartTasks(epoch, boot_id, 5.0, (task,)), now)


def status(result):
    return result.reports[0].status


def test_lower_epoch_is_refused(worker):
    worker.apply(Fence(5), 0.0)
    assert start(worker, 0.0, epoch=4) == WorkerRefusal(5, worker.boot_id)


def test_attempt_starts_once(worker):
    start(worker, 0.0)
    start(worker, 1.0)
    assert len(worker.executions) == 1


def test_stop_before_start_prevents_a_later_start(worker):
    result = worker.apply(StopTask(1, "j/0", 1, False), 0.0)
    assert result.report.status is TaskStatus.NEVER_SEEN
    assert status(start(worker, 1.0)) is TaskStatus.REFUSED
    assert worker.executions == []


def test_lease_that_is_not_renewed_ends_the_task(worker):
    start(worker, 0.0)
    worker.advance(4.9)
    assert worker.running()
    worker.advance(5.1)
    assert worker.collect().reports[0].status is TaskStatus.STOPPED


def test_sync_renews_the_lease_and_drops_acknowledged_reports(worker):
    start(worker, 0.0, run_s=8.0)
    worker.apply(Sync(1, worker.boot_id, 5.0, 1.0, ()), 4.0)
    worker.advance(8.5)
    assert worker.collect().reports[0].status is TaskStatus.FINISHED
    worker.apply(Sync(1, worker.boot_id, 5.0, 1.0, (("j/0", 1),)), 9.0)
    assert worker.collect().reports == ()
    assert status(start(worker, 9.5)) is TaskStatus.REFUSED


def test_restarted_worker_refuses_commands_for_its_previous_boot(worker):
    boot = worker.boot_id
    worker.restart()
    assert isinstance(start(worker, 0.0, boot=boot), WorkerRefusal)


def test_more_than_capacity_is_refused(worker):
    for number in range(3):
        last = start(worker, 0.0, task_id=f"j/{number}")
    assert status(last) is TaskStatus.REFUSED

"""An owner whose process is too busy to read the answers of workers in time."""

from __future__ import annotations

import pytest
from tests.support.steps import StepWorld, step

from lagoonpulley.model.verdict import Ran
from lagoonpulley.runtime.role import CallFailed
from lagoonpulley.upstream.tasks import StartTask, SyncWorker

JOB = "a" * 16
# How late the process notices that a call has timed out.
LATENESS_S = 0.7


@pytest.fixture
def world():
    made = StepWorld(workers=2)
    # By then, leases that an earlier owner may have granted have expired.
    made.run(8.0)
    return made


def begin_starvation(world, worker_ids=("w0", "w1")):
    """Let syncs time out in the owner's process, late; return what ends that."""
    reply = world._reply

    def reply_late(entry, request, result):
        command = request.operation
        is_sync = isinstance(command, SyncWorker)
        if not is_sync or command.to.worker_id not in worker_ids:
            reply(entry, request, result)
            return
        failed = CallFailed(Ran.MAYBE, "timed out")
        delay_s = request.timeout_s + LATENESS_S
        world.clock.after(delay_s, lambda: reply(entry, request, failed))

    world._reply = reply_late

    def end():
        world._reply = reply

    return end


def test_busy_owner_starts_no_task_again_that_has_ended(world):
    world.submit(JOB, step(processors=16000), payload="seconds=0.5")
    world.run(0.2)
    (worker,) = (w for w in world.worker_by_id.values() if w.executions)
    # It lists the end soon, in an answer that is not read.
    end_starvation = begin_starvation(world, (worker.id,))
    world.run(6.0)
    end_starvation()
    world.run_until(lambda: world.final_state(JOB) == "completed", 3.0)
    assert len(world.executions(JOB)) == 1


def test_busy_owner_keeps_the_leases_of_runs(world):
    world.submit(JOB, step(count=4, processors=4000), payload="seconds=9")
    world.run(0.5)
    end_starvation = begin_starvation(world)
    world.run(6.0)
    end_starvation()
    world.run_until(lambda: world.final_state(JOB) == "completed", 5.0)
    assert len(world.executions(JOB)) == 4


def test_busy_owner_gives_up_a_worker_that_never_answers(world):
    world.submit(JOB, step(count=1, processors=16000), payload="seconds=4")
    world.run(0.5)
    (worker,) = (w for w in world.worker_by_id.values() if w.executions)
    world.dead_workers.add(worker.id)
    begin_starvation(world, (worker.id,))
    world.run_until(lambda: len(world.executions(JOB)) == 2, 20.0)


def test_silent_worker_is_given_up_as_soon_as_before_by_an_owner_in_time(world):
    world.submit(JOB, step(count=1, processors=16000), payload="seconds=4")
    world.run(0.5)
    (worker,) = (w for w in world.worker_by_id.values() if w.executions)
    world.dead_workers.add(worker.id)
    world.run_until(lambda: len(world.executions(JOB)) == 2, 5.0)


def test_busy_owner_waits_for_the_answers_to_its_starts(world):
    reply = world._reply
    attempts = []

    def reply_late(entry, request, result):
        if not isinstance(request.operation, StartTask):
            reply(entry, request, result)
            return
        attempts.append(request.operation.ref)
        if request.timeout_s < LATENESS_S:
            result = CallFailed(Ran.MAYBE, "timed out")
        world.clock.after(LATENESS_S, lambda: reply(entry, request, result))

    world._reply = reply_late
    for number in range(8):
        world.submit(f"{number:016x}", payload="seconds=0.3")
        world.run(1.0)
    world.run(2.0)
    assert len(world.owner().owner._term.record_by_id) == 0
    assert len(attempts) < 2 * 8

"""Commands that workers leave unanswered, carry out late, or do not carry out."""

from __future__ import annotations

import pytest
from tests.support.step_invariants import check_all
from tests.support.steps import StepWorld, step

from lagoonpulley.owner import reports
from lagoonpulley.upstream.tasks import StartTask, SyncWorker


@pytest.fixture
def world():
    made = StepWorld()
    made.run(1.0)
    return made


def max_concurrent_runs(executions):
    """Return the largest number of concurrent runs of one task."""
    max_count = 0
    for execution in executions:
        at = execution.started_at
        beside = [
            other
            for other in executions
            if other.ref.key == execution.ref.key
            and other.started_at <= at < (other.ended_at or at + 1)
        ]
        max_count = max(max_count, len(beside))
    return max_count


def test_start_carried_out_late_never_runs_beside_its_successor(world):
    world.late_workers.update(("w0", "w1"))
    world.add_worker("w3")
    world.submit("a" * 16, step(count=6, processors=8000), payload="seconds=5")
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 20.0)
    assert max_concurrent_runs(world.executions("a" * 16)) == 1


def test_start_without_an_answer_is_soon_placed_elsewhere(world):
    world.late_workers.add("w0")
    world.submit("a" * 16, step(count=6, processors=8000))
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 5.0)


def test_tasks_of_a_dead_worker_start_elsewhere_after_its_lease(world):
    # By then, leases that an earlier owner may have granted have expired.
    world.run(7.0)
    world.submit("a" * 16, step(count=3, processors=16000), payload="seconds=9")
    world.run(1.0)
    world.dead_workers.add("w1")
    world.add_worker("w3")
    world.run_until(lambda: len(world.executions("a" * 16)) == 4, 5.0)
    dead = world.worker_by_id["w1"].executions[0]
    world.worker_by_id["w1"].advance(world.clock.mono)
    assert dead.kind.value == "lapsed"


def test_owner_without_the_store_keeps_what_runs(world):
    world.submit("a" * 16, step(count=3), payload="seconds=8")
    world.run(0.5)
    world.store_up = False
    world.run(5.0)
    world.store_up = True
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 10.0)
    assert len(world.executions("a" * 16)) == 3


def test_nothing_starts_while_the_store_is_away(world):
    world.submit("a" * 16, step(count=2), step(after=(0,)))
    world.run(0.3)
    world.store_up = False
    world.run(4.0)
    assert len(world.executions("a" * 16)) == 2
    world.store_up = True
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 8.0)


def test_draining_worker_gets_no_more_tasks(world):
    world.add_worker("w0", draining=True)
    world.run(1.0)
    world.submit("a" * 16, step(count=4))
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 5.0)
    assert not world.worker_by_id["w0"].executions


def test_worker_that_starts_again_under_its_identifier_loses_its_runs(world):
    world.submit("a" * 16, step(count=3, processors=16000), payload="seconds=4")
    world.run(1.0)
    world.worker_by_id["w0"].restart(world.clock.mono)
    world.add_worker("w0")
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 12.0)
    assert len(world.executions("a" * 16)) == 4


def test_owner_without_the_store_stops_extending_before_a_successor_restarts(world):
    # The owner loses the store permanently and reaches only w0, which its successor
    # cannot reach.
    world.add_worker("w3")
    world.run(7.0)
    world.submit("a" * 16, step(count=3, processors=16000), payload="seconds=40")
    world.run(1.0)
    old = world.owner()
    old.has_store = old.has_peers = False
    old.unreachable_workers.update(("w1", "w2", "w3"))
    for entry in world.entry_by_name.values():
        if entry is not old:
            entry.unreachable_workers.add("w0")
    world.run(30.0)
    executions = world.executions("a" * 16)
    for worker in world.worker_by_id.values():
        worker.advance(world.clock.mono)
    assert max_concurrent_runs(executions) == 1
    assert len(executions) > 3


def test_failed_task_is_tried_again_on_another_worker(world):
    world.failing_workers.add("w0")
    world.submit("a" * 16, payload="seconds=0.2")
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 3.0)
    assert len(world.executions("a" * 16)) == 2


def test_late_start_that_reaches_the_next_incarnation_prevents_another_run():
    world = StepWorld()
    world.run(7.0)
    worker = world.worker_by_id["w0"]
    world.late_workers.add("w0")
    worker.restart(world.clock.mono)
    world.add_worker("w0")
    world.submit("a" * 16, step(count=9, processors=5000), payload="seconds=4")
    spec_by_id = {"a" * 16: world.last_spec}
    world.run(3.5)
    world.late_workers.clear()
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 30.0)
    assert any(execution.ref.run > 1 for execution in world.executions("a" * 16))
    check_all(world, spec_by_id, {})


def test_start_without_an_answer_is_sent_again_before_it_is_given_up():
    world = StepWorld()
    world.run(7.0)
    world.late_start_probability = 0.5
    world.submit("a" * 16, step(count=24, processors=1000), payload="seconds=1")
    world.run(1.0)
    world.late_start_probability = 0.0
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 6.0)
    runs = [execution.ref.run for execution in world.executions("a" * 16)]
    assert len(runs) == 24
    assert runs.count(1) >= 21
    check_all(world, {"a" * 16: world.last_spec}, {})


@pytest.mark.parametrize("seed", range(4))
def test_start_is_not_moved_while_its_worker_answers_half_of_the_starts(seed):
    """A moved task runs twice at once if the worker restarts before the late start."""
    world = StepWorld(seed=seed)
    world.run(7.0)
    world.late_start_probability = 0.5
    for number in range(10):
        shape = step(count=12, processors=500)
        world.submit(f"{number:016x}", shape, payload="seconds=0.1")
        world.run(0.5)
    world.run(1.0)
    executions = [e for w in world.worker_by_id.values() for e in w.executions]
    assert [e.ref.run for e in executions] == [1] * 120


def test_worker_that_closed_the_latest_call_gets_no_starts():
    world = StepWorld(workers=1)
    world.run(7.0)
    worker = world.owner().owner._term.worker_by_id["w0"]
    # The long poll breaks off, and the next call gets no answer.
    world.dead_workers.add("w0")
    world.restart_worker("w0")
    world.run_until(lambda: worker.failures == 1, 2.0)
    assert worker.is_responsive
    world.submit("a" * 16)
    world.run(0.2)
    assert not worker.tracked_by_ref


def test_worker_that_missed_one_call_still_gets_starts():
    """With late commands, half of the calls to workers in good health get no answer."""
    world = StepWorld(workers=1)
    world.run(7.0)
    worker = world.owner().owner._term.worker_by_id["w0"]
    world.dead_workers.add("w0")
    world.run_until(lambda: worker.failures == 1, 2.0)
    world.dead_workers.clear()
    world.submit("a" * 16, payload="seconds=0.1")
    world.run(0.3)
    assert len(world.executions("a" * 16)) == 1


def test_ends_on_a_later_page_are_not_taken_for_lost_runs(monkeypatch):
    monkeypatch.setattr(reports, "MAX_ENDS_PER_REPORT", 3)
    world = StepWorld(workers=1)
    world.worker_by_id["w0"].max_ends_listed = 3
    world.run(7.0)
    world.submit("a" * 16, step(count=10, processors=1000))
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 5.0)
    assert len(world.executions("a" * 16)) == 10


def test_stalled_short_task_is_soon_started_elsewhere():
    world = StepWorld()
    world.run(7.0)
    world.worker_by_id["w0"].is_stalled = True
    world.submit("a" * 16, step(), payload="seconds=0.5")
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 2.2)
    assert len(world.executions("a" * 16)) == 2


def test_owner_that_stepped_down_sends_no_more_starts():
    world = StepWorld(entries=1)
    world.run(7.0)
    world.late_workers.update(world.worker_by_id)
    call_worker = world._call_worker
    sent_tokens = []

    def call(entry, request):
        if isinstance(request.operation, StartTask):
            sent_tokens.append(request.operation.token)
        call_worker(entry, request)

    world._call_worker = call
    world.submit("a" * 16, step())
    world.run_until(lambda: sent_tokens, 2.0)
    owner = world.owner().owner
    token = owner._term.token
    owner.step_down("test")
    world.run(0.01)
    count = sent_tokens.count(token)
    world.run(3.0)
    assert sent_tokens.count(token) == count


def test_list_that_is_overtaken_by_a_later_one_brings_no_run_back(world):
    held = []
    reply = world._reply

    def hold_first_list(entry, request, result):
        command = request.operation
        if isinstance(command, SyncWorker) and not command.wait_s and not held:
            held.append((entry, request, result))
            return
        reply(entry, request, result)

    world.submit("a" * 16, payload="seconds=9")
    world.run(0.5)
    (worker,) = (w for w in world.worker_by_id.values() if w.executions)
    world._reply = hold_first_list
    # The owner asks at once whether the run is gone, and is told that it is stopping.
    world.cancel("a" * 16)
    world.run(0.35)
    known = world.owner().owner._term.worker_by_id[worker.id]
    assert held[0][2].running
    assert not known.tracked_by_ref
    reply(*held[0])
    world._deliver_all()
    assert not known.tracked_by_ref

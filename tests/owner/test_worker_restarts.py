"""Commands and answers that outlive the incarnation of a worker they belong to."""

from __future__ import annotations

from operator import attrgetter

import pytest
from tests.support.logged_events import capture_events
from tests.support.step_invariants import check_all
from tests.support.steps import StepWorld, step

from lagoonpulley.upstream.tasks import StartTask, SyncWorker

FIRST = "a" * 16
SECOND = "b" * 16


@pytest.fixture
def world():
    made = StepWorld(workers=1)
    # By then, leases that an earlier owner may have granted have expired.
    made.run(8.0)
    return made


def record_commands(worker):
    """Record the commands that a worker executes, each with its incarnation."""
    executed = []
    apply = worker.apply

    def apply_and_record(command, now):
        executed.append((worker.born, command))
        return apply(command, now)

    worker.apply = apply_and_record
    return executed


def restart(world, worker_id="w0"):
    """Restart a worker under its identifier; the directory lists it at once."""
    world.worker_by_id[worker_id].restart(world.clock.mono)
    world.add_worker(worker_id)


def run_beside_late_command(world, command):
    """Run a job on the next incarnation, which executes a command to the previous one.

    It does so after the job's only run has ended and before the owner hears of that.
    """
    restart(world)
    world.run(1.0)
    world.submit(SECOND, step(), payload="seconds=2")
    world.run(0.3)
    world.dead_workers.add("w0")
    world.run(2.0)
    world.worker_by_id["w0"].apply(command, world.clock.mono)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(SECOND) == "completed", 3.0)


@pytest.mark.parametrize("seed", range(4))
def test_late_start_on_the_next_incarnation_never_runs_beside_its_successor(seed):
    world = StepWorld(seed=seed)
    world.run(8.0)
    world.late_start_probability = 0.5
    world.submit(FIRST, step(count=24, processors=1000), payload="seconds=4")
    world.run(1.0)
    world.late_start_probability = 0.0
    for worker_id in ("w0", "w1"):
        restart(world, worker_id)
    world.run_until(lambda: world.final_state(FIRST) == "completed", 30.0)
    check_all(world, {FIRST: world.last_spec}, {})


def test_late_acknowledgement_does_not_reach_the_next_incarnation(world):
    worker = world.worker_by_id["w0"]
    executed = record_commands(worker)
    world.submit(FIRST, step(count=3), payload="seconds=0.3")
    world.run(1.5)
    acknowledgement = max(
        (command for _, command in executed if isinstance(command, SyncWorker)),
        key=attrgetter("acknowledged"),
    )
    assert acknowledgement.acknowledged == 3
    run_beside_late_command(world, acknowledgement)
    assert len(world.executions(SECOND)) == 1


def test_first_call_after_a_silent_restart_acknowledges_nothing(world):
    worker = world.worker_by_id["w0"]
    executed = record_commands(worker)
    world.submit(FIRST, step(count=3), payload="seconds=0.3")
    world.run(1.5)
    world.dead_workers.add("w0")
    world.run(2.0)
    # The directory still lists the previous incarnation.
    worker.restart(world.clock.mono)
    world.dead_workers.clear()
    world.run(1.0)
    to_new = [command for born, command in executed if born == worker.born]
    assert isinstance(to_new[0], SyncWorker)
    assert to_new[0].acknowledged == 0


def test_late_report_of_an_earlier_incarnation_ends_no_run(world):
    held = []
    reply = world._reply

    def hold_reply(entry, request, result):
        operation = request.operation
        if isinstance(operation, SyncWorker) and not operation.wait_s and not held:
            held.append((entry, request, result))
            return
        reply(entry, request, result)

    world.submit(FIRST, step(), payload="seconds=9")
    world.run(1.0)
    world._reply = hold_reply
    # The owner stops the run and asks at once whether it is gone.
    world.cancel(FIRST)
    world.run(0.5)
    assert held
    restart(world)
    world.run(1.0)
    world.submit(SECOND, step(), payload="seconds=2")
    world.run(0.5)
    reply(*held[0])
    world.run_until(lambda: world.final_state(SECOND) == "completed", 6.0)
    assert len(world.executions(SECOND)) == 1


def test_restart_before_the_first_commit_of_a_term_has_a_later_token():
    """A late acknowledgement passes the fence of the next incarnation."""
    world = StepWorld(workers=1)
    world.run(8.0)
    worker = world.worker_by_id["w0"]
    executed = record_commands(worker)
    world.submit(FIRST, step(count=3), payload="seconds=0.3")
    world.run(0.2)
    # The first owner records the ends, but does not acknowledge them.
    release = world.hold_commits()
    world.run_until(lambda: not worker._running_by_ref, 1.0)
    world.run(0.2)
    first = world.owner()
    first.unreachable_workers.add("w0")
    release()
    world.run(0.1)
    world.kill(first)

    def acknowledgements():
        return [c for _, c in executed if getattr(c, "acknowledged", 0) == 3]

    world.run_until(acknowledgements, 6.0)
    acknowledgement = acknowledgements()[0]
    run_beside_late_command(world, acknowledgement)
    assert len(world.executions(SECOND)) == 1


def test_restart_while_the_store_is_away_is_not_fenced_by_an_earlier_token():
    world = StepWorld(workers=1)
    world.run(8.0)
    executed = record_commands(world.worker_by_id["w0"])
    worker = world.owner().owner._term.worker_by_id["w0"]
    world.store_up = False
    for _ in range(2):
        earlier_token = max([worker.token, *(c.token for _, c in executed)])
        # The worker itself reports its restart.
        world.worker_by_id["w0"].restart(world.clock.mono)
        world.run(1.5)
        assert not worker.fenced or worker.token > earlier_token
    world.store_up = True
    world.run_until(lambda: worker.fenced, 2.0)
    assert worker.token > earlier_token
    assert isinstance(executed[-1][1], SyncWorker)


def restart_behind_a_cut_before_a_late_start(world):
    """Return the id of the worker that has the start, and restarts out of reach."""
    world.late_workers.update(("w0", "w1"))
    world.submit(FIRST, step(processors=16000), payload="seconds=9")
    world.run(0.05)
    (tracked,) = (
        worker
        for worker in world.owner().owner._term.worker_by_id.values()
        if worker.tracked_by_ref
    )
    world.late_workers.clear()
    world.dead_workers.add(tracked.info.id)
    world.restart_worker(tracked.info.id)
    return tracked.info.id


@pytest.mark.parametrize("is_listed", [False, True])
def test_late_start_holds_a_lease_that_the_owner_does_not_know(is_listed):
    """It runs behind a cut, beside its successor.

    ``not_after_ms`` is of the earlier incarnation's clock, so on the next one it is
    worth the longest lease, counted from the late execution.
    """
    world = StepWorld(workers=2)
    world.run(8.0)
    late = restart_behind_a_cut_before_a_late_start(world)
    if is_listed:
        world.add_worker(late)
    world.run(20.0)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(FIRST) == "completed", 20.0)
    check_all(world, {FIRST: world.last_spec}, {})


def test_late_start_of_an_earlier_owner_holds_a_lease_on_the_next_incarnation():
    world = StepWorld(workers=2)
    world.run(8.0)
    late = restart_behind_a_cut_before_a_late_start(world)
    world.kill(world.owner())
    world.add_worker(late)
    world.run(20.0)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(FIRST) == "completed", 20.0)
    check_all(world, {FIRST: world.last_spec}, {})


def test_late_start_behind_a_cut_runs_no_task_that_is_done():
    """Its stop was confirmed by the incarnation that it was sent to."""
    world = StepWorld(workers=2)
    world.run(8.0)
    world.late_workers.update(("w0", "w1"))
    world.submit(FIRST, step(processors=16000), payload="seconds=0.3")
    world.run(0.05)
    (late,) = (
        worker.info.id
        for worker in world.owner().owner._term.worker_by_id.values()
        if worker.tracked_by_ref
    )
    world.late_workers.clear()
    world.run_until(lambda: world.final_state(FIRST) == "completed", 2.0)
    world.run(0.5)
    world.dead_workers.add(late)
    world.restart_worker(late)
    world.run(3.0)
    world.dead_workers.clear()
    world.run(1.0)
    check_all(world, {FIRST: world.last_spec}, {})


def test_task_waits_while_a_late_run_of_it_is_listed():
    """Its next run has room beside the late one, which is being stopped."""
    world = StepWorld(workers=1)
    world.run(8.0)
    world.late_workers.add("w0")
    world.late_s = 9.0
    world.submit(FIRST, step(processors=4000), payload="seconds=4")
    world.run(0.05)
    world.late_workers.clear()
    world.dead_workers.add("w0")
    world.run(1.0)
    world.restart_worker("w0")
    world.add_worker("w0")
    world.run_until(lambda: world.executions(FIRST), 9.0)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(FIRST) == "completed", 12.0)
    check_all(world, {FIRST: world.last_spec}, {})


def test_late_acknowledgement_before_the_first_call_of_the_owner():
    """A late start ends there as done; a late acknowledgement forgets that."""
    world = StepWorld(workers=1)
    world.run(8.0)
    worker = world.worker_by_id["w0"]
    executed = []
    apply = worker.apply

    def apply_and_record(command, now):
        executed.append(command)
        return apply(command, now)

    worker.apply = apply_and_record
    world.submit(FIRST, step(count=3), payload="seconds=0.3")
    world.run(1.5)
    # All three ends were acknowledged in an answered call long before this one.
    world.run(2.0)
    assert not worker.has_ends()
    calls = [c for c in executed if isinstance(c, SyncWorker) and c.wait_s]
    acknowledgement = max(calls[-2:], key=lambda call: call.acknowledged)
    first_spec = world.last_spec
    world.late_workers.add("w0")
    world.submit(SECOND, step(), payload="seconds=0.5")
    world.run(0.05)
    world.late_workers.clear()
    world.dead_workers.add("w0")
    worker.restart(world.clock.mono)
    # The start is executed after three seconds, and the last call soon afterwards.
    world.run_until(lambda: len(world.executions(SECOND)) == 1, 4.0)
    assert isinstance(executed[-1], StartTask)
    world.run(0.8)
    worker.apply(acknowledgement, world.clock.mono)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(SECOND) == "completed", 9.0)
    check_all(world, {FIRST: first_spec, SECOND: world.last_spec}, {})
    assert len(world.executions(SECOND)) == 1


def test_run_is_started_elsewhere_though_its_worker_keeps_restarting():
    """Each restart that the directory tells moves the end of all leases by 6.8 s."""
    world = StepWorld(workers=2)
    world.run(8.0)
    world.submit(FIRST, step(processors=16000), payload="seconds=5")
    world.run(1.0)
    (worker,) = (w for w in world.worker_by_id.values() if w.executions)
    world.dead_workers.add(worker.id)
    for _ in range(6):
        worker.restart(world.clock.mono)
        world.add_worker(worker.id)
        world.run(5.0)
    assert len(world.executions(FIRST)) == 2


def test_restart_with_the_wall_clock_back_is_one_restart(world):
    """The directory lists the earlier incarnation for a while, with a later birth."""
    restart(world)
    world.run(1.0)
    earlier_record = world.record_of("w0")
    worker = world.restart_worker("w0")
    worker.born -= 2000
    with capture_events() as events:
        for _ in range(4):
            world.run(0.3)
            world.put(*earlier_record)
        world.add_worker("w0")
        world.run(1.0)
    assert len(events.named("worker_restarted")) == 1
    world.submit(FIRST, step(), payload="seconds=0.3")
    world.run_until(lambda: world.final_state(FIRST) == "completed", 2.0)

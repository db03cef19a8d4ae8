"""Late commands that extend the leases of workers that nobody reaches."""

from __future__ import annotations

import pytest
from tests.support.late_grants import cut_off_workers_with_late_commands, is_completed
from tests.support.lateness import Lateness
from tests.support.step_invariants import check_all
from tests.support.step_workers import CAPACITY
from tests.support.steps import StepWorld, step

from lagoonpulley.upstream.tasks import Refusal, StartTask, SyncWorker

JOB = "a" * 16
WHOLE = CAPACITY[0]
# How long a new owner waits at most for a run that it does not reach and whose start
# may still be on its way, with the time until it is elected and starts the next.
TAKEOVER_S = 22.0
# The same of a run that has started for certain.
SETTLED_TAKEOVER_S = 15.0


def play_until_all_jobs_are_done(seed, kills_owner):
    world, specs = cut_off_workers_with_late_commands(seed, kills_owner)
    world.run_until(lambda: is_completed(world, specs), 30.0)
    check_all(world, specs, {})


@pytest.mark.parametrize("seed", [7, 8, 9, 13, 32, 36])
def test_late_grants_behind_a_cut_keep_no_run_alive_beside_its_successor(seed):
    play_until_all_jobs_are_done(seed, kills_owner=False)


@pytest.mark.parametrize("seed", [8, 9, 10, 13, 28, 31])
def test_late_grants_of_a_killed_owner_keep_no_run_alive_beside_its_successor(seed):
    play_until_all_jobs_are_done(seed, kills_owner=True)


@pytest.fixture
def world():
    made = StepWorld(workers=2)
    made.late_times_count_from_arrival = True
    # By then, leases that an earlier owner may have granted have expired.
    made.run(8.0)
    return made


def record_commands(worker):
    executed = []
    apply = worker.apply

    def apply_and_record(command, now):
        executed.append((now, command))
        return apply(command, now)

    worker.apply = apply_and_record
    return executed


def start_job(world, seconds=9):
    """Start a job that needs a whole worker; return that worker."""
    world.submit(JOB, step(processors=WHOLE), payload=f"seconds={seconds}")
    world.run(0.5)
    (worker,) = (w for w in world.worker_by_id.values() if w.executions)
    return worker


def test_sync_that_waits_for_an_end_extends_no_lease(world):
    executed = record_commands(world.worker_by_id["w0"])
    world.run(5.0)
    syncs = [c for _, c in executed if isinstance(c, SyncWorker)]
    assert {c.lease_until_ms is None for c in syncs if c.wait_s} == {True}
    assert sum(c.lease_until_ms is not None for c in syncs) >= 4


def test_no_lease_is_granted_while_an_earlier_grant_is_unanswered(world):
    worker = start_job(world)
    sent = []
    delay_of = world._delay_of

    def record_and_delay(worker_id, command):
        if worker_id == worker.id and isinstance(command, SyncWorker):
            sent.append(command)
        return delay_of(worker_id, command)

    world._delay_of = record_and_delay
    world.lateness_by_worker[worker.id] = Lateness(kinds=(SyncWorker,), min_s=9.0)
    world.run(5.0)
    assert sum(c.lease_until_ms is not None for c in sent) <= 1
    assert len(sent) > 5


def test_answer_under_a_later_token_rules_out_a_late_grant(world):
    worker = start_job(world)
    known = world.owner().owner._term.worker_by_id[worker.id]
    token = known.token
    is_late = Lateness(kinds=(SyncWorker,), min_s=4.0, max_s=4.0)
    world.lateness_by_worker[worker.id] = is_late
    world.run_until(lambda: known.leases.unanswered, 4.0)
    world.lateness_by_worker.clear()
    world.run(1.5)
    assert not known.leases.unanswered
    assert known.token > token
    world.run(4.0)
    late = [each for each in world.late_commands if each.command.lease_until_ms]
    assert [each.result.reason for each in late] == [Refusal.FENCED] * len(late)
    assert late


def test_start_that_a_later_token_of_its_owner_overtakes_is_sent_again(world):
    worker = start_job(world, seconds=0.3)
    known = world.owner().owner._term.worker_by_id[worker.id]
    world.run(2.0)
    call = world._call_worker
    held = []

    def hold_first_start(entry, request):
        if isinstance(request.operation, StartTask) and not held:
            held.append(request)
            return
        call(entry, request)

    world._call_worker = hold_first_start
    world.submit("b" * 16, step(processors=WHOLE), payload="seconds=0.3")
    world.run(0.01)
    known = world.owner().owner._term.worker_by_id[held[0].operation.to.worker_id]
    known.renew_token(known.token + 100)
    world.run(1.0)
    call(world.owner(), held[0])
    world.run_until(lambda: world.final_state("b" * 16) == "completed", 2.0)
    assert [e.ref.run for e in world.executions("b" * 16)] == [1]


def test_run_whose_start_may_be_on_its_way_is_held_up_after_a_takeover(world):
    world.lateness_by_worker = dict.fromkeys(
        ("w0", "w1"), Lateness(kinds=(StartTask,), min_s=12.0)
    )
    world.submit(JOB, step(processors=WHOLE), payload="seconds=9")
    world.run(0.05)
    term = world.owner().owner._term
    (late,) = (w for w in term.worker_by_id.values() if w.tracked_by_ref)
    world.lateness_by_worker.clear()
    world.dead_workers.add(late.info.id)
    world.kill(world.owner())
    world.run_until(lambda: len(world.executions(JOB)) == 2, TAKEOVER_S)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(JOB) == "completed", 15.0)
    check_all(world, {JOB: world.last_spec}, {})


def test_run_that_has_started_is_not_held_up_by_its_start_after_a_takeover(world):
    worker = start_job(world)
    world.dead_workers.add(worker.id)
    # The owner notices that the worker is silent, and stores what it knows.
    world.run(2.0)
    world.kill(world.owner())
    world.run_until(lambda: len(world.executions(JOB)) == 2, SETTLED_TAKEOVER_S)
    check_all(world, {JOB: world.last_spec}, {})


def test_run_of_a_worker_whose_address_has_a_later_one_is_started_at_once(world):
    worker = start_job(world)
    world.crash_worker(worker.id)
    known = world.owner().owner._term.worker_by_id[worker.id]
    replacement = f"{worker.id}+"
    world.run_until(lambda: replacement in world.worker_by_id, 4.0)
    # However long the leases of the one before might last.
    known.leases.certain_until = world.clock.mono + 60.0
    world.run_until(lambda: len(world.executions(JOB)) == 2, 1.5)


@pytest.mark.parametrize(("restarts", "valid_s"), [(False, 2.0), (True, 60.0)])
def test_late_start_is_refused_without_a_valid_permit(restarts, valid_s):
    """This tests the simulated worker: a permit has a time and an incarnation."""
    world = StepWorld(workers=1)
    world.permit_valid_s = valid_s
    queue = {"max_attempts": 2, "target_s": 1.0, "advice": [0.5, 0.01, valid_s]}
    world.set_policy(2, queues={"reviews": queue})
    world.run(8.0)
    world.lateness_by_worker["w0"] = Lateness(kinds=(StartTask,), min_s=3.0, max_s=3.0)
    world.submit("a" * 16)
    world.run(1.0)
    world.dead_workers.add("w0")
    if restarts:
        world.restart_worker("w0")
    world.run(3.0)
    assert world.late_commands
    refusals = {getattr(late.result, "reason", None) for late in world.late_commands}
    assert refusals == {Refusal.PERMIT}
    assert not world.executions("a" * 16)

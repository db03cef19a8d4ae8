"""What the review of issue 41 found: runs and incarnations that the owner misjudges."""

from __future__ import annotations

import json

import pytest
from tests.support.late_grants import complete_beside_a_late_grant
from tests.support.late_starts import start_late_beside_a_busy_worker
from tests.support.lateness import Lateness
from tests.support.step_invariants import (
    check_all,
    check_capacity,
    check_limits,
    check_one_run_at_a_time,
)
from tests.support.step_workers import CAPACITY
from tests.support.steps import StepWorld, step

from lagoonpulley.model.resources import Resources
from lagoonpulley.standin.task_worker import TaskWorkerState
from lagoonpulley.upstream.tasks import (
    StartTask,
    StopTask,
    TaskRef,
    WorkerAddress,
)
from lagoonpulley.workload.documents import JobKeys
from lagoonpulley.workload.spec import TaskKey

FIRST = "a" * 16
SECOND = "b" * 16
THIRD = "c" * 16
WHOLE = CAPACITY[0]
SMALLER = Resources(4000, 65536, 0)
LATE_S = 3.0


def world_of(workers):
    made = StepWorld(workers=workers)
    # By then, leases that an earlier owner may have granted have expired.
    made.run(8.0)
    return made


def execute_start(world, worker_id, job_id, index=0, payload="seconds=9"):
    """Let a worker execute a start of a first run that the owner has done with."""
    ref = TaskRef(job_id, TaskKey(0, 0, index), 1)
    to = WorkerAddress(worker_id, worker_id)
    command = StartTask(to, ref, payload, not_after_ms=6000, token=0)
    world.worker_by_id[worker_id].apply(command, world.clock.mono)


def change_record(world, worker_id, **fields):
    """Write a worker's record to the directory with other fields."""
    key, value = world.record_of(worker_id)
    world.put(key, json.dumps(json.loads(value) | fields))


def give_up_an_unanswered_start(world):
    """Return the worker whose stop of the run was confirmed; its start is on its way.

    Then the worker restarts behind a cut.
    """
    world.late_workers.add("w0")
    world.submit(FIRST, step(processors=WHOLE), payload="seconds=9")
    term = world.owner().owner._term
    task = term.record_by_id[FIRST].task_by_key[TaskKey(0, 0, 0)]
    worker_id = task.run.worker_id
    world.run_until(lambda: task.last_run == 2, 2.0)
    world.late_workers.clear()
    assert not term.worker_by_id[worker_id].tracked_by_ref
    world.dead_workers.add(worker_id)
    world.restart_worker(worker_id)
    return worker_id


def test_start_of_a_run_that_was_given_up_runs_beside_its_successor_after_a_restart():
    world = world_of(workers=2)
    worker_id = give_up_an_unanswered_start(world)
    world.add_worker(worker_id)
    world.run(LATE_S)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(FIRST) == "completed", 20.0)
    check_all(world, {FIRST: world.last_spec}, {})


def test_task_is_started_elsewhere_while_its_worker_lists_an_earlier_run():
    world = world_of(workers=2)
    specs, idle = start_late_beside_a_busy_worker(world, FIRST, SECOND)
    world.add_worker(idle.id)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(FIRST) == "completed", 25.0)
    check_all(world, specs, {})


def test_worker_back_at_another_address_with_its_wall_clock_back_gets_no_tasks():
    world = world_of(workers=1)
    world.restart_worker("w0")
    world.add_worker("w0")
    world.run(1.0)
    worker = world.restart_worker("w0")
    worker.born -= 2000
    # Nothing answers at the address that it had.
    world.worker_by_address["w0"] = TaskWorkerState("silent", 6.0, world.clock.mono)
    world.dead_workers.add("silent")
    world.address_by_worker_id["w0"] = "elsewhere"
    world.add_worker("w0")
    world.run(1.0)
    world.submit(FIRST, step(), payload="seconds=0.3")
    world.run_until(lambda: world.final_state(FIRST) == "completed", 15.0)


def test_stop_fences_the_next_incarnation_under_a_token_of_an_earlier_one():
    world = world_of(workers=1)
    executed = []
    worker = world.worker_by_id["w0"]
    apply = worker.apply

    def apply_and_record(command, now):
        executed.append(command)
        return apply(command, now)

    worker.apply = apply_and_record
    world.submit(FIRST, step(), payload="seconds=0.3")
    world.run_until(lambda: world.final_state(FIRST) == "completed", 2.0)
    world.run(1.0)
    known = world.owner().owner._term.worker_by_id["w0"]
    world.store_up = False
    worker.stop_s = 9.0
    worker.restart(world.clock.mono)
    execute_start(world, "w0", FIRST)
    world.run(1.0)
    assert [run.stop_requested for run in known.tracked_by_ref.values()] == [True]
    earlier_token = max(known.token, *(command.token for command in executed))
    incarnation = known.incarnation
    worker.restart(world.clock.mono)
    world.run_until(lambda: known.incarnation > incarnation, 2.0)
    executed.clear()
    world.run(1.0)
    assert not [c for c in executed if c.token <= earlier_token]


def test_runs_of_a_job_that_is_gone_do_not_count_for_their_team():
    """The rule allows one task above the limit; these are two."""
    world = world_of(workers=2)
    limit = [WHOLE, 0, 0]
    world.set_policy(2, teams={"north": limit})
    world.run(2.0)
    half = step(count=2, processors=WHOLE // 2)
    world.submit(FIRST, half, payload="seconds=0.3")
    specs = {FIRST: world.last_spec}
    world.run_until(lambda: world.final_state(FIRST) == "completed", 3.0)
    world.run(1.0)
    worker = world.restart_worker("w0")
    worker.stop_s = 3.0
    for index in range(2):
        execute_start(world, "w0", FIRST, index)
    world.add_worker("w0")
    world.run(1.0)
    world.submit(SECOND, half, payload="seconds=0.5")
    specs[SECOND] = world.last_spec
    world.run_until(lambda: world.final_state(SECOND) == "completed", 9.0)
    executions = world.executions(FIRST) + world.executions(SECOND)
    check_limits(executions, specs, {"north": (WHOLE + WHOLE // 2, 0, 0)})


def test_runs_of_a_job_that_an_earlier_owner_ended_count_for_their_team():
    """Its final state tells the team, and not what its tasks need."""
    world = world_of(workers=2)
    limit = [WHOLE, 0, 0]
    world.set_policy(2, teams={"north": limit, "south": limit})
    world.run(2.0)
    half = step(count=2, processors=WHOLE // 2)
    world.submit(FIRST, half, payload="seconds=0.3")
    specs = {FIRST: world.last_spec}
    world.run_until(lambda: world.final_state(FIRST) == "completed", 3.0)
    world.run(1.0)
    world.kill(world.owner())
    world.run(3.0)
    worker = world.restart_worker("w0")
    worker.stop_s = 3.0
    for index in range(2):
        execute_start(world, "w0", FIRST, index)
    world.add_worker("w0")
    world.run(1.0)
    for job_id, team in ((SECOND, "north"), (THIRD, "south")):
        world.submit(job_id, half, payload="seconds=0.5", team=team)
        specs[job_id] = world.last_spec
    # The other team's limit is its own.
    world.run_until(lambda: world.final_state(THIRD) == "completed", 1.5)
    assert not world.executions(SECOND)
    world.run_until(lambda: world.final_state(SECOND) == "completed", 9.0)
    executions = world.executions(FIRST) + world.executions(SECOND)
    check_limits(executions, specs, {"north": (WHOLE + WHOLE // 2, 0, 0)})


def test_worker_with_a_run_of_a_job_that_is_gone_is_filled_beside_it():
    """This owner knows what the run needs, and that the rest is free."""
    world = world_of(workers=1)
    world.submit(FIRST, step(processors=WHOLE // 2), payload="seconds=0.3")
    specs = {FIRST: world.last_spec}
    world.run_until(lambda: world.final_state(FIRST) == "completed", 2.0)
    world.run(1.0)
    worker = world.restart_worker("w0")
    worker.stop_s = 4.0
    execute_start(world, "w0", FIRST)
    world.add_worker("w0")
    world.run(1.0)
    half = step(count=2, processors=WHOLE // 2)
    world.submit(SECOND, half, payload="seconds=0.3")
    specs[SECOND] = world.last_spec
    world.run_until(lambda: world.final_state(SECOND) == "completed", 2.0)
    late = world.executions(FIRST)[-1]
    assert late.ended_at is None
    check_capacity(world, specs)


def test_placement_is_sent_to_a_next_incarnation_without_the_required_label():
    world = world_of(workers=1)
    release = world.hold_commits()
    world.submit(FIRST, step(required_label="kind"), payload="seconds=0.3")
    world.run(0.3)
    world.restart_worker("w0")
    world.add_worker("w0")
    change_record(world, "w0", labels=["other", "rack"])
    world.run(1.5)
    release()
    world.run(2.0)
    assert not world.executions(FIRST)


def test_next_incarnation_is_filled_to_the_earlier_capacity_if_records_lack_born():
    world = world_of(workers=1)
    change_record(world, "w0", born=0)
    world.run(1.0)
    world.submit(FIRST, step(processors=WHOLE), payload="seconds=1")
    specs = {FIRST: world.last_spec}
    world.restart_worker("w0", SMALLER)
    world.run(1.5)
    world.add_worker("w0", capacity=SMALLER)
    change_record(world, "w0", born=0)
    world.run(2.0)
    check_capacity(world, specs)


def world_with_late_times(workers):
    """The times of late commands count from when these are carried out."""
    made = StepWorld(workers=workers)
    made.late_times_count_from_arrival = True
    made.run(8.0)
    return made


def leave_unanswered(world, worker_id, kinds, late_s):
    lateness = Lateness(kinds=kinds, min_s=late_s, max_s=late_s)
    world.lateness_by_worker[worker_id] = lateness


def close_a_start_by_the_clock(world):
    """Let the time limit of a start pass whose stop no worker has confirmed."""
    leave_unanswered(world, "w0", (StartTask, StopTask), LATE_S)
    world.submit(FIRST, step(processors=WHOLE), payload="seconds=9")
    world.run(2.9)
    world.lateness_by_worker.clear()
    return {FIRST: world.last_spec}


def test_start_that_only_the_clock_has_closed_runs_beside_its_successor():
    world = world_with_late_times(workers=2)
    close_a_start_by_the_clock(world)
    world.run_until(lambda: world.final_state(FIRST) == "completed", 25.0)
    check_one_run_at_a_time(world.executions(FIRST))


def test_room_of_a_start_that_only_the_clock_has_closed_is_given_away():
    world = world_with_late_times(workers=2)
    specs = close_a_start_by_the_clock(world)
    world.submit(SECOND, step(processors=WHOLE), payload="seconds=3")
    specs[SECOND] = world.last_spec
    world.run_until(lambda: world.final_state(SECOND) == "completed", 25.0)
    check_capacity(world, specs)


def test_frozen_owner_sends_a_start_long_after_its_session_has_expired():
    """Its successor does not reach the worker, and has waited for the longest lease."""
    world = world_of(workers=2)
    first = world.owner()
    release = world.hold_commits()
    world.submit(FIRST, step(processors=WHOLE), payload="seconds=9")
    world.run(0.1)
    task = first.owner._term.record_by_id[FIRST].task_by_key[TaskKey(0, 0, 0)]
    for entry in world.entry_by_name.values():
        if entry is not first:
            entry.unreachable_workers.add(task.run.worker_id)
    release()
    while JobKeys(FIRST).progress not in world.store.key_value_by_key:
        world.run(0.0005)
    first.alive = False
    assert not world.executions(FIRST)
    # Its successor does not know that the start was not sent.
    world.run_until(lambda: world.executions(FIRST), 24.0)
    first.alive = True
    world._tick(first)
    world.run_until(lambda: world.final_state(FIRST) == "completed", 25.0)
    check_all(world, {FIRST: world.last_spec}, {})


def test_late_grant_keeps_a_run_alive_beside_its_successor():
    complete_beside_a_late_grant(within_s=25.0)


def test_sound_job_fails_for_crashes_long_after_late_starts_of_its_earlier_runs():
    """Its current run is on a third worker, which does not crash."""
    world = world_of(workers=3)
    world.late_workers.update(("w0", "w1"))
    world.submit(FIRST, step(processors=WHOLE), payload="seconds=20")
    term = world.owner().owner._term
    task = term.record_by_id[FIRST].task_by_key[TaskKey(0, 0, 0)]
    world.run_until(lambda: task.last_run == 3, 3.0)
    world.late_workers.clear()
    assert task.run.worker_id == "w2"
    for worker_id in ("w0", "w1"):
        world.worker_by_id[worker_id].stop_s = 2.0
        world.dead_workers.add(worker_id)
        world.restart_worker(worker_id)
        world.add_worker(worker_id)
    world.run_until(lambda: len(world.executions(FIRST)) == 3, 4.0)
    # No crash so long after a start can be due to it.
    world.run(1.5)
    for worker_id in ("w0", "w1"):
        world.dead_workers.discard(worker_id)
        known = term.worker_by_id[worker_id]
        world.run_until(lambda known=known: known.fenced, 2.0)
        world.run(0.1)
        world.restart_worker(worker_id)
        world.add_worker(worker_id)
        world.run(1.0)
    assert world.final_state(FIRST) != "failed"


@pytest.mark.parametrize("owner_changes", [False, True])
@pytest.mark.parametrize("restarts", [False, True])
def test_worker_with_a_run_of_a_job_that_is_gone_accepts_tasks_after_a_cut(
    restarts, owner_changes
):
    """The size of the run is not known if an earlier owner ended its job."""
    world = world_of(workers=1)
    world.submit(FIRST, step(), payload="seconds=0.3")
    world.run_until(lambda: world.final_state(FIRST) == "completed", 2.0)
    world.run(1.0)
    if owner_changes:
        world.kill(world.owner())
        world.run(9.0)
    worker = world.restart_worker("w0")
    worker.stop_s = 60.0
    execute_start(world, "w0", FIRST, payload="seconds=60")
    world.add_worker("w0")
    world.run(1.0)
    known = world.owner().owner._term.worker_by_id["w0"]
    assert known.tracked_by_ref
    assert known.has_run_of_unknown_size is owner_changes
    world.dead_workers.add("w0")
    world.run(9.0)
    if restarts:
        world.restart_worker("w0")
        world.add_worker("w0")
    world.dead_workers.clear()
    world.submit(SECOND, step(processors=WHOLE), payload="seconds=0.3")
    world.run_until(lambda: world.final_state(SECOND) == "completed", 3.0)

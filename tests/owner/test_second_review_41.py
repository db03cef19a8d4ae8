"""What the second review of issue 41 found: late runs, and trust in lost workers."""

from __future__ import annotations

import pytest
from tests.support.late_starts import start_late_beside_a_busy_worker
from tests.support.step_invariants import check_all
from tests.support.step_workers import CAPACITY
from tests.support.steps import StepWorld, step

from lagoonpulley.upstream.tasks import SyncWorker
from lagoonpulley.workload.documents import ProgressDocument
from lagoonpulley.workload.record import EndKind, JobRecord
from lagoonpulley.workload.spec import JobSpec, TaskKey

FIRST = "a" * 16
SECOND = "b" * 16
WHOLE = CAPACITY[0]
ONLY = TaskKey(0, 0, 0)
# A task without a run breaks the rule LOST: 4 s of calm, then 3 s.
LOST_AFTER_S = 7.0


def world_of(workers, kind=StepWorld):
    made = kind(workers=workers)
    # By then, leases that an earlier owner may have granted have expired.
    made.run(8.0)
    return made


def record_of(*steps):
    return JobRecord.from_spec(JobSpec(FIRST, "reviews", "north", "", steps, 0.0))


def restored(record):
    """Return the record as the next owner restores it."""
    document = ProgressDocument.from_record(record).model_dump_json()
    copy = JobRecord.from_spec(record.spec)
    ProgressDocument.model_validate_json(document).apply_to(copy)
    return copy


def list_an_earlier_run(record, keys):
    """Give up run 1 and let run 2 end as failed; then run 1 is listed."""
    for key in keys:
        record.begin_run(key, 1, "w0", 5)
    for key in keys:
        record.give_up_run(key)
    for key in keys:
        record.begin_run(key, 2, "w1", 5)
    record.end_run(keys[0], EndKind.FAILED, "")
    for key in keys[1:]:
        record.end_run(key, EndKind.GANG_MEMBER_ENDED, "")
    for key in keys:
        record.hold_back(key, "w0", 1)


class BusyWorld(StepWorld):
    """The owner's process reads what comes of syncs with one worker too late."""

    busy_with = ""
    lateness_s = 0.0
    sent_at_by_request: dict[tuple[str, str], float]

    def _call_worker(self, entry, request):
        self.sent_at_by_request = getattr(self, "sent_at_by_request", {})
        sent = (entry.name, request.request_id)
        self.sent_at_by_request[sent] = self.clock.mono
        super()._call_worker(entry, request)

    def _reply(self, entry, request, result):
        command = request.operation
        is_sync = isinstance(command, SyncWorker)
        if not is_sync or command.to.worker_id != self.busy_with:
            super()._reply(entry, request, result)
            return
        sent_at = self.sent_at_by_request[entry.name, request.request_id]
        read_at = sent_at + request.timeout_s + self.lateness_s
        reply = super()._reply
        self.clock.at(read_at, lambda: reply(entry, request, result))


def run_whole_worker(world, **more):
    """Start a task that fills a worker; return the worker."""
    world.submit(FIRST, step(processors=WHOLE, **more), payload="seconds=30")
    world.run(1.0)
    (worker,) = (w for w in world.worker_by_id.values() if w.executions)
    return worker


@pytest.mark.parametrize("lateness_s", [0.3, 0.7])
def test_task_of_a_silent_worker_stays_without_a_run_while_its_owner_is_busy(
    lateness_s,
):
    world = world_of(workers=2, kind=BusyWorld)
    worker = run_whole_worker(world)
    world.dead_workers.add(worker.id)
    # The poll that is in flight is answered still.
    world.run(0.7)
    world.busy_with, world.lateness_s = worker.id, lateness_s
    worker.restart(world.clock.mono)
    world.run_until(lambda: len(world.executions(FIRST)) == 2, LOST_AFTER_S)


def test_connections_refused_by_a_crashed_worker_are_taken_for_slowness():
    world = world_of(workers=2, kind=BusyWorld)
    worker = run_whole_worker(world)
    world.busy_with, world.lateness_s = worker.id, 0.3
    world.crashed_workers.add(worker.id)
    worker.restart(world.clock.mono)
    world.run_until(lambda: len(world.executions(FIRST)) == 2, LOST_AFTER_S)


def test_task_waits_out_a_late_start_on_a_worker_that_crashed_twice_after_a_takeover():
    world = world_of(workers=2)
    worker = run_whole_worker(world)
    world.kill(world.owner())
    world.run(3.0)
    known = world.owner().owner._term.worker_by_id[worker.id]
    assert [run.listed for run in known.tracked_by_ref.values()] == [True]
    world.restart_worker(worker.id)
    world.add_worker(worker.id)
    world.crashed_workers.add(worker.id)
    world.run_until(lambda: known.incarnation == 2, 2.0)
    world.delete(world.record_of(worker.id)[0])
    world.run_until(lambda: len(world.executions(FIRST)) == 2, LOST_AFTER_S)


def list_a_late_run(world, seconds, loses_run_2):
    """Let run 1 reach a restarted worker late, and be listed after run 2 has ended.

    It takes long, and its worker needs three seconds to stop it.
    """
    world.late_workers.add("w0")
    world.submit(FIRST, step(processors=WHOLE), payload=f"seconds={seconds}")
    term = world.owner().owner._term
    task = term.record_by_id[FIRST].task_by_key[ONLY]
    world.run_until(lambda: task.last_run == 2 and world.executions(FIRST), 2.0)
    world.late_workers.clear()
    world.dead_workers.update(("w0", "w1"))
    world.restart_worker("w0").stop_s = 3.0
    if loses_run_2:
        world.restart_worker("w1")
    world.add_worker("w0")
    world.run_until(lambda: len(world.executions(FIRST)) == 2, 3.0)
    (late,) = (e for e in world.executions(FIRST) if e.ref.run == 1)
    late.ends_at += 30.0
    world.run_until(lambda: task.is_waiting, 6.0)
    world.dead_workers.discard("w0")
    world.run_until(lambda: task.other_runs, 2.0)
    assert task.other_runs == {("w0", 1)}


def late_run_of(world):
    """Return the late run and those that started after it, in order of their start."""
    executions = sorted(world.executions(FIRST), key=lambda run: run.started_at)
    # That run 1 started after run 2 is 71 of KNOWN-RED.txt.
    assert [run.ref.run for run in executions[:2]] == [2, 1]
    return executions[1:]


def test_late_run_that_is_being_stopped_holds_its_task_back_across_owners():
    world = world_of(workers=2)
    list_a_late_run(world, seconds=9, loses_run_2=True)
    world.add_worker("w1")
    world.dead_workers.clear()
    world.run(0.5)
    world.kill(world.owner())
    world.run_until(lambda: world.final_state(FIRST) == "completed", 25.0)
    late, *later = late_run_of(world)
    assert late.kind is EndKind.STOPPED
    assert [run.kind for run in later] == [EndKind.DONE]
    assert later[0].started_at >= late.ended_at


def test_late_run_is_stopped_though_its_task_is_known_to_be_done_meanwhile():
    world = world_of(workers=2)
    list_a_late_run(world, seconds=1.5, loses_run_2=False)
    (late,) = (e for e in world.executions(FIRST) if e.ref.run == 1)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(FIRST) == "completed", 2.0)
    world.run(3.5)
    assert late_run_of(world) == [late]
    assert late.ended_at is not None


@pytest.mark.parametrize("count", [1, 2])
def test_failure_of_a_late_run_counts_though_it_holds_its_task_back(count):
    """Two tasks are a gang."""
    record = record_of(step(count=count, gang=count > 1))
    keys = [TaskKey(0, 0, index) for index in range(count)]
    list_an_earlier_run(record, keys)
    for known in (record, restored(record)):
        known.apply_late_end(keys[0], 1, EndKind.FAILED)
        assert known.failures_of(keys[0]) == 2


def test_task_waits_until_the_last_of_its_other_runs_is_gone():
    record = record_of(step())
    record.hold_back(ONLY, "w0", 1)
    record.hold_back(ONLY, "w1", 1)
    assert record.release(ONLY, "w0", 1)
    assert not record.waiting_of(ONLY.step_key)
    assert record.release(ONLY, "w1", 1)
    assert not record.release(ONLY, "w1", 1)
    assert record.waiting_of(ONLY.step_key) == [ONLY]


def test_placement_that_awaits_its_commit_is_sent_beside_a_listed_earlier_run():
    world = world_of(workers=2)
    specs, idle = start_late_beside_a_busy_worker(world, FIRST, SECOND)
    term = world.owner().owner._term
    task = term.record_by_id[FIRST].task_by_key[ONLY]
    release = world.hold_commits()
    world.run_until(lambda: task.last_run == 2, 6.0)
    world.add_worker(idle.id)
    world.dead_workers.clear()
    listed = term.worker_by_id[idle.id].tracked_by_ref
    world.run_until(lambda: [run.listed for run in listed.values()] == [True], 2.0)
    assert len(world.executions(FIRST)) == 1
    release()
    world.run_until(lambda: world.final_state(FIRST) == "completed", 25.0)
    check_all(world, specs, {})


def test_task_is_placed_on_a_worker_that_answers_nothing_while_the_owner_is_busy():
    """Nothing is disturbed after the worker's loss, and two others are idle."""
    world = world_of(workers=3, kind=BusyWorld)
    world.dead_workers.add("w0")
    world.run(0.7)
    world.busy_with, world.lateness_s = "w0", 0.3
    world.run(3.3)
    world.submit(FIRST, step(processors=WHOLE), payload="seconds=1")
    world.run_until(lambda: world.executions(FIRST), LOST_AFTER_S - 4.0)

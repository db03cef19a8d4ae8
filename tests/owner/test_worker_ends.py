"""Ends of runs: which are applied, and when they are acknowledged."""

from __future__ import annotations

from dataclasses import replace

import pytest
from tests.support.logged_events import capture_events
from tests.support.step_documents import WORKERS_PREFIX
from tests.support.steps import StepWorld, step

from lagoonpulley.owner.reports import apply_report
from lagoonpulley.owner.run_ends import apply_late_end
from lagoonpulley.upstream.tasks import (
    CommandRefused,
    Ended,
    Refusal,
    Running,
    StartTask,
    TaskRef,
    WorkerReport,
)
from lagoonpulley.workload.documents import ProgressDocument, decode_progress
from lagoonpulley.workload.record import EndKind, JobRecord
from lagoonpulley.workload.spec import StepKey, TaskKey

JOB = "a" * 16


@pytest.fixture
def world():
    made = StepWorld(workers=1)
    # By then, leases that an earlier owner may have granted have expired.
    made.run(8.0)
    return made


def give_up_a_run(world):
    """Let the owner give up a run of one second that ends while nobody hears of it."""
    world.submit(JOB, step(processors=16000))
    world.run(0.3)
    world.dead_workers.add("w0")
    world.run(4.0)


def start_again_elsewhere(payload):
    """Return a cell in which a run was given up and its successor runs elsewhere.

    The worker of the first run is within reach again.
    """
    world = StepWorld(workers=2)
    world.run(8.0)
    world.submit(JOB, step(processors=16000), payload=payload)
    world.run(0.3)
    (first,) = (w for w in world.worker_by_id.values() if w.executions)
    world.dead_workers.add(first.id)
    world.run_until(lambda: len(world.executions(JOB)) == 2, 6.0)
    world.dead_workers.clear()
    return world


def test_end_that_changes_nothing_is_logged(world):
    world.submit(JOB, step(), payload="seconds=4")
    world.run(0.5)
    term = world.owner().owner._term
    worker = term.worker_by_id["w0"]
    (run,) = worker.tracked_by_ref
    end = Ended(worker.processed + 1, replace(run, run=0), EndKind.FAILED, "")
    running = (Running(run, "", 10),)
    report = WorkerReport(worker.clock_ms, worker.info.born, running, (end,))
    with capture_events() as events:
        apply_report(term, worker, report, world.clock.mono)
    (ignored,) = events.named("end_ignored")
    assert (ignored["run"], ignored["end"]) == (0, "failed")
    assert (ignored["current_run"], ignored["committed"]) == (1, True)


def test_done_of_a_run_that_was_given_up_is_not_run_again(world):
    give_up_a_run(world)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(JOB) == "completed", 2.0)
    assert len(world.executions(JOB)) == 1


def test_done_of_a_run_that_an_earlier_owner_gave_up_is_not_run_again(world):
    give_up_a_run(world)
    world.kill(world.owner())
    world.run(2.5)
    # Nothing starts before the next owner has read the worker's list.
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(JOB) == "completed", 2.0)
    assert len(world.executions(JOB)) == 1


def test_done_of_a_run_that_was_given_up_stops_its_successor():
    world = start_again_elsewhere(payload="seconds=2.5")
    world.run_until(lambda: world.final_state(JOB) == "completed", 1.0)
    second = next(e for e in world.executions(JOB) if e.ref.run == 2)
    world.run(1.0)
    assert second.kind is EndKind.STOPPED


def test_done_of_a_run_whose_start_seemed_refused_is_not_run_again(world):
    reply = world._reply
    refused = []

    def refuse_first_start(entry, request, result):
        if isinstance(request.operation, StartTask) and not refused:
            result = CommandRefused(Refusal.UNHEALTHY)
            refused.append(result)
        reply(entry, request, result)

    world._reply = refuse_first_start
    world.submit(JOB, step(), payload="seconds=0.0005")
    world.run_until(lambda: world.final_state(JOB) == "completed", 3.0)
    assert refused
    assert len(world.executions(JOB)) == 1


def test_failure_of_a_run_that_was_given_up_counts_as_an_attempt():
    world = start_again_elsewhere(payload="fail seconds=2.5")
    world.run_until(lambda: world.final_state(JOB) == "failed", 6.0)
    world.run(1.0)
    assert len(world.executions(JOB)) == 2


def test_end_listed_again_by_a_worker_that_was_gone_waits_for_its_commit(world):
    world.submit(JOB, step(processors=16000))
    world.run(0.5)
    release = world.hold_commits()
    world.run(1.0)
    world.dead_workers.add("w0")
    world.delete(WORKERS_PREFIX + "w0")
    term = world.owner().owner._term
    world.run_until(lambda: "w0" not in term.worker_by_id, 10.0)
    world.dead_workers.clear()
    world.add_worker("w0")
    world.run(1.5)
    assert world.worker_by_id["w0"].has_ends()
    release()
    world.run(1.5)
    assert not world.worker_by_id["w0"].has_ends()
    assert world.final_state(JOB) == "completed"


def test_restart_of_a_worker_is_logged(world):
    world.submit(JOB, step(), payload="seconds=3")
    world.run(1.0)
    with capture_events() as events:
        worker = world.worker_by_id["w0"]
        previous_born = worker.born
        worker.restart(world.clock.mono)
        world.run(1.0)
    (restarted,) = events.named("worker_restarted")
    assert restarted["previous_born"] == previous_born
    assert restarted["born"] == worker.born
    assert restarted["runs"] == 1


def test_failure_of_a_run_that_was_given_up_does_not_fail_a_task_that_is_done():
    world = StepWorld(workers=2)
    world.run(8.0)
    # The second step takes long enough that the job is not final meanwhile.
    world.submit(JOB, step(), step(after=(0,)), payload="seconds=0.5")
    world.run(0.05)
    term = world.owner().owner._term
    key = TaskKey(0, 0, 0)
    task = term.record_by_id[JOB].task_by_key[key]
    # As after a run that was given up, and one that failed; two may fail.
    task.given_up_runs |= {0}
    task.failures = 1
    world.run_until(lambda: task.done, 2.0)
    worker = term.worker_by_id["w0"]
    apply_late_end(term, worker, TaskRef(JOB, key, 0), EndKind.FAILED)
    world.run_until(lambda: world.final_state(JOB) is not None, 5.0)
    assert world.final_state(JOB) == "completed"


def test_earlier_failure_of_a_gang_counts_when_it_is_listed_late():
    world = StepWorld(workers=1)
    world.run(1.0)
    world.submit(JOB, step(count=2, gang=True))
    record = JobRecord.from_spec(world.last_spec)
    keys = [TaskKey(0, 0, 0), TaskKey(0, 0, 1)]
    for key in keys:
        record.begin_run(key, 1, "w0", 1)
        record.give_up_run(key)
    for key in keys:
        record.begin_run(key, 2, "w0", 1)
        record.end_run(key, EndKind.FAILED, "")
    record.apply_late_end(keys[0], 1, EndKind.FAILED)
    assert record.gang_failures_by_step[StepKey(0, 0)].count == 2


GANG = StepKey(0, 0)
MEMBERS = [TaskKey(0, 0, 0), TaskKey(0, 0, 1)]


def gang_record():
    """Return the record of a gang of two that has not run yet."""
    world = StepWorld(workers=1)
    world.run(1.0)
    world.submit(JOB, step(count=2, gang=True))
    return JobRecord.from_spec(world.last_spec)


def begin_gang_run(record, run):
    for key in MEMBERS:
        record.begin_run(key, run, "w0", 1)


def give_up_gang_run(record, run):
    begin_gang_run(record, run)
    for key in MEMBERS:
        record.give_up_run(key)


def fail_gang_run(record, run):
    begin_gang_run(record, run)
    for key in MEMBERS:
        record.end_run(key, EndKind.FAILED, "")


def next_owners_record(record, *fields_left_out):
    """Return the record as the next owner reads it.

    :param fields_left_out: fields that the build of the previous owner does not write.
    """
    document = ProgressDocument.from_record(record)
    text = document.model_dump_json(exclude=set(fields_left_out))
    restored = JobRecord.from_spec(record.spec)
    decode_progress(text).ok.apply_to(restored)
    return restored


@pytest.mark.parametrize("owner_changes", [False, True])
def test_gang_run_whose_members_all_list_a_late_failure_counts_once(owner_changes):
    record = gang_record()
    give_up_gang_run(record, 1)
    give_up_gang_run(record, 2)
    fail_gang_run(record, 3)
    for key in MEMBERS:
        for run in (2, 1):
            if owner_changes:
                record = next_owners_record(record)
            record.apply_late_end(key, run, EndKind.FAILED)
    assert record.gang_failures_by_step[GANG].count == 3
    fail_gang_run(record, 4)
    assert record.gang_failures_by_step[GANG].count == 4


@pytest.mark.parametrize("fails_first", [False, True])
@pytest.mark.parametrize("owner_changes", [False, True])
def test_late_failure_of_a_gang_run_that_another_member_failed_counts_once(
    fails_first, owner_changes
):
    record = gang_record()
    begin_gang_run(record, 1)
    if fails_first:
        record.end_run(MEMBERS[0], EndKind.FAILED, "")
        record.give_up_run(MEMBERS[1])
    else:
        record.give_up_run(MEMBERS[1])
        record.end_run(MEMBERS[0], EndKind.FAILED, "")
    fail_gang_run(record, 2)
    if owner_changes:
        record = next_owners_record(record)
    record.apply_late_end(MEMBERS[1], 1, EndKind.FAILED)
    assert record.gang_failures_by_step[GANG].count == 2


def test_gang_run_that_an_earlier_build_may_have_counted_counts_once():
    record = gang_record()
    fail_gang_run(record, 1)
    fail_gang_run(record, 2)
    # The earlier build keeps these although the failure of the runs has been counted.
    record.task_by_key[MEMBERS[1]].given_up_runs = {1, 2}
    record = next_owners_record(record, "uncounted_gang_runs")
    for run in (1, 2):
        record.apply_late_end(MEMBERS[1], run, EndKind.FAILED)
    assert record.gang_failures_by_step[GANG].count == 2


def test_gang_run_that_failed_leaves_no_given_up_runs_to_store():
    record = gang_record()
    for run in range(1, 20, 2):
        give_up_gang_run(record, run)
        record.apply_late_end(MEMBERS[0], run, EndKind.FAILED)
        begin_gang_run(record, run + 1)
        record.end_run(MEMBERS[0], EndKind.FAILED, "")
        record.give_up_run(MEMBERS[1])
    document = ProgressDocument.from_record(record)
    assert document.given_up_runs == []
    assert document.uncounted_gang_runs == []


def report_of(world, **fields):
    """Apply a report of the only worker and return the worker's state."""
    term = world.owner().owner._term
    worker = term.worker_by_id["w0"]
    report = WorkerReport(worker.clock_ms, worker.info.born, **fields)
    apply_report(term, worker, report, world.clock.mono)
    return worker


def test_run_in_a_row_that_cannot_be_read_is_started_beside_it(world):
    """The row may be of any run, so a run that is not listed may be on."""
    world.submit(JOB, step(), payload="seconds=4")
    world.run(0.5)
    worker = report_of(world, running=(), ended=(), all_read=False)
    assert len(worker.tracked_by_ref) == 1
    worker = report_of(world, running=(), ended=())
    assert not worker.tracked_by_ref


@pytest.mark.parametrize("far", [(), (2**53,)])
def test_list_full_of_ends_that_cannot_be_read_hides_all_later_ends(world, far):
    world.submit(JOB, step(), payload="seconds=4")
    world.run(0.5)
    unread = tuple(range(1, 501)) + far
    worker = report_of(world, running=(), ended=(), unread_ends=unread)
    assert worker.acknowledged == 500


def test_end_that_cannot_be_read_is_acknowledged_without_need(world):
    """Nothing is known of it, and it hides no other end."""
    world.submit(JOB, step(), payload="seconds=4")
    world.run(0.5)
    worker = report_of(world, running=(), ended=(), unread_ends=(7,))
    assert worker.acknowledged == 0

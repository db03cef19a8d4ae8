"""Handles the outcomes of attempts: requeue, finalization and adoption."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from ..model.job import TaskState
from ..model.verdict import Ran
from ..observability.events import log_event
from ..placement.events import TaskOutcome
from ..upstream.messages import TaskReport, TaskStatus
from .link import Assignment
from .records import LateFinish

if TYPE_CHECKING:
    from .context import GroupContext
    from .link import WorkerLink
    from .records import JobRecord, TaskRecord

__all__ = ["attempt_lost", "attempt_not_run", "handle_report"]


def handle_report(group: GroupContext, link: WorkerLink, report: TaskReport) -> None:
    """Process one report of a worker.

    A report applies only if task, attempt and worker match the current placement.
    Any other report is of a stale attempt, of one whose terminal state may not be
    committed yet, or of one that a previous owner started without journalling it.
    """
    found = group.find_task(report.task_id)
    if found is None or not _is_current_attempt(found, report, link):
        _adopt_or_discard(group, link, report, found)
        return
    assignment = Assignment(found[0], found[1], report.attempt)
    match report.status:
        case TaskStatus.RUNNING:
            _mark_running(group, assignment)
        case TaskStatus.FINISHED:
            _finished(group, link, assignment, report)
        case TaskStatus.FAILED:
            _failed(group, link, assignment, report)
        case TaskStatus.CHECKPOINTED:
            _stopped(group, link, assignment, TaskOutcome.CHECKPOINTED, report.reason)
        case TaskStatus.STOPPED:
            _stopped(group, link, assignment, TaskOutcome.STOPPED, report.reason)
        case TaskStatus.REFUSED | TaskStatus.NEVER_SEEN:
            attempt_not_run(group, assignment, report.reason or "worker never saw it")


def _is_current_attempt(
    found: tuple[JobRecord, TaskRecord], report: TaskReport, link: WorkerLink
) -> bool:
    task = found[1]
    return (
        task.attempt == report.attempt
        and task.worker_id == link.worker_id
        and task.is_placed
    )


def _adopt_or_discard(
    group: GroupContext,
    link: WorkerLink,
    report: TaskReport,
    found: tuple[JobRecord, TaskRecord] | None,
) -> None:
    if report.status in (TaskStatus.REFUSED, TaskStatus.NEVER_SEEN):
        return
    if found is not None and _is_late_finish(found[1], report):
        _finish_late(group, link, *found, report)
        return
    if found is not None and _is_unjournalled_attempt(*found, report):
        _adopt_attempt(group, link, *found, report)
        return
    if report.status is TaskStatus.RUNNING:
        log_event(
            "stale_attempt_stopped",
            task=report.task_id,
            attempt=report.attempt,
            worker=link.worker_id,
            epoch=group.epoch,
        )
        group.start(link.stop_stale_attempt(report.task_id, report.attempt))
        return
    if found is not None and _awaits_journal(found[1], report, link):
        return
    if not group.awaits_commit(report.task_id, report.attempt):
        link.acknowledge(report.task_id, report.attempt)


def _awaits_journal(task: TaskRecord, report: TaskReport, link: WorkerLink) -> bool:
    """Return whether the report's attempt has ended but may not be committed yet."""
    return (
        task.state.is_final
        and task.attempt == report.attempt
        and task.worker_id == link.worker_id
    )


def _is_unjournalled_attempt(
    record: JobRecord, task: TaskRecord, report: TaskReport
) -> bool:
    """Return whether a previous owner started the attempt without journalling it."""
    return task.state is TaskState.PENDING and report.attempt > task.attempt


def _is_late_finish(task: TaskRecord, report: TaskReport) -> bool:
    """Return whether an attempt that was given up has a result that the task needs."""
    return (
        report.status is TaskStatus.FINISHED
        and not task.state.is_final
        and _is_output_intact(report)
    )


def _finish_late(
    group: GroupContext,
    link: WorkerLink,
    record: JobRecord,
    task: TaskRecord,
    report: TaskReport,
) -> None:
    """Finish a task by the result of an attempt that was given up.

    An attempt that has been started since uses its room until it has been stopped.
    """
    if task.late_finish is not None:
        return
    log_event(
        "late_finish",
        job=record.job.id,
        task=report.task_id,
        attempt=report.attempt,
        worker=link.worker_id,
        epoch=group.epoch,
        current_attempt=task.attempt,
        state=task.state,
    )
    task.late_finish = LateFinish(link.worker_id, report)
    if not task.is_placed:
        _end_with_late_finish(group, record, task)
        group.withdraw_task(record, task)
    elif not task.sent:
        assignment = Assignment(record, task, task.attempt)
        attempt_not_run(group, assignment, "an earlier attempt finished")
    else:
        group.stop_task(record, task, checkpoint=False)


def _end_with_late_finish(
    group: GroupContext, record: JobRecord, task: TaskRecord
) -> None:
    late = task.late_finish
    task.ran_before = task.ran_before.combine(task.ran)
    task.worker_id = late.worker_id
    task.attempt = late.report.attempt
    _take_result(task, late.report)
    link = group.link_by_worker_id.get(late.worker_id)
    assignment = Assignment(record, task, task.attempt)
    _end_attempt(group, link, assignment, TaskState.FINISHED, "")


def _adopt_attempt(
    group: GroupContext,
    link: WorkerLink,
    record: JobRecord,
    task: TaskRecord,
    report: TaskReport,
) -> None:
    if not group.is_opening:
        group.start(link.stop_stale_attempt(report.task_id, report.attempt))
        return
    task.state = TaskState.ASSIGNED
    task.attempt = report.attempt
    task.worker_id = link.worker_id
    task.boot_id = link.boot_id
    task.sent = True
    task.ran = Ran.MAYBE
    group.adopt_task(record, task)
    handle_report(group, link, report)


def _mark_running(group: GroupContext, assignment: Assignment) -> None:
    task = assignment.task
    task.ran = Ran.YES
    if task.state is TaskState.RUNNING:
        return
    task.state = TaskState.RUNNING
    log_event(
        "task_running",
        job=assignment.record.job.id,
        task=assignment.record.task_id(task),
        attempt=task.attempt,
        worker=task.worker_id,
        epoch=group.epoch,
    )


def _finished(
    group: GroupContext, link: WorkerLink, assignment: Assignment, report: TaskReport
) -> None:
    if not _is_output_intact(report):
        log_event(
            "output_damaged",
            task=report.task_id,
            attempt=report.attempt,
            worker=link.worker_id,
        )
        return
    record, task = assignment.record, assignment.task
    _take_result(task, report)
    _end_attempt(group, link, assignment, TaskState.FINISHED, "")
    outcome = TaskOutcome.FINISHED
    group.task_ended(record, task, outcome, run_time_s=report.run_time_s)


def _take_result(task: TaskRecord, report: TaskReport) -> None:
    task.ran = Ran.YES
    task.output = report.output
    task.output_bytes = report.output_bytes
    task.output_digest = report.output_digest


def _is_output_intact(report: TaskReport) -> bool:
    raw = report.output.encode()
    return (
        len(raw) == report.output_bytes
        and hashlib.sha256(raw).hexdigest() == report.output_digest
    )


def _failed(
    group: GroupContext, link: WorkerLink, assignment: Assignment, report: TaskReport
) -> None:
    record, task = assignment.record, assignment.task
    task.ran = Ran.YES
    task.failures += 1
    may_repeat = (
        record.job.repeatable
        and not record.cancel_requested
        and task.failures <= group.settings.retries_per_task
        and group.try_spend_retry_token(record.job.team)
    )
    if may_repeat:
        _requeue(group, assignment, TaskOutcome.FAILED, report.reason, link)
        return
    _end_attempt(group, link, assignment, TaskState.FAILED, report.reason)
    group.task_ended(record, task, TaskOutcome.FAILED, run_time_s=report.run_time_s)


def _stopped(
    group: GroupContext,
    link: WorkerLink,
    assignment: Assignment,
    outcome: TaskOutcome,
    reason: str,
) -> None:
    record, task = assignment.record, assignment.task
    task.ran = Ran.YES
    if not record.cancel_requested and record.job.repeatable:
        _requeue(group, assignment, outcome, reason or outcome.value, link)
        return
    state = TaskState.CANCELLED if record.cancel_requested else TaskState.UNKNOWN
    _end_attempt(group, link, assignment, state, reason)
    group.task_ended(record, task, outcome)


def attempt_lost(group: GroupContext, assignment: Assignment, reason: str) -> None:
    """End an attempt that has stopped and may have run in part or completely."""
    if not assignment.is_current:
        return
    record, task = assignment.record, assignment.task
    if not task.sent:
        attempt_not_run(group, assignment, reason)
        return
    task.ran = task.ran.combine(Ran.MAYBE)
    if record.job.repeatable and not record.cancel_requested:
        _requeue(group, assignment, TaskOutcome.LOST, reason)
        return
    _end_attempt(group, None, assignment, TaskState.UNKNOWN, reason)
    group.task_ended(record, task, TaskOutcome.LOST)


def attempt_not_run(group: GroupContext, assignment: Assignment, reason: str) -> None:
    """End an attempt that has not run and can no longer start."""
    if not assignment.is_current:
        return
    record, task = assignment.record, assignment.task
    task.ran = Ran.NO
    if record.cancel_requested:
        _end_attempt(group, None, assignment, TaskState.CANCELLED, reason)
        group.task_ended(record, task, TaskOutcome.NOT_STARTED)
        return
    _requeue(group, assignment, TaskOutcome.NOT_STARTED, reason)


def _requeue(
    group: GroupContext,
    assignment: Assignment,
    outcome: TaskOutcome,
    reason: str,
    link: WorkerLink | None = None,
) -> None:
    """Queue a task again, unless an attempt that was given up has finished it.

    :param link: to the worker that reported the end, if any; it is acknowledged once
        what the next owner has to know of the attempt is committed.
    """
    record, task = assignment.record, assignment.task
    if task.late_finish is not None:
        _end_with_late_finish(group, record, task)
        group.task_ended(record, task, outcome)
        return
    log_event(
        "task_requeued",
        job=record.job.id,
        task=record.task_id(task),
        attempt=task.attempt,
        worker=task.worker_id,
        epoch=group.epoch,
        outcome=outcome,
        reason=reason,
    )
    task.ran_before = task.ran_before.combine(task.ran)
    task.ran = Ran.NO
    task.state = TaskState.PENDING
    task.reason = reason
    if link is not None:
        acknowledge = (link, record.task_id(task), task.attempt)
        group.finalize(record, [task], acknowledge)
    group.task_ended(record, task, outcome, requeue=True)


def _end_attempt(
    group: GroupContext,
    link: WorkerLink | None,
    assignment: Assignment,
    state: TaskState,
    reason: str,
) -> None:
    """End a task; a result of an attempt that was given up prevails over no result."""
    record, task = assignment.record, assignment.task
    if task.late_finish is not None and state is not TaskState.FINISHED:
        _end_with_late_finish(group, record, task)
        return
    task.state = state
    task.reason = reason
    log_event(
        "task_ended",
        job=record.job.id,
        task=record.task_id(task),
        attempt=task.attempt,
        worker=task.worker_id,
        epoch=group.epoch,
        state=state,
        ran=task.ran_in_any_attempt,
        reason=reason,
    )
    acknowledge = None
    if link is not None:
        acknowledge = (link, record.task_id(task), task.attempt)
    group.finalize(record, [task], acknowledge)

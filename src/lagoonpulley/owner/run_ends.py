"""Ends of runs: what they change in an owner's term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..observability.events import log_event
from ..workload.record import EndKind, JobState
from .worker_state import BEFORE_THIS_TERM

if TYPE_CHECKING:
    from ..upstream.tasks import TaskRef
    from ..workload.record import JobRecord
    from .term import OwnerTerm
    from .worker_state import TrackedRun, WorkerState

__all__ = [
    "apply_late_end",
    "current_record",
    "end_run",
    "give_up_all_runs",
    "give_up_run",
    "store_starts",
]


def give_up_all_runs(term: OwnerTerm, worker: WorkerState, reason: str) -> None:
    """Give up every run on a worker that is certain to run nothing any more."""
    for ref in list(worker.tracked_by_ref):
        give_up_run(term, worker, ref, reason)


def end_run(
    term: OwnerTerm,
    worker: WorkerState,
    ref: TaskRef,
    kind: EndKind,
    checkpoint: str,
    reason: str = "",
) -> JobRecord | None:
    """Record the end of a run; return the job's record if it changed."""
    tracked = _untrack(term, worker, ref)
    record = current_record(term, worker, ref)
    if record is None:
        return None
    if checkpoint and not term.long_checkpoints.admit(record, ref.key, checkpoint):
        checkpoint = ""
    record.end_run(ref.key, kind, checkpoint)
    _log_end("task_ended", worker, ref, kind, reason)
    _record_worker_outcome(term, worker, ref, kind)
    if kind is EndKind.DONE and tracked is not None:
        _record_run_time(term, worker, record, tracked)
    _continue_job(term, record, ref, kind)
    return record


def give_up_run(
    term: OwnerTerm, worker: WorkerState, ref: TaskRef, reason: str
) -> None:
    """Record that a run has surely ended, without knowing how.

    Its worker may list the end later, see :func:`apply_late_end`.
    """
    _untrack(term, worker, ref)
    record = current_record(term, worker, ref)
    if record is None:
        return
    record.give_up_run(ref.key)
    _log_end("task_ended", worker, ref, EndKind.LAPSED, reason)
    _continue_job(term, record, ref, EndKind.LAPSED)


def store_starts(term: OwnerTerm, worker: WorkerState) -> None:
    """Store which runs of a worker have started for certain.

    Another owner that does not reach the worker then need not wait for their starts.
    """
    for ref in worker.tracked_by_ref:
        record = term.record_by_id.get(ref.job_id)
        if record is not None and record.has_unstored_starts:
            term.enqueue_record(record)


def apply_late_end(
    term: OwnerTerm, worker: WorkerState, ref: TaskRef, kind: EndKind
) -> JobRecord | None:
    """Record how a run ended that is not the current one of its task.

    A task that is done needs no other run.

    :returns: the job's record if it changed.
    """
    record = term.record_by_id.get(ref.job_id)
    if record is None or record.is_final or ref.key not in record.task_by_key:
        return None
    if not record.apply_late_end(ref.key, ref.run, kind):
        return None
    _log_end("late_end_applied", worker, ref, kind, "")
    for key, task in record.tasks_of(ref.key.step_key):
        if task.done and task.run is not None and task.run.number > ref.run:
            term.request_stop(record, key, task.run)
    _continue_job(term, record, ref, kind)
    return record


def current_record(
    term: OwnerTerm, worker: WorkerState, ref: TaskRef
) -> JobRecord | None:
    """Return the record of a job in which this is the current run of its task."""
    record = term.record_by_id.get(ref.job_id)
    task = record.task_by_key.get(ref.key) if record else None
    if record is None or task is None or task.run is None:
        return None
    if task.run.number != ref.run or task.run.worker_id != worker.info.id:
        return None
    return record


def _untrack(term: OwnerTerm, worker: WorkerState, ref: TaskRef) -> TrackedRun | None:
    term.cell.release(worker.info.id, ref)
    term.needs_planning = True
    record = term.record_by_id.get(ref.job_id)
    if record and record.release(ref.key, worker.info.id, ref.run):
        term.refresh_demands(record, ref.key.step_key)
    return worker.tracked_by_ref.pop(ref, None)


def _log_end(
    event: str, worker: WorkerState, ref: TaskRef, kind: EndKind, reason: str
) -> None:
    log_event(
        event,
        job=ref.job_id,
        task=list(ref.key),
        run=ref.run,
        worker=worker.info.id,
        end=kind,
        reason=reason,
    )


def _continue_job(
    term: OwnerTerm, record: JobRecord, ref: TaskRef, kind: EndKind
) -> None:
    """Draw the conclusions from the end of a run, and enqueue the record."""
    term.long_checkpoints.record_end(record, ref.key)
    if record.step_of(ref.key).gang and kind is not EndKind.DONE:
        _stop_gang(term, record, ref)
    _finish_if_decided(term, record, ref, kind)
    term.refresh_demands(record, ref.key.step_key)
    term.enqueue_record(record)


def _record_run_time(
    term: OwnerTerm, worker: WorkerState, record: JobRecord, tracked: TrackedRun
) -> None:
    """Learn the worker's speed from a task that ended on its own."""
    step = record.step_of(tracked.ref.key)
    began_at = tracked.start_resolved_at
    if step.gang or step.long_running or began_at in (None, BEFORE_THIS_TERM):
        return
    term.worker_speeds.record_run(
        worker.info.id, record.spec.queue, step.estimate_s, term.now.mono - began_at
    )
    tier = term.worker_speeds.tier_of(worker.info.id)
    if term.cell.set_speed_tier(worker.info.id, tier):
        log_event("worker_speed", worker=worker.info.id, tier=tier.name.lower())


def _stop_gang(term: OwnerTerm, record: JobRecord, ref: TaskRef) -> None:
    """Request a stop of the other members of a gang after one has ended."""
    for key, task in record.tasks_of(ref.key.step_key):
        if task.run is not None and task.run.number == ref.run:
            term.request_stop(record, key, task.run)


def _record_worker_outcome(
    term: OwnerTerm, worker: WorkerState, ref: TaskRef, kind: EndKind
) -> None:
    """Count an outcome for a worker; avoid it after repeated failures."""
    if kind is EndKind.DONE:
        term.worker_failures.record_success(worker.info.id)
    if kind is not EndKind.FAILED:
        return
    term.avoid_worker_for_step(worker.info.id, ref)
    workers = len(term.worker_by_id)
    until = term.worker_failures.record_failure(
        worker.info.id, ref, term.now.mono, workers
    )
    term.avoid_worker(worker, until)


def _finish_if_decided(
    term: OwnerTerm, record: JobRecord, ref: TaskRef, kind: EndKind
) -> None:
    """Make a job final if the end of this run completes or fails it."""
    if record.is_final:
        return
    if record.is_done():
        term.finish(record, JobState.COMPLETED, "all tasks are done")
        return
    queue = term.queue_of(record)
    if kind is not EndKind.FAILED or queue is None:
        return
    if record.task_by_key[ref.key].done:
        # The failure of an earlier run, listed late.
        return
    if record.step_of(ref.key).long_running:
        return
    if record.failures_of(ref.key) >= queue.max_attempts:
        term.finish(record, JobState.FAILED, f"{ref.key} failed too often")

"""Application of worker reports to the state of an owner term."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..observability.events import log_event
from ..workload.record import EndKind
from .adoption import adopt_run
from .crashes import forgive_crashes, retract_crash
from .incarnations import begin_incarnation
from .run_ends import apply_late_end, current_record, end_run, give_up_run

if TYPE_CHECKING:
    from ..upstream.tasks import Ended, Running, WorkerReport
    from ..workload.record import JobRecord
    from .term import OwnerTerm
    from .worker_state import TrackedRun, WorkerState

__all__ = ["apply_report"]

# Most ended runs in one report; a worker lists further ones once these are
# acknowledged.
MAX_ENDS_PER_REPORT = 500


def apply_report(
    term: OwnerTerm, worker: WorkerState, report: WorkerReport, sent_at: float
) -> list[TrackedRun]:
    """Apply a worker's report of running and ended runs.

    The first report of another incarnation tells no more than that it exists: only
    once that has accepted a later token, no command to the previous one can change
    what it lists.

    :param sent_at: when the sync was sent, in monotonic seconds.
    :returns: listed runs that were not tracked, and are now.
    """
    if worker.is_other_incarnation(report.born):
        begin_incarnation(term, worker, report.born)
        return []
    if worker.clock_ms is not None and report.clock_ms < worker.clock_ms:
        # A later list has overtaken this one.
        return []
    retract_crash(term, worker)
    if report.born and not worker.info.born:
        worker.info = replace(worker.info, born=report.born)
    worker.record_report(report, term.now.mono)
    for ended in report.ended:
        if ended.number > worker.processed:
            _apply_end(term, worker, ended)
            worker.processed = ended.number
    if _is_full(report):
        _pass_over_unread_ends(worker, report)
    if not worker.pending_commits:
        worker.acknowledged = worker.processed
    adopted = _compare_running(term, worker, report, sent_at)
    term.refresh_accepting(worker)
    return adopted


def _is_full(report: WorkerReport) -> bool:
    """Return whether a worker may have more ends than it lists."""
    return len(report.ended) + len(report.unread_ends) >= MAX_ENDS_PER_REPORT


def _pass_over_unread_ends(worker: WorkerState, report: WorkerReport) -> None:
    """Acknowledge the ends that cannot be read, as later ones are not listed before.

    Elsewhere an end that can be read acknowledges those before it. A number far above
    the others counts as unread too.
    """
    unread = [number for number in report.unread_ends if number > worker.processed]
    if unread:
        limit = min(unread) + MAX_ENDS_PER_REPORT
        worker.processed = max(number for number in unread if number < limit)


def _apply_end(term: OwnerTerm, worker: WorkerState, ended: Ended) -> None:
    """Apply a listed end; it is acknowledged once all that it changes is durable."""
    record = end_run(term, worker, ended.ref, ended.kind, ended.checkpoint)
    if record is None:
        record = apply_late_end(term, worker, ended.ref, ended.kind)
    if record is None:
        _log_ignored_end(term, worker, ended)

    def acknowledge() -> None:
        worker.pending_commits -= 1
        if not worker.pending_commits:
            worker.acknowledged = worker.processed
            worker.next_sync_at = 0.0

    if term.journal.call_once_durable(ended.ref.job_id, acknowledge):
        worker.pending_commits += 1


def _log_ignored_end(term: OwnerTerm, worker: WorkerState, ended: Ended) -> None:
    """Log an end that changes nothing although its task is not done.

    Ends that an earlier owner recorded and did not acknowledge are listed again.
    """
    ref = ended.ref
    record = term.record_by_id.get(ref.job_id)
    task = record.task_by_key.get(ref.key) if record else None
    if task is None or task.done:
        return
    log_event(
        "end_ignored",
        job=ref.job_id,
        task=list(ref.key),
        run=ref.run,
        worker=worker.info.id,
        born=worker.info.born,
        number=ended.number,
        end=ended.kind,
        current_run=task.run.number if task.run else 0,
        last_run=task.last_run,
        committed=not term.journal.is_pending(ref.job_id),
    )


def _compare_running(
    term: OwnerTerm, worker: WorkerState, report: WorkerReport, sent_at: float
) -> list[TrackedRun]:
    """Update the tracked runs from the listed ones; return those not tracked before."""
    adopted = []
    listed = set()
    for running in report.running:
        listed.add(running.ref)
        tracked = worker.tracked_by_ref.get(running.ref)
        if tracked is None:
            tracked = adopt_run(term, worker, running.ref)
            adopted.append(tracked)
        tracked.listed = tracked.has_run = True
        tracked.sent_to_earlier = False
        if tracked.start_resolved_at is None:
            tracked.start_resolved_at = term.now.mono
        record = current_record(term, worker, running.ref)
        if record is None:
            continue
        if not tracked.may_start_late(term.now.mono):
            record.mark_started(running.ref.key, running.ref.run)
        _set_checkpoint(term, record, running)
        forgive_crashes(record, tracked, term.now.mono)
        if running.percent is not None and _is_stalled(
            record, tracked, running.percent, term.now.mono
        ):
            _stop_stalled(term, worker, tracked)
    if _is_full(report) or not report.all_read:
        # The end of an unlisted run may be on a later page, or in what was not read.
        return adopted
    for ref, tracked in list(worker.tracked_by_ref.items()):
        if ref not in listed:
            _resolve_unlisted_run(term, worker, tracked, sent_at)
    return adopted


def _is_stalled(
    record: JobRecord, tracked: TrackedRun, percent: int, now: float
) -> bool:
    """Record the progress of a run; return whether the run is stalled."""
    estimate_s = record.step_of(tracked.ref.key).estimate_s
    return tracked.progress.record_progress(percent, now, estimate_s)


def _stop_stalled(term: OwnerTerm, worker: WorkerState, tracked: TrackedRun) -> None:
    """Request a stop of a stalled run and avoid its worker for a while."""
    if tracked.stop_requested:
        return
    tracked.stop_requested = True
    term.avoid_worker_for_step(worker.info.id, tracked.ref)
    workers = len(term.worker_by_id)
    until = term.worker_failures.record_stall(worker.info.id, term.now.mono, workers)
    log_event(
        "task_stalled",
        job=tracked.ref.job_id,
        task=list(tracked.ref.key),
        run=tracked.ref.run,
        worker=worker.info.id,
        percent=tracked.progress.percent,
    )
    term.avoid_worker(worker, until)


def _resolve_unlisted_run(
    term: OwnerTerm,
    worker: WorkerState,
    tracked: TrackedRun,
    sent_at: float,
) -> None:
    """End an unlisted run unless its start may still be in flight."""
    if tracked.start_resolved_at is None or sent_at < tracked.start_resolved_at:
        return
    if tracked.sent_to_earlier:
        reason = "worker restarted"
        end_run(term, worker, tracked.ref, EndKind.LAPSED, "", reason)
        return
    give_up_run(term, worker, tracked.ref, "worker does not list it")


def _set_checkpoint(term: OwnerTerm, record: JobRecord, running: Running) -> None:
    key, checkpoint = running.ref.key, running.checkpoint
    task = record.task_by_key.get(key)
    if task is None or task.done or not checkpoint or checkpoint == task.checkpoint:
        return
    if term.long_checkpoints.admit(record, key, checkpoint):
        task.checkpoint = checkpoint

"""Crashes of workers, and which tasks may have caused them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..observability.events import log_event
from ..workload.record import JobState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..upstream.tasks import TaskRef
    from ..workload.record import JobRecord
    from .term import OwnerTerm
    from .worker_state import TrackedRun, WorkerState

__all__ = [
    "blame_by_run",
    "forgive_crashes",
    "is_settled",
    "record_crash",
    "record_unanswered_start",
    "retract_crash",
]

# A worker that lives this long after it has started a task is not crashed by its start.
SETTLED_AFTER_S = 0.3
# Tasks of services run for days, in which workers crash for other reasons.
FORGIVEN_AFTER_S = 30.0


def blame_by_run(
    runs: Iterable[TrackedRun], alive_at: float | None, closed_at: float | None = None
) -> dict[TaskRef, float]:
    """Return the blame of each run that a worker had when it crashed.

    The blame is shared by the jobs with a run that had started shortly before; other
    runs have none. Runs whose start was sent after the worker had closed its
    connections are not among those that it had: its next incarnation has started them.

    :param alive_at: when the worker was last known to live, in monotonic seconds;
        ``None`` if it never answered this owner.
    :param closed_at: when the worker closed its connections, in monotonic seconds;
        ``None`` if it was not seen to.
    """
    started = [
        run for run in runs if run.has_run and not _was_sent_after(run, closed_at)
    ]
    recent = [run for run in started if not is_settled(run, alive_at)]
    jobs = len({run.ref.job_id for run in recent})
    blame = {run.ref: 0.0 for run in started}
    for run in recent:
        blame[run.ref] = 1.0 / jobs
    return blame


def record_crash(term: OwnerTerm, worker: WorkerState) -> None:
    """Remember for each run of a worker that it has crashed.

    A job is given up once one of its tasks must not be started again. Draining
    workers do not crash: they leave.
    """
    _forget_incarnation(term, worker)
    if worker.info.draining:
        return
    runs = [run for run in worker.tracked_by_ref.values() if not run.is_blamed]
    blame = blame_by_run(runs, worker.alive_at, worker.closed_at)
    log_event(
        "worker_crashed",
        worker=worker.info.id,
        address=worker.info.address,
        runs=len(blame),
        suspects=sorted({ref.job_id for ref, share in blame.items() if share}),
    )
    term.crashed_at_by_address[worker.info.address] = term.now.mono
    for ref, share in blame.items():
        worker.tracked_by_ref[ref].is_blamed = True
        record = term.record_by_id.get(ref.job_id)
        if record is None or record.is_final or ref.key not in record.task_by_key:
            continue
        worker.blamed_runs[ref] = share
        history = record.change_crashes(ref.key, 1, share)
        if history.is_deadly:
            reason = f"{ref.key} crashed {history.count} workers"
            term.finish(record, JobState.FAILED, reason)
        else:
            term.journal.enqueue(record)


def retract_crash(term: OwnerTerm, worker: WorkerState) -> None:
    """Take back a crash: the same incarnation of the worker answers again."""
    if not worker.blamed_runs:
        return
    log_event("worker_crash_retracted", worker=worker.info.id)
    term.crashed_at_by_address.pop(worker.info.address, None)
    for ref, share in worker.blamed_runs.items():
        record = term.record_by_id.get(ref.job_id)
        if record is None or record.is_final or ref.key not in record.task_by_key:
            continue
        record.change_crashes(ref.key, -1, -share)
        term.refresh_demands(record, ref.key.step_key)
        term.journal.enqueue(record)
    worker.blamed_runs = {}


def forgive_crashes(record: JobRecord, tracked: TrackedRun, now: float) -> None:
    """Forget the crashes of a listed task that has run long enough.

    :param now: monotonic time in seconds.
    """
    if tracked.ref.key not in record.crashes_by_task:
        return
    known_since = max(tracked.placed_at, tracked.start_resolved_at)
    if now - known_since >= FORGIVEN_AFTER_S:
        del record.crashes_by_task[tracked.ref.key]


def record_unanswered_start(term: OwnerTerm, tracked: TrackedRun) -> None:
    """Store that a run whose start got no answer may not have begun.

    This owner does not blame it for a crash before its worker lists it. Another owner
    would, if it found an incarnation stored with it that has crashed since.
    """
    if not tracked.has_run:
        _forget_incarnation_of(term, tracked.ref)


def _forget_incarnation(term: OwnerTerm, worker: WorkerState) -> None:
    """Store that the runs on a worker belong to no known incarnation any more.

    A run may stay stored for some time after the crash, until it is certain that it
    does not run. Another owner would take the incarnation stored with it for one that
    has crashed since, and count the crash again.
    """
    for ref in worker.tracked_by_ref:
        _forget_incarnation_of(term, ref)


def _forget_incarnation_of(term: OwnerTerm, ref: TaskRef) -> None:
    record = term.record_by_id.get(ref.job_id)
    if record is None or record.is_final:
        return
    record.forget_incarnation(ref.key, ref.run)
    term.journal.enqueue(record)


def _was_sent_after(run: TrackedRun, closed_at: float | None) -> bool:
    if closed_at is None or run.start_sent_at is None:
        return False
    return run.start_sent_at > closed_at


def is_settled(run: TrackedRun, alive_at: float | None) -> bool:
    """Return whether a worker has survived the start of a run.

    :param alive_at: when the worker was last known to live, in monotonic seconds.
    """
    if run.had_settled:
        return True
    if run.start_resolved_at is None or alive_at is None:
        return False
    return alive_at - run.start_resolved_at >= SETTLED_AFTER_S

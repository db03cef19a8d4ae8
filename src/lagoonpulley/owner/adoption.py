"""Runs that a worker lists and the owner does not track."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..observability.events import log_event
from ..workload.record import Run
from .worker_state import BEFORE_THIS_TERM, TrackedRun

if TYPE_CHECKING:
    from ..upstream.tasks import TaskRef
    from .term import OwnerTerm
    from .worker_state import WorkerState

__all__ = ["adopt_run"]


def adopt_run(term: OwnerTerm, worker: WorkerState, ref: TaskRef) -> TrackedRun:
    """Track a listed run, so that it keeps its room until it is gone.

    It is stopped, but for the run of a task that waits: that becomes its current run
    again, as another one would run beside it.
    """
    record = term.record_by_id.get(ref.job_id)
    task = record.task_by_key.get(ref.key) if record else None
    if task is not None:
        tracked = term.track_run(worker, record, ref)
    else:
        tracked = TrackedRun(ref, term.now.mono, has_claim=False)
        worker.tracked_by_ref[ref] = tracked
    tracked.start_resolved_at = BEFORE_THIS_TERM
    resumes = task is not None and task.is_waiting and not record.is_final
    if resumes:
        run = Run(ref.run, worker.info.id, worker.info.born)
        record.resume_run(ref.key, run)
        term.refresh_demands(record)
        term.journal.enqueue(record)
    # The other members of a gang have ended.
    tracked.stop_requested = not resumes or record.step_of(ref.key).gang
    log_event(
        "unknown_run",
        job=ref.job_id,
        task=list(ref.key),
        run=ref.run,
        worker=worker.info.id,
        born=worker.info.born,
        token=worker.token,
        size_known=tracked.has_claim,
        resumed=resumes,
    )
    return tracked

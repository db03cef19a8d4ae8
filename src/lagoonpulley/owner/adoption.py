"""Runs that a worker lists and the owner does not track."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import ZERO
from ..observability.events import log_event
from ..planning.cell import Claim
from .worker_state import BEFORE_THIS_TERM, TrackedRun

if TYPE_CHECKING:
    from ..upstream.tasks import TaskRef
    from .term import OwnerTerm
    from .worker_state import WorkerState

__all__ = ["adopt_run"]


def adopt_run(term: OwnerTerm, worker: WorkerState, ref: TaskRef) -> TrackedRun:
    """Track a listed run, so that it keeps its room until it is gone; request its stop.

    Its task is not started before that.
    """
    record = term.record_by_id.get(ref.job_id)
    task = record.task_by_key.get(ref.key) if record else None
    if task is not None:
        tracked = term.track_run(worker, record, ref)
        record.hold_back(ref.key, worker.info.id, ref.run)
        term.refresh_demands(record, ref.key.step_key)
    elif record is not None and record.is_task(ref.key):
        # Of an occurrence that is done, and held no longer.
        tracked = term.track_run(worker, record, ref)
    else:
        tracked = _track_run_of_ended_job(term, worker, ref)
    tracked.start_resolved_at = BEFORE_THIS_TERM
    tracked.stop_requested = True
    log_event(
        "unknown_run",
        job=ref.job_id,
        task=list(ref.key),
        run=ref.run,
        worker=worker.info.id,
        born=worker.info.born,
        token=worker.token,
        size_known=tracked.has_claim,
    )
    return tracked


def _track_run_of_ended_job(
    term: OwnerTerm, worker: WorkerState, ref: TaskRef
) -> TrackedRun:
    """Track a run without a record, which counts for its team all the same."""
    tracked = worker.tracked_by_ref[ref] = TrackedRun(ref, term.now.mono)
    job = term.ended_jobs.find(ref.job_id)
    step = job.step_of(ref.key) if job else None
    tracked.has_claim = step is not None
    if step is not None:
        claim = Claim.from_step(ref, job.team, step, term.now.mono)
        term.cell.claim(worker.info.id, claim)
    elif job is not None:
        # A run needs no more than its worker has, which gets no tasks meanwhile.
        claim = Claim(ref, job.team, worker.info.capacity, ZERO)
        term.cell.claim(worker.info.id, claim)
    return tracked

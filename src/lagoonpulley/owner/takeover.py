"""What a new owner takes over from an earlier one: the runs in stored progress."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..upstream.tasks import TaskRef
from .worker_leases import (
    MAX_COMMAND_DELAY_S,
    MAX_OPEN_ATTEMPTS,
    START_WINDOW_S,
    TimedCommand,
    latest_lease_end,
    longest_lease_s,
)
from .worker_state import BEFORE_THIS_TERM

if TYPE_CHECKING:
    from ..workload.documents import ProgressDocument
    from ..workload.record import JobRecord
    from .term import OwnerTerm
    from .worker_state import TrackedRun, WorkerState

__all__ = ["restore_progress"]


def restore_progress(
    term: OwnerTerm, record: JobRecord, document: ProgressDocument, revision: int
) -> None:
    """Restore a record from stored progress and track the runs it names.

    :param revision: that of the document in the store.
    """
    document.apply_to(record)
    if document.has_long_checkpoints:
        term.long_checkpoints.may_be_stored = True
    term.journal.mark_progress_stored(record.spec.id)
    for key, _, run in record.runs():
        worker = term.worker_of_run(run.worker_id, run.born)
        ref = TaskRef(record.spec.id, key, run.number)
        # A worker that has seen the new token refuses starts with an older one.
        tracked = term.track_run(worker, record, ref)
        tracked.start_resolved_at = BEFORE_THIS_TERM
        # Without an incarnation, an earlier owner has seen the worker's crash.
        tracked.has_run = run.born != 0
        if tracked.has_run:
            term.settled_runs.restore(worker, tracked, revision)
        if not run.started and not tracked.had_settled:
            _expect_late_start(term, record, worker, tracked)
    term.refresh_demands(record)


def _expect_late_start(
    term: OwnerTerm, record: JobRecord, worker: WorkerState, tracked: TrackedRun
) -> None:
    """Record that a start by the earlier owner may still be on its way."""
    queue = term.queue_of(record)
    delay_s = MAX_COMMAND_DELAY_S
    if queue is not None and queue.advice is not None:
        # Its permit was valid from before the start was sent.
        delay_s = min(delay_s, queue.advice.valid_s)
    start = TimedCommand(
        token=term.token - 1,
        until_ms=0,
        latest_at=term.began_at + delay_s,
        lease_s=longest_lease_s(START_WINDOW_S),
        answered_until=term.began_at,
    )
    for _ in range(MAX_OPEN_ATTEMPTS):
        worker.leases.record_silence(replace(start))
    has_permit = queue is not None and queue.advice is not None
    if has_permit and not term.has_just_restarted(worker):
        tracked.late_lease_until = start.is_over_at
    else:
        # The worker's next incarnation may carry it out, see ``TrackedRun``.
        tracked.late_lease_until = latest_lease_end(start.latest_at, worker.max_lease_s)

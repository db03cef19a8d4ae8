"""Restarts of workers: what they change in an owner's term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..observability.events import log_event
from ..planning.worker_speed import SpeedTier
from ..workload.record import EndKind
from .crashes import record_crash
from .fencing import request_token
from .run_ends import end_run

if TYPE_CHECKING:
    from .term import OwnerTerm
    from .worker_state import WorkerState

__all__ = ["begin_incarnation"]


def begin_incarnation(term: OwnerTerm, worker: WorkerState, born: int) -> None:
    """Record that a worker has crashed and that its next incarnation is known.

    A run ends at once if no start of it was sent, or if the previous incarnation has
    listed it and no start is on its way. The others end once the new incarnation has
    accepted a later token and does not list them: it may have started them.

    :param born: identifies the new incarnation.
    """
    log_event(
        "worker_restarted",
        worker=worker.info.id,
        born=born,
        previous_born=worker.info.born,
        runs=len(worker.tracked_by_ref),
        processed=worker.processed,
        acknowledged=worker.acknowledged,
        syncing=worker.syncing,
    )
    term.recent_restarts.record(worker.info.id, term.now.mono)
    record_crash(term, worker)
    term.worker_speeds.forget(worker.info.id)
    term.cell.set_speed_tier(worker.info.id, SpeedTier.USUAL)
    _end_settled_runs(term, worker)
    worker.begin_incarnation(born, term.journal.head_revision, term.now.mono)
    if worker.awaits_token:
        request_token(term, worker)
    term.idle_worker_by_id[worker.info.id] = worker
    term.cell.put_worker(worker.info)
    term.refresh_accepting(worker)


def _end_settled_runs(term: OwnerTerm, worker: WorkerState) -> None:
    """End the runs that the next incarnation of a worker cannot have started."""
    reason = "worker restarted"
    for ref, tracked in list(worker.tracked_by_ref.items()):
        if not tracked.was_sent:
            # The next incarnation may be of another kind.
            end_run(term, worker, ref, EndKind.STOPPED, "", reason)
        elif tracked.listed and not tracked.may_start_late(term.now.mono):
            end_run(term, worker, ref, EndKind.LAPSED, "", reason)

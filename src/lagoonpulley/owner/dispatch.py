"""Sends start and stop commands to workers and resolves unanswered ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..model.verdict import Ran
from ..observability.events import log_event
from ..runtime.flows import Call, Flow
from ..runtime.role import UPSTREAM, CallFailed
from ..upstream.tasks import (
    CommandAccepted,
    Refusal,
    StopTask,
    SyncWorker,
    TaskRef,
    WorkerReport,
)
from ..workload.record import EndKind
from .crashes import record_unanswered_start
from .fencing import raise_token_if_needed
from .reports import apply_report
from .run_ends import end_run
from .starts import StartSender, is_clock_behind

if TYPE_CHECKING:
    from ..planning.planner import Start
    from ..workload.record import JobRecord
    from ..workload.spec import TaskKey
    from .flow_host import FlowHost
    from .term import OwnerTerm
    from .worker_state import TrackedRun, WorkerState

__all__ = ["COMMAND_TIMEOUT_S", "Dispatcher"]

# Workers answer within milliseconds; without an answer by then, the answer is lost
# or the worker is down.
COMMAND_TIMEOUT_S = 0.4
# How long nothing is placed on a worker that refused a start as unhealthy, full or
# restarted.
REFUSAL_AVOID_S = 0.5


class Dispatcher:
    """Sends commands to workers under the fencing token of a term."""

    def __init__(self, host: FlowHost) -> None:
        self._host = host
        self._starts = StartSender(host, self._sync_now)

    def start_all(self, term: OwnerTerm, start: Start) -> None:
        """Send the start commands of a placement that is durably committed."""
        for key, worker_id in start.placements:
            self._host.start(self._start_one(term, start, key, worker_id))

    def _start_one(
        self, term: OwnerTerm, start: Start, key: TaskKey, worker_id: str
    ) -> Flow:
        record = start.record
        ref = TaskRef(record.spec.id, key, start.run)
        worker = term.worker_by_id.get(worker_id)
        tracked = worker.tracked_by_ref.get(ref) if worker else None
        if term.has_ended or worker is None or tracked is None:
            return
        if record.is_final or tracked.stop_requested:
            self._end_unstarted_run(term, worker, ref, "no longer needed")
            return
        obstacle = self._obstacle_to(term, worker, record, key)
        if obstacle:
            self._end_unstarted_run(term, worker, ref, obstacle)
            return
        tracked.start_sent_at = self._host.now.mono
        incarnation = worker.incarnation
        least_clock_ms = worker.min_clock_ms(tracked.start_sent_at)
        result = yield from self._starts.send(term, start, worker, tracked)
        if term.has_ended or worker.tracked_by_ref.get(ref) is not tracked:
            return
        if not term.is_current(worker, incarnation):
            # The list of the worker's next incarnation tells what became of the run.
            return
        was_accepted = isinstance(result, CommandAccepted)
        if was_accepted and not is_clock_behind(result, least_clock_ms):
            tracked.has_run, worker.alive_at = True, self._host.now.mono
            if not tracked.may_start_late(self._host.now.mono):
                record.mark_started(key, ref.run)
        self._apply_start_result(term, worker, tracked, result)
        self._host.plan_and_commit()

    def _obstacle_to(
        self, term: OwnerTerm, worker: WorkerState, record: JobRecord, key: TaskKey
    ) -> str:
        """Return why a placement must not be sent, empty if it may be."""
        obstacle = term.obstacle_to(worker)
        if obstacle:
            return obstacle
        if term.session_has_expired():
            return "the session has expired"
        if record.task_by_key[key].other_runs:
            return "a worker lists an earlier run"
        if term.cell.is_overcommitted(worker.info.id):
            return "the worker's runs need more than its capacity"
        if self._needs_new_permit(term, record, key, worker.info.id):
            return "its permit has expired"
        return ""

    def _needs_new_permit(
        self, term: OwnerTerm, record: JobRecord, key: TaskKey, worker_id: str
    ) -> bool:
        """Return whether the permit expired while the placement was committed."""
        queue = term.queue_of(record)
        if queue is None or queue.advice is None:
            return False
        permits = term.permits.for_step(record.spec.id, key.step_key)
        return not permits.is_valid(worker_id, self._host.now.mono)

    def _apply_start_result(
        self, term: OwnerTerm, worker: WorkerState, tracked: TrackedRun, result: Any
    ) -> None:
        ref = tracked.ref
        if isinstance(result, CommandAccepted) or tracked.listed:
            tracked.start_resolved_at = tracked.start_resolved_at or self._host.now.mono
            return
        log_event(
            "start_failed",
            job=ref.job_id,
            task=list(ref.key),
            run=ref.run,
            worker=worker.info.id,
            reason=str(result.reason),
        )
        if isinstance(result, CallFailed) and result.ran is not Ran.NO:
            # The start may still take effect; a confirmed stop rules that out.
            tracked.stop_requested = True
            record_unanswered_start(term, tracked)
            term.avoid_worker_for_step(worker.info.id, ref)
            self.stop(term, worker, tracked)
            return
        if isinstance(result, CallFailed):
            self._end_unstarted_run(term, worker, ref, result.reason)
            return
        if result.reason is Refusal.PERMIT:
            permits = term.permits.for_step(ref.job_id, ref.key.step_key)
            permits.forget_permit(worker.info.id)
        if result.reason in (
            Refusal.UNHEALTHY,
            Refusal.NO_ROOM,
            Refusal.OTHER_LIFE,
        ):
            term.cell.avoid(worker.info.id, self._host.now.mono + REFUSAL_AVOID_S)
        self._end_unstarted_run(term, worker, ref, str(result.reason))

    @staticmethod
    def _end_unstarted_run(
        term: OwnerTerm, worker: WorkerState, ref: TaskRef, reason: str
    ) -> None:
        end_run(term, worker, ref, EndKind.STOPPED, "", f"not started: {reason}")

    def stop(self, term: OwnerTerm, worker: WorkerState, tracked: TrackedRun) -> None:
        """Stop a run, then sync to check that it is gone.

        A worker that awaits its token is not called; the stop stays requested.
        """
        raise_token_if_needed(term, worker)
        if worker.awaits_token:
            return
        tracked.stop_sent_at = self._host.now.mono
        self._host.start(self._stop(term, worker, tracked))

    def _stop(self, term: OwnerTerm, worker: WorkerState, tracked: TrackedRun) -> Flow:
        command = StopTask(worker.address, tracked.ref, worker.token)
        incarnation = worker.incarnation
        result = yield Call(UPSTREAM, command, COMMAND_TIMEOUT_S)
        if not term.is_current(worker, incarnation):
            tracked.stop_sent_at = float("-inf")
        elif isinstance(result, CommandAccepted):
            worker.record_token(command.token, self._host.now.mono)
            if tracked.start_resolved_at is None:
                tracked.start_resolved_at = self._host.now.mono
            yield from self._sync_now(term, worker)
        else:
            tracked.stop_sent_at = float("-inf")
            log_event(
                "stop_failed",
                job=tracked.ref.job_id,
                task=list(tracked.ref.key),
                run=tracked.ref.run,
                worker=worker.info.id,
                reason=str(result.reason),
            )

    def _sync_now(self, term: OwnerTerm, worker: WorkerState) -> Flow:
        """Sync with a worker at once, even if a long poll is in flight there."""
        command = SyncWorker(worker.address, worker.token, worker.acknowledgement)
        incarnation = worker.incarnation
        sent_at = self._host.now.mono
        result = yield Call(UPSTREAM, command, COMMAND_TIMEOUT_S)
        if term.has_ended or not term.is_current(worker, incarnation):
            return
        if not isinstance(result, WorkerReport):
            return
        worker.record_token(command.token, self._host.now.mono)
        worker.forgotten = max(worker.forgotten, command.acknowledged)
        apply_report(term, worker, result, sent_at)
        self._host.plan_and_commit()

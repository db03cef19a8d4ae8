"""Starts and stops runs, and resolves orders that were not answered."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..model.verdict import Ran
from ..observability.events import log_event
from ..runtime.flows import Call, Flow
from ..runtime.role import UPSTREAM, CallFailed
from ..upstream.tasks import (
    CommandAccepted,
    CommandRefused,
    Refusal,
    StartTask,
    StopTask,
    SyncWorker,
    TaskRef,
    WorkerAddress,
    WorkerReport,
)
from ..workload.record import EndKind
from .reports import take_report

if TYPE_CHECKING:
    from ..planning.planner import Start
    from ..workload.record import JobRecord
    from ..workload.spec import TaskKey
    from .host import Host
    from .link import Hold, WorkerLink
    from .term import OwnerTerm

__all__ = ["COMMAND_TIMEOUT_S", "Dispatcher"]

# Answers come within milliseconds; later ones are lost, or the worker is.
COMMAND_TIMEOUT_S = 0.4
# A start that is carried out later than this is refused by the worker.
START_WINDOW_S = 1.5
# A start is sent again soon: a worker takes one run only once.
START_TIMEOUT_S = 0.1
START_ATTEMPTS = 5
AVOID_UNHEALTHY_S = 0.5


class Dispatcher:
    """Sends orders to workers in the name of one term of ownership."""

    def __init__(self, host: Host) -> None:
        self._host = host

    def start_all(self, term: OwnerTerm, start: Start) -> None:
        """Send the starts of a decision that is durable."""
        for key, worker_id in start.placements:
            self._host.start(self._start_one(term, start, key, worker_id))

    def _start_one(
        self, term: OwnerTerm, start: Start, key: TaskKey, worker_id: str
    ) -> Flow:
        record = start.record
        ref = TaskRef(record.spec.id, key, start.run)
        link = term.link_by_worker_id.get(worker_id)
        hold = link.hold_by_ref.get(ref) if link else None
        if term.over or link is None or hold is None:
            return
        if record.is_final or hold.stop_wanted or not link.fenced:
            self._not_started(term, link, ref, "no longer wanted")
            return
        if self._needs_new_permit(term, record, key, worker_id):
            self._not_started(term, link, ref, "its permit has run out")
            return
        hold.not_after_ms = (
            link.lease_until_ms(self._host.now.mono, START_WINDOW_S) or 0
        )
        permits = term.permits.for_step(record.spec.id, key.step_key)
        command = StartTask(
            to=WorkerAddress(worker_id, link.info.address),
            ref=ref,
            payload=record.spec.payload,
            not_after_ms=hold.not_after_ms,
            token=term.token,
            checkpoint=start.checkpoint,
            permit=permits.permit_by_worker_id.get(worker_id, ""),
        )
        result = yield from self._send_start(hold, command)
        if term.over or link.hold_by_ref.get(ref) is not hold:
            return
        self._take_start_result(term, link, hold, result)
        self._host.act()

    def _send_start(self, hold: Hold, command: StartTask) -> Flow:
        """Send a start until it is answered, a few times at most.

        Once an attempt went unanswered, a refusal of a later one proves nothing: the
        run may have ended already, or the first attempt may still be carried out.
        """
        failed = CallFailed(Ran.NO, "not sent")
        for _ in range(START_ATTEMPTS):
            result = yield Call(UPSTREAM, command, START_TIMEOUT_S)
            if isinstance(result, CommandAccepted):
                return result
            if isinstance(result, CommandRefused) and failed.ran is Ran.NO:
                return result
            if isinstance(result, CommandRefused):
                return CallFailed(Ran.MAYBE, f"then refused: {result.reason.value}")
            failed = CallFailed(failed.ran.combine(result.ran), result.reason)
            if failed.ran is Ran.NO or hold.stop_wanted or hold.listed:
                break
        return failed

    def _needs_new_permit(
        self, term: OwnerTerm, record: JobRecord, key: TaskKey, worker_id: str
    ) -> bool:
        """Return whether the intent took so long that the worker would refuse."""
        queue = term.queue_of(record)
        if queue is None or queue.advice is None:
            return False
        permits = term.permits.for_step(record.spec.id, key.step_key)
        return not permits.is_valid(worker_id, self._host.now.mono)

    def _take_start_result(
        self, term: OwnerTerm, link: WorkerLink, hold: Hold, result: Any
    ) -> None:
        ref = hold.ref
        if isinstance(result, CommandAccepted) or hold.listed:
            hold.settled_at = hold.settled_at or self._host.now.mono
            return
        log_event(
            "start_failed",
            job=ref.job_id,
            task=list(ref.key),
            run=ref.run,
            worker=link.info.id,
            reason=str(result.reason),
        )
        if isinstance(result, CallFailed) and result.ran is not Ran.NO:
            # It may still happen; a stop makes sure that it does not.
            hold.stop_wanted = True
            term.shun_for_step(link.info.id, ref)
            self.stop(term, link, hold)
            return
        if isinstance(result, CallFailed):
            self._not_started(term, link, ref, result.reason)
            return
        if result.reason is Refusal.PERMIT:
            permits = term.permits.for_step(ref.job_id, ref.key.step_key)
            permits.forget_permit(link.info.id)
        if result.reason in (
            Refusal.UNHEALTHY,
            Refusal.NO_ROOM,
            Refusal.OTHER_INCARNATION,
        ):
            term.cell.avoid(link.info.id, self._host.now.mono + AVOID_UNHEALTHY_S)
        self._not_started(term, link, ref, str(result.reason))

    @staticmethod
    def _not_started(
        term: OwnerTerm, link: WorkerLink, ref: TaskRef, reason: str
    ) -> None:
        term.end_run(link, ref, EndKind.STOPPED, "", f"not started: {reason}")

    def stop(self, term: OwnerTerm, link: WorkerLink, hold: Hold) -> None:
        """Stop a run, and look whether it is gone."""
        hold.stop_sent_at = self._host.now.mono
        self._host.start(self._stop(term, link, hold))

    def stop_unknown(self, term: OwnerTerm, link: WorkerLink, ref: TaskRef) -> None:
        """Stop a run that no record knows."""
        self._host.start(self._stop_unknown(term, link, ref))

    def _stop(self, term: OwnerTerm, link: WorkerLink, hold: Hold) -> Flow:
        command = StopTask(
            WorkerAddress(link.info.id, link.info.address), hold.ref, term.token
        )
        result = yield Call(UPSTREAM, command, COMMAND_TIMEOUT_S)
        if isinstance(result, CommandAccepted):
            hold.settled_at = self._host.now.mono
            yield from self._look_now(term, link)
        else:
            hold.stop_sent_at = float("-inf")

    def _look_now(self, term: OwnerTerm, link: WorkerLink) -> Flow:
        """Have a worker list what it runs, beside the question that waits there."""
        to = WorkerAddress(link.info.id, link.info.address)
        command = SyncWorker(to, term.token, link.acknowledged)
        sent_at = self._host.now.mono
        result = yield Call(UPSTREAM, command, COMMAND_TIMEOUT_S)
        known = term.link_by_worker_id.get(link.info.id)
        if term.over or known is not link or not isinstance(result, WorkerReport):
            return
        take_report(term, link, result, sent_at)
        self._host.act()

    def _stop_unknown(self, term: OwnerTerm, link: WorkerLink, ref: TaskRef) -> Flow:
        to = WorkerAddress(link.info.id, link.info.address)
        result = yield Call(UPSTREAM, StopTask(to, ref, term.token), COMMAND_TIMEOUT_S)
        if isinstance(result, CallFailed | CommandRefused):
            log_event(
                "unknown_run_not_stopped",
                worker=link.info.id,
                job=ref.job_id,
                reason=str(result.reason),
            )

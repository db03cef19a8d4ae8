"""Sends the start of one run to its worker, again if it gets no answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.verdict import Ran
from ..observability.events import log_event
from ..runtime.flows import Call, Flow
from ..runtime.role import UPSTREAM, CallFailed
from ..store.answer_timeout import AnswerTimeout
from ..upstream.tasks import (
    CommandAccepted,
    CommandRefused,
    StartTask,
)
from .fencing import is_fenced_by_own_token, raise_token_if_needed
from .worker_leases import MAX_OPEN_ATTEMPTS, START_WINDOW_S, latest_lease_end

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..planning.planner import Start
    from ..upstream.tasks import TaskRef
    from .flow_host import FlowHost
    from .term import OwnerTerm
    from .worker_leases import TimedCommand
    from .worker_state import TrackedRun, WorkerState

__all__ = ["StartSender", "is_clock_behind"]

# Short, because a start can be retried safely: a worker starts a run only once.
MIN_START_TIMEOUT_S = 0.1
# No attempt begins later than this after the first.
START_EFFORT_S = 1.1


class StartSender:
    """Sends starts, and learns how soon this process reads their answers.

    :param sync_now: syncs with a worker at once, without extending its leases.
    """

    def __init__(
        self, host: FlowHost, sync_now: Callable[[OwnerTerm, WorkerState], Flow]
    ) -> None:
        self._host = host
        self._sync_now = sync_now
        self._timeout = AnswerTimeout(MIN_START_TIMEOUT_S)

    def send(
        self, term: OwnerTerm, start: Start, worker: WorkerState, tracked: TrackedRun
    ) -> Flow:
        """Send a start with a bounded number of retries; return the result.

        No retry is sent once the term has ended or the worker has restarted.
        Once an attempt went unanswered, a refusal of a later attempt is inconclusive:
        the run may already have ended, or the first attempt may still take effect.
        """
        failed = CallFailed(Ran.NO, "not sent")
        incarnation = worker.incarnation
        last_at = self._host.now.mono + START_EFFORT_S
        open_tokens: list[int] = []
        while self._host.now.mono <= last_at:
            if not _may_attempt(term, worker, tracked, incarnation):
                break
            raise_token_if_needed(term, worker)
            token = worker.token
            result = yield from self._attempt(term, start, worker, tracked)
            if not term.is_current(worker, incarnation):
                return result
            if isinstance(result, CommandAccepted):
                worker.record_token(token, self._host.now.mono)
                return result
            if is_fenced_by_own_token(worker, token, result):
                continue
            if isinstance(result, CommandRefused):
                return _refused(result, failed)
            if result.closed and result.ran is not Ran.NO:
                # The worker may have crashed because of it.
                tracked.has_run = True
            failed = CallFailed(failed.ran.combine(result.ran), result.reason)
            if failed.ran is Ran.NO or result.closed:
                break
            open_tokens.append(token)
            if _count_open(open_tokens, worker) >= MAX_OPEN_ATTEMPTS:
                raise_token_if_needed(term, worker)
                yield from self._sync_now(term, worker)
            if _count_open(open_tokens, worker) >= MAX_OPEN_ATTEMPTS:
                break
        return failed

    def _attempt(
        self, term: OwnerTerm, start: Start, worker: WorkerState, tracked: TrackedRun
    ) -> Flow:
        """Send a start once."""
        sent_at = self._host.now.mono
        command, timed = _make_command(term, start, worker, tracked.ref, sent_at)
        least_clock_ms = worker.min_clock_ms(sent_at)
        known_until = tracked.late_lease_until
        if timed is not None:
            until = _late_lease_end(worker, timed, command.permit)
            tracked.late_lease_until = max(known_until, until)
        timeout_s = self._timeout.timeout_s
        result = yield Call(UPSTREAM, command, timeout_s)
        took_s = self._host.now.mono - sent_at
        is_failure = isinstance(result, CallFailed)
        if is_failure:
            took_s = max(0.0, took_s - timeout_s)
        self._timeout.record_answer(took_s)
        worker.record_outcome(timed, result)
        if not is_failure or result.ran is Ran.NO:
            tracked.late_lease_until = known_until
        if isinstance(result, CommandAccepted) and command.permit:
            # An earlier attempt cannot start the run again on this incarnation, and
            # another one refuses the permit.
            tracked.late_lease_until = float("-inf")
        if is_failure or not is_clock_behind(result, least_clock_ms):
            return result
        _log_reached_next_incarnation(worker, tracked.ref, result, least_clock_ms)
        # The clock of the next incarnation makes each lease there the longest one, also
        # of a run whose start got no answer.
        until = latest_lease_end(self._host.now.mono, worker.max_lease_s)
        worker.leases.presume(until)
        term.recent_restarts.record(worker.info.id, self._host.now.mono)
        term.journal.call_after_next_commit(lambda: None)
        if isinstance(result, CommandAccepted):
            tracked.late_lease_until = max(tracked.late_lease_until, until)
        return result


def _make_command(
    term: OwnerTerm, start: Start, worker: WorkerState, ref: TaskRef, now: float
) -> tuple[StartTask, TimedCommand | None]:
    """Return the start of a run, which grants its worker a lease, and its times.

    The latter are ``None`` while the worker's clock is unknown.
    """
    permits = term.permits.for_step(ref.job_id, ref.key.step_key)
    permit = permits.permit_by_worker_id.get(worker.info.id, "")
    refused_from = permits.refused_from(worker.info.id) if permit else None
    timed = worker.begin_timed_command(now, START_WINDOW_S, refused_from)
    command = StartTask(
        to=worker.address,
        ref=ref,
        payload=start.record.spec.payload,
        not_after_ms=timed.until_ms if timed else 0,
        token=worker.token,
        checkpoint=start.checkpoint,
        permit=permit,
    )
    return command, timed


def _may_attempt(
    term: OwnerTerm, worker: WorkerState, tracked: TrackedRun, incarnation: int
) -> bool:
    """Return whether a start is still wanted, and may be sent."""
    if term.has_ended or not term.is_current(worker, incarnation):
        return False
    if tracked.stop_requested or tracked.listed:
        return False
    return not term.session_has_expired()


def _count_open(tokens: list[int], worker: WorkerState) -> int:
    """Return how many unanswered attempts the worker may still carry out."""
    return sum(token >= worker.seen_token for token in tokens)


def _refused(
    refusal: CommandRefused, earlier: CallFailed
) -> CommandRefused | CallFailed:
    """Return what a refusal tells after the earlier attempts."""
    if earlier.ran is Ran.NO:
        return refusal
    return CallFailed(Ran.MAYBE, f"then refused: {refusal.reason.value}")


def is_clock_behind(
    result: CommandAccepted | CommandRefused, least_clock_ms: int
) -> bool:
    """Return whether an answer is of the next incarnation: this one has crashed.

    :param least_clock_ms: the lowest time that this one's clock shows by then.
    """
    return result.clock_ms is not None and result.clock_ms < least_clock_ms


def _log_reached_next_incarnation(
    worker: WorkerState,
    ref: TaskRef,
    result: CommandAccepted | CommandRefused,
    least_clock_ms: int,
) -> None:
    """Log that a start has reached another incarnation than it was meant for."""
    refusal = result.reason.value if isinstance(result, CommandRefused) else ""
    log_event(
        "start_reached_next_incarnation",
        job=ref.job_id,
        task=list(ref.key),
        run=ref.run,
        worker=worker.info.id,
        born=worker.info.born,
        refusal=refusal,
        clock_ms=result.clock_ms,
        least_clock_ms=least_clock_ms,
    )


def _late_lease_end(worker: WorkerState, timed: TimedCommand, permit: str) -> float:
    """Return until when a run has a lease that a late start has begun.

    Without a permit, the next incarnation of the worker may carry the start out. The
    time is one of an earlier clock there, and may be worth the longest lease.
    """
    if permit:
        return timed.is_over_at
    return latest_lease_end(timed.latest_at, worker.max_lease_s)

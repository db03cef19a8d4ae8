"""Performs callers' requests on the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from ..model.verdict import Ran
from ..observability.events import log_event
from ..observability.prometheus import count_refused_submission, observe_request
from ..owner.pending import PENDING_KEY
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.role import STORE, CallFailed, Request
from ..store.answer_timeout import AnswerTimeout
from ..store.messages import (
    ABSENT,
    Get,
    KeyValue,
    ReadRange,
    StoreResult,
    Transaction,
    Write,
)
from ..workload.documents import (
    CancelDocument,
    FinalDocument,
    JobKeys,
    decode_final,
    decode_progress,
    decode_submission,
    encode_submission,
)
from ..workload.record import JobState
from .admission import Admission, Restriction
from .messages import (
    CancelJob,
    IntakeOperation,
    Outcome,
    OutcomeKind,
    ReadPending,
    ReadState,
    SubmitJob,
)
from .owner_follower import OwnerFollower
from .recent_ids import RecentIds

if TYPE_CHECKING:
    import random

    from ..store.health import StoreHealth

__all__ = ["IntakeRole"]

READ_TIMEOUT_S = 0.8
# An unanswered write is retried for this long: a submission expects its key to be
# absent, so it is not stored twice, and a repeated cancellation changes nothing.
MAX_WRITE_S = 1.6
# No attempt begins if less of that time is left.
MIN_ATTEMPT_S = 0.1
# How often a cancellation is tried if the job changes meanwhile.
CANCEL_ATTEMPTS = 2
RETRY_DELAY_S = 0.1
MAX_BEGUN_JOBS = 5000
# Two calls in a row may lose their answers while others get theirs.
MIN_SILENCE_S = 0.5


class IntakeRole(FlowRole):
    """Accepts, cancels and reads jobs.

    Conditions in the store transaction detect duplicate submissions.

    :param rng: see :class:`~.admission.Admission`.
    """

    name = "intake"
    tick_interval_s = None

    def __init__(self, health: StoreHealth, rng: random.Random) -> None:
        super().__init__("intake")
        self._health = health
        self._write_timeout = AnswerTimeout()
        self._admission = Admission(rng)
        self._owner_follower = OwnerFollower(self, self._admission)
        self._begun_jobs = RecentIds(MAX_BEGUN_JOBS)
        self._running = False

    def receive(self, message: Any) -> None:
        """Follow the owner from the first tick on; start a flow for each request."""
        if isinstance(message, Request):
            self.start(self._serve(message))
        elif not self._running:
            self._running = True
            self.start(self._owner_follower.follow())

    def _serve(self, request: Request) -> Flow:
        """Perform a request; refuse it at once while the store is unreachable."""
        operation = request.operation
        started_at = self.now.mono
        outcome = Outcome(OutcomeKind.REFUSED, "no contact with the store")
        if not self._is_store_away():
            outcome = yield from self._perform(request)
        took_s = self.now.mono - started_at
        observe_request(type(operation).__name__, outcome.kind.value, took_s)
        if not isinstance(operation, ReadState | ReadPending):
            log_event(
                "request_served",
                kind=type(operation).__name__,
                job=_job_id_of(operation),
                outcome=outcome.kind,
                reason=outcome.reason,
                took_s=round(took_s, 3),
            )
        self.answer(request, outcome)

    def _is_store_away(self) -> bool:
        """Return whether calls fail, and not only because two answers were lost."""
        is_silent = self._health.silence_s() >= MIN_SILENCE_S
        return is_silent and self._health.is_unreachable()

    def _perform(self, request: Request) -> Flow:
        match request.operation:
            case SubmitJob() as operation:
                return (yield from self._submit(request, operation))
            case CancelJob() as operation:
                return (yield from self._cancel(operation, request.timeout_s))
            case ReadState() as operation:
                return (yield from self._read_state(operation))
            case ReadPending() as operation:
                return (yield from self._read_pending(operation))
        return Outcome(OutcomeKind.REFUSED, "no such operation")

    def _submit(self, request: Request, operation: SubmitJob) -> Flow:
        spec = operation.spec
        tasks = spec.tasks_per_occurrence
        refusal = self._admission.refusal(self.now.mono)
        refusal = refusal or self._admission.refusal_of_tasks(tasks, self.now.mono)
        if refusal is not None:
            return (yield from self._refuse_unless_stored(operation, refusal))
        keys = JobKeys(spec.id)
        change = Transaction(
            expected=((keys.submission, ABSENT), (keys.final, ABSENT)),
            puts=(Write(keys.submission, encode_submission(spec)),),
        )
        result = yield from self._write(change, request.timeout_s)
        outcome = self._submit_outcome(operation, result)
        if outcome.kind is not OutcomeKind.DONE:
            return outcome
        if result.ok:
            self._admission.record_stored(result.revision, self.now.mono, tasks)
        log_event(
            "job_submitted",
            job=spec.id,
            queue=spec.queue,
            team=spec.team,
            policy_revision=operation.policy_revision,
            revision=result.revision,
        )
        return outcome

    def _refuse_unless_stored(self, operation: SubmitJob, refusal: Restriction) -> Flow:
        """Refuse a submission; confirm it if an earlier request has stored the job."""
        keys = JobKeys(operation.spec.id)
        found = yield Call(STORE, ReadRange(keys.prefix), READ_TIMEOUT_S)
        if isinstance(found, CallFailed):
            return Outcome(OutcomeKind.UNKNOWN, found.reason)
        for item in found.entries:
            if item.key in (keys.submission, keys.final):
                team = operation.spec.team
                return _outcome_of_duplicate(_team_of(keys, item), team)
        count_refused_submission(refusal.reason)
        return Outcome(
            OutcomeKind.REFUSED, refusal.reason, retry_after_s=refusal.retry_after_s
        )

    def _submit_outcome(
        self, operation: SubmitJob, result: StoreResult | CallFailed
    ) -> Outcome:
        if isinstance(result, CallFailed):
            return _outcome_of_failure(result)
        if result.ok:
            return Outcome(OutcomeKind.DONE)
        keys = JobKeys(operation.spec.id)
        for item in result.entries:
            if item.key in (keys.submission, keys.final):
                return _outcome_of_duplicate(_team_of(keys, item), operation.spec.team)
        return Outcome(OutcomeKind.UNKNOWN, "the job's documents changed meanwhile")

    def _write(self, change: Transaction, timeout_s: float) -> Flow:
        """Apply a transaction; a failure tells whether any attempt may take effect."""
        ran = Ran.NO
        left_s = min(MAX_WRITE_S, timeout_s)
        ends_at = self.now.mono + left_s
        while True:
            sent_at = self.now.mono
            attempt_s = min(self._write_timeout.timeout_s, left_s)
            result = yield Call(STORE, change, attempt_s)
            if not isinstance(result, CallFailed):
                self._write_timeout.record_answer(self.now.mono - sent_at)
                return result
            ran = ran.combine(result.ran)
            if result.refused or (ran is Ran.NO and self._is_store_away()):
                break
            if result.ran is Ran.NO:
                # The next attempt may reach the store, and only it can tell whether an
                # unanswered one before took effect.
                yield Sleep(RETRY_DELAY_S)
            else:
                self._write_timeout.record_failure()
            left_s = ends_at - self.now.mono
            if left_s < MIN_ATTEMPT_S:
                break
        return CallFailed(ran, result.reason)

    def _cancel(self, operation: CancelJob, timeout_s: float) -> Flow:
        keys = JobKeys(operation.job_id)
        for attempt in range(CANCEL_ATTEMPTS):
            found = yield Call(STORE, ReadRange(keys.prefix), READ_TIMEOUT_S)
            if isinstance(found, CallFailed) and attempt:
                # An earlier attempt may have cancelled the job, which then changed.
                return Outcome(OutcomeKind.UNKNOWN, found.reason)
            if isinstance(found, CallFailed):
                return _outcome_of_failure(found)
            by_key = {item.key: item for item in found.entries}
            submission = by_key.get(keys.submission)
            if keys.final in by_key or submission is None:
                return _outcome_of_final(keys, by_key.get(keys.final), operation.team)
            if _team_of(keys, submission) != operation.team:
                return Outcome(OutcomeKind.OTHER_TEAM)
            document = CancelDocument(wanted_at=self.now.wall)
            change = Transaction(
                expected=((keys.submission, submission.revision),),
                puts=(Write(keys.cancel, document.model_dump_json()),),
            )
            result = yield from self._write(change, timeout_s)
            if isinstance(result, CallFailed):
                return _outcome_of_failure(result)
            if result.ok:
                return Outcome(OutcomeKind.DONE)
        return Outcome(OutcomeKind.UNKNOWN, "the job changed meanwhile")

    def _read_state(self, operation: ReadState) -> Flow:
        keys = JobKeys(operation.job_id)
        found = yield Call(STORE, ReadRange(keys.prefix), READ_TIMEOUT_S)
        if isinstance(found, CallFailed):
            return _outcome_of_failure(found)
        by_key = {item.key: item for item in found.entries}
        submission = by_key.get(keys.submission)
        final = by_key.get(keys.final)
        if final is not None or submission is None:
            return _outcome_of_final(keys, final, operation.team)
        if _team_of(keys, submission) != operation.team:
            return Outcome(OutcomeKind.OTHER_TEAM)
        if keys.cancel in by_key:
            return Outcome(OutcomeKind.DONE, state=JobState.CANCELLED)
        if operation.job_id in self._begun_jobs:
            # A job that has begun is running until it is final.
            return Outcome(OutcomeKind.DONE, state=JobState.RUNNING)
        progress = yield Call(STORE, Get(keys.progress), READ_TIMEOUT_S)
        if isinstance(progress, CallFailed):
            return _outcome_of_failure(progress)
        state = _state_of_progress(progress.entry)
        if state is JobState.RUNNING:
            self._begun_jobs.add(operation.job_id)
        return Outcome(OutcomeKind.DONE, state=state)

    def _read_pending(self, operation: ReadPending) -> Flow:
        result = yield Call(STORE, Get(PENDING_KEY), READ_TIMEOUT_S)
        if isinstance(result, CallFailed):
            return _outcome_of_failure(result)
        counts = json.loads(result.entry.value) if result.entry else {}
        pending = int(counts.get(operation.queue, 0))
        return Outcome(OutcomeKind.DONE, pending=pending)


def _job_id_of(operation: IntakeOperation) -> str:
    if isinstance(operation, SubmitJob):
        return operation.spec.id
    return getattr(operation, "job_id", "")


def _outcome_of_failure(result: CallFailed) -> Outcome:
    kind = OutcomeKind.REFUSED if result.ran is Ran.NO else OutcomeKind.UNKNOWN
    return Outcome(kind, result.reason)


def _team_of(keys: JobKeys, item: KeyValue) -> str | None:
    """Return the team of a submission or final state, or ``None`` if invalid."""
    if item.key == keys.final:
        decoded = decode_final(item.value)
    else:
        decoded = decode_submission(item.value)
    return decoded.ok.team if decoded.is_ok() else None


def _outcome_of_duplicate(stored_team: str | None, team: str) -> Outcome:
    if stored_team == team:
        return Outcome(OutcomeKind.DONE, "already stored")
    return Outcome(OutcomeKind.OTHER_TEAM)


def _outcome_of_final(keys: JobKeys, final: KeyValue | None, team: str) -> Outcome:
    if final is None:
        return Outcome(OutcomeKind.MISSING)
    decoded = decode_final(final.value)
    if decoded.is_error():
        return Outcome(OutcomeKind.UNKNOWN, decoded.error)
    document: FinalDocument = decoded.ok
    if document.team != team:
        return Outcome(OutcomeKind.OTHER_TEAM)
    return Outcome(OutcomeKind.DONE, state=document.state)


def _state_of_progress(item: KeyValue | None) -> JobState:
    if item is None:
        return JobState.QUEUED
    decoded = decode_progress(item.value)
    if decoded.is_error() or decoded.ok.state.is_final:
        # A final state is reported only from the final document.
        return JobState.RUNNING
    return decoded.ok.state

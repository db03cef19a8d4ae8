"""Carries out callers' requests against the store."""

from __future__ import annotations

import json
from typing import Any

from ..model.verdict import Ran
from ..observability.events import log_event
from ..owner.pending import PENDING_KEY
from ..runtime.flows import Call, Flow, FlowRole
from ..runtime.role import STORE, CallFailed, Request
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
from .messages import (
    CancelJob,
    Outcome,
    OutcomeKind,
    ReadPending,
    ReadState,
    SubmitJob,
)

__all__ = ["IntakeRole"]

WRITE_TIMEOUT_S = 0.8
READ_TIMEOUT_S = 0.8
# A write without an answer is tried again; it cannot take effect twice.
WRITE_ATTEMPTS = 2


class IntakeRole(FlowRole):
    """Accepts, cancels and looks up jobs; the store judges what is a duplicate."""

    name = "intake"

    def __init__(self) -> None:
        super().__init__("intake")

    def receive(self, message: Any) -> None:
        """Start an operation for each request."""
        if not isinstance(message, Request):
            return
        match message.operation:
            case SubmitJob():
                self.start(self._submit(message, message.operation))
            case CancelJob():
                self.start(self._cancel(message, message.operation))
            case ReadState():
                self.start(self._read_state(message, message.operation))
            case ReadPending():
                self.start(self._read_pending(message, message.operation))

    # Submission.

    def _submit(self, request: Request, operation: SubmitJob) -> Flow:
        spec = operation.spec
        keys = JobKeys(spec.id)
        change = Transaction(
            expected=(
                (keys.submission, ABSENT),
                (keys.final, ABSENT),
                (operation.policy_key, operation.policy_revision),
            ),
            puts=(Write(keys.submission, encode_submission(spec)),),
        )
        result = yield from self._write(change, request.timeout_s)
        outcome = self._submit_outcome(operation, result)
        log_event(
            "job_submitted",
            job=spec.id,
            queue=spec.queue,
            team=spec.team,
            outcome=outcome.kind,
            reason=outcome.reason,
            policy_revision=operation.policy_revision,
            revision=result.revision if isinstance(result, StoreResult) else None,
        )
        self.answer(request, outcome)

    def _submit_outcome(
        self, operation: SubmitJob, result: StoreResult | CallFailed
    ) -> Outcome:
        if isinstance(result, CallFailed):
            return _failed(result)
        if result.ok:
            return Outcome(OutcomeKind.DONE)
        keys = JobKeys(operation.spec.id)
        for entry in result.entries:
            if entry.key in (keys.submission, keys.final):
                return _same_team(_team_of(keys, entry), operation.spec.team)
        return Outcome(OutcomeKind.POLICY_CHANGED, "the policy has changed")

    def _write(self, change: Transaction, timeout_s: float) -> Flow:
        """Perform a change; a failure says whether any attempt may take effect."""
        ran = Ran.NO
        reason = ""
        for _ in range(WRITE_ATTEMPTS):
            result = yield Call(STORE, change, min(WRITE_TIMEOUT_S, timeout_s))
            if not isinstance(result, CallFailed):
                return result
            ran = ran.combine(result.ran)
            reason = result.reason
            if result.ran is Ran.NO:
                break
        return CallFailed(ran, reason)

    # Cancellation.

    def _cancel(self, request: Request, operation: CancelJob) -> Flow:
        outcome = yield from self._cancel_durably(operation, request.timeout_s)
        log_event(
            "cancel_asked",
            job=operation.job_id,
            team=operation.team,
            outcome=outcome.kind,
            reason=outcome.reason,
        )
        self.answer(request, outcome)

    def _cancel_durably(self, operation: CancelJob, timeout_s: float) -> Flow:
        keys = JobKeys(operation.job_id)
        for _ in range(WRITE_ATTEMPTS):
            found = yield Call(STORE, ReadRange(keys.prefix), READ_TIMEOUT_S)
            if isinstance(found, CallFailed):
                return _failed(found)
            by_key = {entry.key: entry for entry in found.entries}
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
                return _failed(result)
            if result.ok:
                return Outcome(OutcomeKind.DONE)
        return Outcome(OutcomeKind.UNKNOWN, "the job changed meanwhile")

    # State.

    def _read_state(self, request: Request, operation: ReadState) -> Flow:
        keys = JobKeys(operation.job_id)
        found = yield Call(STORE, ReadRange(keys.prefix), READ_TIMEOUT_S)
        if isinstance(found, CallFailed):
            self.answer(request, _failed(found))
            return
        by_key = {entry.key: entry for entry in found.entries}
        submission = by_key.get(keys.submission)
        final = by_key.get(keys.final)
        if final is not None or submission is None:
            outcome = _outcome_of_final(keys, final, operation.team)
            self.answer(request, outcome)
            return
        if _team_of(keys, submission) != operation.team:
            self.answer(request, Outcome(OutcomeKind.OTHER_TEAM))
            return
        if keys.cancel in by_key:
            outcome = Outcome(OutcomeKind.DONE, state=JobState.CANCELLED)
            self.answer(request, outcome)
            return
        progress = yield Call(STORE, Get(keys.progress), READ_TIMEOUT_S)
        if isinstance(progress, CallFailed):
            self.answer(request, _failed(progress))
            return
        state = _state_of_progress(progress.entry)
        self.answer(request, Outcome(OutcomeKind.DONE, state=state))

    def _read_pending(self, request: Request, operation: ReadPending) -> Flow:
        result = yield Call(STORE, Get(PENDING_KEY), READ_TIMEOUT_S)
        if isinstance(result, CallFailed):
            self.answer(request, _failed(result))
            return
        counts = json.loads(result.entry.value) if result.entry else {}
        pending = int(counts.get(operation.queue, 0))
        self.answer(request, Outcome(OutcomeKind.DONE, pending=pending))


def _failed(result: CallFailed) -> Outcome:
    kind = OutcomeKind.REFUSED if result.ran is Ran.NO else OutcomeKind.UNKNOWN
    return Outcome(kind, result.reason)


def _team_of(keys: JobKeys, entry: KeyValue) -> str | None:
    """Return the team of a submission or final state, or ``None`` if unreadable."""
    if entry.key == keys.final:
        decoded = decode_final(entry.value)
    else:
        decoded = decode_submission(entry.value)
    return decoded.ok.team if decoded.is_ok() else None


def _same_team(found: str | None, wanted: str) -> Outcome:
    if found == wanted:
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


def _state_of_progress(entry: KeyValue | None) -> JobState:
    if entry is None:
        return JobState.QUEUED
    decoded = decode_progress(entry.value)
    if decoded.is_error() or decoded.ok.state.is_final:
        # Final states are told only from the document that is written for them.
        return JobState.RUNNING
    return decoded.ok.state

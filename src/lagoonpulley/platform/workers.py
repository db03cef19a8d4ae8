"""Encodes commands to workers and the advisor as HTTP and decodes the answers."""

from __future__ import annotations

import json
import math
from typing import Any

from pydantic import BaseModel, Field, ValidationError

from ..model.verdict import Ran
from ..owner.settings import DEFAULT_VALUE_BYTES
from ..runtime.curl import HttpAnswer, HttpCall, HttpFailure
from ..runtime.role import CallFailed
from ..upstream.tasks import (
    Advice,
    AskAdvice,
    CommandAccepted,
    CommandRefused,
    Refusal,
    StartTask,
    StopTask,
    SyncWorker,
    TaskRef,
    ThrottleTask,
    WorkerReport,
)
from .ranges import Milliseconds, Whole
from .worker_rows import read_ended, read_permits, read_running

__all__ = ["PlatformWorkerCodec", "WorkerOperation"]

MS_PER_S = 1000

WorkerOperation = StartTask | StopTask | ThrottleTask | SyncWorker | AskAdvice

# A number with more is out of every range.
MAX_DIGITS = 40

OK = 200
MISDIRECTED_REQUEST = 421
NOT_EXECUTED_STATUSES = frozenset((429, 503))

_REFUSAL_BY_STATUS = {
    400: Refusal.INVALID,
    MISDIRECTED_REQUEST: Refusal.OTHER_LIFE,
    429: Refusal.UNHEALTHY,
    503: Refusal.UNHEALTHY,
}
_REFUSAL_BY_REASON = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.PERMIT,
}


class _Body(BaseModel):
    """Union of the fields of the workers' and the advisor's answers.

    The rows of ``running``, ``finished`` and ``good`` are read one by one, see
    :mod:`.worker_rows`.
    """

    clock_ms: Whole | None = Field(None, alias="clockMs")
    born: Whole = 0
    reason: str = ""
    running: list[Any] = Field(default_factory=list)
    finished: list[Any] = Field(default_factory=list)
    good: list[Any] = Field(default_factory=list)
    valid_ms: Milliseconds = Field(0, alias="validMs")


class PlatformWorkerCodec:
    """Codec for commands to workers and requests to the advisor.

    :param max_checkpoint_bytes: a longer checkpoint cannot be stored.
    """

    def __init__(
        self, advisor_address: str, max_checkpoint_bytes: int = DEFAULT_VALUE_BYTES
    ) -> None:
        self._max_checkpoint_bytes = max_checkpoint_bytes
        self.set_advisor_address(advisor_address)

    def set_advisor_address(self, address: str) -> None:
        """Send later requests to the advisor at ``address`` (``IP:PORT``)."""
        self._advisor_url = f"http://{address}/api/advise"

    def encode(self, operation: WorkerOperation, timeout_s: float) -> HttpCall:
        """Return the HTTP call for a command."""
        if isinstance(operation, AskAdvice):
            step = f"{operation.job_id}.{operation.occurrence}.{operation.step}"
            body = {"step": step, "workers": list(operation.worker_ids)}
            return HttpCall("POST", self._advisor_url, _dump(body), timeout_s)
        path, body = _path_and_body(operation)
        headers = (
            "Content-Type: application/json",
            f"Expected-Instance: {operation.to.worker_id}",
        )
        url = f"http://{operation.to.address}{path}"
        return HttpCall("POST", url, _dump(body), timeout_s, headers)

    def decode(
        self, operation: WorkerOperation, outcome: HttpAnswer | HttpFailure
    ) -> Advice | WorkerReport | CommandAccepted | CommandRefused | CallFailed:
        """Return the result of a command, decoded from its HTTP answer."""
        if isinstance(outcome, HttpFailure):
            return CallFailed(outcome.ran, outcome.reason, closed=outcome.closed)
        try:
            body = _parse_body(outcome.body or b"{}")
        except (ValueError, RecursionError) as error:
            if outcome.status == OK:
                reason = f"worker answer cannot be read: {type(error).__name__}"
                return CallFailed(Ran.MAYBE, reason)
            body = _Body()
        if outcome.status != OK:
            return _to_refusal(operation, outcome.status, body)
        if isinstance(operation, AskAdvice):
            return Advice(read_permits(body.good), body.valid_ms / MS_PER_S)
        if body.clock_ms is None:
            return CallFailed(Ran.MAYBE, "worker answer has no clock")
        if isinstance(operation, SyncWorker):
            return _to_report(body, self._max_checkpoint_bytes)
        return CommandAccepted(body.clock_ms)


def _parse_body(data: bytes) -> _Body:
    """Return the fields of an answer.

    :raises ValueError: when it is no JSON, or a field beside the rows is odd.
    :raises RecursionError: when it is nested too deeply.
    """
    try:
        return _Body.model_validate_json(data)
    except ValidationError:
        # A text that is not Unicode, or a very long number, may be in one row only.
        text = data.decode(errors="surrogateescape")
        return _Body.model_validate(json.loads(text, parse_int=_parse_whole))


def _parse_whole(digits: str) -> float:
    return int(digits) if len(digits) <= MAX_DIGITS else math.inf


def _to_refusal(
    operation: WorkerOperation, status: int, body: _Body
) -> CommandRefused | CallFailed:
    if isinstance(operation, AskAdvice):
        return CallFailed(Ran.NO, f"advisor answered {status}")
    reason = _REFUSAL_BY_REASON.get(body.reason) or _REFUSAL_BY_STATUS.get(status)
    if reason is None:
        return CallFailed(Ran.MAYBE, f"worker answered {status} {body.reason}")
    return CommandRefused(reason, body.clock_ms)


def _path_and_body(operation: Any) -> tuple[str, dict[str, Any]]:
    match operation:
        case StartTask():
            body = _run_fields(operation.ref) | {
                "spec": operation.payload,
                "deadlineMs": operation.not_after_ms,
                "fencingToken": operation.token,
            }
            if operation.checkpoint:
                body["checkpoint"] = operation.checkpoint
            if operation.permit:
                body["ticket"] = operation.permit
            return "/api/run-start", body
        case StopTask():
            body = _run_fields(operation.ref) | {"fencingToken": operation.token}
            return "/api/run-stop", body
        case ThrottleTask():
            body = _run_fields(operation.ref) | {
                "percent": operation.percent,
                "fencingToken": operation.token,
            }
            return "/api/pace", body
        case SyncWorker():
            body = {
                "fencingToken": operation.token,
                "ackedSeq": operation.acknowledged,
            }
            if operation.lease_until_ms is not None:
                body["deadlineMs"] = operation.lease_until_ms
            if operation.wait_s > 0:
                body["waitMs"] = int(operation.wait_s * MS_PER_S)
            return "/api/hold", body
    raise TypeError(f"unknown command {type(operation).__name__}")


def _run_fields(ref: TaskRef) -> dict[str, Any]:
    name = f"{ref.job_id}.{ref.key.occurrence}.{ref.key.step}.{ref.key.index}"
    return {"task": name, "run": ref.run}


def _to_report(body: _Body, max_checkpoint_bytes: int) -> WorkerReport:
    running = read_running(body.running, max_checkpoint_bytes)
    ended = read_ended(body.finished, max_checkpoint_bytes)
    return WorkerReport(
        int(body.clock_ms or 0),
        body.born,
        tuple(running.runs),
        tuple(ended.ends),
        tuple(ended.unread_numbers),
        running.all_read and ended.all_read,
    )


def _dump(body: dict[str, Any]) -> bytes:
    return json.dumps(body, separators=(",", ":")).encode()

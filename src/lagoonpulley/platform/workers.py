"""Encodes commands to workers and the advisor as HTTP and decodes the answers."""

from __future__ import annotations

import json
import math
import re
from typing import Any

from pydantic import BaseModel, Field, ValidationError

from ..model.verdict import Ran
from ..observability.events import log_event
from ..runtime.curl import HttpAnswer, HttpCall, HttpFailure
from ..runtime.role import CallFailed
from ..upstream.tasks import (
    Advice,
    AskAdvice,
    CommandAccepted,
    CommandRefused,
    Ended,
    Refusal,
    Running,
    StartTask,
    StopTask,
    SyncWorker,
    TaskRef,
    ThrottleTask,
    WorkerReport,
)
from ..workload.documents import MAX_CHECKPOINT_LENGTH, Checkpoint
from ..workload.record import EndKind
from ..workload.spec import TaskKey
from .ranges import MAX_WHOLE, Milliseconds, Whole

__all__ = ["PlatformWorkerCodec", "WorkerOperation"]

MS_PER_S = 1000

WorkerOperation = StartTask | StopTask | ThrottleTask | SyncWorker | AskAdvice

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

# The numbers in a task's name.
TASK_NUMBER = re.compile(r"[0-9]{1,15}")


class _Body(BaseModel):
    """Union of the fields of the workers' and the advisor's answers.

    ``running`` holds rows of task, run, checkpoint, percent and load, ``finished``
    rows of number, task, run, kind and checkpoint, and ``good`` pairs of worker and
    permit.
    """

    clock_ms: Whole | None = Field(None, alias="clockMs")
    born: Whole = 0
    reason: str = ""
    running: list[list[Any]] = Field(default_factory=list, fail_fast=True)
    finished: list[tuple[Whole, str, Whole, str, Checkpoint]] = Field(
        default_factory=list, fail_fast=True
    )
    good: list[tuple[str, str]] = Field(default_factory=list, fail_fast=True)
    valid_ms: Milliseconds = Field(0, alias="validMs")


class PlatformWorkerCodec:
    """Codec for commands to workers and requests to the advisor."""

    def __init__(self, advisor_address: str) -> None:
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
            body = _Body.model_validate_json(outcome.body or b"{}")
        except ValidationError as error:
            if outcome.status == OK:
                count = error.error_count()
                return CallFailed(Ran.MAYBE, f"worker answer has {count} faults")
            body = _Body()
        if outcome.status != OK:
            return _to_refusal(operation, outcome.status, body)
        if isinstance(operation, AskAdvice):
            return Advice(dict(body.good), body.valid_ms / MS_PER_S)
        if body.clock_ms is None:
            return CallFailed(Ran.MAYBE, "worker answer has no clock")
        if isinstance(operation, SyncWorker):
            try:
                return _to_report(body)
            except (ValueError, TypeError, ArithmeticError) as error:
                kind = type(error).__name__
                return CallFailed(Ran.MAYBE, f"worker lists an odd run: {kind}")
        return CommandAccepted(body.clock_ms)


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


def _parse_ref(name: str, run: int) -> TaskRef | None:
    """Return the run of a named task, or ``None`` if the name has another format."""
    job_id, *parts = name.split(".")
    if len(parts) != 3 or not all(map(TASK_NUMBER.fullmatch, parts)):
        return None
    return TaskRef(job_id, TaskKey(*map(int, parts)), run)


def _parse_end_kind(kind: str) -> EndKind:
    """Return the kind of end; an unknown one counts as a failure of the task."""
    try:
        return EndKind(kind)
    except ValueError:
        log_event("end_kind_unknown", kind=kind)
        return EndKind.FAILED


def _to_report(body: _Body) -> WorkerReport | CallFailed:
    running = []
    for row in body.running:
        if len(row) < 4:
            return CallFailed(Ran.MAYBE, "worker lists a run with too few fields")
        ref = _parse_ref(str(row[0]), _to_whole(row[1]))
        if ref is None:
            continue
        load = float(row[4]) if len(row) > 4 and row[4] is not None else 0.0
        if not math.isfinite(load):
            raise ValueError("the load is not finite")
        checkpoint = _check_checkpoint(str(row[2] or ""))
        running.append(Running(ref, checkpoint, _to_whole(row[3]), load))
    ended = []
    for number, name, run, kind, checkpoint in body.finished:
        ref = _parse_ref(name, run)
        if ref is None:
            continue
        ended.append(Ended(number, ref, _parse_end_kind(kind), checkpoint))
    return WorkerReport(
        int(body.clock_ms or 0), body.born, tuple(running), tuple(ended)
    )


def _to_whole(value: Any) -> int:
    """Return a value as a whole number.

    :raises ValueError: when it is none, or out of range.
    """
    number = int(value)
    if not 0 <= number <= MAX_WHOLE:
        raise ValueError("a number is out of range")
    return number


def _check_checkpoint(text: str) -> str:
    """Return a checkpoint that can be stored.

    :raises ValueError: when it is too long.
    """
    if len(text) > MAX_CHECKPOINT_LENGTH:
        raise ValueError("a checkpoint is too long")
    return text


def _dump(body: dict[str, Any]) -> bytes:
    return json.dumps(body, separators=(",", ":")).encode()

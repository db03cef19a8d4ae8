"""WSGI applications for the platform's callers and its load balancer."""

from __future__ import annotations

import itertools
import math
import re
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, Protocol

from werkzeug.exceptions import RequestEntityTooLarge
from werkzeug.wrappers import Request, Response

from ..intake.messages import (
    CancelJob,
    Outcome,
    OutcomeKind,
    ReadPending,
    ReadState,
    SubmitJob,
)
from ..observability.events import log_event
from ..observability.prometheus import metrics_text
from .submission import decode_submission_body

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..intake.readiness import EntryReadiness
    from ..policy.values import Policy, Queue
    from ..runtime.role import Now

__all__ = ["PlatformGateway", "ReadinessApp"]

MS_PER_S = 1000
JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
MAX_BODY_BYTES = 262_144
DEFAULT_TIMEOUT_S = 3.0
MAX_TIMEOUT_S = 10.0
RETRY_AFTER_S = 1
# Bodies above this are decoded one at a time, always by the same thread: the allocator
# keeps for each thread what the largest one took, 50 times its size.
LARGE_BODY_BYTES = 16_384
METRICS_PATH = "/metrics"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"
# How long a request waits for a confirmation of the policy.
POLICY_WAIT_S = 0.5

_STATUS_BY_KIND = {
    OutcomeKind.DONE: 200,
    OutcomeKind.REFUSED: 503,
    OutcomeKind.UNKNOWN: 504,
    OutcomeKind.MISSING: 410,
    OutcomeKind.OTHER_TEAM: 403,
}


class _Runtime(Protocol):
    def call(
        self, to: str, operation: Any, timeout_s: float, request_id: str
    ) -> Outcome:
        """Send a request to a role and wait for its result."""
        ...


class PlatformGateway:
    """WSGI application that passes callers' requests to the intake role."""

    def __init__(
        self,
        runtime: _Runtime,
        entry_readiness: EntryReadiness,
        clocks: Callable[[], Now],
    ) -> None:
        self._runtime = runtime
        self._entry_readiness = entry_readiness
        self._clocks = clocks
        self._request_numbers = itertools.count()
        self._large_bodies = ThreadPoolExecutor(1, thread_name_prefix="large-body")

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request."""
        request = Request(environ)
        request.max_content_length = MAX_BODY_BYTES
        try:
            response = self._answer(request)
        except RequestEntityTooLarge:
            response = Response(status=413)
        if self._entry_readiness.is_stopping:
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _answer(self, request: Request) -> Response:
        wait_s = min(POLICY_WAIT_S, _timeout_s(request))
        policy = self._entry_readiness.current_policy(wait_s)
        if policy is None:
            return self._refuse_without_policy()
        outcome = self._perform(request, policy)
        if isinstance(outcome, Response):
            return outcome
        return _to_response(outcome, request)

    def _refuse_without_policy(self) -> Response:
        """Refuse a request, as the policy known here may be outdated."""
        age_s = self._entry_readiness.policy_age_s()
        log_event("policy_age_refused", age_s=round(age_s, 3))
        return _refusal("the policy is not confirmed")

    def _perform(self, request: Request, policy: Policy) -> Outcome | Response:
        queue = policy.find_queue(request.host.partition(":")[0], request.path)
        if queue is None:
            return Response(status=404)
        key = request.headers.get("X-Api-Key", "")
        team = policy.team_by_api_key.get(key)
        if team is None and not queue.is_public:
            return Response(status=401)
        path_suffix = request.path[len(queue.prefix) :]
        if request.method == "GET" and not path_suffix:
            return self._call(ReadPending(queue.name), request)
        if JOB_ID.fullmatch(path_suffix) is None:
            return Response(status=404)
        return self._perform_on_job(request, policy, queue, team or "", path_suffix)

    def _perform_on_job(
        self, request: Request, policy: Policy, queue: Queue, team: str, job_id: str
    ) -> Outcome | Response:
        match request.method:
            case "GET":
                return self._call(ReadState(job_id, team), request)
            case "DELETE":
                return self._call(CancelJob(job_id, team), request)
            case "POST":
                return self._submit(request, policy, queue, team, job_id)
        return Response(status=405)

    def _submit(
        self, request: Request, policy: Policy, queue: Queue, team: str, job_id: str
    ) -> Outcome | Response:
        now = self._clocks().wall
        body = request.get_data()
        arguments = (body, job_id, queue.name, team, now)
        if len(body) > LARGE_BODY_BYTES:
            decoding = self._large_bodies.submit(decode_submission_body, *arguments)
            decoded = decoding.result()
        else:
            decoded = decode_submission_body(*arguments)
        if decoded.is_error():
            return Response(decoded.error, status=400)
        return self._call(SubmitJob(decoded.ok, policy.revision), request)

    def _call(self, operation: Any, request: Request) -> Outcome:
        timeout_s = _timeout_s(request)
        request_id = f"caller:{next(self._request_numbers)}"
        try:
            return self._runtime.call("intake", operation, timeout_s, request_id)
        except TimeoutError:
            return Outcome(OutcomeKind.UNKNOWN, "no outcome in time")


class ReadinessApp:
    """WSGI application for the load balancer's readiness check and for metrics."""

    def __init__(self, entry_readiness: EntryReadiness) -> None:
        self._entry_readiness = entry_readiness

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer a readiness check or a request for the metrics."""
        request = Request(environ)
        if request.path == METRICS_PATH:
            response = Response(metrics_text(), content_type=METRICS_CONTENT_TYPE)
            return response(environ, start_response)
        if request.path != "/api/readyz":
            return Response(status=404)(environ, start_response)
        status = 200 if self._entry_readiness.is_ready() else 503
        return Response(status=status)(environ, start_response)


def _timeout_s(request: Request) -> float:
    """Return the caller's timeout in seconds, limited to ``MAX_TIMEOUT_S``.

    Without a valid ``Deadline-Ms`` header it is ``DEFAULT_TIMEOUT_S``.
    """
    try:
        timeout_s = float(request.headers.get("Deadline-Ms", "")) / MS_PER_S
    except ValueError:
        return DEFAULT_TIMEOUT_S
    if math.isnan(timeout_s):
        return DEFAULT_TIMEOUT_S
    return min(max(timeout_s, 0.0), MAX_TIMEOUT_S)


def _to_response(outcome: Outcome, request: Request) -> Response:
    if outcome.kind is OutcomeKind.REFUSED:
        return _refusal(outcome.reason, outcome.retry_after_s)
    status = _STATUS_BY_KIND[outcome.kind]
    if outcome.kind is not OutcomeKind.DONE:
        return Response(status=status)
    body = "{}"
    if request.method == "GET" and outcome.state is not None:
        body = f'{{"state":"{outcome.state.value}"}}'
    elif request.method == "GET":
        body = f'{{"pending":{outcome.pending}}}'
    return Response(body, status=status, content_type="application/json")


def _refusal(reason: str, retry_after_s: int = RETRY_AFTER_S) -> Response:
    """Return an answer for a request that was not and will not be executed.

    :param retry_after_s: when the caller should try again, in whole seconds.
    """
    headers = {"Retry-After": str(retry_after_s)}
    return Response(reason, status=503, headers=headers)

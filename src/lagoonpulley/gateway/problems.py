"""Errors of the HTTP interface as ``application/problem+json``."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from werkzeug.wrappers import Response

from ..model.verdict import Ran

if TYPE_CHECKING:
    from ..peers.messages import Refusal

__all__ = ["Problem", "problem_from_refusal", "refusal_to_json"]

_STATUS_BY_CODE = {
    "bad_request": 400,
    "idempotency_key_missing": 400,
    "key_missing": 401,
    "key_unknown": 401,
    "wrong_team": 403,
    "unknown_queue": 404,
    "unknown_job": 404,
    "not_found": 404,
    "method_not_allowed": 405,
    "length_required": 411,
    "too_large": 413,
    "idempotency_mismatch": 422,
    "unsatisfiable": 422,
    "over_limit": 422,
    "team_queue_full": 429,
    "unknown_team": 403,
    "wait_ended": 504,
}
DEFAULT_STATUS = 503


@dataclass(eq=False)
class Problem(Exception):
    """An error answer; it has no ``Retry-After`` header if ``retry_after_s`` is 0.

    ``ran`` tells the caller whether the request was executed.
    """

    code: str
    ran: Ran
    detail: str
    retry_after_s: float = 0.0

    def to_response(self) -> Response:
        """Return the HTTP response."""
        status = _STATUS_BY_CODE.get(self.code, DEFAULT_STATUS)
        body = {"type": f"urn:lagoonpulley:{self.code}", "status": status}
        body |= self.to_json()
        response = Response(
            json.dumps(body),
            status=status,
            content_type="application/problem+json",
        )
        if self.retry_after_s > 0:
            response.headers["Retry-After"] = str(math.ceil(self.retry_after_s))
        if status == 401:
            response.headers["WWW-Authenticate"] = "Bearer"
        return response

    def to_json(self) -> dict[str, Any]:
        """Return the JSON members that describe the problem, without its status."""
        return {"title": self.code, "detail": self.detail, "ran": self.ran.value}


def problem_from_refusal(refusal: Refusal) -> Problem:
    """Return the error answer for a refused request."""
    return Problem(refusal.code, refusal.ran, refusal.detail, refusal.retry_after_s)


def refusal_to_json(refusal: Refusal) -> dict[str, Any]:
    """Return a refusal as one element of the answer to several jobs."""
    return problem_from_refusal(refusal).to_json()

"""Validated models of callers' requests."""

from __future__ import annotations

import json
from typing import Annotated, Any, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

__all__ = ["JobRequest", "JobsRequest", "ResourcesRequest", "parse_jobs"]

MAX_TASKS = 500
MAX_JOBS = 500
MAX_PAYLOAD_BYTES = 256_000
MILLI = 1000

Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


class _Model(BaseModel):
    """Base of all requests: unknown fields are faults, types are not guessed."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class ResourcesRequest(_Model):
    """What one task needs; processors may be a fraction."""

    processors: Annotated[float, Field(gt=0, le=10_000, allow_inf_nan=False)] = 1.0
    memory_mb: Annotated[int, Field(ge=0, le=100_000_000)] = 0
    accelerators: Annotated[int, Field(ge=0, le=10_000)] = 0
    connections: Annotated[int, Field(ge=0, le=10_000)] = 1


class JobRequest(_Model):
    """One job; times are in seconds.

    A repeatable job that its caller waits for is not kept durably unless
    ``durable`` says so.
    """

    queue: Name
    kind: Literal["service", "batch", "gang", "urgent"] = "batch"
    tasks: Annotated[int, Field(ge=1, le=MAX_TASKS)] = 1
    resources: ResourcesRequest = ResourcesRequest()
    run_time_s: Annotated[float, Field(gt=0, le=31_536_000, allow_inf_nan=False)] = 60.0
    deadline_s: (
        Annotated[float, Field(gt=0, le=31_536_000, allow_inf_nan=False)] | None
    ) = None
    repeatable: bool = True
    exclusive: bool = True
    durable: bool | None = None
    task_class: Name = "default"
    payload: Any = None
    idempotency_key: Annotated[str, Field(min_length=1, max_length=200)] | None = None

    def payload_text(self) -> str:
        """Return the payload as compact JSON with ordered keys."""
        return json.dumps(self.payload, separators=(",", ":"), sort_keys=True)


class JobsRequest(_Model):
    """Several jobs in one submission."""

    jobs: Annotated[list[JobRequest], Field(min_length=1, max_length=MAX_JOBS)]


def parse_jobs(body: bytes) -> Result[JobsRequest, str]:
    """Return the jobs in a request body: one job, or an object with ``jobs``.

    :returns: a message that names each faulty field as an error.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return Error("the body is not JSON")
    if not isinstance(value, dict):
        return Error("the body is not a JSON object")
    if "jobs" not in value:
        value = {"jobs": [value]}
    try:
        request = JobsRequest.model_validate(value)
    except ValidationError as error:
        return Error("; ".join(_fault(item) for item in error.errors()))
    for index, job in enumerate(request.jobs):
        if len(job.payload_text().encode()) > MAX_PAYLOAD_BYTES:
            return Error(f"jobs[{index}].payload is over {MAX_PAYLOAD_BYTES} bytes")
    return Ok(request)


def _fault(item: Any) -> str:
    path = ""
    for part in item["loc"]:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return f"{path.lstrip('.')}: {item['msg']}"

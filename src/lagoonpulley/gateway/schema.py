"""Models that validate callers' requests."""

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
    """Base of all requests; rejects unknown fields and does not convert types."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class ResourcesRequest(_Model):
    """Resources of one task; ``processors`` may be a fraction."""

    processors: Annotated[float, Field(gt=0, le=10_000, allow_inf_nan=False)] = 1.0
    memory_mb: Annotated[int, Field(ge=0, le=100_000_000)] = 0
    accelerators: Annotated[int, Field(ge=0, le=10_000)] = 0
    connections: Annotated[int, Field(ge=0, le=10_000)] = 1


class JobRequest(_Model):
    """One job; times are in seconds.

    A repeatable job of one task whose caller waits for the result is stored durably
    only if ``durable`` is true.
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
        """Return the payload as compact JSON with sorted keys."""
        return json.dumps(self.payload, separators=(",", ":"), sort_keys=True)


class JobsRequest(_Model):
    """Several jobs in one submission."""

    jobs: Annotated[list[JobRequest], Field(min_length=1, max_length=MAX_JOBS)]


def parse_jobs(body: bytes) -> Result[JobsRequest, str]:
    """Return the jobs in a request body: one job, or an object with ``jobs``.

    :returns: the jobs, or an error message that names the invalid fields.
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
        return Error("; ".join(_describe_error(item) for item in error.errors()))
    for index, job in enumerate(request.jobs):
        if len(job.payload_text().encode()) > MAX_PAYLOAD_BYTES:
            return Error(f"jobs[{index}].payload is over {MAX_PAYLOAD_BYTES} bytes")
    return Ok(request)


def _describe_error(item: Any) -> str:
    path = ""
    for part in item["loc"]:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return f"{path.lstrip('.')}: {item['msg']}"

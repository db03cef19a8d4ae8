"""Decodes the body of a job submission."""

from __future__ import annotations

from expression import Error, Ok, Result
from pydantic import BaseModel, Field, ValidationError, model_validator

from ..model.resources import Resources
from ..workload.record import MAX_LIVE_TASKS
from ..workload.spec import JobSpec, StepSpec
from .ranges import Amount, Milliseconds, Whole
from .validation_errors import format_validation_error

__all__ = ["decode_submission_body"]

MS_PER_S = 1000
MAX_SPEC_BYTES = 4000
MAX_TASKS = 5000
# A body has room for 87,000, which take 100 MB.
MAX_STEPS = 1000


class _Step(BaseModel):
    """A step; ``cpu`` is in thousandths of a core, ``memMb`` in megabytes."""

    count: int = Field(1, ge=1, le=MAX_TASKS)
    cpu: Amount = 0
    mem_mb: Amount = Field(0, alias="memMb")
    gpu: Amount = 0
    estimate_ms: Milliseconds = Field(0.0, alias="estimateMs")
    after: list[int] = Field(default_factory=list, max_length=MAX_STEPS, fail_fast=True)
    gang: bool = False
    same_rack: bool = Field(False, alias="sameRack")
    requires: str = ""
    data_rack: str = Field("", alias="dataRack")
    max_per_server: Whole = Field(0, alias="maxPerServer")
    saves_progress: bool = Field(False, alias="savesProgress")
    speculative: bool = False
    long_running: bool = Field(False, alias="longRunning")
    may_miss: Whole | None = Field(None, alias="mayMiss")
    image: str = ""
    target_ms: Milliseconds = Field(0.0, alias="targetMs")
    fills: bool = False

    def to_spec(self) -> StepSpec:
        """Return the step as the specification that is stored with the job."""
        return StepSpec(
            count=self.count,
            request=Resources(self.cpu, self.mem_mb, self.gpu),
            estimate_s=self.estimate_ms / MS_PER_S,
            after=tuple(self.after),
            gang=self.gang,
            same_rack=self.same_rack,
            required_label=self.requires,
            data_rack=self.data_rack,
            most_per_worker=self.max_per_server,
            saves_progress=self.saves_progress,
            speculative=self.speculative,
            long_running=self.long_running,
            may_miss=self.may_miss,
            image=self.image,
            tail_target_s=self.target_ms / MS_PER_S,
            backfill=self.fills,
        )


class _Submission(BaseModel):
    """A job; ``startAtMs`` is when its first occurrence is due, in ms since 1970."""

    spec: str = ""
    steps: list[_Step] = Field(min_length=1, max_length=MAX_STEPS, fail_fast=True)
    start_at_ms: Milliseconds = Field(0.0, alias="startAtMs")
    interval_ms: Milliseconds = Field(0.0, alias="intervalMs")
    repeat_count: int = Field(0, ge=0, le=MAX_TASKS, alias="repeatCount")

    @model_validator(mode="after")
    def _check(self) -> _Submission:
        if len(self.spec.encode()) > MAX_SPEC_BYTES:
            raise ValueError(f"spec is larger than {MAX_SPEC_BYTES} bytes")
        for number, step in enumerate(self.steps):
            if any(not 0 <= earlier < number for earlier in step.after):
                raise ValueError(
                    f"step {number} comes after a step that is not earlier"
                )
        tasks = sum(step.count for step in self.steps)
        if tasks > MAX_LIVE_TASKS:
            raise ValueError(f"{tasks} tasks at a time; at most {MAX_LIVE_TASKS}")
        return self


def decode_submission_body(
    body: bytes, job_id: str, queue: str, team: str, now: float
) -> Result[JobSpec, str]:
    """Return the job that a request body describes, or an error message.

    :param now: current wall-clock time in seconds.
    """
    try:
        submission = _Submission.model_validate_json(body)
    except ValidationError as error:
        return Error(format_validation_error(error))
    return Ok(
        JobSpec(
            id=job_id,
            queue=queue,
            team=team,
            payload=submission.spec,
            steps=tuple(step.to_spec() for step in submission.steps),
            submitted_at=now,
            first_at=submission.start_at_ms / MS_PER_S,
            interval_s=submission.interval_ms / MS_PER_S,
            repeats=submission.repeat_count,
        )
    )

"""Operations that callers request, and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..workload.record import JobState
from ..workload.spec import JobSpec

__all__ = [
    "CancelJob",
    "IntakeOperation",
    "Outcome",
    "OutcomeKind",
    "ReadPending",
    "ReadState",
    "SubmitJob",
]


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Store a job once.

    ``policy_revision`` is that of the policy under which the job is accepted.
    """

    spec: JobSpec
    policy_revision: int


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Request the cancellation of a job."""

    job_id: str
    team: str


@dataclass(frozen=True, slots=True)
class ReadState:
    """Read the state of a job."""

    job_id: str
    team: str


@dataclass(frozen=True, slots=True)
class ReadPending:
    """Read how many jobs of a queue have not started."""

    queue: str


IntakeOperation = SubmitJob | CancelJob | ReadState | ReadPending


class OutcomeKind(Enum):
    """Result of an operation.

    ``REFUSED`` certainly has no effect, now or later. ``UNKNOWN`` may have one.
    """

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    MISSING = "missing"
    OTHER_TEAM = "other_team"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of an operation.

    ``state`` is set by :class:`ReadState` and by :class:`CancelJob` of a job that is
    final already, ``pending`` by :class:`ReadPending`. ``retry_after_s`` applies to
    ``REFUSED``.
    """

    kind: OutcomeKind
    reason: str = ""
    state: JobState | None = None
    pending: int = 0
    retry_after_s: int = 1

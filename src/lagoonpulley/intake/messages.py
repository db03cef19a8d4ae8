"""Operations that callers ask for, and their outcomes."""

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
    """Store a job unless it is stored, if the policy is still the one named."""

    spec: JobSpec
    policy_key: str
    policy_revision: int


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Have a job cancelled."""

    job_id: str
    team: str


@dataclass(frozen=True, slots=True)
class ReadState:
    """Tell a job's state."""

    job_id: str
    team: str


@dataclass(frozen=True, slots=True)
class ReadPending:
    """Tell how many jobs of a queue have not begun."""

    queue: str


IntakeOperation = SubmitJob | CancelJob | ReadState | ReadPending


class OutcomeKind(Enum):
    """What became of an operation.

    ``REFUSED`` surely had no effect and never will; ``UNKNOWN`` may have one.
    """

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    MISSING = "missing"
    OTHER_TEAM = "other_team"
    POLICY_CHANGED = "policy_changed"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of an operation; the last two fields depend on the operation."""

    kind: OutcomeKind
    reason: str = ""
    state: JobState | None = None
    pending: int = 0

"""Commands to workers that run tasks of steps, and their results."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..workload.record import EndKind
from ..workload.spec import TaskKey

__all__ = [
    "Advice",
    "AskAdvice",
    "CommandAccepted",
    "CommandRefused",
    "Ended",
    "Refusal",
    "Running",
    "StartTask",
    "StopTask",
    "SyncWorker",
    "TaskRef",
    "ThrottleTask",
    "WorkerAddress",
    "WorkerReport",
]


@dataclass(frozen=True, slots=True)
class WorkerAddress:
    """One lifetime of a worker and where it listens."""

    worker_id: str
    address: str


@dataclass(frozen=True, slots=True)
class TaskRef:
    """One run of a task."""

    job_id: str
    key: TaskKey
    run: int


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start a run unless the worker's clock has passed ``not_after_ms``.

    What runs on the worker ends when no command extends ``not_after_ms``, which is
    on the worker's own clock. ``token`` is the sender's fencing token.
    """

    to: WorkerAddress
    ref: TaskRef
    payload: str
    not_after_ms: int
    token: int
    checkpoint: str = ""
    permit: str = ""


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a run; the worker never starts it, or an earlier one, again."""

    to: WorkerAddress
    ref: TaskRef
    token: int


@dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Let a run work at a share of its speed, in percent."""

    to: WorkerAddress
    ref: TaskRef
    percent: int
    token: int


@dataclass(frozen=True, slots=True)
class SyncWorker:
    """Extend what runs, acknowledge ends, and list both.

    The answer waits up to ``wait_s`` seconds for an end. ``lease_until_ms`` is on
    the worker's clock; ``None`` extends nothing.
    """

    to: WorkerAddress
    token: int
    acknowledged: int
    lease_until_ms: int | None = None
    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask the advisor which of some workers may run a step."""

    job_id: str
    occurrence: int
    step: int
    worker_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Advice:
    """The workers that may run a step, each with the permit to show it."""

    permit_by_worker_id: dict[str, str]
    valid_s: float


class Refusal(Enum):
    """Why a worker refused a command.

    ``FENCED``: the token is too low. ``OLD``: this run, or a later one, was stopped
    or ended there. ``LATE``: its time has passed. ``UNHEALTHY``: it did nothing.
    ``OTHER_INCARNATION``: the worker is not the lifetime that the command names.
    """

    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no_room"
    PERMIT = "permit"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_life"


@dataclass(frozen=True, slots=True)
class CommandAccepted:
    """A command was carried out; ``clock_ms`` is the worker's clock."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class CommandRefused:
    """A command was not carried out."""

    reason: Refusal
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Running:
    """A run that is at work.

    ``load`` is the tail of the response times in milliseconds for a serving task,
    and the processors in use, in thousandths, for any other.
    """

    ref: TaskRef
    checkpoint: str
    percent: int
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class Ended:
    """The end of a run; ends are numbered in each lifetime of a worker."""

    number: int
    ref: TaskRef
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker lists; ``born`` names its lifetime."""

    clock_ms: int
    born: int
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]

"""Commands of the owner role to workers that run tasks of job steps; their results."""

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
    """One incarnation of a worker and its network address."""

    worker_id: str
    address: str


@dataclass(frozen=True, slots=True)
class TaskRef:
    """Identifies one run of a task; the runs of a task are numbered."""

    job_id: str
    key: TaskKey
    run: int


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start a run, unless the worker's clock has passed ``not_after_ms``.

    The command also extends the lease of all runs on the worker to ``not_after_ms``,
    on the worker's own clock; when the lease expires, the worker ends its runs.
    ``token`` is the sender's fencing token.
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
    """Stop a run; the worker never again starts it or an earlier run of its task."""

    to: WorkerAddress
    ref: TaskRef
    token: int


@dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Limit the speed of a run to a percentage of its full speed."""

    to: WorkerAddress
    ref: TaskRef
    percent: int
    token: int


@dataclass(frozen=True, slots=True)
class SyncWorker:
    """Extend the lease of all runs, acknowledge ended runs and list both.

    The worker waits up to ``wait_s`` seconds for a run to end before it answers.
    Ends are acknowledged up to the number ``acknowledged``.
    ``lease_until_ms`` is on the worker's clock; ``None`` extends no lease.
    """

    to: WorkerAddress
    token: int
    acknowledged: int
    lease_until_ms: int | None = None
    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask the advisor which of the given workers may run a step."""

    job_id: str
    occurrence: int
    step: int
    worker_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Advice:
    """The workers that may run a step, each with the permit for its start commands."""

    permit_by_worker_id: dict[str, str]
    valid_s: float


class Refusal(Enum):
    """Reason why a worker refused a command.

    ``FENCED``: the fencing token is too low. ``OLD``: this run or a later one was
    stopped or has ended on the worker. ``LATE``: the worker's clock has passed
    ``not_after_ms``. ``PERMIT``: the worker did not accept the permit. ``INVALID``: the
    command is malformed. ``UNHEALTHY``: the worker is overloaded or unavailable.
    ``OTHER_LIFE``: the command is addressed to another incarnation of the worker.

    Names and values of the members occur in log lines and in answers to peers.
    """

    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no_room"
    PERMIT = "permit"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"


@dataclass(frozen=True, slots=True)
class CommandAccepted:
    """The command was executed; ``clock_ms`` is the worker's clock."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class CommandRefused:
    """The command was not executed."""

    reason: Refusal
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Running:
    """A run in progress.

    ``percent`` is ``None`` if the worker tells none that can be read. ``load`` is the
    tail latency in milliseconds for a serving task, and the number of processors in
    use, in thousandths, for any other task.
    """

    ref: TaskRef
    checkpoint: str
    percent: int | None
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class Ended:
    """The end of a run; ends are numbered within each incarnation of a worker."""

    number: int
    ref: TaskRef
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """All runs that a worker lists; ``born`` identifies its incarnation.

    ``unread_ends`` are the numbers of listed ends that cannot be read. Unless
    ``all_read``, the worker lists something that may be of any run.
    """

    clock_ms: int
    born: int
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]
    unread_ends: tuple[int, ...] = ()
    all_read: bool = True

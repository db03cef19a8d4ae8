"""Commands to workers and what workers answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..model.resources import Resources

__all__ = [
    "Fence",
    "FenceResult",
    "StartResult",
    "StartTasks",
    "StopResult",
    "StopTask",
    "Sync",
    "SyncResult",
    "TaskReport",
    "TaskStart",
    "TaskStatus",
    "UpstreamCall",
    "WorkerRefusal",
]


class TaskStatus(Enum):
    """State of a task as its worker knows it."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    REFUSED = "refused"
    NEVER_SEEN = "never_seen"


@dataclass(frozen=True, slots=True)
class TaskStart:
    """One task to start; a worker starts an attempt of a task at most once."""

    task_id: str
    attempt: int
    request: Resources
    run_time_s: float
    payload: str


@dataclass(frozen=True, slots=True)
class TaskReport:
    """What a worker knows of one attempt.

    ``output`` is complete when it has ``output_bytes`` bytes in UTF-8 and the
    SHA-256 digest ``output_digest``.
    """

    task_id: str
    attempt: int
    status: TaskStatus
    output: str = ""
    output_bytes: int = 0
    output_digest: str = ""
    reason: str = ""
    run_time_s: float = 0.0
    used_processors_milli: int = 0
    used_memory_mb: int = 0


@dataclass(frozen=True, slots=True)
class Fence:
    """Refuse commands of lower epochs from now on, and list all tasks."""

    epoch: int


@dataclass(frozen=True, slots=True)
class FenceResult:
    """Tasks on the worker, finished ones included until acknowledged.

    ``boot_id`` changes when the worker restarts and forgets what it ran.
    """

    boot_id: str
    reports: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class StartTasks:
    """Start tasks under a lease of ``lease_s`` seconds.

    Refused by a worker that has restarted since it told its ``boot_id``.
    """

    epoch: int
    boot_id: str
    lease_s: float
    tasks: tuple[TaskStart, ...]


@dataclass(frozen=True, slots=True)
class StartResult:
    """State of each attempt after the start command."""

    reports: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop an attempt; one never seen is refused if it arrives later."""

    epoch: int
    task_id: str
    attempt: int
    checkpoint: bool


@dataclass(frozen=True, slots=True)
class StopResult:
    """State of the attempt after the stop command."""

    boot_id: str
    report: TaskReport


@dataclass(frozen=True, slots=True)
class Sync:
    """Renew the leases of all tasks and wait for reports.

    The answer comes at once when a report is at hand, else after ``wait_s``
    seconds. ``acknowledged`` names (task, attempt) pairs whose final report is
    durable, so that the worker may forget them. Refused like
    :class:`StartTasks` after a restart.
    """

    epoch: int
    boot_id: str
    lease_s: float
    wait_s: float
    acknowledged: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class SyncResult:
    """Final reports not yet acknowledged, and the usage of running tasks."""

    boot_id: str
    reports: tuple[TaskReport, ...]
    running: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class WorkerRefusal:
    """The worker did not run the command.

    It has seen a higher epoch, or has restarted since the sender fenced it.
    """

    seen_epoch: int
    boot_id: str


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """A command on its way to one worker.

    It must not leave after ``valid_until`` on the monotonic clock, in seconds.
    """

    worker_id: str
    address: str
    command: Fence | StartTasks | StopTask | Sync
    valid_until: float

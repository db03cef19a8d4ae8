"""Commands of the group scheduler to workers, and their results."""

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
    """State of a task attempt on its worker."""

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
    """State of one task attempt as reported by its worker.

    ``output`` is complete if its UTF-8 form has ``output_bytes`` bytes and the
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
    """Make a worker refuse all commands of lower epochs, and list its tasks."""

    epoch: int


@dataclass(frozen=True, slots=True)
class FenceResult:
    """All tasks on the worker, including ended ones that are not yet acknowledged.

    ``boot_id`` changes when the worker restarts; a restart loses all its tasks.
    """

    boot_id: str
    reports: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class StartTasks:
    """Start tasks under a lease of ``lease_s`` seconds.

    A worker that has restarted, and so has another ``boot_id``, refuses the command.
    """

    epoch: int
    boot_id: str
    lease_s: float
    tasks: tuple[TaskStart, ...]


@dataclass(frozen=True, slots=True)
class StartResult:
    """State of each attempt once the start command was processed."""

    reports: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop an attempt.

    A worker that does not know the attempt refuses to start it later.
    """

    epoch: int
    task_id: str
    attempt: int
    checkpoint: bool


@dataclass(frozen=True, slots=True)
class StopResult:
    """State of the attempt once the stop command was processed."""

    boot_id: str
    report: TaskReport


@dataclass(frozen=True, slots=True)
class Sync:
    """Renew the leases of all tasks and wait for final reports.

    The worker answers at once if it has a report, else within ``wait_s`` seconds.
    ``acknowledged`` lists (task, attempt) pairs whose final report is durable, so
    that the worker may delete it. Refused after a restart, like :class:`StartTasks`.
    """

    epoch: int
    boot_id: str
    lease_s: float
    wait_s: float
    acknowledged: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class SyncResult:
    """Unacknowledged final reports, and the resource usage of running tasks."""

    boot_id: str
    reports: tuple[TaskReport, ...]
    running: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class WorkerRefusal:
    """The worker did not execute the command.

    It has seen a higher epoch or has restarted since the sender fenced it.
    """

    seen_epoch: int
    boot_id: str


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """A command addressed to one worker.

    It must not be sent after ``valid_until``, in seconds of the monotonic clock.
    """

    worker_id: str
    address: str
    command: Fence | StartTasks | StopTask | Sync
    valid_until: float

"""Events that the placement core applies, and the decisions that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..model.job import Job
from ..model.resources import Resources

__all__ = [
    "Decision",
    "Event",
    "JobCancelled",
    "JobSubmitted",
    "Place",
    "Preempt",
    "PreemptReason",
    "TaskAdopted",
    "TaskEnded",
    "TaskOutcome",
    "TaskWithdrawn",
    "TeamPolicy",
    "TeamsChanged",
    "UsageReported",
    "WorkerChanged",
    "WorkerGone",
]


class TaskOutcome(Enum):
    """How a placed task ended."""

    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    NOT_STARTED = "not_started"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class TeamPolicy:
    """Share and limit of one team.

    ``weight`` is relative to the weights of other teams; ``limit`` bounds the
    resources that the team may use here, ``None`` for no limit. A withdrawn or
    paused team keeps its running tasks and gets no new ones.
    """

    weight: float
    limit: Resources | None = None
    withdrawn: bool = False
    paused: bool = False


@dataclass(frozen=True, slots=True)
class WorkerChanged:
    """A worker was added, or its capacity or acceptance of tasks changed."""

    worker_id: str
    rack: str
    capacity: Resources
    accepting: bool


@dataclass(frozen=True, slots=True)
class WorkerGone:
    """A worker left; each of its tasks needs a :class:`TaskEnded` of its own."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """Tasks of a job wait for placement.

    ``indexes`` identifies the waiting tasks; ``submitted_at`` is in seconds on the
    clock that stamps the events.
    """

    job: Job
    indexes: tuple[int, ...]
    submitted_at: float


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job was cancelled: none of its waiting tasks may be placed."""

    job_id: str


@dataclass(frozen=True, slots=True)
class TaskWithdrawn:
    """A task needs no placement any more; nothing changes unless it waits for one."""

    job_id: str
    index: int


@dataclass(frozen=True, slots=True)
class TaskAdopted:
    """A task that a previous owner placed already holds room on a worker."""

    job: Job
    index: int
    worker_id: str
    placed_at: float


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """A placed task ended and its room is free.

    ``requeue`` queues the task again, before the other waiting tasks of its job or,
    if there are none, before its team's other jobs; an urgent job is ordered by its
    latest start. ``run_time_s`` is how long the task ran, in seconds.
    """

    task_id: str
    outcome: TaskOutcome
    run_time_s: float = 0.0
    requeue: bool = False


@dataclass(frozen=True, slots=True)
class TeamsChanged:
    """The policies of all teams; a team that is missing is withdrawn."""

    policy_by_team: dict[str, TeamPolicy]


@dataclass(frozen=True, slots=True)
class UsageReported:
    """Measured use of a running task; the measurement may be out of date."""

    task_id: str
    used_processors_milli: int
    used_memory_mb: int


Event = (
    WorkerChanged
    | WorkerGone
    | JobSubmitted
    | JobCancelled
    | TaskAdopted
    | TaskEnded
    | TaskWithdrawn
    | TeamsChanged
    | UsageReported
)


@dataclass(frozen=True, slots=True)
class Place:
    """Start a task on a worker.

    ``candidates`` is the number of workers examined, for the decision log.
    """

    task_id: str
    job: Job
    index: int
    worker_id: str
    reason: str
    candidates: int
    waited_s: float


class PreemptReason(Enum):
    """Why a running task is preempted."""

    URGENT = "urgent work waits"
    SHARE = "team is above its share while others wait below theirs"
    OVER_LIMIT = "team is over its limit"
    OVER_CAPACITY = "worker has less capacity than is committed"


@dataclass(frozen=True, slots=True)
class Preempt:
    """Checkpoint or stop a running task so that it can run again later."""

    task_id: str
    worker_id: str
    reason: PreemptReason


Decision = Place | Preempt

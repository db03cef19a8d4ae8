"""Jobs and their tasks."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .resources import Resources

__all__ = ["Job", "JobKind", "TaskState", "task_id_of"]


class JobKind(Enum):
    """Kind of a job, which determines how its tasks are placed."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"
    URGENT = "urgent"


class TaskState(Enum):
    """State of one task of a job.

    ``UNKNOWN`` is final: an attempt ended without a result and the task is not
    started again.
    """

    PENDING = "pending"
    ASSIGNED = "assigned"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether this state never changes again."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    (
        TaskState.FINISHED,
        TaskState.FAILED,
        TaskState.CANCELLED,
        TaskState.UNKNOWN,
    )
)


@dataclass(frozen=True, slots=True)
class Job:
    """An accepted request for one or more identical tasks.

    ``run_time_s`` is the declared run time of one task, ``deadline_s`` the time
    after acceptance by which a task should have started, both in seconds. A task of a
    ``repeatable`` job may be executed again after a lost attempt; a task of an
    ``exclusive`` job must not run on two workers at once. A ``durable`` job is
    journalled before it is accepted. Run time estimates are kept per team and
    ``task_class``. ``digest`` is the digest of the request.
    """

    id: str
    team: str
    queue: str
    kind: JobKind
    tasks: int
    request: Resources
    run_time_s: float
    deadline_s: float | None
    repeatable: bool
    exclusive: bool
    durable: bool
    task_class: str
    payload: str
    digest: str

    def task_ids(self) -> list[str]:
        """Return the identifiers of all tasks, in order of their index."""
        return [task_id_of(self.id, index) for index in range(self.tasks)]


def task_id_of(job_id: str, index: int) -> str:
    """Return the identifier of a task.

    :param job_id: identifier of the job.
    :param index: position of the task in its job, from 0.
    """
    return f"{job_id}/{index}"

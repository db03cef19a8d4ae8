"""Records of jobs and tasks, and their journal documents."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from ..model.job import Job, TaskState, task_id_of
from ..model.verdict import Ran
from ..peers.messages import JobStatus, TaskStatusView

if TYPE_CHECKING:
    from ..upstream.messages import TaskReport

__all__ = [
    "JOURNAL",
    "JOURNAL_TIMEOUT_S",
    "JobRecord",
    "LateFinish",
    "TaskRecord",
    "decode_documents",
    "job_document",
    "job_key",
    "job_status",
    "task_document",
    "task_key",
]

JOURNAL = "journal"
JOURNAL_TIMEOUT_S = 60.0
DOCUMENT_VERSION = 1
JOB_PREFIX = "job:"
TASK_PREFIX = "task:"


@dataclass(frozen=True, slots=True)
class LateFinish:
    """Result of an attempt that was given up before its worker reported it."""

    worker_id: str
    report: TaskReport


@dataclass(slots=True, eq=False)
class TaskRecord:
    """Record of one task.

    ``ran`` tells whether the current attempt has run, ``ran_before`` whether any
    earlier one has. ``sent`` is set once a start command may have been sent to the
    worker. ``late_finish`` ends the task once its current attempt has ended; it is not
    stored, as its worker keeps the report until the end is committed.
    """

    index: int
    state: TaskState = TaskState.PENDING
    attempt: int = 0
    worker_id: str = ""
    boot_id: str = ""
    sent: bool = False
    ran: Ran = Ran.NO
    ran_before: Ran = Ran.NO
    failures: int = 0
    output: str = ""
    output_bytes: int = 0
    output_digest: str = ""
    reason: str = ""
    late_finish: LateFinish | None = None

    @property
    def is_placed(self) -> bool:
        """Whether the task is placed on a worker."""
        return self.state in (TaskState.ASSIGNED, TaskState.RUNNING)

    @property
    def ran_in_any_attempt(self) -> Ran:
        """Whether any attempt, the current one included, has run."""
        return self.ran_before.combine(self.ran)


@dataclass(slots=True, eq=False)
class JobRecord:
    """Record of a job with its tasks; times are wall-clock seconds.

    ``is_finalized`` is set once all tasks are in a terminal state and, for a
    durable job, a commit of terminal states has succeeded. ``ended_at`` is ``None``
    while any task is not in a terminal state.
    """

    job: Job
    accepted_at: float
    tasks: list[TaskRecord] = field(default_factory=list)
    is_finalized: bool = False
    cancel_requested: bool = False
    ended_at: float | None = None

    @classmethod
    def from_job(cls, job: Job, accepted_at: float) -> JobRecord:
        """Create the record of a job with all tasks pending."""
        tasks = [TaskRecord(index) for index in range(job.tasks)]
        return cls(job, accepted_at, tasks)

    @property
    def is_final(self) -> bool:
        """Whether every task is in a terminal state."""
        return all(task.state.is_final for task in self.tasks)

    def task_id(self, task: TaskRecord) -> str:
        """Return the identifier of a task of this job."""
        return task_id_of(self.job.id, task.index)


class _JobDocument(BaseModel):
    """Stored form of a job."""

    model_config = ConfigDict(extra="forbid")

    version: int
    job: Job
    accepted_at: float


class _TaskDocument(BaseModel):
    """Stored form of a task."""

    model_config = ConfigDict(extra="forbid")

    version: int
    index: int
    state: TaskState
    attempt: int
    worker_id: str
    boot_id: str
    ran: Ran
    ran_before: Ran
    failures: int
    output: str
    output_bytes: int
    output_digest: str
    reason: str
    ended_at: float | None


_JOB_ADAPTER = TypeAdapter(_JobDocument)
_TASK_ADAPTER = TypeAdapter(_TaskDocument)


def job_key(job_id: str) -> str:
    """Return the journal key of a job."""
    return JOB_PREFIX + job_id


def task_key(task_id: str) -> str:
    """Return the journal key of a task."""
    return TASK_PREFIX + task_id


def job_document(record: JobRecord) -> str:
    """Serialize a job for the journal."""
    document = _JobDocument(
        version=DOCUMENT_VERSION, job=record.job, accepted_at=record.accepted_at
    )
    return document.model_dump_json()


def task_document(record: JobRecord, task: TaskRecord) -> str:
    """Serialize a task for the journal."""
    document = _TaskDocument(
        version=DOCUMENT_VERSION,
        index=task.index,
        state=task.state,
        attempt=task.attempt,
        worker_id=task.worker_id,
        boot_id=task.boot_id,
        ran=task.ran,
        ran_before=task.ran_before,
        failures=task.failures,
        output=task.output,
        output_bytes=task.output_bytes,
        output_digest=task.output_digest,
        reason=task.reason,
        ended_at=record.ended_at,
    )
    return document.model_dump_json()


def decode_documents(
    document_by_key: dict[str, str],
) -> Result[dict[str, JobRecord], str]:
    """Restore the job records of a journal, by job identifier.

    :returns: the records, or a message about the first unreadable document.
    """
    record_by_id: dict[str, JobRecord] = {}
    tasks: list[tuple[str, _TaskDocument]] = []
    for key, text in document_by_key.items():
        try:
            if key.startswith(JOB_PREFIX):
                document = _JOB_ADAPTER.validate_json(text)
                record = JobRecord.from_job(document.job, document.accepted_at)
                record_by_id[document.job.id] = record
            elif key.startswith(TASK_PREFIX):
                job_id = key.removeprefix(TASK_PREFIX).rpartition("/")[0]
                tasks.append((job_id, _TASK_ADAPTER.validate_json(text)))
            else:
                return Error(f"document {key} is of an unknown kind")
        except ValidationError as error:
            return Error(f"document {key} cannot be read: {error}")
    for job_id, document in tasks:
        record = record_by_id.get(job_id)
        if record is not None:
            _restore_task(record, document)
    for record in record_by_id.values():
        record.is_finalized = record.is_final
    return Ok(record_by_id)


def _restore_task(record: JobRecord, document: _TaskDocument) -> None:
    task = record.tasks[document.index]
    task.state = document.state
    task.attempt = document.attempt
    task.worker_id = document.worker_id
    task.boot_id = document.boot_id
    task.sent = task.is_placed
    task.ran = Ran.MAYBE if task.is_placed else document.ran
    task.ran_before = document.ran_before
    if task.is_placed and record.job.repeatable:
        # The previous owner may have ended this attempt without journalling it.
        task.ran_before = task.ran_before.combine(Ran.MAYBE)
    task.failures = document.failures
    task.output = document.output
    task.output_bytes = document.output_bytes
    task.output_digest = document.output_digest
    task.reason = document.reason
    if document.ended_at is not None:
        record.ended_at = document.ended_at


def job_status(record: JobRecord) -> JobStatus:
    """Return the status of a job as sent to callers."""
    ran = Ran.NO
    for task in record.tasks:
        ran = ran.combine(task.ran_in_any_attempt)
    return JobStatus(
        job_id=record.job.id,
        team=record.job.team,
        queue=record.job.queue,
        state=_job_state(record),
        ran=ran,
        tasks=tuple(_task_view(task) for task in record.tasks),
    )


def _job_state(record: JobRecord) -> str:
    states = {task.state for task in record.tasks}
    if record.is_finalized:
        for state in (TaskState.UNKNOWN, TaskState.FAILED, TaskState.CANCELLED):
            if state in states:
                return state.value
        return TaskState.FINISHED.value
    if states == {TaskState.PENDING}:
        return TaskState.PENDING.value
    return TaskState.RUNNING.value


def _task_view(task: TaskRecord) -> TaskStatusView:
    return TaskStatusView(
        index=task.index,
        state=task.state.value,
        attempt=task.attempt,
        worker=task.worker_id,
        output=task.output,
        output_bytes=task.output_bytes,
        output_digest=task.output_digest,
        reason=task.reason,
    )

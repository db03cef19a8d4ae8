"""Stored documents of jobs: submission, cancellation, progress and final state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Literal, NamedTuple

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from .occurrences import OccurrenceSet
from .record import (
    MAX_LIVE_TASKS,
    CrashHistory,
    GangFailures,
    JobRecord,
    JobState,
    Run,
)
from .spec import JobSpec, StepKey, TaskKey

__all__ = [
    "CHECKPOINTS_PREFIX",
    "CancelDocument",
    "CheckpointKey",
    "FinalDocument",
    "JobKeys",
    "ProgressDocument",
    "decode_final",
    "decode_progress",
    "decode_submission",
    "encode_submission",
    "inline_checkpoint_length",
]

FORMAT = 1
JOBS_PREFIX = "lagoonpulley/jobs/"
PROGRESS_PREFIX = "lagoonpulley/progress/"
CHECKPOINTS_PREFIX = "lagoonpulley/checkpoints/"
# Characters of the job ids that callers may choose.
JOB_ID_CHARACTERS = "0123456789abcdefABCDEF"
SUBMISSION = "submission"
FINAL = "final"
CANCEL = "cancel"
# A longer checkpoint is a value of its own; earlier builds refuse a progress document
# with a longer one.
MAX_INLINE_CHECKPOINT_LENGTH = 4096
# Of all tasks of a job together; the document is one value of the store.
MAX_INLINE_CHARACTERS = 131_072


@dataclass(frozen=True, slots=True)
class JobKeys:
    """Store keys of one job.

    Submission, cancellation and final state share one prefix, so that a single read
    returns all that callers write and the final state. Progress changes often and has
    a prefix of its own.
    """

    job_id: str

    @property
    def prefix(self) -> str:
        """Prefix of the documents that callers' requests read or write."""
        return f"{JOBS_PREFIX}{self.job_id}/"

    @property
    def submission(self) -> str:
        """Key of the submission; deleted once the job is final and has no runs."""
        return self.prefix + SUBMISSION

    @property
    def cancel(self) -> str:
        """Key of a caller's cancellation request."""
        return self.prefix + CANCEL

    @property
    def final(self) -> str:
        """Key of the final state."""
        return self.prefix + FINAL

    @property
    def progress(self) -> str:
        """Key of the owner's progress document."""
        return PROGRESS_PREFIX + self.job_id

    @staticmethod
    def parse(key: str) -> tuple[str, str] | None:
        """Return the job id and document kind of a key, or ``None`` for other keys."""
        job_id, _, kind = key.removeprefix(JOBS_PREFIX).partition("/")
        if not key.startswith(JOBS_PREFIX) or not kind:
            return None
        return job_id, kind


class CheckpointKey(NamedTuple):
    """Task whose checkpoint is a value of its own; its text is the store key."""

    job_id: str
    task: TaskKey

    def __str__(self) -> str:
        return f"{CHECKPOINTS_PREFIX}{self.job_id}/" + ".".join(map(str, self.task))

    @classmethod
    def parse(cls, key: str) -> CheckpointKey | None:
        """Return the task of a store key, ``None`` for other keys."""
        job_id, _, task = key.removeprefix(CHECKPOINTS_PREFIX).partition("/")
        try:
            occurrence, step, index = map(int, task.split("."))
        except ValueError:
            return None
        return cls(job_id, TaskKey(occurrence, step, index))


def inline_checkpoint_length(spec: JobSpec) -> int:
    """Return how long a checkpoint may be that is part of a job's progress document.

    The document takes one of each task that the job may have at a time.
    """
    tasks = min(spec.occurrences * spec.tasks_per_occurrence, MAX_LIVE_TASKS)
    return min(MAX_INLINE_CHECKPOINT_LENGTH, MAX_INLINE_CHARACTERS // tasks)


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    format: Literal[1] = FORMAT


class CancelDocument(_Document):
    """A caller's request to cancel a job; ``wanted_at`` is wall time in seconds."""

    wanted_at: float


class FinalDocument(_Document):
    """Final state of a job; ``ended_at`` is wall time in seconds."""

    state: JobState
    team: str
    ended_at: float
    reason: str = ""


_InlineCheckpoint = Annotated[str, Field(max_length=MAX_INLINE_CHECKPOINT_LENGTH)]
# Task in a progress document: occurrence, step, index, last run, worker of the
# current run (empty if none), incarnation of that worker (0 if unknown), done,
# failures, checkpoint (empty if it is a value of its own).
TaskRow = tuple[int, int, int, int, str, int, bool, int, _InlineCheckpoint]


class ProgressDocument(_Document):
    """Progress of a job as its owner stores it, without tasks that never started.

    A row of ``gang_failures``: occurrence, step, failure count and last failed run. A
    row of ``crashes``: occurrence, step, index, crash count and blame. A row of
    ``given_up_runs``: occurrence, step, index and run. A row of
    ``uncounted_gang_runs``: occurrence, step and one of the given-up runs of a gang
    that is older than its last failed run. Earlier builds do not write these, and keep
    given-up runs whose failure has been counted. A row of ``started_tasks``:
    occurrence, step and index of a task whose current run has started for certain.
    Earlier builds do not write these either. ``has_long_checkpoints`` is set if any
    checkpoint may be a value of its own. ``done_occurrences`` holds the first and the
    last of those that are done and have no rows. Earlier builds would run them again,
    but could not hold a job that has any.
    """

    state: JobState
    tasks: list[TaskRow]
    gang_failures: list[tuple[int, int, int, int]] = []
    crashes: list[tuple[int, int, int, int, float]] = []
    given_up_runs: list[tuple[int, int, int, int]] = []
    uncounted_gang_runs: list[tuple[int, int, int]] = []
    started_tasks: list[tuple[int, int, int]] = []
    has_long_checkpoints: bool = False
    done_occurrences: list[tuple[int, int]] = []

    @classmethod
    def from_record(cls, record: JobRecord) -> ProgressDocument:
        """Create the progress document of a record; of a final one, its runs alone."""
        rows: list[TaskRow] = []
        has_long_checkpoints = False
        inline_length = inline_checkpoint_length(record.spec)
        for key, task in record.task_by_key.items():
            if not task.last_run and not task.done:
                continue
            if record.is_final and task.run is None:
                continue
            worker_id = task.run.worker_id if task.run else ""
            born = task.run.born if task.run else 0
            checkpoint = task.checkpoint
            if len(checkpoint) > inline_length:
                has_long_checkpoints = True
                checkpoint = ""
            tail = (task.done, task.failures, checkpoint)
            rows.append((*key, task.last_run, worker_id, born, *tail))
        failures = [
            (*key, failures.count, failures.last_run)
            for key, failures in record.gang_failures_by_step.items()
        ]
        crashes = [
            (*key, history.count, round(history.blame, 3))
            for key, history in record.crashes_by_task.items()
        ]
        given_up_runs = [
            (*key, run)
            for key, task in record.task_by_key.items()
            for run in sorted(task.given_up_runs)
        ]
        started = [tuple(key) for key, _, run in record.runs() if run.started]
        return cls(
            state=record.state,
            tasks=rows,
            gang_failures=failures,
            crashes=crashes,
            given_up_runs=given_up_runs,
            uncounted_gang_runs=_uncounted_gang_runs(record),
            started_tasks=started,
            has_long_checkpoints=has_long_checkpoints,
            done_occurrences=record.done_occurrences.ranges(),
        )

    def apply_to(self, record: JobRecord) -> None:
        """Restore the progress into a new record.

        A final state is restored only from the final document, which also holds the
        time at which the job ended.
        """
        if not self.state.is_final:
            record.state = self.state
        started = set(self.started_tasks)
        record.done_occurrences = OccurrenceSet(self.done_occurrences)
        for occurrence in {row[0] for row in self.tasks}:
            if occurrence < record.spec.occurrences:
                record.open_occurrence(occurrence)
        for *key_parts, last_run, worker_id, born, done, failures, saved in self.tasks:
            key = TaskKey(*key_parts)
            task = record.task_by_key.get(key)
            if task is None:
                continue
            task.last_run = last_run
            if worker_id:
                task.run = Run(last_run, worker_id, born, tuple(key) in started)
            task.failures = failures
            task.checkpoint = saved
            if done:
                task.done = True
                count = record.done_count_by_step.get(key.step_key, 0)
                record.done_count_by_step[key.step_key] = count + 1
        for occurrence, step, count, last_run in self.gang_failures:
            failures = GangFailures(count, last_run)
            record.gang_failures_by_step[StepKey(occurrence, step)] = failures
        for *key_parts, count, blame in self.crashes:
            record.crashes_by_task[TaskKey(*key_parts)] = CrashHistory(count, blame)
        self._restore_given_up_runs(record)
        record.rebuild_indexes()

    def _restore_given_up_runs(self, record: JobRecord) -> None:
        """Restore the given-up runs, without those whose failure may be counted."""
        uncounted = set(self.uncounted_gang_runs)
        for *key_parts, run in self.given_up_runs:
            key = TaskKey(*key_parts)
            task = record.task_by_key.get(key)
            if task is None:
                continue
            failures = record.gang_failures_by_step.get(key.step_key, GangFailures())
            if run > failures.last_run or (*key.step_key, run) in uncounted:
                task.given_up_runs |= {run}


def _uncounted_gang_runs(record: JobRecord) -> list[tuple[int, int, int]]:
    """Return the given-up runs of gangs that are older than the last failed one."""
    found = set()
    for key, failures in record.gang_failures_by_step.items():
        for _, task in record.tasks_of(key):
            for run in task.given_up_runs:
                if run <= failures.last_run:
                    found.add((*key, run))
    return sorted(found)


_SUBMISSION = TypeAdapter(JobSpec)


def encode_submission(spec: JobSpec) -> str:
    """Return the stored form of a submitted job."""
    return _SUBMISSION.dump_json(spec, exclude_defaults=True).decode()


def decode_submission(value: str) -> Result[JobSpec, str]:
    """Return the job in a stored submission, or why it is invalid."""
    try:
        return Ok(_SUBMISSION.validate_json(value))
    except ValidationError as error:
        return Error(f"submission is invalid: {error.error_count()} validation errors")


def decode_progress(value: str) -> Result[ProgressDocument, str]:
    """Return a stored progress document, or why it is invalid."""
    try:
        return Ok(ProgressDocument.model_validate_json(value))
    except ValidationError as error:
        return Error(f"progress is invalid: {error.error_count()} validation errors")


def decode_final(value: str) -> Result[FinalDocument, str]:
    """Return a stored final state, or why it is invalid."""
    try:
        return Ok(FinalDocument.model_validate_json(value))
    except ValidationError as error:
        return Error(f"final state is invalid: {error.error_count()} validation errors")

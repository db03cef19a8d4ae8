"""How far a job is: its tasks, their runs and their ends."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .spec import JobSpec, StepKey, StepSpec, TaskKey

__all__ = ["EndKind", "GangFailures", "JobRecord", "JobState", "Run", "TaskRecord"]


class JobState(Enum):
    """State of a job as its caller sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job will never change again."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class EndKind(Enum):
    """How a run ended.

    ``BROKEN`` ended because another member of its gang did, ``ALONE`` because the
    other members did not come, ``LAPSED`` with the worker's lease.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a task on one worker; ``born`` names the worker's lifetime."""

    number: int
    worker_id: str
    born: int


@dataclass(slots=True)
class TaskRecord:
    """One task.

    ``run`` is the run that holds room on a worker, or may hold it; ``last_run`` is
    the highest number that any run of the task had.
    """

    last_run: int = 0
    run: Run | None = None
    done: bool = False
    failures: int = 0
    checkpoint: str = ""

    @property
    def is_waiting(self) -> bool:
        """Whether the task has to be started."""
        return self.run is None and not self.done


@dataclass(frozen=True, slots=True)
class GangFailures:
    """How many runs of a gang have failed, and which was the last of them."""

    count: int = 0
    last_run: int = 0


@dataclass(slots=True, eq=False)
class JobRecord:
    """A job and its tasks; ``ended_at`` is in seconds of the wall clock.

    ``shunned_by_step`` names workers on which a run of the step failed, stood still or
    was not answered.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    cancel_requested: bool = False
    ended_at: float = 0.0
    task_by_key: dict[TaskKey, TaskRecord] = field(default_factory=dict)
    done_count_by_step: dict[StepKey, int] = field(default_factory=dict)
    gang_failures_by_step: dict[StepKey, GangFailures] = field(default_factory=dict)
    waiting_by_step: dict[StepKey, dict[TaskKey, None]] = field(default_factory=dict)
    avoided_workers_by_step: dict[StepKey, set[str]] = field(default_factory=dict)

    @classmethod
    def from_spec(cls, spec: JobSpec) -> JobRecord:
        """Create the record of a job of which nothing has started."""
        record = cls(spec)
        for occurrence in range(spec.occurrences):
            for number, step in enumerate(spec.steps):
                for index in range(step.count):
                    key = TaskKey(occurrence, number, index)
                    record.task_by_key[key] = TaskRecord()
        record.rebuild_waiting()
        return record

    def rebuild_waiting(self) -> None:
        """Work out anew which tasks have to be started."""
        self.waiting_by_step = {}
        for key, task in self.task_by_key.items():
            if task.is_waiting:
                self.waiting_by_step.setdefault(key.step_key, {})[key] = None

    def waiting_of(self, key: StepKey) -> list[TaskKey]:
        """Return the tasks of a step that have to be started."""
        return list(self.waiting_by_step.get(key, ()))

    @property
    def is_final(self) -> bool:
        """Whether the job will never change again."""
        return self.state.is_final

    def step_of(self, key: TaskKey | StepKey) -> StepSpec:
        """Return the step that a key belongs to."""
        return self.spec.steps[key.step]

    def tasks_of(self, key: StepKey) -> list[tuple[TaskKey, TaskRecord]]:
        """Return the tasks of one step of one occurrence."""
        keys = (TaskKey(*key, i) for i in range(self.spec.steps[key.step].count))
        return [(task_key, self.task_by_key[task_key]) for task_key in keys]

    def is_step_done(self, key: StepKey) -> bool:
        """Return whether all tasks of a step have ended as done."""
        return self.done_count_by_step.get(key, 0) >= self.step_of(key).count

    def is_step_open(self, key: StepKey) -> bool:
        """Return whether every step that a step comes after is done."""
        before = self.step_of(key).after
        return all(self.is_step_done(StepKey(key.occurrence, i)) for i in before)

    def open_steps(self, wall: float, early_s: float) -> list[StepKey]:
        """Return the steps of which tasks may start now.

        :param wall: present time in seconds of the wall clock.
        :param early_s: how long before its time an occurrence may start.
        """
        found = []
        for occurrence in range(self.spec.occurrences):
            if self.spec.repeats and wall < self.spec.due_at(occurrence) - early_s:
                break
            for number in range(len(self.spec.steps)):
                key = StepKey(occurrence, number)
                if not self.is_step_done(key) and self.is_step_open(key):
                    found.append(key)
        return found

    def runs(self) -> list[tuple[TaskKey, TaskRecord, Run]]:
        """Return every task that holds room, or may hold it."""
        return [
            (key, task, task.run)
            for key, task in self.task_by_key.items()
            if task.run is not None
        ]

    def is_done(self) -> bool:
        """Return whether every task has ended as done."""
        for occurrence in range(self.spec.occurrences):
            for number in range(len(self.spec.steps)):
                if not self.is_step_done(StepKey(occurrence, number)):
                    return False
        return True

    def begin_run(self, key: TaskKey, number: int, worker_id: str, born: int) -> Run:
        """Note the intent to start a task on a worker."""
        task = self.task_by_key[key]
        task.last_run = number
        task.run = Run(number, worker_id, born)
        self.waiting_by_step.get(key.step_key, {}).pop(key, None)
        if not self.is_final:
            self.state = JobState.RUNNING
        return task.run

    def next_run_number(self, keys: list[TaskKey]) -> int:
        """Return the number for a start of these tasks together."""
        return 1 + max(self.task_by_key[key].last_run for key in keys)

    def end_run(self, key: TaskKey, kind: EndKind, checkpoint: str) -> None:
        """Note how the present run of a task ended."""
        task = self.task_by_key[key]
        run = task.run.number if task.run else task.last_run
        task.run = None
        if not task.done:
            self.waiting_by_step.setdefault(key.step_key, {})[key] = None
        if checkpoint:
            task.checkpoint = checkpoint
        step = self.step_of(key)
        if kind is EndKind.DONE and not step.long_running:
            self._note_done(key, step)
        elif kind is EndKind.FAILED:
            task.failures += 1
            if step.gang:
                self._note_gang_failure(key.step_key, run)

    def _note_gang_failure(self, key: StepKey, run: int) -> None:
        """Count a failed run of a gang once, however many members failed."""
        failures = self.gang_failures_by_step.get(key, GangFailures())
        if run > failures.last_run:
            self.gang_failures_by_step[key] = GangFailures(failures.count + 1, run)

    def _note_done(self, key: TaskKey, step: StepSpec) -> None:
        keys = [key]
        if step.gang:
            keys = [other for other, _ in self.tasks_of(key.step_key)]
        for each in keys:
            task = self.task_by_key[each]
            if task.done:
                continue
            task.done = True
            self.waiting_by_step.get(key.step_key, {}).pop(each, None)
            count = self.done_count_by_step.get(key.step_key, 0)
            self.done_count_by_step[key.step_key] = count + 1

    def failures_of(self, key: TaskKey) -> int:
        """Return how often a task, or the gang that it is in, has failed."""
        if self.step_of(key).gang:
            return self.gang_failures_by_step.get(key.step_key, GangFailures()).count
        return self.task_by_key[key].failures

    def checkpoint_for(self, keys: list[TaskKey]) -> str:
        """Return the checkpoint that a start of these tasks resumes from."""
        checkpoints = [self.task_by_key[key].checkpoint for key in keys]
        return max(checkpoints, default="")

    def finish(self, state: JobState, wall: float) -> None:
        """Make the job final.

        :param wall: present time in seconds of the wall clock.
        """
        self.state = state
        self.ended_at = wall

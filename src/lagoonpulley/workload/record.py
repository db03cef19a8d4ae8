"""Progress of a job: its tasks, their runs and how the runs ended."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from .occurrences import OccurrenceSet
from .spec import JobSpec, StepKey, StepSpec, TaskKey

__all__ = [
    "CrashHistory",
    "EndKind",
    "GangFailures",
    "JobRecord",
    "JobState",
    "MAX_LIVE_TASKS",
    "Run",
    "TaskRecord",
]

# Tasks of one job at a time; their progress is one value of the store, and takes some
# 150 bytes a task at most.
MAX_LIVE_TASKS = 6000
# Of occurrences that are done, tasks that are still held and stored one by one, as
# earlier builds expect it. The older ones are known by their number alone.
MAX_DONE_TASKS_HELD = 300

# A task under which this many workers have crashed is given up, whatever the cause.
MAX_CRASHES = 5
# So is one whose blame is above this: more than one crash, and one without doubt.
MAX_BLAME = 1.0


class JobState(Enum):
    """State of a job as reported to its caller."""

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

    ``LAPSED``: the worker's lease expired or the worker lost the run.
    ``GANG_MEMBER_ENDED``: another member of the gang ended. ``GANG_INCOMPLETE``: the
    other members of the gang never started.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_MEMBER_ENDED = "broken"
    GANG_INCOMPLETE = "alone"


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a task on a worker.

    ``born`` identifies the worker's incarnation; 0 means unknown, as after a crash.
    ``started`` is set once the worker is known to have started it, and no other start
    command of it can be on its way.
    """

    number: int
    worker_id: str
    born: int
    started: bool = False


@dataclass(slots=True)
class TaskRecord:
    """One task.

    ``run`` is the current run, which uses, or may use, resources on a worker.
    ``last_run`` is the highest run number that the task has had. ``given_up_runs`` are
    the numbers of the runs that were given up and whose end no worker has listed yet;
    a run of a gang that has counted as failed is not among them. ``other_runs`` are
    runs beside the current one that workers list, each with its worker's id and its
    number; they are not stored.
    """

    last_run: int = 0
    run: Run | None = None
    done: bool = False
    failures: int = 0
    checkpoint: str = ""
    given_up_runs: frozenset[int] = frozenset()
    other_runs: frozenset[tuple[str, int]] = frozenset()

    @property
    def is_waiting(self) -> bool:
        """Whether the task still has to be started, and may be."""
        return self.run is None and not self.done and not self.other_runs


@dataclass(frozen=True, slots=True)
class GangFailures:
    """How many runs of a gang have failed, and the highest of their numbers."""

    count: int = 0
    last_run: int = 0


@dataclass(frozen=True, slots=True)
class CrashHistory:
    """How many workers have crashed during runs of a task.

    ``blame`` sums up, over the crashes, one divided by the number of jobs that may have
    caused it, if the task's job is one of them.
    """

    count: int = 0
    blame: float = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether the task may have caused a crash."""
        return self.blame > 0

    @property
    def is_deadly(self) -> bool:
        """Whether the task must not be started again."""
        return self.blame > MAX_BLAME or self.count >= MAX_CRASHES

    def plus(self, count: int, blame: float) -> CrashHistory:
        """Return the history with further crashes, or with fewer."""
        return CrashHistory(max(0, self.count + count), max(0.0, self.blame + blame))


@dataclass(slots=True, eq=False)
class JobRecord:
    """A job and its tasks; ``ended_at`` is in seconds of the wall clock.

    ``task_by_key`` holds the tasks of the occurrences that are open: those that have
    been due, until they are done. ``done_occurrences`` are done and held no longer.
    ``avoided_workers_by_step`` holds the ids of workers on which a run of the step
    failed, stalled or got no answer to its start. ``has_unstored_starts`` is set while
    the stored progress may lack a run that has started.
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
    crashes_by_task: dict[TaskKey, CrashHistory] = field(default_factory=dict)
    done_occurrences: OccurrenceSet = field(default_factory=OccurrenceSet)
    has_unstored_starts: bool = False
    _open_occurrences: dict[int, None] = field(default_factory=dict)
    # Open ones of which all tasks are done, in the order in which they were.
    _done_open: dict[int, None] = field(default_factory=dict)
    _next_occurrence: int = 0
    _remaining_path_s: list[float] | None = None

    @classmethod
    def from_spec(cls, spec: JobSpec) -> JobRecord:
        """Create the record of a job with no started tasks."""
        record = cls(spec)
        if not spec.repeats:
            record.open_occurrence(0)
            record._next_occurrence = 1
        return record

    def open_due_occurrences(self, wall: float, early_s: float) -> bool:
        """Open the occurrences that are due by now; return whether there were any.

        One that would make too many tasks waits for earlier ones to be done.

        :param wall: current wall time in seconds.
        :param early_s: how long before its scheduled time an occurrence may start.
        """
        spec = self.spec
        was_opened = False
        while self._next_occurrence < spec.occurrences:
            if wall < spec.scheduled_at(self._next_occurrence) - early_s:
                break
            live = len(self.task_by_key) + spec.tasks_per_occurrence
            if self._open_occurrences and live > MAX_LIVE_TASKS:
                break
            self.open_occurrence(self._next_occurrence)
            self._next_occurrence += 1
            was_opened = True
        return was_opened

    def open_occurrence(self, occurrence: int) -> None:
        """Create the tasks of an occurrence unless it is open or done."""
        if occurrence in self._open_occurrences or occurrence in self.done_occurrences:
            return
        self._open_occurrences[occurrence] = None
        for number, step in enumerate(self.spec.steps):
            waiting = self.waiting_by_step.setdefault(StepKey(occurrence, number), {})
            for index in range(step.count):
                key = TaskKey(occurrence, number, index)
                self.task_by_key[key] = TaskRecord()
                waiting[key] = None

    def close_done_occurrences(self) -> list[StepKey]:
        """Drop the tasks of occurrences that are done, the oldest first, but for a few.

        :returns: the steps that were dropped.
        """
        closed: list[StepKey] = []
        held = len(self._done_open) * self.spec.tasks_per_occurrence
        for occurrence in list(self._done_open):
            if held <= MAX_DONE_TASKS_HELD:
                break
            keys = self._step_keys(occurrence)
            tasks = [task for key in keys for _, task in self.tasks_of(key)]
            if any(task.run is not None or task.other_runs for task in tasks):
                continue
            self._close(occurrence)
            held -= self.spec.tasks_per_occurrence
            closed += keys
        return closed

    def _close(self, occurrence: int) -> None:
        del self._open_occurrences[occurrence]
        del self._done_open[occurrence]
        self.done_occurrences.add(occurrence)
        for key in self._step_keys(occurrence):
            for task_key, _ in self.tasks_of(key):
                del self.task_by_key[task_key]
                self.crashes_by_task.pop(task_key, None)
            self.done_count_by_step.pop(key, None)
            self.gang_failures_by_step.pop(key, None)
            self.waiting_by_step.pop(key, None)
            self.avoided_workers_by_step.pop(key, None)

    def _step_keys(self, occurrence: int) -> list[StepKey]:
        return [StepKey(occurrence, number) for number in range(len(self.spec.steps))]

    def rebuild_indexes(self) -> None:
        """Rebuild what follows from the tasks and from which of them are done."""
        self.waiting_by_step = {}
        for key, task in self.task_by_key.items():
            if task.is_waiting:
                self.waiting_by_step.setdefault(key.step_key, {})[key] = None
        self._done_open = {}
        for occurrence in self._open_occurrences:
            self._note_if_done(occurrence)

    def _note_if_done(self, occurrence: int) -> None:
        if all(map(self.is_step_done, self._step_keys(occurrence))):
            self._done_open[occurrence] = None

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
        """Return whether all tasks of a step are done."""
        if key.occurrence in self.done_occurrences:
            return True
        return self.done_count_by_step.get(key, 0) >= self.step_of(key).count

    def is_step_open(self, key: StepKey) -> bool:
        """Return whether all steps that a step depends on are done."""
        before = self.step_of(key).after
        return all(self.is_step_done(StepKey(key.occurrence, i)) for i in before)

    def open_steps(self) -> list[StepKey]:
        """Return the unfinished steps of open occurrences whose tasks may start now."""
        found = []
        for occurrence in self._open_occurrences:
            if occurrence in self._done_open:
                continue
            for key in self._step_keys(occurrence):
                if not self.is_step_done(key) and self.is_step_open(key):
                    found.append(key)
        return found

    def remaining_path_s(self, step: int) -> float:
        """Return the declared run time from the begin of a step to the job's end."""
        if self._remaining_path_s is None:
            self._remaining_path_s = self.spec.remaining_paths_s()
        return self._remaining_path_s[step]

    def is_task(self, key: TaskKey) -> bool:
        """Return whether the job has such a task, also if it is not held."""
        if key.occurrence >= self.spec.occurrences or key.step >= len(self.spec.steps):
            return False
        return key.index < self.spec.steps[key.step].count

    def runs(self) -> list[tuple[TaskKey, TaskRecord, Run]]:
        """Return the tasks with a current run, each with its key and run."""
        return [
            (key, task, task.run)
            for key, task in self.task_by_key.items()
            if task.run is not None
        ]

    def is_done(self) -> bool:
        """Return whether every task is done."""
        done = len(self.done_occurrences) + len(self._done_open)
        return done == self.spec.occurrences

    def begin_run(self, key: TaskKey, number: int, worker_id: str, born: int) -> Run:
        """Set the current run of a task before its start is sent to the worker."""
        task = self.task_by_key[key]
        task.last_run = number
        task.run = Run(number, worker_id, born)
        self.waiting_by_step.get(key.step_key, {}).pop(key, None)
        if not self.is_final:
            self.state = JobState.RUNNING
        return task.run

    def hold_back(self, key: TaskKey, worker_id: str, run: int) -> None:
        """Do not start a task while a worker lists a run beside the current one."""
        self.task_by_key[key].other_runs |= {(worker_id, run)}
        self.waiting_by_step.get(key.step_key, {}).pop(key, None)

    def release(self, key: TaskKey, worker_id: str, run: int) -> bool:
        """Record that a run is gone, and return whether it held its task back."""
        task = self.task_by_key.get(key)
        if task is None or (worker_id, run) not in task.other_runs:
            return False
        task.other_runs -= {(worker_id, run)}
        if task.is_waiting:
            self.waiting_by_step.setdefault(key.step_key, {})[key] = None
        return True

    def mark_started(self, key: TaskKey, number: int) -> None:
        """Record that a run has started and that no start of it is on its way."""
        task = self.task_by_key.get(key)
        if task and task.run and task.run.number == number and not task.run.started:
            task.run = replace(task.run, started=True)
            self.has_unstored_starts = True

    def forget_incarnation(self, key: TaskKey, number: int) -> None:
        """Record that the incarnation that has a run, if any, is not known any more."""
        task = self.task_by_key.get(key)
        if task and task.run and task.run.number == number:
            task.run = replace(task.run, born=0)

    def next_run_number(self, keys: list[TaskKey]) -> int:
        """Return the run number for starting these tasks together."""
        return 1 + max(self.task_by_key[key].last_run for key in keys)

    def end_run(self, key: TaskKey, kind: EndKind, checkpoint: str) -> None:
        """Record how the current run of a task ended."""
        task = self.task_by_key[key]
        run = task.run.number if task.run else task.last_run
        task.run = None
        if task.is_waiting:
            self.waiting_by_step.setdefault(key.step_key, {})[key] = None
        if checkpoint and not task.done:
            task.checkpoint = checkpoint
        self._apply_outcome(key, run, kind)

    def give_up_run(self, key: TaskKey) -> None:
        """End the current run of a task, whose worker may still list how it ended."""
        task = self.task_by_key[key]
        last_failed = self._gang_failures_of(key.step_key).last_run
        # Nothing follows from the end of a task that has to run on anyway, nor from
        # that of another member of a gang's run that has failed.
        if not self.step_of(key).long_running and task.run.number > last_failed:
            task.given_up_runs |= {task.run.number}
        self.end_run(key, EndKind.LAPSED, "")

    def apply_late_end(self, key: TaskKey, run: int, kind: EndKind) -> bool:
        """Record how a run ended that is not the current one.

        That a task is done is certain, whatever became of the run in this record. A
        failure counts only for a run that was given up, as it may be counted already.

        :returns: whether anything changed.
        """
        task = self.task_by_key[key]
        was_given_up = run in task.given_up_runs
        is_news = kind is EndKind.DONE and not task.done and run <= task.last_run
        if not was_given_up and not is_news:
            return False
        self._apply_outcome(key, run, kind)
        task.given_up_runs -= {run}
        return True

    def _apply_outcome(self, key: TaskKey, run: int, kind: EndKind) -> None:
        """Complete a task whose run is done, or count the failure."""
        step = self.step_of(key)
        if kind is EndKind.DONE and not step.long_running:
            self._mark_done(key, step)
        elif kind is EndKind.FAILED:
            self.task_by_key[key].failures += 1
            if step.gang:
                self._count_gang_failure(key.step_key, run)

    def _count_gang_failure(self, key: StepKey, run: int) -> None:
        """Count a failed run of a gang once, even if several members failed.

        Only the newest run has members that are still running. An earlier one counts if
        a member of it was given up, and then for none of them again.
        """
        failures = self._gang_failures_of(key)
        members = [task for _, task in self.tasks_of(key)]
        was_given_up = any(run in task.given_up_runs for task in members)
        if run <= failures.last_run and not was_given_up:
            return
        for task in members:
            task.given_up_runs -= {run}
        last_run = max(run, failures.last_run)
        self.gang_failures_by_step[key] = GangFailures(failures.count + 1, last_run)

    def _gang_failures_of(self, key: StepKey) -> GangFailures:
        return self.gang_failures_by_step.get(key, GangFailures())

    def _mark_done(self, key: TaskKey, step: StepSpec) -> None:
        keys = [key]
        if step.gang:
            keys = [other for other, _ in self.tasks_of(key.step_key)]
        for each in keys:
            task = self.task_by_key[each]
            if task.done:
                continue
            task.done = True
            task.checkpoint = ""
            self.waiting_by_step.get(key.step_key, {}).pop(each, None)
            count = self.done_count_by_step.get(key.step_key, 0)
            self.done_count_by_step[key.step_key] = count + 1
        if self.is_step_done(key.step_key):
            self._note_if_done(key.occurrence)

    def failures_of(self, key: TaskKey) -> int:
        """Return how often a task, or the gang it belongs to, has failed."""
        if self.step_of(key).gang:
            return self._gang_failures_of(key.step_key).count
        return self.task_by_key[key].failures

    def change_crashes(self, key: TaskKey, count: int, blame: float) -> CrashHistory:
        """Add to the crashes of a task, or take back, and return the history."""
        history = self.crashes_by_task.get(key, CrashHistory()).plus(count, blame)
        if history.count:
            self.crashes_by_task[key] = history
        else:
            self.crashes_by_task.pop(key, None)
        return history

    def split_suspects(
        self, keys: list[TaskKey]
    ) -> tuple[list[TaskKey], list[TaskKey]]:
        """Return those of the tasks that may have crashed a worker, and the others."""
        suspects, others = [], []
        for key in keys:
            history = self.crashes_by_task.get(key)
            is_suspect = history is not None and history.is_suspect
            (suspects if is_suspect else others).append(key)
        return suspects, others

    def checkpoint_for(self, keys: list[TaskKey]) -> str:
        """Return the greatest checkpoint of these tasks, from which they resume."""
        checkpoints = [self.task_by_key[key].checkpoint for key in keys]
        return max(checkpoints, default="")

    def finish(self, state: JobState, wall: float) -> None:
        """Make the job final.

        :param wall: current wall time in seconds.
        """
        self.state = state
        self.ended_at = wall

"""In-memory simulation of a worker that runs the tasks of steps."""

from __future__ import annotations

from dataclasses import dataclass

from ..upstream.tasks import (
    CommandAccepted,
    CommandRefused,
    Ended,
    Refusal,
    Running,
    StartTask,
    StopTask,
    SyncWorker,
    TaskRef,
    ThrottleTask,
    WorkerReport,
)
from ..workload.record import EndKind

__all__ = ["Execution", "TaskWorkerState"]

MS_PER_S = 1000
GANG_WAIT_S = 3.0
DEFAULT_RUN_TIME_S = 1.0
MAX_ENDS_LISTED = 500
STALLED_PERCENT = 40


@dataclass(slots=True, eq=False)
class Execution:
    """One run, recorded for the checks of tests; times are in seconds.

    ``acknowledged_at`` stays ``None`` if the worker's lease expired before the end of
    the run was acknowledged; checks of later runs then ignore the run. ``incarnation``
    is the worker's id and its ``born``, ``resumed_from`` the checkpoint that came with
    the start, and ``checkpoint`` the one that the run saves.
    """

    ref: TaskRef
    started_at: float
    ends_at: float
    ended_at: float | None = None
    kind: EndKind | None = None
    acknowledged_at: float | None = None
    incarnation: tuple[str, int] = ("", 0)
    resumed_from: str = ""
    checkpoint: str = ""


class TaskWorkerState:
    """Runs, ended runs, fencing token and lease of one worker.

    The worker's clock starts at zero with each incarnation. A payload of the form
    ``saves=20 seconds=2.5`` sets the run time of each task, and how many characters its
    checkpoint has if it saves one; every task fails if the payload contains ``fail``.
    While ``is_stalled`` is set, runs end only on lease expiry, a
    stop command or a restart. A run that is being stopped is listed as running, and
    uses its room, for ``stop_s`` seconds more.

    :param max_lease_s: longest lease that the worker grants, in seconds.
    :param wall_offset_s: the worker's wall clock less the clock of all ``now``.
    """

    def __init__(
        self,
        worker_id: str,
        max_lease_s: float,
        now: float,
        wall_offset_s: float = 0.0,
    ) -> None:
        self.id = worker_id
        self.wall_offset_s = wall_offset_s
        self.max_lease_s = max_lease_s
        self.max_ends_listed = MAX_ENDS_LISTED
        self.is_stalled = False
        self.stop_s = 0.0
        self.executions: list[Execution] = []
        self._begin_incarnation(now)

    def restart(self, now: float) -> None:
        """Begin a new incarnation without any state of the previous one."""
        self.advance(now)
        for execution in self._running_by_ref.values():
            execution.ended_at = now
        self._begin_incarnation(now)

    def _begin_incarnation(self, now: float) -> None:
        self.born = int((self.wall_offset_s + now) * MS_PER_S) + 1
        self._booted_at = now
        self._token = 0
        self._lease_until_ms = 0
        self._last_run_by_task: dict[tuple, int] = {}
        self._running_by_ref: dict[TaskRef, Execution] = {}
        self._unacknowledged_ends: list[Ended] = []
        self._execution_by_end: dict[int, Execution] = {}
        self._end_count = 0

    def clock_ms(self, now: float) -> int:
        """Return the time on the worker's clock in milliseconds."""
        return int((now - self._booted_at) * MS_PER_S)

    def apply(
        self, command: object, now: float
    ) -> CommandAccepted | CommandRefused | WorkerReport:
        """Perform one command and return its result."""
        self.advance(now)
        if command.to.worker_id != self.id:
            return CommandRefused(Refusal.OTHER_LIFE)
        if command.token < self._token:
            return CommandRefused(Refusal.FENCED, self.clock_ms(now))
        self._token = command.token
        match command:
            case StartTask():
                return self._start(command, now)
            case StopTask(ref=ref):
                return self._stop(ref, now)
            case SyncWorker():
                return self._sync(command, now)
            case ThrottleTask():
                return CommandAccepted(self.clock_ms(now))
        raise TypeError(f"unknown command {command!r}")

    def has_ends(self) -> bool:
        """Return whether the end of any run is not acknowledged yet."""
        return bool(self._unacknowledged_ends)

    def advance(self, now: float) -> None:
        """End runs whose run time has passed, and every run if the lease expired."""
        lease_ends_at = self._booted_at + self._lease_until_ms / MS_PER_S
        for ref, execution in list(self._running_by_ref.items()):
            if self.is_stalled and execution.kind is not EndKind.STOPPED:
                continue
            if execution.ends_at <= min(now, lease_ends_at):
                self._end(ref, execution.kind, execution.ends_at)
        if now <= lease_ends_at:
            return
        self._execution_by_end.clear()
        for ref in list(self._running_by_ref):
            self._end(ref, EndKind.LAPSED, lease_ends_at)

    def _extend_lease(self, until_ms: int, now: float) -> None:
        max_until_ms = self.clock_ms(now) + int(self.max_lease_s * MS_PER_S)
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, max_until_ms))

    def _start(
        self, command: StartTask, now: float
    ) -> CommandAccepted | CommandRefused:
        self._extend_lease(command.not_after_ms, now)
        clock_ms = self.clock_ms(now)
        ref = command.ref
        if ref in self._running_by_ref:
            return CommandAccepted(clock_ms)
        task = (ref.job_id, ref.key)
        if ref.run <= self._last_run_by_task.get(task, 0):
            return CommandRefused(Refusal.OLD, clock_ms)
        if clock_ms > command.not_after_ms:
            return CommandRefused(Refusal.LATE, clock_ms)
        self._last_run_by_task[task] = ref.run
        execution = Execution(ref, now, now + _run_time_s(command.payload))
        execution.kind = EndKind.FAILED if "fail" in command.payload else EndKind.DONE
        execution.incarnation = (self.id, self.born)
        execution.resumed_from = command.checkpoint
        execution.checkpoint = _checkpoint_of(command.payload)
        self._running_by_ref[ref] = execution
        self.executions.append(execution)
        return CommandAccepted(clock_ms)

    def _stop(self, ref: TaskRef, now: float) -> CommandAccepted:
        task = (ref.job_id, ref.key)
        self._last_run_by_task[task] = max(ref.run, self._last_run_by_task.get(task, 0))
        execution = self._running_by_ref.get(ref)
        if execution is not None and execution.kind is not EndKind.STOPPED:
            self._begin_stop(execution, now)
        return CommandAccepted(self.clock_ms(now))

    def _begin_stop(self, execution: Execution, now: float) -> None:
        stopped_at = now + self.stop_s
        if not self.is_stalled and execution.ends_at <= stopped_at:
            return
        execution.kind = EndKind.STOPPED
        execution.ends_at = stopped_at
        self.advance(now)

    def _sync(self, command: SyncWorker, now: float) -> WorkerReport:
        if command.lease_until_ms is not None:
            self._extend_lease(command.lease_until_ms, now)
        self._acknowledge(command.acknowledged, now)
        percent = STALLED_PERCENT if self.is_stalled else 100
        running = tuple(
            Running(ref, execution.checkpoint, percent)
            for ref, execution in self._running_by_ref.items()
        )
        ended = tuple(self._unacknowledged_ends[: self.max_ends_listed])
        return WorkerReport(self.clock_ms(now), self.born, running, ended)

    def _acknowledge(self, up_to: int, now: float) -> None:
        for end in self._unacknowledged_ends:
            if end.number > up_to:
                break
            execution = self._execution_by_end.pop(end.number, None)
            if execution is not None:
                execution.acknowledged_at = now
        self._unacknowledged_ends = [
            end for end in self._unacknowledged_ends if end.number > up_to
        ]

    def _end(self, ref: TaskRef, kind: EndKind, at: float) -> None:
        execution = self._running_by_ref.pop(ref)
        execution.ended_at = at
        execution.kind = kind
        self._end_count += 1
        end = Ended(self._end_count, ref, kind, execution.checkpoint)
        self._unacknowledged_ends.append(end)
        self._execution_by_end[self._end_count] = execution


def _checkpoint_of(payload: str) -> str:
    _, _, text = payload.partition("saves=")
    return "c" * int(text.split()[0]) if text else ""


def _run_time_s(payload: str) -> float:
    _, _, text = payload.partition("seconds=")
    return float(text) if text else DEFAULT_RUN_TIME_S

"""In-memory simulation of a worker that runs attempts of tasks."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass, replace
from typing import Any

from ..model.resources import ZERO, Resources
from ..upstream.messages import (
    Fence,
    FenceResult,
    StartResult,
    StartTasks,
    StopResult,
    StopTask,
    Sync,
    SyncResult,
    TaskReport,
    TaskStart,
    TaskStatus,
    WorkerRefusal,
)

__all__ = ["Execution", "WorkerState"]


@dataclass(slots=True)
class _Attempt:
    """One attempt of a task; times are in seconds on the worker's clock."""

    start: TaskStart
    epoch: int
    ends_at: float
    lease_ends_at: float
    report: TaskReport


@dataclass(frozen=True, slots=True)
class Execution:
    """Record of an attempt that started on this worker, for the checks of tests."""

    task_id: str
    attempt: int
    epoch: int
    at: float


class WorkerState:
    """Tasks of one worker; callers must serialize commands.

    :param fencing: whether the worker stores the highest epoch that it has seen and
        refuses commands with a lower one.
    """

    def __init__(self, worker_id: str, capacity: Resources, fencing: bool = True):
        self.id = worker_id
        self.capacity = capacity
        self.fencing = fencing
        self.seen_epoch = 0
        self._boot_count = 1
        self.fail_all_tasks = False
        self.enforce_capacity = True
        self.executions: list[Execution] = []
        self._attempt_by_key: dict[tuple[str, int], _Attempt] = {}
        self._refused_keys: set[tuple[str, int]] = set()

    def apply(self, command: Any, now: float) -> Any:
        """Perform one command and return its result.

        :param now: time on the worker's clock in seconds.
        """
        self.advance(now)
        if self.fencing and command.epoch < self.seen_epoch:
            return WorkerRefusal(self.seen_epoch, self.boot_id)
        if getattr(command, "boot_id", self.boot_id) != self.boot_id:
            return WorkerRefusal(self.seen_epoch, self.boot_id)
        self.seen_epoch = max(self.seen_epoch, command.epoch)
        match command:
            case Fence():
                return FenceResult(self.boot_id, self._all_reports())
            case StartTasks():
                reports = [self._start(start, command, now) for start in command.tasks]
                return StartResult(tuple(reports))
            case StopTask():
                return StopResult(self.boot_id, self._stop(command))
            case Sync():
                return self._sync(command, now)
        raise TypeError(f"unknown command {command!r}")

    @property
    def boot_id(self) -> str:
        """Identifier of the current boot of the worker."""
        return f"{self.id}-boot-{self._boot_count}"

    def restart(self) -> None:
        """Restart the worker: drop all tasks and all other state."""
        self._boot_count += 1
        self.seen_epoch = 0
        self._attempt_by_key.clear()
        self._refused_keys.clear()

    def advance(self, now: float) -> None:
        """Finish tasks whose run time has passed; stop tasks whose lease expired."""
        for attempt in self._attempt_by_key.values():
            if attempt.report.status is not TaskStatus.RUNNING:
                continue
            if attempt.lease_ends_at <= min(now, attempt.ends_at):
                attempt.report = replace(
                    attempt.report, status=TaskStatus.STOPPED, reason="lease ended"
                )
                continue
            if attempt.ends_at <= now:
                attempt.report = self._final_report(attempt)

    def next_change_at(self) -> float:
        """Return when the next task finishes or loses its lease, or infinity."""
        times = [
            min(attempt.ends_at, attempt.lease_ends_at)
            for attempt in self._attempt_by_key.values()
            if attempt.report.status is TaskStatus.RUNNING
        ]
        return min(times, default=float("inf"))

    def has_final_reports(self) -> bool:
        """Return whether any final report is not acknowledged yet."""
        return any(
            attempt.report.status is not TaskStatus.RUNNING
            for attempt in self._attempt_by_key.values()
        )

    def collect(self) -> SyncResult:
        """Return unacknowledged final reports and running reports; renew no lease."""
        finished = [
            report
            for report in self._all_reports()
            if report.status is not TaskStatus.RUNNING
        ]
        return SyncResult(self.boot_id, tuple(finished), tuple(self.running()))

    def running(self) -> list[TaskReport]:
        """Return the reports of all running tasks."""
        return [
            attempt.report
            for attempt in self._attempt_by_key.values()
            if attempt.report.status is TaskStatus.RUNNING
        ]

    def committed(self) -> Resources:
        """Return the total resources requested by all running tasks."""
        total = ZERO
        for attempt in self._attempt_by_key.values():
            if attempt.report.status is TaskStatus.RUNNING:
                total = total.plus(attempt.start.request)
        return total

    def _start(self, start: TaskStart, command: StartTasks, now: float) -> TaskReport:
        key = (start.task_id, start.attempt)
        existing = self._attempt_by_key.get(key)
        if existing is not None:
            return existing.report
        if key in self._refused_keys:
            return _report(start, TaskStatus.REFUSED, "stopped before it started")
        required = self.committed().plus(start.request)
        if self.enforce_capacity and not required.fits_in(self.capacity):
            return _report(start, TaskStatus.REFUSED, "no capacity")
        behaviour = _behaviour(start.payload)
        run_s = float(behaviour.get("run_s", start.run_time_s))
        self._attempt_by_key[key] = _Attempt(
            start=start,
            epoch=command.epoch,
            ends_at=now + (0.0 if self.fail_all_tasks else run_s),
            lease_ends_at=now + command.lease_s,
            report=_report(start, TaskStatus.RUNNING, ""),
        )
        self.executions.append(
            Execution(start.task_id, start.attempt, command.epoch, now)
        )
        return self._attempt_by_key[key].report

    def _stop(self, command: StopTask) -> TaskReport:
        key = (command.task_id, command.attempt)
        attempt = self._attempt_by_key.get(key)
        if attempt is None:
            self._refused_keys.add(key)
            return TaskReport(command.task_id, command.attempt, TaskStatus.NEVER_SEEN)
        if attempt.report.status is TaskStatus.RUNNING:
            status = TaskStatus.STOPPED
            if command.checkpoint:
                status = TaskStatus.CHECKPOINTED
            attempt.report = replace(attempt.report, status=status)
        return attempt.report

    def _sync(self, command: Sync, now: float) -> SyncResult:
        for key in command.acknowledged:
            attempt = self._attempt_by_key.get(tuple(key))
            if attempt is None or attempt.report.status is TaskStatus.RUNNING:
                continue
            del self._attempt_by_key[tuple(key)]
            self._refused_keys.add(tuple(key))
        for attempt in self._attempt_by_key.values():
            attempt.lease_ends_at = now + command.lease_s
        return self.collect()

    def _all_reports(self) -> tuple[TaskReport, ...]:
        return tuple(attempt.report for attempt in self._attempt_by_key.values())

    def _final_report(self, attempt: _Attempt) -> TaskReport:
        behaviour = _behaviour(attempt.start.payload)
        run_s = float(behaviour.get("run_s", attempt.start.run_time_s))
        if self.fail_all_tasks or behaviour.get("fail"):
            status, output = TaskStatus.FAILED, ""
        else:
            status = TaskStatus.FINISHED
            output = json.dumps(
                {"task": attempt.start.task_id, "answer": behaviour.get("answer")}
            )
        return replace(
            attempt.report,
            status=status,
            output=output,
            output_bytes=len(output.encode()),
            output_digest=hashlib.sha256(output.encode()).hexdigest(),
            reason="" if status is TaskStatus.FINISHED else "task failed",
            run_time_s=run_s,
        )


def _report(start: TaskStart, status: TaskStatus, reason: str) -> TaskReport:
    return TaskReport(
        start.task_id,
        start.attempt,
        status,
        reason=reason,
        used_processors_milli=start.request.processors_milli,
        used_memory_mb=start.request.memory_mb,
    )


def _behaviour(payload: str) -> dict[str, Any]:
    """Return the payload's object, in which a test may set run_s, fail and answer."""
    try:
        behaviour = json.loads(payload)
    except ValueError:
        return {}
    return behaviour if isinstance(behaviour, dict) else {}

"""The exchange with one worker: fencing, starts, renewals and stops."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..model.resources import Resources
from ..runtime.flows import Call, Flow, Sleep
from ..runtime.role import UPSTREAM, CallFailed
from ..upstream.messages import (
    Fence,
    FenceResult,
    StartResult,
    StartTasks,
    StopResult,
    StopTask,
    Sync,
    SyncResult,
    TaskStart,
    TaskStatus,
    UpstreamCall,
    WorkerRefusal,
)

if TYPE_CHECKING:
    from ..store.messages import Instance
    from .context import GroupContext
    from .records import JobRecord, TaskRecord

__all__ = ["Assignment", "WorkerLink"]

FENCE_TIMEOUT_S = 1.0
START_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 1.0
SYNC_SLACK_S = 2.0
RETRY_PAUSE_S = 0.5
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 1.0
STARTS_PER_CALL = 16


@dataclass(frozen=True, slots=True)
class Assignment:
    """One attempt of a task on its way to a worker."""

    record: JobRecord
    task: TaskRecord
    attempt: int

    @property
    def is_current(self) -> bool:
        """Whether the task still holds room under this attempt."""
        return self.task.attempt == self.attempt and self.task.holds_room


class WorkerLink:
    """One worker as the owner of its group sees it.

    ``last_contact_at`` is when the last call that may have renewed leases ended,
    on the monotonic clock.
    """

    def __init__(self, group: GroupContext, instance: Instance) -> None:
        self._group = group
        self.worker_id = instance.id
        self.address = instance.address
        self.rack = instance.rack
        self.capacity = capacity_of(instance)
        self.leaving = instance.leaving
        self.gone = False
        self.fenced = False
        self.ever_fenced = False
        self.boot_id = ""
        self.last_contact_at = group.now.mono
        self._to_start: list[Assignment] = []
        self._acknowledged: dict[tuple[str, int], None] = {}
        self._starting = False
        self._closed = False
        self._reported: frozenset[tuple[str, int]] = frozenset()
        self._pause_s = FIRST_PAUSE_S

    @property
    def accepting(self) -> bool:
        """Whether new tasks may be placed on the worker."""
        return self.fenced and not self.leaving and not self.gone

    def update(self, instance: Instance) -> None:
        """Take in a changed line of the list of instances."""
        self.address = instance.address
        self.rack = instance.rack
        self.capacity = capacity_of(instance)
        self.leaving = instance.leaving

    def close(self) -> None:
        """End all exchanges at their next step."""
        self._closed = True

    # Fencing and renewal.

    def fence_call(self) -> Call:
        """Return the call that fences the worker and lists its tasks."""
        return self._call(Fence(self._group.epoch), FENCE_TIMEOUT_S)

    def run(self) -> Flow:
        """Renew leases and take reports until the link is closed."""
        while not self._closed:
            if not self.fenced:
                result = yield self.fence_call()
                yield from self.take_fence_result(result)
                if not self.fenced and not self._closed:
                    yield Sleep(RETRY_PAUSE_S)
                continue
            yield from self._sync()

    def take_fence_result(self, result: Any) -> Flow:
        """Process the answer to :meth:`fence_call`."""
        if self._closed:
            return
        if isinstance(result, WorkerRefusal):
            self._group.depose_by(result.seen_epoch)
            return
        if isinstance(result, CallFailed):
            self._group.check_lost(self)
            return
        yield from self._reconcile(result)

    def _reconcile(self, result: FenceResult) -> Flow:
        """Compare what the worker runs with what it should run."""
        self.boot_id = result.boot_id
        self.last_contact_at = self._group.now.mono
        listed = {(report.task_id, report.attempt) for report in result.reports}
        for report in result.reports:
            self._group.take_report(self, report)
        for assignment in self._group.assignments_on(self.worker_id):
            task_id = assignment.record.task_id(assignment.task)
            if (task_id, assignment.attempt) in listed or not assignment.task.sent:
                continue
            proven = yield from self._prove_not_run(assignment)
            if not proven or self._closed:
                return
        self.fenced = True
        self.ever_fenced = True
        self._group.worker_changed(self)

    def _prove_not_run(self, assignment: Assignment) -> Flow:
        """Make sure that an attempt the worker does not list can never start."""
        if assignment.task.boot_id != self.boot_id:
            self._group.attempt_lost(assignment, "worker restarted")
            return True
        result = yield from self._stop_call(assignment, checkpoint=False)
        if not isinstance(result, StopResult):
            return False
        if result.boot_id != self.boot_id:
            return False
        self._group.take_report(self, result.report)
        return True

    def _sync(self) -> Flow:
        settings = self._group.settings
        wait_s = settings.task_lease_s / 3
        acknowledged = tuple(self._acknowledged)
        confirmed = self._group.running_attempts_on(self.worker_id)
        command = Sync(
            self._group.epoch,
            self.boot_id,
            settings.task_lease_s,
            wait_s,
            acknowledged,
        )
        result = yield self._call(command, wait_s + SYNC_SLACK_S)
        self.last_contact_at = self._group.now.mono
        if self._closed:
            return
        if not isinstance(result, SyncResult):
            self._lose_contact(result)
            return
        for key in acknowledged:
            self._acknowledged.pop(key, None)
        for report in result.reports:
            self._group.take_report(self, report)
        self._take_running(result, confirmed)
        yield from self._pause_if_nothing_new(result)

    def _pause_if_nothing_new(self, result: SyncResult) -> Flow:
        """Wait while reports can be neither forgotten nor added to.

        A worker answers at once as long as a report is not acknowledged, which may
        take as long as the store is down.
        """
        reported = frozenset((item.task_id, item.attempt) for item in result.reports)
        is_new = not reported or not reported <= self._reported
        self._reported = reported
        if is_new:
            self._pause_s = FIRST_PAUSE_S
            return
        yield Sleep(self._pause_s)
        self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * 2)

    def _take_running(self, result: SyncResult, confirmed: set[tuple[str, int]]):
        listed = {(report.task_id, report.attempt) for report in result.reports}
        for report in result.running:
            listed.add((report.task_id, report.attempt))
            self._group.take_usage(report)
        for key in confirmed - listed:
            self._group.attempt_missing(self, *key)

    def _lose_contact(self, result: Any) -> None:
        if isinstance(result, WorkerRefusal) and result.boot_id == self.boot_id:
            self._group.depose_by(result.seen_epoch)
            return
        self.fenced = False
        self._group.worker_changed(self)

    # Starts.

    def queue_start(self, assignment: Assignment) -> None:
        """Queue a start; :meth:`flush` sends all queued ones together."""
        self._to_start.append(assignment)

    def flush(self) -> None:
        """Send queued starts unless a start call is on its way."""
        if self._starting or not self._to_start:
            return
        self._starting = True
        self._group.start(self._send_starts())

    def _send_starts(self) -> Flow:
        while self._to_start and not self._closed:
            if not self.fenced:
                self._return_starts("worker cannot be reached")
                break
            batch = self._take_batch()
            if not batch:
                continue
            result = yield self._call(self._start_command(batch), START_TIMEOUT_S)
            if not self._closed:
                self._take_start_result(batch, result)
        self._starting = False

    def _take_batch(self) -> list[Assignment]:
        batch = self._to_start[:STARTS_PER_CALL]
        del self._to_start[:STARTS_PER_CALL]
        current = [assignment for assignment in batch if assignment.is_current]
        for assignment in current:
            assignment.task.sent = True
            assignment.task.boot_id = self.boot_id
        return current

    def _start_command(self, batch: list[Assignment]) -> StartTasks:
        starts = [
            TaskStart(
                assignment.record.task_id(assignment.task),
                assignment.attempt,
                assignment.record.job.request,
                assignment.record.job.run_time_s,
                assignment.record.job.payload,
            )
            for assignment in batch
        ]
        settings = self._group.settings
        return StartTasks(
            self._group.epoch, self.boot_id, settings.task_lease_s, tuple(starts)
        )

    def _take_start_result(self, batch: list[Assignment], result: Any) -> None:
        match result:
            case StartResult(reports):
                for report in reports:
                    self._group.take_report(self, report)
            case WorkerRefusal():
                for assignment in batch:
                    self._group.attempt_not_run(assignment, "worker refused")
                self._lose_contact(result)
            case CallFailed(ran, reason):
                self._group.starts_failed(self, batch, ran, reason)
                self.fenced = False
                self._group.worker_changed(self)
                self._group.start(self._fence_again())

    def _fence_again(self) -> Flow:
        """Learn at once what became of starts without an answer."""
        result = yield self.fence_call()
        yield from self.take_fence_result(result)

    def _return_starts(self, reason: str) -> None:
        returned, self._to_start = self._to_start, []
        for assignment in returned:
            if assignment.is_current:
                self._group.attempt_not_run(assignment, reason)

    # Stops and acknowledgements.

    def stop(self, assignment: Assignment, checkpoint: bool) -> Flow:
        """Stop an attempt, trying again until the worker has answered."""
        while not self._closed and assignment.is_current:
            result = yield from self._stop_call(assignment, checkpoint)
            if isinstance(result, StopResult) and result.boot_id == self.boot_id:
                self._group.take_report(self, result.report)
                return
            yield Sleep(RETRY_PAUSE_S)

    def stop_unwanted(self, task_id: str, attempt: int) -> Flow:
        """Stop an attempt that belongs to no task here, once."""
        command = StopTask(self._group.epoch, task_id, attempt, checkpoint=False)
        result = yield self._call(command, STOP_TIMEOUT_S)
        if not isinstance(result, StopResult):
            return
        if result.report.status is not TaskStatus.NEVER_SEEN:
            self.acknowledge(task_id, attempt)

    def acknowledge(self, task_id: str, attempt: int) -> None:
        """Let the worker forget an attempt with its next renewal."""
        self._acknowledged[(task_id, attempt)] = None

    def _stop_call(self, assignment: Assignment, checkpoint: bool) -> Flow:
        task_id = assignment.record.task_id(assignment.task)
        command = StopTask(self._group.epoch, task_id, assignment.attempt, checkpoint)
        return (yield self._call(command, STOP_TIMEOUT_S))

    def _call(self, command: Any, timeout_s: float) -> Call:
        operation = UpstreamCall(
            self.worker_id, self.address, command, self._group.valid_until
        )
        return Call(UPSTREAM, operation, timeout_s)


def capacity_of(instance: Instance) -> Resources:
    """Return the capacity that a line of the list of instances states."""
    return Resources(
        instance.processors_milli,
        instance.memory_mb,
        instance.accelerators,
        instance.slots,
        instance.connections,
    )

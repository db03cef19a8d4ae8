"""Communication with one worker: fencing, lease renewal, task starts and stops."""

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
RETRY_DELAY_S = 0.5
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
MAX_STARTS_PER_CALL = 16


@dataclass(frozen=True, slots=True)
class Assignment:
    """One attempt of a task that is placed on a worker."""

    record: JobRecord
    task: TaskRecord
    attempt: int

    @property
    def is_current(self) -> bool:
        """Whether this is still the task's attempt and the task is placed."""
        return self.task.attempt == self.attempt and self.task.is_placed


class WorkerLink:
    """Connection of a group's owner to one worker.

    ``fenced`` holds while the worker answers under this epoch; ``ever_fenced`` is
    set once it has been fenced in this epoch. ``last_contact_at`` is when the last
    call that may have renewed leases ended, on the monotonic clock.
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
        self._fencing = False
        self._closed = False
        self._last_reported: frozenset[tuple[str, int]] = frozenset()
        self._backoff_s = MIN_BACKOFF_S

    @property
    def accepting(self) -> bool:
        """Whether new tasks may be placed on the worker."""
        return self.fenced and not self.leaving and not self.gone

    def update(self, instance: Instance) -> None:
        """Apply a changed instance record of the worker."""
        self.address = instance.address
        self.rack = instance.rack
        self.capacity = capacity_of(instance)
        self.leaving = instance.leaving

    def close(self) -> None:
        """Stop all flows of this link at their next step."""
        self._closed = True

    def fence_call(self) -> Call:
        """Return the call that fences the worker and lists its tasks."""
        return self._call(Fence(self._group.epoch), FENCE_TIMEOUT_S)

    def run(self) -> Flow:
        """Renew leases and process reports until the link is closed."""
        while not self._closed:
            if not self.fenced:
                yield from self._fence()
                if not self.fenced and not self._closed:
                    yield Sleep(RETRY_DELAY_S)
                continue
            yield from self._sync()

    def _fence(self) -> Flow:
        """Fence the worker, unless another flow is doing so.

        Of two answers, the later one may be the older: of an earlier boot, or a list
        that lacks attempts started since.
        """
        if self._fencing:
            return
        self._fencing = True
        result = yield self.fence_call()
        yield from self.handle_fence_result(result)
        self._fencing = False

    def handle_fence_result(self, result: Any) -> Flow:
        """Process the answer to :meth:`fence_call`."""
        if self._closed:
            return
        if isinstance(result, WorkerRefusal):
            self._group.step_down(result.seen_epoch)
            return
        if isinstance(result, CallFailed):
            self._group.end_expired_attempts(self)
            return
        yield from self._reconcile(result)

    def _reconcile(self, result: FenceResult) -> Flow:
        """Reconcile the attempts that the worker lists with those placed on it.

        The worker counts as fenced only after every attempt that was sent to it
        and that it does not list is resolved.
        """
        self.boot_id = result.boot_id
        self.last_contact_at = self._group.now.mono
        listed = {(report.task_id, report.attempt) for report in result.reports}
        for report in result.reports:
            self._group.handle_report(self, report)
        for assignment in self._group.assignments_on(self.worker_id):
            task_id = assignment.record.task_id(assignment.task)
            if (task_id, assignment.attempt) in listed or not assignment.task.sent:
                continue
            resolved = yield from self._resolve_unlisted_attempt(assignment)
            if not resolved or self._closed:
                return
        self.fenced = True
        self.ever_fenced = True
        self._group.worker_changed(self)

    def _resolve_unlisted_attempt(self, assignment: Assignment) -> Flow:
        """End an attempt that the worker does not list; return whether it is resolved.

        After a restart the worker has lost its record of the attempt. Otherwise a
        stop command makes the worker refuse a start command that arrives later.
        """
        if assignment.task.boot_id != self.boot_id:
            self._group.attempt_lost(assignment, "worker restarted")
            return True
        result = yield from self._stop_call(assignment, checkpoint=False)
        if not isinstance(result, StopResult):
            return False
        if result.boot_id != self.boot_id:
            return False
        self._group.handle_report(self, result.report)
        return True

    def _sync(self) -> Flow:
        settings = self._group.settings
        wait_s = settings.task_lease_s / 3
        acknowledged = tuple(self._acknowledged)
        known_running = self._group.running_attempts_on(self.worker_id)
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
            self._handle_call_failure(result)
            return
        for key in acknowledged:
            self._acknowledged.pop(key, None)
        for report in result.reports:
            self._group.handle_report(self, report)
        self._handle_running(result, known_running)
        yield from self._back_off_if_unchanged(result)

    def _back_off_if_unchanged(self, result: SyncResult) -> Flow:
        """Back off exponentially while a sync returns no new report.

        A worker answers at once as long as a report is not acknowledged. Reports
        of durable jobs stay unacknowledged while the store is down, so without a
        backoff the sync loop would flood the worker.
        """
        reported = frozenset((item.task_id, item.attempt) for item in result.reports)
        is_new = not reported or not reported <= self._last_reported
        self._last_reported = reported
        if is_new:
            self._backoff_s = MIN_BACKOFF_S
            return
        yield Sleep(self._backoff_s)
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)

    def _handle_running(self, result: SyncResult, known_running: set[tuple[str, int]]):
        listed = {(report.task_id, report.attempt) for report in result.reports}
        for report in result.running:
            listed.add((report.task_id, report.attempt))
            self._group.record_usage(report)
        for key in known_running - listed:
            self._group.attempt_missing(self, *key)

    def _handle_call_failure(self, result: Any) -> None:
        if isinstance(result, WorkerRefusal) and result.boot_id == self.boot_id:
            self._group.step_down(result.seen_epoch)
            return
        self.fenced = False
        self._group.worker_changed(self)

    def queue_start(self, assignment: Assignment) -> None:
        """Queue a task start; :meth:`flush` sends queued starts in batches."""
        self._to_start.append(assignment)

    def flush(self) -> None:
        """Send queued starts unless a start call is already in flight."""
        if self._starting or not self._to_start:
            return
        self._starting = True
        self._group.start(self._send_starts())

    def _send_starts(self) -> Flow:
        while self._to_start and not self._closed:
            if not self.fenced:
                self._cancel_queued_starts("worker cannot be reached")
                break
            batch = self._next_batch()
            if not batch:
                continue
            result = yield self._call(self._start_command(batch), START_TIMEOUT_S)
            if not self._closed:
                self._handle_start_result(batch, result)
        self._starting = False

    def _next_batch(self) -> list[Assignment]:
        batch = self._to_start[:MAX_STARTS_PER_CALL]
        del self._to_start[:MAX_STARTS_PER_CALL]
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

    def _handle_start_result(self, batch: list[Assignment], result: Any) -> None:
        match result:
            case StartResult(reports):
                for report in reports:
                    self._group.handle_report(self, report)
            case WorkerRefusal():
                for assignment in batch:
                    self._group.attempt_not_run(assignment, "worker refused")
                self._handle_call_failure(result)
            case CallFailed(ran, reason):
                self._group.starts_failed(self, batch, ran, reason)
                self.fenced = False
                self._group.worker_changed(self)
                # To find out whether the unanswered starts took effect.
                self._group.start(self._fence())

    def _cancel_queued_starts(self, reason: str) -> None:
        cancelled, self._to_start = self._to_start, []
        for assignment in cancelled:
            if assignment.is_current:
                self._group.attempt_not_run(assignment, reason)

    def stop(self, assignment: Assignment, checkpoint: bool) -> Flow:
        """Stop an attempt, retrying until the worker has answered.

        :param checkpoint: whether the worker is to save the task's progress.
        """
        while not self._closed and assignment.is_current:
            result = yield from self._stop_call(assignment, checkpoint)
            if isinstance(result, StopResult) and result.boot_id == self.boot_id:
                self._group.handle_report(self, result.report)
                return
            yield Sleep(RETRY_DELAY_S)

    def stop_stale_attempt(self, task_id: str, attempt: int) -> Flow:
        """Stop an attempt that is not current in this group, without retries."""
        command = StopTask(self._group.epoch, task_id, attempt, checkpoint=False)
        result = yield self._call(command, STOP_TIMEOUT_S)
        if not isinstance(result, StopResult):
            return
        if result.report.status is not TaskStatus.NEVER_SEEN:
            self.acknowledge(task_id, attempt)

    def acknowledge(self, task_id: str, attempt: int) -> None:
        """Acknowledge the final report of an attempt with the next sync."""
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
    """Return the capacity stated in an instance record."""
    return Resources(
        instance.processors_milli,
        instance.memory_mb,
        instance.accelerators,
        instance.slots,
        instance.connections,
    )

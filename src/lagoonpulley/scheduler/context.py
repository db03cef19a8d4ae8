"""Interfaces of a group that its components depend on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from ..model.verdict import Ran
    from ..placement.core import PlacementCore
    from ..placement.events import TaskOutcome
    from ..runtime.flows import Call, Flow
    from ..runtime.role import Now
    from ..settings.schema import Settings
    from ..store.messages import Instance
    from ..upstream.messages import TaskReport
    from .limits import GroupLimits
    from .link import Assignment, WorkerLink
    from .records import JobRecord, TaskRecord

__all__ = ["GroupContext", "GroupState"]


class GroupState(Protocol):
    """State of a group during one ownership epoch."""

    name: str
    epoch: int
    settings: Settings
    core: PlacementCore
    record_by_id: dict[str, JobRecord]
    instance_by_id: dict[str, Instance]
    link_by_worker_id: dict[str, WorkerLink]
    acquired_at: float
    limits: GroupLimits

    @property
    def is_inactive(self) -> bool:
        """Whether the group is not active: still opening, or closed."""
        ...

    @property
    def is_opening(self) -> bool:
        """Whether the takeover is still in progress."""
        ...

    @property
    def now(self) -> Now:
        """Clock readings taken when the current message arrived."""
        ...

    @property
    def valid_until(self) -> float:
        """Deadline for sending commands, on the monotonic clock."""
        ...

    def find_task(self, task_id: str) -> tuple[JobRecord, TaskRecord] | None:
        """Return the records of a task's job and of the task, if known."""
        ...

    def assignments_on(self, worker_id: str) -> list[Assignment]:
        """Return the current attempts that are placed on a worker."""
        ...


class GroupContext(GroupState, Protocol):
    """Operations of a group that its components call."""

    def start(self, flow: Flow) -> None:
        """Start a flow of this group."""
        ...

    def emit(self, to: str, message: Any) -> None:
        """Send a message to another role."""
        ...

    def count(self, name: str) -> None:
        """Increment a counter metric."""
        ...

    def time(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds as a timer metric."""
        ...

    def request_decisions(self) -> None:
        """Run a decision round once the current message is processed."""
        ...

    def journal_call(
        self,
        puts: tuple[tuple[str, str], ...],
        deletes: tuple[str, ...] = (),
        fail_fast: bool = False,
    ) -> Call:
        """Return the call that commits documents to the journal.

        :param fail_fast: refuse at once while the store cannot be written, instead
            of waiting for it.
        """
        ...

    def try_spend_retry_token(self, team: str) -> bool:
        """Consume one token of a team's retry budget; return whether one was left."""
        ...

    def worker_changed(self, link: WorkerLink) -> None:
        """Update the core with a worker's capacity and availability."""
        ...

    def end_expired_attempts(self, link: WorkerLink) -> None:
        """End the attempts of an unreachable worker once their leases expired."""
        ...

    def running_attempts_on(self, worker_id: str) -> set[tuple[str, int]]:
        """Return the (task, attempt) pairs in state running on a worker."""
        ...

    def step_down(self, seen_epoch: int) -> None:
        """Stop serving the group if a worker has seen a higher epoch."""
        ...

    def handle_report(self, link: WorkerLink, report: TaskReport) -> None:
        """Process a worker's report of one attempt."""
        ...

    def record_usage(self, report: TaskReport) -> None:
        """Pass the measured resource usage of a running task to the core."""
        ...

    def attempt_lost(self, assignment: Assignment, reason: str) -> None:
        """End an attempt that has stopped and may have run in part or completely."""
        ...

    def attempt_not_run(self, assignment: Assignment, reason: str) -> None:
        """End an attempt that has not run and can no longer start."""
        ...

    def attempt_missing(self, link: WorkerLink, task_id: str, attempt: int) -> None:
        """End a running attempt that its worker no longer lists."""
        ...

    def starts_failed(
        self, link: WorkerLink, batch: list[Assignment], ran: Ran, reason: str
    ) -> None:
        """Process a start command that failed or timed out."""
        ...

    def task_ended(
        self,
        record: JobRecord,
        task: TaskRecord,
        outcome: TaskOutcome,
        run_time_s: float = 0.0,
        requeue: bool = False,
    ) -> None:
        """Report the end of an attempt to the core and request decisions.

        :param run_time_s: how long the attempt ran, in seconds.
        :param requeue: whether the task is queued again.
        """
        ...

    def withdraw_task(self, record: JobRecord, task: TaskRecord) -> None:
        """Remove a task that needs no placement any more from the waiting ones."""
        ...

    def finalize(
        self,
        record: JobRecord,
        changed: list[TaskRecord],
        acknowledge: tuple[WorkerLink, str, int] | None = None,
    ) -> None:
        """Commit ends of attempts, then acknowledge them and answer callers."""
        ...

    def awaits_commit(self, task_id: str, attempt: int) -> bool:
        """Return whether the report of an attempt has to wait for a commit."""
        ...

    def stop_task(self, record: JobRecord, task: TaskRecord, checkpoint: bool) -> None:
        """Start a flow that stops a placed task.

        :param checkpoint: whether the worker is to save the task's progress.
        """
        ...

    def job_finalized(self, record: JobRecord) -> None:
        """Answer the requests that wait for a job to end."""
        ...

"""What the parts of a group need of it."""

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
    """What a group knows under one epoch."""

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
    def is_closed(self) -> bool:
        """Whether the group is no longer served here."""
        ...

    @property
    def is_opening(self) -> bool:
        """Whether placement has not yet begun."""
        ...

    @property
    def now(self) -> Now:
        """Clocks as read when the present message came."""
        ...

    @property
    def valid_until(self) -> float:
        """When commands may leave last, on the monotonic clock."""
        ...

    def find_task(self, task_id: str) -> tuple[JobRecord, TaskRecord] | None:
        """Return the record of a task and of its job, if known."""
        ...

    def assignments_on(self, worker_id: str) -> list[Assignment]:
        """Return the attempts that hold room on a worker."""
        ...


class GroupContext(GroupState, Protocol):
    """What a group does for its parts."""

    def start(self, flow: Flow) -> None:
        """Run a flow of this group."""
        ...

    def emit(self, to: str, message: Any) -> None:
        """Send a message to another role."""
        ...

    def count(self, name: str) -> None:
        """Count something in the metrics."""
        ...

    def time(self, name: str, duration_s: float) -> None:
        """Time something in the metrics."""
        ...

    def wants_decisions(self) -> None:
        """Have the core decide once the present message is processed."""
        ...

    def journal_call(
        self,
        puts: tuple[tuple[str, str], ...],
        deletes: tuple[str, ...] = (),
        prompt: bool = False,
    ) -> Call:
        """Return the call that makes documents durable."""
        ...

    def take_retry_token(self, team: str) -> bool:
        """Return whether the team's retry budget allows one more retry."""
        ...

    def worker_changed(self, link: WorkerLink) -> None:
        """Tell the core what a worker holds and whether it accepts tasks."""
        ...

    def check_lost(self, link: WorkerLink) -> None:
        """Give up the tasks of a silent worker once their leases have ended."""
        ...

    def running_attempts_on(self, worker_id: str) -> set[tuple[str, int]]:
        """Return the (task, attempt) pairs known to run on a worker."""
        ...

    def depose_by(self, seen_epoch: int) -> None:
        """Give the group up: a worker has seen a higher epoch."""
        ...

    def take_report(self, link: WorkerLink, report: TaskReport) -> None:
        """Process what a worker tells about one attempt."""
        ...

    def take_usage(self, report: TaskReport) -> None:
        """Process the measured use of a running task."""
        ...

    def attempt_lost(self, assignment: Assignment, reason: str) -> None:
        """Process the end of an attempt that may have run to any point."""
        ...

    def attempt_not_run(self, assignment: Assignment, reason: str) -> None:
        """Process an attempt that surely never ran and never will."""
        ...

    def attempt_missing(self, link: WorkerLink, task_id: str, attempt: int) -> None:
        """Process a running attempt that its worker no longer lists."""
        ...

    def starts_failed(
        self, link: WorkerLink, batch: list[Assignment], ran: Ran, reason: str
    ) -> None:
        """Process a start command without an answer."""
        ...

    def task_ended(
        self,
        record: JobRecord,
        task: TaskRecord,
        outcome: TaskOutcome,
        run_time_s: float = 0.0,
        requeue: bool = False,
    ) -> None:
        """Give back a task's room and let the core decide anew."""
        ...

    def settle(
        self,
        record: JobRecord,
        changed: list[TaskRecord],
        acknowledge: tuple[WorkerLink, str, int] | None = None,
    ) -> None:
        """Make final states durable, then acknowledge them and answer callers."""
        ...

    def stop_task(self, record: JobRecord, task: TaskRecord, checkpoint: bool) -> None:
        """Have a running task stopped."""
        ...

    def job_finalized(self, record: JobRecord) -> None:
        """Answer those who wait for a job's end."""
        ...

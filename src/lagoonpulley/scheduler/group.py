"""A worker group owned by this process: its jobs, workers and placement core."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from ..journal.messages import (
    Append,
    CloseJournal,
)
from ..limits.messages import HoldAllotments
from ..model.job import TaskState
from ..model.resources import Resources
from ..model.verdict import Ran
from ..observability.events import log_event
from ..ownership.messages import GroupDeposed, GroupReleased
from ..placement.core import PlacementCore, PlacementSettings
from ..placement.events import (
    JobCancelled,
    JobSubmitted,
    TaskAdopted,
    TaskEnded,
    TaskOutcome,
    TaskWithdrawn,
    UsageReported,
    WorkerChanged,
)
from ..runtime.flows import Call, Flow
from . import outcomes
from .dispatch import GroupDispatcher
from .finalization import GroupFinalizer
from .limits import GroupLimits
from .link import Assignment, WorkerLink
from .messages import GroupStatus
from .records import (
    JOURNAL,
    JOURNAL_TIMEOUT_S,
    JobRecord,
    TaskRecord,
)
from .workers import GroupWorkers

if TYPE_CHECKING:
    from ..runtime.role import Now
    from ..settings.schema import Settings
    from ..store.messages import Instance
    from ..upstream.messages import TaskReport
    from .role import SchedulerRole

__all__ = ["Group", "Phase"]

LEASE_EXPIRY_MARGIN_S = 3.0
UNKNOWN_CAPACITY = Resources(10**12, 10**12, 10**12, 10**12, 10**12)


class Phase(Enum):
    """Phase of a group in its life cycle.

    A group is opening from its acquisition until the takeover completes, active
    while tasks are placed, and closed after release or loss of ownership.
    """

    OPENING = "opening"
    ACTIVE = "active"
    CLOSED = "closed"


class Group:
    """Jobs, workers and placements of one group during one ownership epoch."""

    def __init__(
        self,
        role: SchedulerRole,
        name: str,
        epoch: int,
        settings: Settings,
    ) -> None:
        self._role = role
        self.name = name
        self.epoch = epoch
        self.settings = settings
        self.phase = Phase.OPENING
        self.record_by_id: dict[str, JobRecord] = {}
        self.core = PlacementCore(
            PlacementSettings(
                waiting_weight=settings.policy.waiting_weight,
                history_weight=settings.policy.history_weight,
            )
        )
        self.link_by_worker_id: dict[str, WorkerLink] = {}
        self.acquired_at = role.now.mono
        self.instance_by_id: dict[str, Instance] = {}
        self.limits = GroupLimits(self)
        self._workers = GroupWorkers(self)
        self._dispatcher = GroupDispatcher(self)
        self._finalizer = GroupFinalizer(self)

    @property
    def is_inactive(self) -> bool:
        """Whether the group is not active: still opening, or closed."""
        return self.phase is not Phase.ACTIVE

    @property
    def is_opening(self) -> bool:
        """Whether the takeover is still in progress."""
        return self.phase is Phase.OPENING

    def try_spend_retry_token(self, team: str) -> bool:
        """Consume one token of a team's retry budget; return whether one was left."""
        return self._role.try_spend_retry_token(team)

    @property
    def now(self) -> Now:
        """Clock readings taken when the current message arrived."""
        return self._role.now

    @property
    def valid_until(self) -> float:
        """Deadline for sending commands, on the monotonic clock."""
        return self._role.valid_until

    def start(self, flow: Flow) -> None:
        """Start a flow of this group."""
        self._role.start(flow)

    def emit(self, to: str, message: Any) -> None:
        """Send a message to another role."""
        self._role.emit(to, message)

    def count(self, name: str) -> None:
        """Increment a counter metric."""
        self._role.count(name)

    def time(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds as a timer metric."""
        self._role.time(name, duration_s)

    def request_decisions(self) -> None:
        """Run a decision round once the current message is processed."""
        self._role.request_decisions(self)

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
        append = Append(self.name, self.epoch, puts, deletes, fail_fast)
        return Call(JOURNAL, append, JOURNAL_TIMEOUT_S)

    def activate(self) -> None:
        """Start placing tasks, after the previous owner's state has been restored."""
        self.phase = Phase.ACTIVE
        self._role.emit("limits", HoldAllotments(self.name, self.epoch))
        log_event(
            "group_active",
            group=self.name,
            epoch=self.epoch,
            jobs=len(self.record_by_id),
            workers=len(self.link_by_worker_id),
            took_s=round(self.now.mono - self.acquired_at, 3),
        )
        for link in self.link_by_worker_id.values():
            self.start(link.run())
        self.set_instances(self.instance_by_id)

    def mark_unreadable(self, reason: str) -> None:
        """Keep the ownership without serving the group, and report the fault.

        No process may place tasks on the basis of unreadable records.
        """
        log_event("group_unreadable", group=self.name, epoch=self.epoch, reason=reason)
        self._role.report_fault(self.name, reason)

    def adopt_task(self, record: JobRecord, task: TaskRecord) -> None:
        """Reserve capacity in the core for an attempt placed by a previous owner.

        A worker that the core does not know yet is added with a capacity that any
        attempt fits in.
        """
        if task.worker_id not in self.core.worker_table.by_id:
            unknown = WorkerChanged(task.worker_id, "", UNKNOWN_CAPACITY, False)
            self.core.apply(unknown, self.now.mono)
        adopted = TaskAdopted(record.job, task.index, task.worker_id, self.now.mono)
        self.core.apply(adopted, self.now.mono)
        log_event(
            "task_adopted",
            job=record.job.id,
            task=record.task_id(task),
            attempt=task.attempt,
            worker=task.worker_id,
            epoch=self.epoch,
        )

    def release(self) -> None:
        """Stop placing tasks and release the ownership of the group."""
        if self.phase is Phase.CLOSED:
            return
        self.close()
        self._role.emit("ownership", GroupReleased(self.name, self.epoch))

    def close(self) -> None:
        """Close the links to all workers and the journal of this group."""
        self.phase = Phase.CLOSED
        for link in self.link_by_worker_id.values():
            link.close()
        self._role.emit(JOURNAL, CloseJournal(self.name, self.epoch))

    def step_down(self, seen_epoch: int) -> None:
        """Stop serving the group if a worker has seen a higher epoch."""
        if self.phase is Phase.CLOSED or seen_epoch <= self.epoch:
            return
        self._role.emit("ownership", GroupDeposed(self.name, self.epoch))
        self._role.drop(self)

    def set_instances(self, instance_by_id: dict[str, Instance]) -> None:
        """Apply the current list of this data centre's workers."""
        self._workers.set_instances(instance_by_id)

    def add_link(self, instance: Instance) -> WorkerLink:
        """Add the link to a worker without starting its sync loop."""
        return self._workers.add_link(instance)

    def worker_changed(self, link: WorkerLink) -> None:
        """Update the core with a worker's capacity and availability."""
        self._workers.update_core(link)

    def end_expired_attempts(self, link: WorkerLink) -> None:
        """End the attempts of an unreachable worker once their leases expired."""
        self._workers.end_expired_attempts(link)

    def leases_expire_by(self, link: WorkerLink) -> float:
        """Return the monotonic time by which all leases on a worker expire.

        Assumes that this owner renews none of them from now on.
        """
        return self._workers.leases_expire_by(link)

    def inherited_leases_expire_by(self) -> float:
        """Return the monotonic time by which a previous owner's leases expire."""
        return self._workers.inherited_leases_expire_by()

    def assignments_on(self, worker_id: str) -> list[Assignment]:
        """Return the current attempts that are placed on a worker."""
        return self._workers.assignments_on(worker_id)

    def running_attempts_on(self, worker_id: str) -> set[tuple[str, int]]:
        """Return the (task, attempt) pairs in state running on a worker."""
        return self._workers.running_attempts_on(worker_id)

    def find_task(self, task_id: str) -> tuple[JobRecord, TaskRecord] | None:
        """Return the records of a task's job and of the task, if known."""
        job_id, _, index = task_id.rpartition("/")
        record = self.record_by_id.get(job_id)
        if record is None or not index.isdigit() or int(index) >= len(record.tasks):
            return None
        return record, record.tasks[int(index)]

    def admit(self, record: JobRecord) -> None:
        """Record an accepted job and queue its tasks for placement."""
        self.record_by_id[record.job.id] = record
        self.submit_to_core(record, tuple(range(record.job.tasks)))
        self.request_decisions()

    def submit_to_core(self, record: JobRecord, indexes: tuple[int, ...]) -> None:
        """Queue pending tasks of a job in the core.

        The waiting time counts from the acceptance of the job, also across a
        change of owner.
        """
        waited_s = max(0.0, self.now.wall - record.accepted_at)
        submitted_at = self.now.mono - waited_s
        event = JobSubmitted(record.job, indexes, submitted_at)
        self.core.apply(event, self.now.mono)

    def cancel(self, record: JobRecord) -> None:
        """Cancel a job: end pending tasks at once and stop placed ones."""
        if record.cancel_requested or record.is_final:
            return
        record.cancel_requested = True
        self.core.apply(JobCancelled(record.job.id), self.now.mono)
        changed = []
        for task in record.tasks:
            if task.state is TaskState.PENDING:
                task.state = TaskState.CANCELLED
                changed.append(task)
            elif task.is_placed:
                self.stop_task(record, task, checkpoint=False)
        log_event("job_cancelled", job=record.job.id, epoch=self.epoch)
        self.finalize(record, changed)

    def stop_task(self, record: JobRecord, task: TaskRecord, checkpoint: bool) -> None:
        """Start a flow that stops a placed task, unless its worker is gone.

        :param checkpoint: whether the worker is to save the task's progress.
        """
        link = self.link_by_worker_id.get(task.worker_id)
        if link is not None:
            assignment = Assignment(record, task, task.attempt)
            self.start(link.stop(assignment, checkpoint))

    def apply_decisions(self) -> None:
        """Apply one round of decisions; requests another if any task was placed."""
        self._dispatcher.apply_decisions()

    def handle_report(self, link: WorkerLink, report: TaskReport) -> None:
        """Process a worker's report of one attempt."""
        outcomes.handle_report(self, link, report)

    def record_usage(self, report: TaskReport) -> None:
        """Pass the measured resource usage of a running task to the core."""
        usage = UsageReported(
            report.task_id, report.used_processors_milli, report.used_memory_mb
        )
        self.core.apply(usage, self.now.mono)

    def attempt_lost(self, assignment: Assignment, reason: str) -> None:
        """End an attempt that has stopped and may have run in part or completely."""
        outcomes.attempt_lost(self, assignment, reason)

    def attempt_not_run(self, assignment: Assignment, reason: str) -> None:
        """End an attempt that has not run and can no longer start."""
        outcomes.attempt_not_run(self, assignment, reason)

    def attempt_missing(self, link: WorkerLink, task_id: str, attempt: int) -> None:
        """End a running attempt that its worker no longer lists."""
        found = self.find_task(task_id)
        if found is None:
            return
        assignment = Assignment(*found, attempt)
        if assignment.is_current and assignment.task.worker_id == link.worker_id:
            self.attempt_lost(assignment, "worker no longer knows the task")

    def starts_failed(
        self, link: WorkerLink, batch: list[Assignment], ran: Ran, reason: str
    ) -> None:
        """Process a start command that failed or timed out.

        :param ran: whether the command may have reached the worker; if it has not,
            the attempts are queued again at once.
        """
        log_event(
            "start_unanswered",
            worker=link.worker_id,
            epoch=self.epoch,
            tasks=len(batch),
            ran=ran,
            reason=reason,
        )
        for assignment in batch:
            if not assignment.is_current:
                continue
            if ran is Ran.NO:
                self.attempt_not_run(assignment, reason)
            else:
                assignment.task.ran = Ran.MAYBE

    def task_ended(
        self,
        record: JobRecord,
        task: TaskRecord,
        outcome: TaskOutcome,
        run_time_s: float = 0.0,
        requeue: bool = False,
    ) -> None:
        """Report the end of an attempt to the core and request decisions."""
        ended = TaskEnded(record.task_id(task), outcome, run_time_s, requeue)
        self.core.apply(ended, self.now.mono)
        self.request_decisions()

    def withdraw_task(self, record: JobRecord, task: TaskRecord) -> None:
        """Remove a task that needs no placement any more from the waiting ones."""
        withdrawn = TaskWithdrawn(record.job.id, task.index)
        self.core.apply(withdrawn, self.now.mono)
        self.request_decisions()

    def finalize(
        self,
        record: JobRecord,
        changed: list[TaskRecord],
        acknowledge: tuple[WorkerLink, str, int] | None = None,
    ) -> None:
        """Commit ends of attempts, then acknowledge them and answer callers."""
        self._finalizer.finalize(record, changed, acknowledge)

    def awaits_commit(self, task_id: str, attempt: int) -> bool:
        """Return whether the report of an attempt has to wait for a commit."""
        return self._finalizer.awaits_commit(task_id, attempt)

    def job_finalized(self, record: JobRecord) -> None:
        """Answer the requests that wait for a job to end."""
        self._role.job_finalized(self, record)

    def delete_expired_jobs(self) -> None:
        """Delete jobs that ended longer than the retention period ago."""
        self._finalizer.delete_expired_jobs()

    def has_never_fenced_workers(self) -> bool:
        """Return whether any worker has not been fenced in this epoch."""
        return any(not link.ever_fenced for link in self.link_by_worker_id.values())

    def waiting_tasks(self) -> int:
        """Return the number of tasks that wait for placement."""
        return self.core.waiting_tasks()

    def waiting_tasks_of(self, team: str) -> int:
        """Return the number of a team's tasks that wait for placement."""
        return self.core.waiting_tasks_of(team)

    def status(self, fault: str) -> GroupStatus:
        """Return the status of the group.

        :param fault: why the group cannot be served, or empty.
        """
        links = self.link_by_worker_id.values()
        return GroupStatus(
            group=self.name,
            epoch=self.epoch,
            phase=self.phase.value,
            jobs=len(self.record_by_id),
            running_tasks=len(self.core.placed_by_task_id),
            waiting_tasks=self.waiting_tasks(),
            workers=len(links),
            unreachable_workers=sum(not link.fenced for link in links),
            quarantined_workers=len(self.core.quarantine.quarantined(self.now.mono)),
            fault=fault,
        )

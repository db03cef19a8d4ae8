"""One owned group: its jobs, its workers and the placement core between them."""

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

LEASE_END_MARGIN_S = 3.0
UNKNOWN_CAPACITY = Resources(10**12, 10**12, 10**12, 10**12, 10**12)


class Phase(Enum):
    """Where a group stands between acquisition and loss."""

    OPENING = "opening"
    ACTIVE = "active"
    CLOSED = "closed"


class Group:
    """Jobs, workers and placements of one group under one epoch."""

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

    # What links and outcomes need.

    @property
    def is_closed(self) -> bool:
        """Whether the group is no longer served here."""
        return self.phase is not Phase.ACTIVE

    @property
    def is_opening(self) -> bool:
        """Whether placement has not yet begun."""
        return self.phase is Phase.OPENING

    def take_retry_token(self, team: str) -> bool:
        """Return whether the team's retry budget allows one more retry."""
        return self._role.take_retry_token(team)

    @property
    def now(self) -> Now:
        """Clocks as read when the present message came."""
        return self._role.now

    @property
    def valid_until(self) -> float:
        """When commands may leave last, on the monotonic clock."""
        return self._role.valid_until

    def start(self, flow: Flow) -> None:
        """Run a flow of this group."""
        self._role.start(flow)

    def emit(self, to: str, message: Any) -> None:
        """Send a message to another role."""
        self._role.emit(to, message)

    def count(self, name: str) -> None:
        """Count something in the metrics."""
        self._role.count(name)

    def time(self, name: str, duration_s: float) -> None:
        """Time something in the metrics."""
        self._role.time(name, duration_s)

    def wants_decisions(self) -> None:
        """Have the core decide once the present message is processed."""
        self._role.wants_decisions(self)

    def journal_call(
        self,
        puts: tuple[tuple[str, str], ...],
        deletes: tuple[str, ...] = (),
        prompt: bool = False,
    ) -> Call:
        """Return the call that makes documents durable."""
        append = Append(self.name, self.epoch, puts, deletes, prompt)
        return Call(JOURNAL, append, JOURNAL_TIMEOUT_S)

    # Opening and closing.

    def activate(self) -> None:
        """Begin to place: everything that an earlier owner left is known."""
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

    def give_up_serving(self, reason: str) -> None:
        """Stay owner without serving, so that nobody places on bad records."""
        log_event("group_unreadable", group=self.name, epoch=self.epoch, reason=reason)
        self._role.report_fault(self.name, reason)

    def hold_room(self, record: JobRecord, task: TaskRecord) -> None:
        """Take room in the core for an attempt that an earlier owner placed."""
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
        """Hand the group over: place nothing more, then let it go."""
        if self.phase is Phase.CLOSED:
            return
        self.close()
        self._role.emit("ownership", GroupReleased(self.name, self.epoch))

    def close(self) -> None:
        """Stop all exchanges of this group."""
        self.phase = Phase.CLOSED
        for link in self.link_by_worker_id.values():
            link.close()
        self._role.emit(JOURNAL, CloseJournal(self.name, self.epoch))

    def depose_by(self, seen_epoch: int) -> None:
        """Give the group up: a worker has seen a higher epoch."""
        if self.phase is Phase.CLOSED or seen_epoch <= self.epoch:
            return
        self._role.emit("ownership", GroupDeposed(self.name, self.epoch))
        self._role.drop(self)

    # Workers; see the module ``workers``.

    def set_instances(self, instance_by_id: dict[str, Instance]) -> None:
        """Take in the list of this data centre's workers."""
        self._workers.set_instances(instance_by_id)

    def add_link(self, instance: Instance) -> WorkerLink:
        """Begin to know a worker; its exchange is not yet started."""
        return self._workers.add_link(instance)

    def worker_changed(self, link: WorkerLink) -> None:
        """Tell the core what a worker holds and whether it accepts tasks."""
        self._workers.tell_core(link)

    def check_lost(self, link: WorkerLink) -> None:
        """Give up the tasks of a silent worker once their leases have ended."""
        self._workers.check_lost(link)

    def leases_expire_by(self, link: WorkerLink) -> float:
        """Return when every lease on a worker has ended unless renewed from here."""
        return self._workers.leases_expire_by(link)

    def unknown_surely_ended_at(self) -> float:
        """Return when leases that an earlier owner renewed have all ended."""
        return self._workers.unknown_surely_ended_at()

    def assignments_on(self, worker_id: str) -> list[Assignment]:
        """Return the attempts that hold room on a worker."""
        return self._workers.assignments_on(worker_id)

    def running_attempts_on(self, worker_id: str) -> set[tuple[str, int]]:
        """Return the (task, attempt) pairs known to run on a worker."""
        return self._workers.running_attempts_on(worker_id)

    # Jobs.

    def find_task(self, task_id: str) -> tuple[JobRecord, TaskRecord] | None:
        """Return the record of a task and of its job, if known."""
        job_id, _, index = task_id.rpartition("/")
        record = self.record_by_id.get(job_id)
        if record is None or not index.isdigit() or int(index) >= len(record.tasks):
            return None
        return record, record.tasks[int(index)]

    def admit(self, record: JobRecord) -> None:
        """Queue a job whose acceptance is final."""
        self.record_by_id[record.job.id] = record
        self.submit_to_core(record, tuple(range(record.job.tasks)))
        self.wants_decisions()

    def submit_to_core(self, record: JobRecord, indexes: tuple[int, ...]) -> None:
        """Queue waiting tasks of a job in the core."""
        waited_s = max(0.0, self.now.wall - record.accepted_at)
        submitted_at = self.now.mono - waited_s
        event = JobSubmitted(record.job, indexes, submitted_at)
        self.core.apply(event, self.now.mono)

    def cancel(self, record: JobRecord) -> None:
        """Cancel a job: waiting tasks end now, running ones are stopped."""
        if record.cancel_wanted or record.is_final:
            return
        record.cancel_wanted = True
        self.core.apply(JobCancelled(record.job.id), self.now.mono)
        changed = []
        for task in record.tasks:
            if task.state is TaskState.PENDING:
                task.state = TaskState.CANCELLED
                changed.append(task)
            elif task.holds_room:
                self.stop_task(record, task, checkpoint=False)
        log_event("job_cancelled", job=record.job.id, epoch=self.epoch)
        self.settle(record, changed)

    def stop_task(self, record: JobRecord, task: TaskRecord, checkpoint: bool) -> None:
        """Have a running task stopped."""
        link = self.link_by_worker_id.get(task.worker_id)
        if link is not None:
            assignment = Assignment(record, task, task.attempt)
            self.start(link.stop(assignment, checkpoint))

    def act(self) -> None:
        """Carry out one round of decisions; asks for another if any was made."""
        self._dispatcher.act()

    # Outcomes; the rules are in the module ``outcomes``.

    def take_report(self, link: WorkerLink, report: TaskReport) -> None:
        """Process what a worker tells about one attempt."""
        outcomes.take_report(self, link, report)

    def take_usage(self, report: TaskReport) -> None:
        """Process the measured use of a running task."""
        usage = UsageReported(
            report.task_id, report.used_processors_milli, report.used_memory_mb
        )
        self.core.apply(usage, self.now.mono)

    def attempt_lost(self, assignment: Assignment, reason: str) -> None:
        """Process the end of an attempt that may have run to any point."""
        outcomes.attempt_lost(self, assignment, reason)

    def attempt_not_run(self, assignment: Assignment, reason: str) -> None:
        """Process an attempt that surely never ran and never will."""
        outcomes.attempt_not_run(self, assignment, reason)

    def attempt_missing(self, link: WorkerLink, task_id: str, attempt: int) -> None:
        """Process a running attempt that its worker no longer lists."""
        found = self.find_task(task_id)
        if found is None:
            return
        assignment = Assignment(*found, attempt)
        if assignment.is_current and assignment.task.worker_id == link.worker_id:
            self.attempt_lost(assignment, "worker no longer knows the task")

    def starts_failed(
        self, link: WorkerLink, batch: list[Assignment], ran: Ran, reason: str
    ) -> None:
        """Process a start command without an answer."""
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
        """Give back a task's room and let the core decide anew."""
        ended = TaskEnded(record.task_id(task), outcome, run_time_s, requeue)
        self.core.apply(ended, self.now.mono)
        self.wants_decisions()

    def settle(
        self,
        record: JobRecord,
        changed: list[TaskRecord],
        acknowledge: tuple[WorkerLink, str, int] | None = None,
    ) -> None:
        """Make final states durable, then acknowledge them and answer callers."""
        self._finalizer.settle(record, changed, acknowledge)

    def job_finalized(self, record: JobRecord) -> None:
        """Answer those who wait for a job's end."""
        self._role.job_finalized(self, record)

    def forget_old(self) -> None:
        """Remove jobs whose answers were kept for the whole retention."""
        self._finalizer.forget_old()

    def has_unknown_workers(self) -> bool:
        """Return whether any worker was never fenced under this epoch."""
        return any(not link.ever_fenced for link in self.link_by_worker_id.values())

    def waiting_tasks(self) -> int:
        """Return how many tasks wait for placement."""
        return self.core.waiting_tasks()

    def waiting_tasks_of(self, team: str) -> int:
        """Return how many tasks of a team wait for placement."""
        return self.core.waiting_tasks_of(team)

    def status(self, fault: str) -> GroupStatus:
        """Return the group's figures.

        :param fault: what keeps the group from being served, or empty.
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

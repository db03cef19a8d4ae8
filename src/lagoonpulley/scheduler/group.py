"""One owned group: its jobs, its workers and the placement core between them."""

from __future__ import annotations

import time
from enum import Enum
from typing import TYPE_CHECKING, Any

from ..journal.messages import (
    Append,
    CloseJournal,
    Committed,
)
from ..limits.messages import HoldAllotments
from ..model.job import JobKind, TaskState
from ..model.resources import Resources
from ..model.verdict import Ran
from ..observability.events import log_event
from ..ownership.messages import GroupDeposed, GroupReleased
from ..placement.core import PlacementCore, PlacementSettings
from ..placement.events import (
    JobCancelled,
    JobSubmitted,
    Place,
    Preempt,
    PreemptReason,
    TaskAdopted,
    TaskEnded,
    TaskOutcome,
    UsageReported,
    WorkerChanged,
    WorkerGone,
)
from ..runtime.flows import Call, Flow
from . import outcomes
from .limits import GroupLimits
from .link import Assignment, WorkerLink
from .messages import GroupStatus
from .records import (
    JOURNAL,
    JOURNAL_TIMEOUT_S,
    JobRecord,
    TaskRecord,
    job_key,
    task_document,
    task_key,
)

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
        if task.worker_id not in self.core.table.by_id:
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

    # Workers.

    def set_instances(self, instance_by_id: dict[str, Instance]) -> None:
        """Take in the list of this data centre's workers."""
        self.instance_by_id = instance_by_id
        if self.phase is not Phase.ACTIVE:
            return
        for instance in list(instance_by_id.values()):
            link = self.link_by_worker_id.get(instance.id)
            if instance.gone:
                self._remove_link(link)
            elif link is None:
                self.start(self.add_link(instance).run())
            else:
                self._update_link(link, instance)
        self.wants_decisions()

    def add_link(self, instance: Instance) -> WorkerLink:
        """Begin to know a worker; its exchange is not yet started."""
        link = WorkerLink(self, instance)
        self.link_by_worker_id[instance.id] = link
        self.worker_changed(link)
        return link

    def _update_link(self, link: WorkerLink, instance: Instance) -> None:
        was_leaving = link.leaving
        link.update(instance)
        self.worker_changed(link)
        if link.leaving and not was_leaving:
            log_event("worker_leaving", worker=link.worker_id, epoch=self.epoch)
            self._move_services_off(link)

    def _move_services_off(self, link: WorkerLink) -> None:
        for assignment in self.assignments_on(link.worker_id):
            if assignment.record.job.kind is JobKind.SERVICE:
                self.start(link.stop(assignment, checkpoint=True))

    def _remove_link(self, link: WorkerLink | None) -> None:
        if link is None or link.gone:
            return
        link.gone = True
        link.close()
        for assignment in self.assignments_on(link.worker_id):
            self.attempt_lost(assignment, "worker is gone")
        self.core.apply(WorkerGone(link.worker_id), self.now.mono)
        del self.link_by_worker_id[link.worker_id]
        log_event("worker_gone", worker=link.worker_id, epoch=self.epoch)

    def worker_changed(self, link: WorkerLink) -> None:
        """Tell the core what a worker holds and whether it accepts tasks."""
        changed = WorkerChanged(
            link.worker_id, link.rack, link.capacity, link.accepting
        )
        self.core.apply(changed, self.now.mono)
        self.limits.push()
        self.wants_decisions()

    def check_lost(self, link: WorkerLink) -> None:
        """Give up the tasks of a silent worker once their leases have ended."""
        if self.now.mono < self.surely_ended_at(link):
            return
        for assignment in self.assignments_on(link.worker_id):
            self.attempt_lost(assignment, "worker is silent and its lease ended")

    def surely_ended_at(self, link: WorkerLink) -> float:
        """Return when every lease on a worker has ended unless renewed from here."""
        if not link.ever_fenced:
            return self.unknown_surely_ended_at()
        lease_s = self.settings.task_lease_s + LEASE_END_MARGIN_S
        return link.last_contact_at + lease_s

    def unknown_surely_ended_at(self) -> float:
        """Return when leases that an earlier owner renewed have all ended."""
        lease_s = self.settings.task_lease_s + LEASE_END_MARGIN_S
        if self.settings.workers_fence:
            lease_s += self.settings.longest_without_store_s
        return self.acquired_at + lease_s

    def assignments_on(self, worker_id: str) -> list[Assignment]:
        """Return the attempts that hold room on a worker."""
        worker = self.core.table.by_id.get(worker_id)
        if worker is None:
            return []
        assignments = []
        for task_id in list(worker.task_ids):
            found = self.find_task(task_id)
            if found is None:
                continue
            assignment = Assignment(*found, found[1].attempt)
            if assignment.is_current:
                assignments.append(assignment)
        return assignments

    def running_attempts_on(self, worker_id: str) -> set[tuple[str, int]]:
        """Return the (task, attempt) pairs known to run on a worker."""
        return {
            (assignment.record.task_id(assignment.task), assignment.attempt)
            for assignment in self.assignments_on(worker_id)
            if assignment.task.state is TaskState.RUNNING
        }

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
                self._stop_task(record, task, checkpoint=False)
        log_event("job_cancelled", job=record.job.id, epoch=self.epoch)
        self.settle(record, changed)

    def _stop_task(self, record: JobRecord, task: TaskRecord, checkpoint: bool) -> None:
        link = self.link_by_worker_id.get(task.worker_id)
        if link is not None:
            assignment = Assignment(record, task, task.attempt)
            self.start(link.stop(assignment, checkpoint))

    # Decisions.

    def act(self) -> None:
        """Carry out one round of decisions; asks for another if any was made."""
        if self.phase is not Phase.ACTIVE:
            return
        began = time.perf_counter()
        decisions = self.core.decide(self.now.mono)
        took_s = time.perf_counter() - began
        for decision in decisions:
            self._carry_out(decision, took_s / len(decisions))
        if any(isinstance(decision, Place) for decision in decisions):
            self.wants_decisions()
        for link in self.link_by_worker_id.values():
            link.flush()

    def _carry_out(self, decision: Place | Preempt, took_s: float) -> None:
        found = self.find_task(decision.task_id)
        if found is None:
            return
        record, task = found
        if isinstance(decision, Preempt):
            self._preempt(record, task, decision)
            return
        task.state = TaskState.ASSIGNED
        task.attempt = max(task.attempt + 1, self.epoch << 20)
        task.worker_id = decision.worker_id
        task.boot_id = self.link_by_worker_id[decision.worker_id].boot_id
        task.sent = False
        task.ran = Ran.NO
        log_event(
            "task_placed",
            job=record.job.id,
            task=decision.task_id,
            team=record.job.team,
            attempt=task.attempt,
            worker=decision.worker_id,
            epoch=self.epoch,
            reason=decision.reason,
            candidates=decision.candidates,
            waited_s=round(decision.waited_s, 3),
            took_us=round(took_s * 1e6),
        )
        self._role.count("placements")
        self._role.time("waiting", decision.waited_s)
        self._dispatch(record, task)

    def _dispatch(self, record: JobRecord, task: TaskRecord) -> None:
        assignment = Assignment(record, task, task.attempt)
        job = record.job
        if job.durable and (job.exclusive or not job.repeatable):
            self.start(self._journal_then_start(assignment))
        else:
            self.link_by_worker_id[task.worker_id].queue_start(assignment)

    def _journal_then_start(self, assignment: Assignment) -> Flow:
        record, task = assignment.record, assignment.task
        put = (task_key(record.task_id(task)), task_document(record, task))
        result = yield self.journal_call((put,))
        if self.phase is not Phase.ACTIVE or not assignment.is_current:
            return
        if not isinstance(result, Committed):
            self.attempt_not_run(assignment, "assignment was not journalled")
            return
        link = self.link_by_worker_id.get(task.worker_id)
        if record.cancel_wanted or link is None:
            self.attempt_not_run(assignment, "cancelled before start")
            return
        link.queue_start(assignment)
        link.flush()

    def _preempt(self, record: JobRecord, task: TaskRecord, decision: Preempt) -> None:
        log_event(
            "task_preempted",
            job=record.job.id,
            task=decision.task_id,
            attempt=task.attempt,
            worker=decision.worker_id,
            epoch=self.epoch,
            reason=decision.reason,
        )
        self._role.count("preemptions")
        is_forced = decision.reason is not PreemptReason.URGENT
        self._stop_task(record, task, checkpoint=record.job.repeatable or not is_forced)

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
        if record.is_final and record.ended_at is None:
            record.ended_at = self.now.wall
        if not changed:
            return
        if not record.job.durable:
            self._confirm(record, acknowledge)
            return
        self.start(self._settle_durably(record, changed, acknowledge))

    def _settle_durably(
        self,
        record: JobRecord,
        changed: list[TaskRecord],
        acknowledge: tuple[WorkerLink, str, int] | None,
    ) -> Flow:
        puts = tuple(
            (task_key(record.task_id(task)), task_document(record, task))
            for task in changed
        )
        result = yield self.journal_call(puts)
        if isinstance(result, Committed):
            self._confirm(record, acknowledge)

    def _confirm(
        self, record: JobRecord, acknowledge: tuple[WorkerLink, str, int] | None
    ) -> None:
        if acknowledge is not None:
            link, task_id, attempt = acknowledge
            link.acknowledge(task_id, attempt)
        if record.is_final:
            record.is_settled = True
            self._role.job_settled(self, record)

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

    def forget_old(self) -> None:
        """Remove jobs whose answers were kept for the whole retention."""
        limit = self.now.wall - self.settings.retention_s
        old = [
            record
            for record in self.record_by_id.values()
            if record.ended_at is not None and record.ended_at < limit
        ]
        for record in old:
            del self.record_by_id[record.job.id]
            if record.job.durable:
                self.start(self._forget_durably(record))

    def _forget_durably(self, record: JobRecord) -> Flow:
        keys = [task_key(record.task_id(task)) for task in record.tasks]
        yield self.journal_call((), (job_key(record.job.id), *keys))

"""State of one term of ownership, and how events change it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..model.resources import ZERO
from ..observability.events import log_event
from ..planning.backlog import Backlog
from ..planning.cell import Cell, Claim
from ..planning.permits import PermitTable
from ..planning.planner import Demand
from ..planning.worker_failures import WorkerFailureTracker
from ..upstream.directory import WorkerInfo
from ..upstream.tasks import TaskRef
from ..workload.record import EndKind, JobRecord, JobState
from .journal import Journal
from .link import Hold, WorkerLink

if TYPE_CHECKING:
    from ..policy.values import Policy, Queue
    from ..runtime.role import Now
    from ..workload.documents import FinalDocument, ProgressDocument
    from ..workload.spec import JobSpec, TaskKey

__all__ = ["OwnerTerm"]

# Workers that are reached answer within a few tens of milliseconds.
SETTLE_S = 0.2
# When runs of an earlier owner became certain: before anything of this one.
RESTORED = float("-inf")


@dataclass(slots=True, eq=False)
class OwnerTerm:
    """Jobs, workers and what runs where, under one fencing token."""

    token: int
    journal: Journal
    longest_lease_s: float
    early_s: float
    cell: Cell = field(default_factory=Cell)
    permits: PermitTable = field(default_factory=PermitTable)
    suspicion: WorkerFailureTracker = field(default_factory=WorkerFailureTracker)
    record_by_id: dict[str, JobRecord] = field(default_factory=dict)
    link_by_worker_id: dict[str, WorkerLink] = field(default_factory=dict)
    backlog: Backlog = field(default_factory=Backlog)
    repeating_by_id: dict[str, JobRecord] = field(default_factory=dict)
    queue_by_name: dict[str, Queue] = field(default_factory=dict)
    ended_at_by_job_id: dict[str, float] = field(default_factory=dict)
    policy: Policy | None = None
    loaded: bool = False
    listed_at: float | None = None
    session_until: float = float("-inf")
    over: bool = False
    wants_round: bool = True
    now: Now | None = None

    # Jobs.

    def add_job(self, spec: JobSpec) -> JobRecord:
        """Take in a submitted job, once."""
        known = self.record_by_id.get(spec.id)
        if known is not None:
            return known
        record = self.record_by_id[spec.id] = JobRecord.from_spec(spec)
        if spec.repeats:
            self.repeating_by_id[spec.id] = record
        self.refresh_demands(record)
        return record

    def restore(self, record: JobRecord, document: ProgressDocument) -> None:
        """Set a record to what an earlier owner stored, and hold what it started."""
        document.apply_to(record)
        self.journal.note_stored(record.spec.id)
        for key, _, run in record.runs():
            link = self._link_of_run(run.worker_id, run.born)
            ref = TaskRef(record.spec.id, key, run.number)
            # Once a worker has seen the new token it starts nothing for an older one.
            hold = self._hold(link, record, ref)
            hold.settled_at = RESTORED
        self.refresh_demands(record)

    def restore_final(self, record: JobRecord, document: FinalDocument) -> None:
        """Note that an earlier owner made a job final."""
        record.finish(document.state, document.ended_at)
        self.refresh_demands(record)
        self.stop_runs(record)

    def cancel(self, record: JobRecord) -> None:
        """Cancel a job: nothing more starts, and what runs is stopped."""
        record.cancel_requested = True
        if record.is_final:
            return
        self.finish(record, JobState.CANCELLED, "cancelled by its caller")

    def finish(self, record: JobRecord, state: JobState, reason: str) -> None:
        """Make a job final and stop what still runs of it."""
        record.finish(state, self.now.wall)
        log_event(
            "job_final",
            job=record.spec.id,
            state=state,
            reason=reason,
            age_s=round(self.now.wall - record.spec.submitted_at, 3),
        )
        if state is not JobState.COMPLETED:
            self.stop_runs(record)
        self.refresh_demands(record)
        self.note(record)

    def stop_runs(self, record: JobRecord) -> None:
        """Have every run of a job stopped."""
        for key, _, run in record.runs():
            link = self.link_by_worker_id.get(run.worker_id)
            if link is None:
                continue
            hold = link.hold_by_ref.get(TaskRef(record.spec.id, key, run.number))
            if hold is not None:
                hold.stop_wanted = True

    def note(self, record: JobRecord) -> None:
        """Have a record written; forget it once it is final and nothing runs."""
        if not record.is_final or record.runs():
            self.journal.note(record)
            return

        def forget() -> None:
            self.record_by_id.pop(record.spec.id, None)
            self.repeating_by_id.pop(record.spec.id, None)
            self.permits.forget(record.spec.id)
            self.ended_at_by_job_id[record.spec.id] = record.ended_at

        self.journal.note(record, forget)

    def refresh_demands(self, record: JobRecord) -> None:
        """Work out anew which steps of a job wait for workers."""
        self.wants_round = True
        queue = self.queue_of(record)
        if record.is_final or queue is None or self.now is None:
            self.backlog.replace(record.spec.id, [])
            return
        demands = []
        for key in record.open_steps(self.now.wall, self.early_s):
            if record.waiting_by_step.get(key):
                due_at = self._due_at(record, queue, key.occurrence)
                demands.append(Demand(record, key, queue, due_at))
        self.backlog.replace(record.spec.id, demands)

    def queue_of(self, record: JobRecord) -> Queue | None:
        """Return a job's queue as last known."""
        return self.queue_by_name.get(record.spec.queue)

    def take_policy(self, policy: Policy) -> None:
        """Apply what operators set; queues that were dropped keep their jobs."""
        self.policy = policy
        self.queue_by_name.update(policy.queue_by_name)
        for record in self.record_by_id.values():
            self.refresh_demands(record)

    def pending_by_queue(self) -> dict[str, int]:
        """Return how many jobs of each queue have not begun."""
        count_by_queue: dict[str, int] = {}
        for record in self.record_by_id.values():
            if record.state is JobState.QUEUED:
                name = record.spec.queue
                count_by_queue[name] = count_by_queue.get(name, 0) + 1
        return count_by_queue

    def _due_at(self, record: JobRecord, queue: Queue, occurrence: int) -> float:
        spec = record.spec
        chain_s = spec.critical_path_s()
        return spec.due_at(occurrence) + queue.slack * chain_s + queue.target_s

    def worker_lease_s(self) -> float:
        """Return the lease that a worker may be given now, in seconds.

        A successor takes what runs for dead one longest lease after it took over,
        so no lease may end later than that after the end of this owner's session.
        """
        left_s = self.session_until + self.longest_lease_s - self.now.mono
        return min(self.longest_lease_s, left_s)

    # Workers.

    def put_worker(self, info: WorkerInfo) -> WorkerLink:
        """Take in a worker's entry; another lifetime loses what ran before."""
        link = self.link_by_worker_id.get(info.id)
        if link is None:
            link = self._add_link(info)
        elif self.is_other_life(link, info.born):
            self.end_old_life(link)
            doubtful = link.hold_by_ref
            link = self._add_link(info)
            link.hold_by_ref = doubtful
        if info.born == 0 and link.info.born:
            info = replace(info, born=link.info.born)
        link.info = info
        link.missing_since = None
        self.cell.put_worker(info)
        self.refresh_accepting(link)
        return link

    def refresh_accepting(self, link: WorkerLink) -> None:
        """Work out whether tasks may be placed on a worker."""
        is_listed = link.missing_since is None and bool(link.info.address)
        accepting = is_listed and link.is_answering and not link.info.draining
        if self.cell.set_accepting(link.info.id, accepting):
            self.wants_round = True

    def may_plan(self) -> bool:
        """Return whether enough is known of the workers to place on them.

        A new owner waits a moment for all workers, so that it does not crowd the
        first ones that answer.
        """
        if not self.loaded or self.policy is None or self.listed_at is None:
            return False
        if self.now.mono - self.listed_at > SETTLE_S:
            return True
        return all(link.fenced for link in self.link_by_worker_id.values())

    def remove_worker(self, link: WorkerLink, reason: str) -> None:
        """Forget a worker that is gone for good."""
        self.suspicion.forget(link.info.id)
        self.lose_runs(link, reason)
        self.link_by_worker_id.pop(link.info.id, None)
        self.cell.remove_worker(link.info.id)

    def end_old_life(self, link: WorkerLink) -> None:
        """End what ran in a worker's earlier lifetime.

        A start that is not known to have arrived there may reach the new lifetime,
        which has the same id: it is held until the worker has confirmed its stop.
        """
        for ref, hold in list(link.hold_by_ref.items()):
            if hold.listed:
                reason = "worker was started again"
                self.end_run(link, ref, EndKind.LAPSED, "", reason)
            elif hold.settled_at != RESTORED:
                hold.doubt_start()

    def lose_runs(self, link: WorkerLink, reason: str) -> None:
        """End every run on a worker that surely runs nothing any more."""
        for ref in list(link.hold_by_ref):
            self.end_run(link, ref, EndKind.LAPSED, "", reason)

    def _add_link(self, info: WorkerInfo) -> WorkerLink:
        # An earlier owner may have extended leases until just now.
        dead_at = self.now.mono + self.longest_lease_s * 1.05 + 0.5
        link = WorkerLink(info, self.longest_lease_s, dead_at)
        self.link_by_worker_id[info.id] = link
        self.cell.put_worker(info)
        return link

    def _link_of_run(self, worker_id: str, born: int) -> WorkerLink:
        """Return the link of a stored run's worker, which may not be listed."""
        link = self.link_by_worker_id.get(worker_id)
        if link is not None:
            return link
        info = WorkerInfo(worker_id, "", "", "", ZERO, (), "", born)
        link = self._add_link(info)
        link.missing_since = self.now.mono
        return link

    @staticmethod
    def is_other_life(link: WorkerLink, born: int) -> bool:
        """Return whether ``born`` names another lifetime than the one known."""
        return bool(born and link.info.born and born != link.info.born)

    # Runs.

    def shun_for_step(self, worker_id: str, ref: TaskRef) -> None:
        """Prefer other workers for the next runs of a step's tasks."""
        record = self.record_by_id.get(ref.job_id)
        if record is not None:
            shunned = record.avoided_workers_by_step.setdefault(ref.key.step_key, set())
            shunned.add(worker_id)

    def hold_start(self, record: JobRecord, key: TaskKey, run: int) -> Hold | None:
        """Hold a run whose claim the planner made."""
        worker_id = record.task_by_key[key].run.worker_id
        link = self.link_by_worker_id.get(worker_id)
        if link is None:
            return None
        return self._hold(link, record, TaskRef(record.spec.id, key, run))

    def _hold(self, link: WorkerLink, record: JobRecord, ref: TaskRef) -> Hold:
        step = record.step_of(ref.key)
        claim = Claim(ref, record.spec.team, step.request, step.capacity_request)
        self.cell.claim(link.info.id, claim)
        hold = link.hold_by_ref[ref] = Hold(ref)
        return hold

    def end_run(
        self,
        link: WorkerLink,
        ref: TaskRef,
        kind: EndKind,
        checkpoint: str,
        reason: str = "",
    ) -> JobRecord | None:
        """Take in the end of a run; return the record if it changed."""
        link.hold_by_ref.pop(ref, None)
        self.cell.release(link.info.id, ref)
        self.wants_round = True
        record = self.record_by_id.get(ref.job_id)
        task = record.task_by_key.get(ref.key) if record else None
        if record is None or task is None or task.run is None:
            return None
        if task.run.number != ref.run or task.run.worker_id != link.info.id:
            return None
        record.end_run(ref.key, kind, checkpoint)
        log_event(
            "task_ended",
            job=ref.job_id,
            task=list(ref.key),
            run=ref.run,
            worker=link.info.id,
            end=kind,
            reason=reason,
        )
        self._judge_worker(link, ref, kind)
        if record.step_of(ref.key).gang and kind is not EndKind.DONE:
            self._stop_members(record, ref)
        self._judge(record, ref, kind)
        self.refresh_demands(record)
        self.note(record)
        return record

    def _stop_members(self, record: JobRecord, ref: TaskRef) -> None:
        """Stop the rest of a gang of which one member has ended."""
        for key, task in record.tasks_of(ref.key.step_key):
            if task.run is None or task.run.number != ref.run:
                continue
            link = self.link_by_worker_id.get(task.run.worker_id)
            member = TaskRef(ref.job_id, key, ref.run)
            hold = link.hold_by_ref.get(member) if link else None
            if hold is not None:
                hold.stop_wanted = True

    def _judge_worker(self, link: WorkerLink, ref: TaskRef, kind: EndKind) -> None:
        """Avoid a worker for a while on which task after task fails."""
        if kind is EndKind.DONE:
            self.suspicion.record_success(link.info.id)
        if kind is not EndKind.FAILED:
            return
        self.shun_for_step(link.info.id, ref)
        workers = len(self.link_by_worker_id)
        until = self.suspicion.record_failure(link.info.id, ref, self.now.mono, workers)
        self.avoid(link, until)

    def avoid(self, link: WorkerLink, until: float | None) -> None:
        """Place nothing on a worker until a monotonic time, if there is one."""
        if until is None:
            return
        self.cell.avoid(link.info.id, until)
        avoid_s = round(until - self.now.mono, 1)
        log_event("worker_avoided", worker=link.info.id, avoid_s=avoid_s)

    def _judge(self, record: JobRecord, ref: TaskRef, kind: EndKind) -> None:
        """Make a job final if this end decides it."""
        if record.is_final:
            return
        if record.is_done():
            self.finish(record, JobState.COMPLETED, "all tasks are done")
            return
        queue = self.queue_of(record)
        if kind is not EndKind.FAILED or queue is None:
            return
        if record.step_of(ref.key).long_running:
            return
        if record.failures_of(ref.key) >= queue.max_attempts:
            self.finish(record, JobState.FAILED, f"{ref.key} failed too often")

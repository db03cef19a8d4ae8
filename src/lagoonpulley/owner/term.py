"""State of one owner term, and how events change it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..model.resources import ZERO
from ..observability.events import log_event
from ..planning.backlog import Backlog
from ..planning.cell import Cell, Claim
from ..planning.demand import Demand
from ..planning.permits import PermitTable
from ..planning.worker_failures import WorkerFailureTracker
from ..planning.worker_speed import WorkerSpeeds
from ..upstream.directory import WorkerInfo
from ..upstream.tasks import TaskRef
from ..workload.record import JobRecord, JobState
from .ended_jobs import EndedJobs
from .incarnations import begin_incarnation
from .journal import Journal
from .long_checkpoints import LongCheckpoints
from .recent_restarts import RecentRestarts
from .run_ends import give_up_all_runs
from .settled_runs import SettledRuns
from .worker_leases import (
    MAX_COMMAND_DELAY_S,
    WorkerLeases,
    latest_lease_end,
    may_have_former_times,
)
from .worker_state import MS_PER_S, TrackedRun, WorkerState

if TYPE_CHECKING:
    from ..planning.team_use import TeamUse
    from ..policy.values import Policy, Queue
    from ..runtime.role import Now
    from ..workload.documents import FinalDocument
    from ..workload.record import Run
    from ..workload.spec import JobSpec, StepKey, TaskKey

__all__ = ["OwnerTerm"]

# How long a new owner waits for every worker to accept its token. Reachable workers
# answer within a few tens of milliseconds.
FENCE_WAIT_S = 0.2
# For so long the runs of workers survive an owner that has lost the store, and a
# successor waits for those that it does not reach. Workers may grant more.
MAX_GRANTED_LEASE_S = 6.0


@dataclass(slots=True, eq=False)
class OwnerTerm:
    """Jobs, workers and tracked runs under one fencing token.

    Flows may outlive their term, so they check ``has_ended`` after every call.
    ``began_at`` is when the term began, in monotonic seconds, and ``began_wall`` the
    same in seconds of the wall clock.
    ``idle_worker_by_id`` holds the workers without a sync in flight. ``known_workers``
    counts the workers that became known during the term. ``team_use`` is ``None`` where
    teams have no shares, ``draining_data_centres`` before the operators' requests are
    read.
    """

    token: int
    journal: Journal
    max_lease_s: float
    early_s: float
    began_at: float
    began_wall: float
    team_use: TeamUse | None = None
    cell: Cell = field(default_factory=Cell)
    permits: PermitTable = field(default_factory=PermitTable)
    worker_speeds: WorkerSpeeds = field(default_factory=WorkerSpeeds)
    worker_failures: WorkerFailureTracker = field(default_factory=WorkerFailureTracker)
    record_by_id: dict[str, JobRecord] = field(default_factory=dict)
    worker_by_id: dict[str, WorkerState] = field(default_factory=dict)
    idle_worker_by_id: dict[str, WorkerState] = field(default_factory=dict)
    known_workers: int = 0
    backlog: Backlog = field(default_factory=Backlog)
    repeating_by_id: dict[str, JobRecord] = field(default_factory=dict)
    queue_by_name: dict[str, Queue] = field(default_factory=dict)
    crashed_at_by_address: dict[str, float] = field(default_factory=dict)
    ended_at_by_job_id: dict[str, float] = field(default_factory=dict)
    ended_jobs: EndedJobs = field(init=False)
    long_checkpoints: LongCheckpoints = field(default_factory=LongCheckpoints)
    restarted_workers: tuple[str, ...] = ()
    recent_restarts: RecentRestarts = field(init=False)
    settled_revision: int = 0
    settled_runs: SettledRuns = field(init=False)
    policy: Policy | None = None
    loaded: bool = False
    workers_listed_at: float | None = None
    draining_data_centres: frozenset[str] | None = None
    session_expires_at: float = float("-inf")
    has_ended: bool = False
    needs_planning: bool = True
    now: Now | None = None

    def __post_init__(self) -> None:
        self.ended_jobs = EndedJobs(self.max_lease_s)
        self.settled_runs = SettledRuns(self.settled_revision)
        self.journal.read_mark = self.settled_runs.mark
        self.recent_restarts = RecentRestarts(
            self.max_lease_s, self.restarted_workers, self.began_at
        )
        self.journal.read_restarted = lambda: self.recent_restarts.names(self.now.mono)

    def add_job(self, spec: JobSpec) -> JobRecord:
        """Add a submitted job and return its record; idempotent."""
        known = self.record_by_id.get(spec.id)
        if known is not None:
            return known
        record = self.record_by_id[spec.id] = JobRecord.from_spec(spec)
        if spec.repeats:
            self.repeating_by_id[spec.id] = record
        self.refresh_demands(record)
        return record

    def restore_final(self, record: JobRecord, document: FinalDocument) -> None:
        """Apply a final state that an earlier owner stored, and stop remaining runs."""
        record.finish(document.state, document.ended_at)
        self.refresh_demands(record)
        self.stop_runs(record)

    def cancel(self, record: JobRecord) -> None:
        """Cancel a job: start nothing more of it and stop its runs."""
        record.cancel_requested = True
        if record.is_final:
            return
        self.finish(record, JobState.CANCELLED, "cancelled by its caller")

    def finish(self, record: JobRecord, state: JobState, reason: str) -> None:
        """Make a job final; unless it completed, stop its remaining runs."""
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
        self.enqueue_record(record)

    def stop_runs(self, record: JobRecord) -> None:
        """Request a stop of every run of a job."""
        for key, _, run in record.runs():
            self.request_stop(record, key, run)

    def request_stop(self, record: JobRecord, key: TaskKey, run: Run) -> None:
        """Request a stop of one run."""
        worker = self.worker_by_id.get(run.worker_id)
        if worker is None:
            return
        ref = TaskRef(record.spec.id, key, run.number)
        tracked = worker.tracked_by_ref.get(ref)
        if tracked is not None:
            tracked.stop_requested = True

    def enqueue_record(self, record: JobRecord) -> None:
        """Enqueue a record; if it is final and has no runs, drop it once committed."""
        if not record.is_final or record.runs():
            self.journal.enqueue(record)
            return

        def forget() -> None:
            self.record_by_id.pop(record.spec.id, None)
            self.repeating_by_id.pop(record.spec.id, None)
            self.permits.forget(record.spec.id)
            self.long_checkpoints.forget_job(record.spec.id)
            self.ended_at_by_job_id[record.spec.id] = record.ended_at
            spec = record.spec
            self.ended_jobs.remember(spec.id, spec.team, spec.steps, self.now.mono)

        self.journal.enqueue(record, forget)

    def end_unstorable(self, record: JobRecord) -> None:
        """End a job whose progress the store does not take; others go on."""
        job_id = record.spec.id
        log_event("progress_unstorable", job=job_id, tasks=len(record.task_by_key))
        if record.is_final:
            self.journal.give_up_progress(record)
            return
        self.finish(record, JobState.FAILED, "its progress cannot be stored")

    def refresh_demands(
        self, record: JobRecord, changed: StepKey | None = None
    ) -> None:
        """Recompute which steps of a job wait for workers.

        :param changed: the step whose runs have changed, ``None`` if more may have; the
            others wait as they did.
        """
        self.needs_planning = True
        queue = self.queue_of(record)
        if record.is_final or queue is None or self.now is None:
            self.backlog.replace(record.spec.id, [])
            return
        if record.spec.repeats:
            self._update_occurrences(record)
        known = self._known_demands(record) if changed is not None else {}
        known.pop(changed, None)
        self.backlog.replace(record.spec.id, self._demands_of(record, queue, known))

    def refresh_occurrences(self, record: JobRecord) -> None:
        """Open the occurrences of a job that are due; others wait as they did."""
        queue = self.queue_of(record)
        if record.is_final or queue is None or not self._update_occurrences(record):
            return
        known = self._known_demands(record)
        self.backlog.replace(record.spec.id, self._demands_of(record, queue, known))
        self.needs_planning = True

    def _known_demands(self, record: JobRecord) -> dict[StepKey, Demand]:
        return {each.key: each for each in self.backlog.demands_of(record.spec.id)}

    def _demands_of(
        self, record: JobRecord, queue: Queue, known: dict[StepKey, Demand]
    ) -> list[Demand]:
        """Return the demands of a job: those that are known, and new ones."""
        demands = []
        for key in record.open_steps():
            if not record.waiting_by_step.get(key):
                continue
            demand = known.get(key)
            if demand is None:
                due_at = self._due_at(record, queue, key.occurrence)
                demand = Demand(record, key, queue, due_at)
            demands.append(demand)
        return demands

    def _update_occurrences(self, record: JobRecord) -> bool:
        """Drop occurrences that are done, and open those that are due.

        :returns: whether any were opened.
        """
        for key in record.close_done_occurrences():
            self.permits.forget_step(record.spec.id, key)
        return record.open_due_occurrences(self.now.wall, self.early_s)

    def queue_of(self, record: JobRecord) -> Queue | None:
        """Return the latest known definition of a job's queue."""
        return self.queue_by_name.get(record.spec.queue)

    def apply_policy(self, policy: Policy) -> None:
        """Apply a new policy; jobs of removed queues keep the old queue definition."""
        self.policy = policy
        self.queue_by_name.update(policy.queue_by_name)
        for record in self.record_by_id.values():
            self.refresh_demands(record)

    def held_tasks(self) -> int:
        """Return how many tasks of all jobs are in memory."""
        return sum(len(record.task_by_key) for record in self.record_by_id.values())

    def pending_by_queue(self) -> dict[str, int]:
        """Return the number of jobs that have not started, by queue."""
        count_by_queue: dict[str, int] = {}
        for record in self.record_by_id.values():
            if record.state is JobState.QUEUED:
                name = record.spec.queue
                count_by_queue[name] = count_by_queue.get(name, 0) + 1
        return count_by_queue

    def _due_at(self, record: JobRecord, queue: Queue, occurrence: int) -> float:
        """Return when an occurrence should be complete, as wall time in seconds."""
        spec = record.spec
        chain_s = spec.critical_path_s()
        return spec.scheduled_at(occurrence) + queue.slack * chain_s + queue.target_s

    def longest_grant_s(self, worker: WorkerState) -> float:
        """Return the longest lease that a worker may be granted now, in seconds.

        A successor presumes that no lease lasts longer than
        :attr:`longest_granted_lease_s` after this owner's session has expired, also if
        the grant is carried out when the one before ends.
        """
        from_time = max(self.now.mono, worker.leases.granted_until)
        left_s = self.session_expires_at + self.longest_granted_lease_s - from_time
        return min(self.longest_granted_lease_s, left_s)

    @property
    def longest_granted_lease_s(self) -> float:
        """Longest lease that an owner grants by a sync, in seconds."""
        return min(self.max_lease_s, MAX_GRANTED_LEASE_S)

    def session_has_expired(self) -> bool:
        """Return whether another entry may be the owner by now."""
        return self.now.mono >= self.session_expires_at

    def put_worker(self, info: WorkerInfo) -> WorkerState:
        """Add or update a worker; a new incarnation ends the previous one's runs.

        A record of an earlier incarnation than the known one lags behind: the worker
        itself has reported its restart.
        """
        worker = self.worker_by_id.get(info.id)
        if worker is None:
            worker = self._add_worker(info)
        elif worker.is_next_incarnation(info.born):
            begin_incarnation(self, worker, info.born)
        worker.describe(info)
        self._presume_former_times(worker)
        worker.missing_since = None
        crashed_at = self.crashed_at_by_address.get(worker.info.address)
        self.cell.put_worker(worker.info).crashed_at = crashed_at
        self.refresh_accepting(worker)
        return worker

    def refresh_accepting(self, worker: WorkerState) -> None:
        """Recompute whether tasks may be placed on a worker."""
        is_listed = worker.missing_since is None and bool(worker.info.address)
        accepting = is_listed and not self.obstacle_to(worker)
        if self.cell.set_accepting(worker.info.id, accepting):
            self.needs_planning = True

    def obstacle_to(self, worker: WorkerState) -> str:
        """Return why no task may be started on a worker, empty if one may."""
        if not worker.fenced:
            return "the worker has not accepted the fencing token"
        if worker.closed or worker.overdue_syncs or not worker.is_responsive:
            return "the worker does not answer"
        if not worker.is_described:
            return "the directory does not describe the worker's incarnation yet"
        if self.is_draining(worker):
            return "the worker is draining"
        if worker.has_run_of_unknown_size:
            return "the worker has a run of unknown size"
        return ""

    def is_draining(self, worker: WorkerState) -> bool:
        """Return whether a worker, or its whole data centre, gets no new tasks."""
        draining = self.draining_data_centres or frozenset()
        return worker.info.draining or worker.info.data_centre in draining

    def workers_in(self, data_centre: str) -> list[WorkerState]:
        """Return the workers of a data centre."""
        return [
            worker
            for worker in self.worker_by_id.values()
            if worker.info.data_centre == data_centre
        ]

    def set_draining_data_centres(self, draining: frozenset[str]) -> None:
        """Set the data centres that get no new tasks."""
        if draining == self.draining_data_centres:
            return
        self.draining_data_centres = draining
        for worker in self.worker_by_id.values():
            self.refresh_accepting(worker)
        self.needs_planning = True

    def may_plan(self) -> bool:
        """Return whether enough is known about the workers to place tasks.

        A new owner waits briefly for all workers, so that it does not overload the
        first ones that answer.
        """
        if not self.loaded or self.policy is None or self.workers_listed_at is None:
            return False
        if self.draining_data_centres is None:
            return False
        if self.now.mono - self.workers_listed_at > FENCE_WAIT_S:
            return True
        return all(worker.fenced for worker in self.worker_by_id.values())

    def remove_worker(self, worker: WorkerState, reason: str) -> None:
        """End the runs of a permanently lost worker and drop its state."""
        self.worker_failures.forget(worker.info.id)
        self.worker_speeds.forget(worker.info.id)
        give_up_all_runs(self, worker, reason)
        self.worker_by_id.pop(worker.info.id, None)
        self.idle_worker_by_id.pop(worker.info.id, None)
        self.cell.remove_worker(worker.info.id)

    def _add_worker(self, info: WorkerInfo) -> WorkerState:
        self._close_predecessors(info.address)
        self.known_workers += 1
        worker = WorkerState(
            info,
            self.max_lease_s,
            # An earlier owner may have granted some until its session ended.
            WorkerLeases(latest_lease_end(self.began_at, self.longest_granted_lease_s)),
            self.journal.head_revision,
            self.known_workers,
        )
        self._presume_former_times(worker)
        self.worker_by_id[info.id] = worker
        self.idle_worker_by_id[info.id] = worker
        self.cell.put_worker(info)
        return worker

    def has_just_restarted(self, worker: WorkerState) -> bool:
        """Return whether a worker may have restarted shortly before this term.

        Its earlier owner counted the leases that commands for the former incarnation
        may have extended, see :meth:`WorkerState.begin_incarnation`; this one knows
        what that one has stored, and when the incarnation started by its own clock.
        """
        if self.recent_restarts.includes(worker.info.id, self.began_at):
            return True
        started_at = worker.info.born / MS_PER_S
        return bool(started_at) and may_have_former_times(
            started_at, self.began_wall, self.max_lease_s
        )

    def _presume_former_times(self, worker: WorkerState) -> None:
        """Presume the longest lease on a worker that restarted before this term."""
        if worker.fenced or not self.has_just_restarted(worker):
            return
        worker.leases.presume(latest_lease_end(self.began_at, self.max_lease_s))
        former_until = self.began_at + MAX_COMMAND_DELAY_S
        worker.former_until = max(worker.former_until, former_until)

    def _close_predecessors(self, address: str) -> None:
        """Record that the processes before a new worker at an address have ended."""
        if not address:
            return
        for other in self.worker_by_id.values():
            if other.info.address == address:
                other.mark_closed(self.now.mono)

    def begin_sync(self, worker: WorkerState) -> None:
        """Record that a sync with a worker is in flight."""
        worker.syncing = True
        self.idle_worker_by_id.pop(worker.info.id, None)

    def end_sync(self, worker: WorkerState, incarnation: int) -> bool:
        """Record the end of a sync; return whether its result still counts.

        It does not if the worker was removed or has restarted meanwhile.
        """
        if not self.is_current(worker, incarnation):
            return False
        worker.syncing = False
        self.idle_worker_by_id[worker.info.id] = worker
        return True

    def is_current(self, worker: WorkerState, incarnation: int) -> bool:
        """Return whether an incarnation of a worker is the latest known one."""
        is_known = self.worker_by_id.get(worker.info.id) is worker
        return is_known and worker.incarnation == incarnation

    def worker_of_run(self, worker_id: str, born: int) -> WorkerState:
        """Return the worker of a stored run, adding it if it is not listed.

        Runs of several incarnations may be stored; the latest one is the worker's.
        """
        worker = self.worker_by_id.get(worker_id)
        if worker is not None:
            if born > worker.info.born:
                worker.info = replace(worker.info, born=born)
                self._presume_former_times(worker)
            return worker
        info = WorkerInfo(worker_id, "", "", "", ZERO, (), "", born)
        worker = self._add_worker(info)
        worker.missing_since = self.now.mono
        return worker

    def avoid_worker_for_step(self, worker_id: str, ref: TaskRef) -> None:
        """Prefer other workers for further runs of a step's tasks."""
        record = self.record_by_id.get(ref.job_id)
        if record is not None:
            avoided = record.avoided_workers_by_step.setdefault(ref.key.step_key, set())
            avoided.add(worker_id)

    def track_start(
        self, record: JobRecord, key: TaskKey, run: int
    ) -> TrackedRun | None:
        """Track a placed run; return ``None`` if its worker is not known."""
        worker_id = record.task_by_key[key].run.worker_id
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            return None
        tracked = self.track_run(worker, record, TaskRef(record.spec.id, key, run))
        self.settled_runs.hold(worker, tracked, self.journal.head_revision)
        return tracked

    def track_run(
        self, worker: WorkerState, record: JobRecord, ref: TaskRef
    ) -> TrackedRun:
        """Track a run and claim its room and its part of the team's limit."""
        step = record.step_of(ref.key)
        claim = Claim.from_step(ref, record.spec.team, step, self.now.mono)
        self.cell.claim(worker.info.id, claim)
        tracked = worker.tracked_by_ref[ref] = TrackedRun(ref, self.now.mono)
        return tracked

    def avoid_worker(self, worker: WorkerState, until: float | None) -> None:
        """Place nothing on a worker until a monotonic time; ``None`` does nothing."""
        if until is None:
            return
        self.cell.avoid(worker.info.id, until)
        avoid_s = round(until - self.now.mono, 1)
        log_event("worker_avoided", worker=worker.info.id, avoid_s=avoid_s)

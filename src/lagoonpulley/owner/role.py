"""The owner's role: terms of ownership, rounds of planning, commits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..observability.events import log_event
from ..observability.prometheus import observe_start_wait
from ..planning.planner import Planner
from ..policy.messages import PolicyChanged
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.role import STORE, WAKE, CallFailed, Tick, WakeAfter
from ..upstream.tasks import Advice
from ..workload.documents import JOBS_PREFIX, PROGRESS_PREFIX
from .advisors import Advisors
from .dispatch import Dispatcher
from .jobs import JobsFollower
from .journal import Journal
from .messages import Deposed, Elected, SessionExtended, StoodDown
from .pending import PendingBoard
from .session import SessionRole
from .term import OwnerTerm
from .workers import WorkersFollower

if TYPE_CHECKING:
    from ..planning.planner import AdviceRequest, Start
    from ..policy.values import Policy
    from ..store.health import StoreHealth
    from ..store.messages import Transaction
    from ..upstream.directory import DirectoryDecoder
    from .settings import OwnerSettings

__all__ = ["OwnerRole"]

COMMIT_TIMEOUT_S = 0.8
RETRY_PAUSE_S = 0.05
ADVICE_PAUSE_S = 0.1
MOST_STARTS_PER_ROUND = 64
# Ends that come close together are planned for together.
ROUND_EVERY_S = 0.02
CHECK_EVERY_S = 0.2
WAIT_LOG_EVERY_S = 3.0
MOST_WAITS = 4


class OwnerRole(FlowRole):
    """Decides for all workers while this entry is the owner."""

    name = "owner"

    def __init__(
        self,
        settings: OwnerSettings,
        directory: DirectoryDecoder,
        health: StoreHealth,
    ) -> None:
        super().__init__("owner")
        self._settings = settings
        self._policy: Policy | None = None
        self._term: OwnerTerm | None = None
        self._jobs = JobsFollower(self, settings.retention_s)
        self._dispatcher = Dispatcher(self)
        self._workers = WorkersFollower(self, self._dispatcher, directory, health)
        self._pending = PendingBoard()
        self._advisors = Advisors(self, settings)
        self._next_check_at = 0.0
        self._next_round_at = 0.0
        self._wake_asked = False
        self._next_wait_log_at = 0.0

    def receive(self, message: Any) -> None:
        """Process an election, a policy or a tick."""
        match message:
            case Elected():
                self._begin(message)
            case Deposed(reason):
                self._end(reason)
            case SessionExtended(until):
                if self._term is not None:
                    self._term.session_until = until
            case PolicyChanged(policy):
                self._policy = policy
                if self._term is not None:
                    self._term.take_policy(policy)
            case Tick():
                self._tick()
        self.act()

    def handle(self, message: Any, now: Any) -> list[Any]:
        """Process one message; see :class:`~..runtime.role.Role`."""
        self.now = now
        if self._term is not None:
            self._term.now = now
        return super().handle(message, now)

    def _begin(self, elected: Elected) -> None:
        self._end("elected anew")
        term = OwnerTerm(
            token=elected.token,
            journal=Journal(elected.token, elected.head_revision),
            longest_lease_s=self._settings.longest_worker_lease_s,
            early_s=self._settings.early_s,
        )
        term.now = self.now
        self._term = term
        log_event("ownership_began", token=elected.token)
        self.start(self._take_over(term))

    def stand_down(self, reason: str) -> None:
        """See :class:`~.host.Host`."""
        if self._term is not None:
            self.emit(SessionRole.name, StoodDown(self._term.token))
        self._end(reason)

    def _end(self, reason: str) -> None:
        if self._term is None:
            return
        self._term.over = True
        log_event("ownership_ended", token=self._term.token, reason=reason)
        self._term = None

    def _take_over(self, term: OwnerTerm) -> Flow:
        """Load every job, then begin to follow the store and the workers."""
        began = self.now.mono
        revision, jobs = yield from self._jobs.read_all(term, JOBS_PREFIX)
        _, progress = yield from self._jobs.read_all(term, PROGRESS_PREFIX)
        if term.over:
            return
        if self._policy is not None:
            term.take_policy(self._policy)
        self._jobs.load_jobs(term, jobs)
        self._jobs.load_progress(term, progress)
        self._jobs.load_states(term, jobs)
        term.loaded = True
        log_event(
            "jobs_loaded",
            token=term.token,
            jobs=len(term.record_by_id),
            took_s=round(self.now.mono - began, 3),
        )
        self.start(self._jobs.follow(term, revision))
        self.start(self._workers.follow(term))
        self.start(self._advisors.follow_entries(term))

    def _tick(self) -> None:
        term = self._term
        if term is None or not term.loaded or self.now.mono < self._next_check_at:
            return
        self._next_check_at = self.now.mono + CHECK_EVERY_S
        for record in list(term.repeating_by_id.values()):
            term.refresh_demands(record)
        for link in list(term.link_by_worker_id.values()):
            self._workers.check(term, link)
        # Nothing tells of what only waits for a time to pass.
        term.wants_round = True
        self._log_waits(term)
        self._pending.refresh(term, self.now)
        self._jobs.check_watch(term)
        self._jobs.forget_old(term)

    def _log_waits(self, term: OwnerTerm) -> None:
        """Say of the steps that wait longest what keeps them."""
        if self.now.mono < self._next_wait_log_at:
            return
        self._next_wait_log_at = self.now.mono + WAIT_LOG_EVERY_S
        demands = term.backlog.in_order()
        for demand in sorted(demands, key=lambda demand: demand.due_at)[:MOST_WAITS]:
            spec = demand.record.spec
            permits = term.permits.for_step(spec.id, demand.key)
            log_event(
                "step_waits",
                job=spec.id,
                step=list(demand.key),
                team=spec.team,
                blocked=demand.block_reason,
                asking=permits.request_pending,
                allowed=len(permits.allowed_ids),
                waited_s=round(self.now.wall - spec.submitted_at, 3),
                waiting_steps=len(demands),
            )

    def act(self) -> None:
        """Plan if anything changed, then write what changed."""
        term = self._term
        if term is None or not term.loaded:
            return
        if term.wants_round and term.may_plan():
            self._plan_when_due(term)
        self._commit(term)

    def _plan_when_due(self, term: OwnerTerm) -> None:
        """Plan now, or a moment after the last round."""
        wait_s = self._next_round_at - self.now.mono
        if wait_s <= 0:
            term.wants_round = False
            self._wake_asked = False
            self._plan(term)
            self._next_round_at = self.now.mono + ROUND_EVERY_S
        elif not self._wake_asked:
            self._wake_asked = True
            self.emit(WAKE, WakeAfter(self.name, wait_s))

    def _plan(self, term: OwnerTerm) -> None:
        demands = term.backlog.in_order()
        if not demands:
            return
        planner = Planner(
            term.cell,
            term.permits,
            term.policy.team_by_name,
            self.now.mono,
            self._advisors,
        )
        plan = planner.plan(demands, MOST_STARTS_PER_ROUND)
        if len(plan.starts) >= MOST_STARTS_PER_ROUND:
            term.wants_round = True
        if term.backlog.set_reserved_gangs(planner.reserved_gangs):
            term.wants_round = True
        for start in plan.starts:
            self._dispatch(term, start)
        for question in plan.advice_requests:
            self.start(self._ask(term, question))

    def _dispatch(self, term: OwnerTerm, start: Start) -> None:
        """Write the intent to start, then start."""
        record = start.record
        waited_s = self.now.wall - record.spec.submitted_at
        for key, worker_id in start.placements:
            observe_start_wait(record.spec.queue, waited_s)
            term.hold_start(record, key, start.run)
            log_event(
                "task_placed",
                job=record.spec.id,
                task=list(key),
                run=start.run,
                worker=worker_id,
                token=term.token,
                waited_s=round(waited_s, 3),
            )
        term.refresh_demands(record)
        term.journal.note(record, lambda: self._dispatcher.start_all(term, start))

    def _ask(self, term: OwnerTerm, question: AdviceRequest) -> Flow:
        """Have an entry ask a queue's advisor."""
        job_id = question.record.spec.id
        permits = term.permits.for_step(job_id, question.key)
        result = yield from self._advisors.ask(question)
        permits.request_pending = False
        if term.over:
            return
        term.backlog.unblock(job_id)
        if isinstance(result, Advice):
            permits.add_advice(question.worker_ids, result, self.now.mono)
        else:
            permits.next_request_at = self.now.mono + ADVICE_PAUSE_S
        term.wants_round = True
        self.act()

    def _commit(self, term: OwnerTerm) -> None:
        commit = term.journal.next_commit()
        if commit is not None:
            self.start(self._commit_once(term, commit.transaction))

    def _commit_once(self, term: OwnerTerm, transaction: Transaction) -> Flow:
        while not term.over:
            result = yield Call(STORE, transaction, COMMIT_TIMEOUT_S)
            if term.over:
                return
            if isinstance(result, CallFailed):
                log_event("commit_failed", reason=result.reason, ran=result.ran)
                yield Sleep(RETRY_PAUSE_S)
                continue
            if result.ok:
                self._jobs.note_commit(transaction, result.revision)
            if not term.journal.take_result(result):
                self.stand_down("the journal's head was moved by another term")
                return
            self._jobs.check_watch(term)
            for link in list(term.link_by_worker_id.values()):
                self._workers.sync(term, link)
            self.act()
            return

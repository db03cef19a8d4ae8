"""The owner role: owner terms, planning rounds and commits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..observability.events import log_event
from ..observability.prometheus import observe_start_wait
from ..peers.on_demand import PreparePeers
from ..planning.order import SharePolicy, order_demands
from ..planning.planner import Planner
from ..planning.team_use import TeamUse
from ..policy.messages import PolicyChanged
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.load import NoLoad
from ..runtime.role import PEERS, STORE, WAKE, CallFailed, WakeAfter
from ..runtime.work_meter import WorkMeter
from ..store.answer_timeout import AnswerTimeout
from ..upstream.tasks import Advice
from .advisors import AdvisorBalancer
from .commit_delay import CommitDelay
from .dispatch import Dispatcher
from .drains import DrainFollower, NoDrains
from .handover import HandoverMonitor
from .jobs import JobWatcher
from .journal import MAX_COMMIT_BYTES, Journal
from .load import OwnerLoadLog
from .long_checkpoints import write_long_checkpoints
from .messages import Deposed, Elected, SessionExtended, StoodDown
from .pending import PendingCounts
from .session import SessionRole
from .start_backlog import StartBacklog
from .status import OwnerStatusWriter
from .team_use import TeamUseStore
from .term import OwnerTerm
from .wait_log import log_waiting_step
from .workers import WorkerMonitor

if TYPE_CHECKING:
    from ..planning.advice_requests import AdviceRequest
    from ..planning.demand import Demand
    from ..planning.planner import Plan, Start
    from ..policy.values import Policy
    from ..runtime.load import LoadSource
    from ..store.health import StoreHealth
    from ..store.messages import KeyValue, Transaction
    from ..upstream.directory import DirectoryDecoder
    from .drains import DrainDecoder
    from .settings import OwnerSettings

__all__ = ["OwnerRole"]

RETRY_DELAY_S = 0.05
# How often in a row the store refuses a commit until that counts as its last word.
MAX_REFUSALS = 3
# In base64, and of the link that other traffic uses as well.
WIRE_BYTES_PER_CHARACTER = 4 / 3
COMMIT_LINK_SHARE = 0.25
ADVICE_RETRY_DELAY_S = 0.1
MAX_STARTS_PER_ROUND = 64
# Permits are valid for about two seconds.
MAX_COMMIT_DELAY_S = 0.5
# Batches run ends that arrive close together into one planning round.
PLANNING_INTERVAL_S = 0.02
# A round considers every demand, so rounds are rarer while many wait.
PLANNING_INTERVAL_PER_DEMAND_S = 0.00005
CHECK_INTERVAL_S = 0.2
CLEAN_AFTER_S = 30.0
WAIT_LOG_INTERVAL_S = 3.0
MAX_LOGGED_WAITS = 4


class OwnerRole(FlowRole):
    """Schedules the tasks of all workers while this entry is the owner."""

    name = "owner"
    tick_interval_s = None

    def __init__(
        self,
        settings: OwnerSettings,
        directory: DirectoryDecoder,
        health: StoreHealth,
        load: LoadSource | None = None,
        drains: DrainDecoder | None = None,
        work: WorkMeter | None = None,
    ) -> None:
        super().__init__("owner")
        self._settings = settings
        self._policy: Policy | None = None
        self._term: OwnerTerm | None = None
        self._jobs = JobWatcher(self, settings.retention_s)
        self._dispatcher = Dispatcher(self)
        self._workers = WorkerMonitor(self, self._dispatcher, directory, health)
        self._drains = DrainFollower(self, drains or NoDrains())
        self._commit_timeout = AnswerTimeout()
        self._commit_delay = CommitDelay()
        self._pending = PendingCounts()
        self._team_use_store = TeamUseStore()
        self._status = OwnerStatusWriter()
        self._start_backlog = StartBacklog(0.0)
        self._advisors = AdvisorBalancer(self, settings)
        self._work = work or WorkMeter(lambda: 0.0)
        self._load_log = OwnerLoadLog(settings, load or NoLoad(), self._work)
        self._handover = HandoverMonitor(settings)
        self._next_round_at = 0.0
        self._wake_requested = False
        self._next_wait_log_at = 0.0

    def receive(self, message: Any) -> None:
        """Process an election result, a session extension or a new policy."""
        match message:
            case Elected():
                self._begin_term(message)
            case Deposed(reason):
                self._end_term(reason)
            case SessionExtended(until):
                if self._term is not None:
                    self._term.session_expires_at = until
            case PolicyChanged(policy):
                self._policy = policy
                if self._term is not None:
                    self._term.apply_policy(policy)
        self.plan_and_commit()

    def handle(self, message: Any, now: Any) -> list[Any]:
        """Process one message; see :class:`~.runtime.role.Role`."""
        self.now = now
        if self._term is not None:
            self._term.now = now
        with self._work.measure(self.kind_of(message)):
            return super().handle(message, now)

    def _begin_term(self, elected: Elected) -> None:
        self._end_term("elected again")
        shares = self._settings.shares
        term = OwnerTerm(
            token=elected.token,
            journal=Journal(
                elected.token, elected.head_revision, self._settings.max_value_bytes
            ),
            max_lease_s=self._settings.longest_worker_lease_s,
            early_s=self._settings.early_s,
            began_at=self.now.mono,
            began_wall=self.now.wall,
            team_use=TeamUse(shares.half_life_s) if shares else None,
            settled_revision=elected.settled_revision,
            restarted_workers=elected.restarted_workers,
        )
        term.now = self.now
        self._term = term
        self._load_log.begin(self.now.mono)
        self._handover.begin_term(elected.passed_over_lives, self.now.mono)
        self._start_backlog = StartBacklog(self.now.mono)
        self._commit_delay = CommitDelay()
        log_event("ownership_began", token=elected.token)
        self.emit(PEERS, PreparePeers())
        self.start(self._advisors.poll_entries(term, self._consider_handover))
        self.start(self._take_over(term))
        self.start(self._check_periodically(term))
        if term.team_use is not None:
            self.start(self._team_use_store.read(term))

    def step_down(self, reason: str) -> None:
        """See :class:`~.flow_host.FlowHost`."""
        if self._term is not None:
            self.emit(SessionRole.name, StoodDown(self._term.token))
        self._end_term(reason)

    def _consider_handover(
        self, term: OwnerTerm, entries: tuple[KeyValue, ...]
    ) -> None:
        """Step down if a much stronger entry is ready, also while the jobs load."""
        if term.has_ended:
            return
        successor = self._handover.find_successor(entries, self.now.mono)
        if successor is None:
            return
        log_event(
            "ownership_handed_over",
            token=term.token,
            successor=successor.name,
            loaded=term.loaded,
        )
        self.step_down("a stronger entry takes over")

    def _end_term(self, reason: str) -> None:
        if self._term is None:
            return
        self._term.has_ended = True
        log_event("ownership_ended", token=self._term.token, reason=reason)
        self._term = None

    def _take_over(self, term: OwnerTerm) -> Flow:
        """Load every job, then start watching the store and the workers."""
        began = self.now.mono
        jobs = yield from self._jobs.read_jobs(term)
        progress = yield from self._jobs.read_progress(term)
        if term.has_ended:
            return
        if self._policy is not None:
            term.apply_policy(self._policy)
        self._jobs.load_jobs(term, jobs.items)
        self._jobs.load_progress(term, progress.items)
        if term.long_checkpoints.may_be_stored:
            yield from self._jobs.load_long_checkpoints(term)
        if term.has_ended:
            return
        self._jobs.load_states(term, jobs.items)
        term.loaded = True
        log_event(
            "jobs_loaded",
            token=term.token,
            jobs=len(term.record_by_id),
            took_s=round(self.now.mono - began, 3),
        )
        if not term.long_checkpoints.may_be_stored:
            self.start(self._clean_long_checkpoints(term))
        self.start(self._jobs.watch(term, jobs))
        self.start(self._drains.follow(term))
        self.start(self._workers.monitor(term))

    def _clean_long_checkpoints(self, term: OwnerTerm) -> Flow:
        """Delete what earlier owners left of jobs that are gone, some time later."""
        yield Sleep(CLEAN_AFTER_S)
        if not term.has_ended:
            yield from self._jobs.load_long_checkpoints(term)

    def _check_periodically(self, term: OwnerTerm) -> Flow:
        """Check at an interval what no message announces, while the term lasts."""
        while not term.has_ended:
            self._load_log.write_if_due(term, self.now.mono)
            if term.loaded:
                self._check(term)
            yield Sleep(CHECK_INTERVAL_S)

    def _check(self, term: OwnerTerm) -> None:
        for record in list(term.repeating_by_id.values()):
            term.refresh_occurrences(record)
        for worker in list(term.worker_by_id.values()):
            self._workers.check(term, worker)
        # No event is sent for changes that depend only on elapsed time.
        term.needs_planning = True
        self._log_waiting_steps(term)
        self._pending.write_if_due(term, self.now)
        if term.team_use is not None:
            term.team_use.update(term.cell, self.now.mono)
            self._team_use_store.write_if_due(term, self.now)
        self._status.write_if_due(
            term, self._start_backlog, self._jobs.known_revision, self.now
        )
        self._jobs.check_watch(term)
        self._jobs.delete_expired(term)
        term.settled_runs.refresh(term.journal, self.now.mono)

    def _log_waiting_steps(self, term: OwnerTerm) -> None:
        """Log why the steps with the earliest due times still wait."""
        if self.now.mono < self._next_wait_log_at:
            return
        self._next_wait_log_at = self.now.mono + WAIT_LOG_INTERVAL_S
        demands = term.backlog.in_order()
        for demand in sorted(demands, key=lambda demand: demand.due_at)[
            :MAX_LOGGED_WAITS
        ]:
            log_waiting_step(term, demand, len(demands))

    def plan_and_commit(self) -> None:
        """Plan if anything changed, then commit changed records to the store."""
        term = self._term
        if term is None or not term.loaded:
            return
        if term.needs_planning and term.may_plan():
            self._plan_when_due(term)
        with self._work.measure("making_commits"):
            self._commit(term)
        if term.long_checkpoints.has_changes and not term.long_checkpoints.is_writing:
            self.start(write_long_checkpoints(term))

    def _max_starts(self, term: OwnerTerm) -> int:
        """Return how many placements made now would soon be durable.

        The permits of others would expire meanwhile, and they would be placed again and
        again.
        """
        rows = self._commit_delay.rows_within(MAX_COMMIT_DELAY_S, self.now.mono)
        room = rows - term.journal.waiting_rows()
        return max(0, min(MAX_STARTS_PER_ROUND, room))

    def _plan_when_due(self, term: OwnerTerm) -> None:
        """Plan now, or request a wake-up if the last round is too recent."""
        wait_s = self._next_round_at - self.now.mono
        if wait_s > 0:
            if not self._wake_requested:
                self._wake_requested = True
                self.emit(WAKE, WakeAfter(self.name, wait_s))
            return
        self._wake_requested = False
        max_starts = self._max_starts(term)
        if not max_starts:
            # The end of the commit in flight is followed by a round.
            return
        term.needs_planning = False
        with self._work.measure("planning"):
            self._plan(term, max_starts)
        waiting = len(term.backlog.in_order())
        self._next_round_at = (
            self.now.mono
            + PLANNING_INTERVAL_S
            + waiting * PLANNING_INTERVAL_PER_DEMAND_S
        )

    def _plan(self, term: OwnerTerm, max_starts: int) -> None:
        demands = self._order(term, term.backlog.in_order())
        if not demands:
            return
        planner = Planner(
            term.cell,
            term.permits,
            term.policy.team_by_name,
            self.now.mono,
            self._advisors,
            self.now.wall,
        )
        plan = planner.plan(demands, max_starts)
        self._count_round(demands, plan)
        if len(plan.starts) >= max_starts or term.cell.has_changes:
            term.needs_planning = True
        if term.backlog.set_reserved_gangs(planner.reserved_gangs):
            gangs = [[job_id, list(key)] for job_id, key in planner.reserved_gangs]
            log_event("gang_reservations", gangs=gangs)
        for start in plan.starts:
            with self._work.measure("placing"):
                self._dispatch(term, start)
        for request in plan.advice_requests:
            self.start(self._request_advice(term, request))

    def _count_round(self, demands: list[Demand], plan: Plan) -> None:
        """Count what a round did, for ``owner_load``."""
        placements = sum(len(start.placements) for start in plan.starts)
        requests = len(plan.advice_requests)
        self._work.count("rounds", 1)
        self._work.count("rounds_without_result", not (placements or requests))
        self._work.count("demands", len(demands))
        self._work.count("considered", plan.considered)
        self._work.count("placements", placements)
        self._work.count("advice_requests", requests)

    def _order(self, term: OwnerTerm, demands: list[Demand]) -> list[Demand]:
        """Return the waiting steps in the order of this round."""
        shares = self._settings.shares
        if shares is None:
            return demands
        policy = SharePolicy(
            term.team_use, term.policy.team_by_name, shares.max_past_excess
        )
        teams = (demand.record.spec.team for demand in demands)
        excess_by_team = policy.excess_steps(teams, term.cell)
        return order_demands(demands, excess_by_team, self.now.wall)

    def _dispatch(self, term: OwnerTerm, start: Start) -> None:
        """Enqueue a placement; its start commands are sent once it is durable."""
        record = start.record
        waited_s = self.now.wall - record.spec.submitted_at
        for key, worker_id in start.placements:
            observe_start_wait(record.spec.queue, waited_s)
            term.track_start(record, key, start.run)
            log_event(
                "task_placed",
                job=record.spec.id,
                task=list(key),
                run=start.run,
                worker=worker_id,
                token=term.token,
                waited_s=round(waited_s, 3),
            )
        placed_key, _ = start.placements[0]
        term.refresh_demands(record, placed_key.step_key)
        self._start_backlog.record_placement(record.spec.id, self.now.mono)
        term.journal.enqueue(record, lambda: self._start_committed(term, start))

    def _start_committed(self, term: OwnerTerm, start: Start) -> None:
        self._start_backlog.record_commit(start.record.spec.id)
        with self._work.measure("sending_starts"):
            self._dispatcher.start_all(term, start)

    def _request_advice(self, term: OwnerTerm, request: AdviceRequest) -> Flow:
        """Request advice for a step and apply the answer."""
        job_id = request.record.spec.id
        permits = term.permits.for_step(job_id, request.key)
        result = yield from self._advisors.request_advice(request)
        permits.request_pending = False
        if term.has_ended:
            return
        term.backlog.unblock(job_id)
        if isinstance(result, Advice):
            permits.add_advice(request.worker_ids, result, self.now.mono)
            term.permits.record_answer(
                request.queue.name,
                len(request.worker_ids),
                len(result.permit_by_worker_id),
            )
        else:
            permits.next_request_at = self.now.mono + ADVICE_RETRY_DELAY_S
        term.needs_planning = True
        self.plan_and_commit()

    def _commit(self, term: OwnerTerm) -> None:
        commit = term.journal.next_commit()
        for record in term.journal.pop_unstorable():
            term.end_unstorable(record)
        if commit is not None:
            self._commit_delay.record_sent(self.now.mono)
            self.start(self._send_commit(term, commit.transaction))

    def _transfer_s(self, transaction: Transaction) -> float:
        """Return how much longer than others a large transaction may take."""
        size = sum(len(write.value) for write in transaction.puts)
        bandwidth = self._settings.link_bytes_per_s
        if bandwidth is None or size <= MAX_COMMIT_BYTES:
            return 0.0
        return size * WIRE_BYTES_PER_CHARACTER / (bandwidth * COMMIT_LINK_SHARE)

    def _take_back_commit(self, term: OwnerTerm, reason: str) -> None:
        """Go on without a transaction that the store refuses, once it is sure to."""
        commit = term.journal.in_flight
        term.journal.apply_refusal()
        log_event(
            "commit_refused",
            reason=reason,
            jobs=list(commit.record_by_id),
            keys=list(commit.value_by_key),
            is_final=commit.size == 1,
        )
        self.plan_and_commit()

    def _send_commit(self, term: OwnerTerm, transaction: Transaction) -> Flow:
        """Send a transaction until the store answers, then apply the result."""
        began = self.now.mono
        transfer_s = self._transfer_s(transaction)
        refusals = 0
        while not term.has_ended:
            sent_at = self.now.mono
            timeout_s = self._commit_timeout.timeout_s + transfer_s
            result = yield Call(STORE, transaction, timeout_s)
            if term.has_ended:
                return
            took_s = self.now.mono - sent_at
            if isinstance(result, CallFailed):
                log_event("commit_failed", reason=result.reason, ran=result.ran)
                refusals = refusals + 1 if result.refused else 0
                if refusals >= MAX_REFUSALS:
                    self._take_back_commit(term, result.reason)
                    return
                if not result.refused:
                    self._commit_timeout.record_failure()
                if took_s < timeout_s:
                    yield Sleep(RETRY_DELAY_S)
                continue
            self._commit_timeout.record_answer(took_s)
            self._commit_delay.record_durable(self.now.mono)
            if result.ok:
                self._jobs.record_commit(transaction, result.revision)
                self._load_log.record_commit(self.now.mono - began)
            if not term.journal.apply_result(result):
                self.step_down("another owner has changed the journal's head")
                return
            self._jobs.check_watch(term)
            self._workers.sync_idle(term)
            self.plan_and_commit()
            return

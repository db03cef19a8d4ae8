"""State that the owner keeps about one worker: clock, leases and tracked runs."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..model.verdict import Ran
from ..planning.worker_failures import StallDetector
from ..runtime.role import CallFailed
from ..upstream.tasks import WorkerAddress
from .worker_leases import (
    CLOCK_DRIFT_RATIO,
    LEASE_MARGIN_S,
    MAX_COMMAND_DELAY_S,
    TimedCommand,
    WorkerLeases,
    latest_lease_end,
    longest_lease_s,
)

if TYPE_CHECKING:
    from ..upstream.directory import WorkerInfo
    from ..upstream.tasks import TaskRef, WorkerReport

__all__ = ["BEFORE_THIS_TERM", "MS_PER_S", "TrackedRun", "WorkerState"]

MS_PER_S = 1000
# ``start_resolved_at`` of runs of an earlier owner: before any event of this term.
BEFORE_THIS_TERM = float("-inf")
# Consecutive failed syncs after which a worker counts as unresponsive.
UNRESPONSIVE_AFTER_FAILURES = 2
# Consecutive syncs that this process was too busy to follow, which tell nothing of the
# worker; further ones count as failed.
MAX_OVERDUE_SYNCS = 2


@dataclass(slots=True, eq=False)
class TrackedRun:
    """A run that occupies, or may occupy, capacity on a worker.

    ``placed_at`` is when the task was placed here, or read from the store.
    ``start_sent_at`` is when its start was first sent, ``None`` before that and for a
    run that was read from the store.
    ``late_lease_until`` is until when a start that is still on its way may keep the run
    alive, minus infinity if there is none; that start may reach the worker's next
    incarnation, whatever the later attempts did.
    ``start_resolved_at`` is when it became certain that no start command in flight
    can start the run any more, ``None`` before that; a sync sent later shows whether
    the run exists.
    ``has_run`` is set once the worker is known to have carried out the start.
    ``had_settled`` is set if an earlier owner has stored that its worker had survived
    the start. ``is_blamed`` is set when the run is counted for a crash of its worker.
    ``listed`` is set once the worker's current incarnation has listed the run.
    ``sent_to_earlier`` is set while the run was started on an earlier incarnation only.
    ``has_claim`` is unset if the run's size is not known, so that it claims no room: no
    record of its job is left. Times without a unit are monotonic seconds.
    """

    ref: TaskRef
    placed_at: float
    has_run: bool = False
    had_settled: bool = False
    is_blamed: bool = False
    start_sent_at: float | None = None
    late_lease_until: float = float("-inf")
    start_resolved_at: float | None = None
    listed: bool = False
    sent_to_earlier: bool = False
    has_claim: bool = True
    stop_requested: bool = False
    stop_sent_at: float = float("-inf")
    progress: StallDetector = field(default_factory=StallDetector)

    @property
    def was_sent(self) -> bool:
        """Whether a start was sent, or may have been by an earlier owner."""
        return self.start_sent_at is not None or self.start_resolved_at is not None

    def may_start_late(self, now: float) -> bool:
        """Return whether a start of it may still keep it alive."""
        return now < self.late_lease_until

    def begin_incarnation(self, now: float) -> None:
        """Record that another incarnation of the worker is known.

        A start that was sent before may have reached that one, but does not once it
        has seen a later token, so its answer to a sync from now on is conclusive.
        """
        self.start_resolved_at = now
        self.has_run = self.had_settled = self.is_blamed = False
        self.listed = False
        self.sent_to_earlier = True


@dataclass(slots=True, eq=False)
class WorkerState:
    """One worker as the owner knows it.

    ``token`` is the fencing token of commands to the current incarnation, which is
    the ``incarnation``-th that this owner knows of; the results of commands to earlier
    ones are ignored. ``fenced`` is set once it has accepted the token and listed its
    runs; it is not called while ``awaits_token`` is set, because the token is not above
    those of calls to an earlier incarnation yet. ``token_requested`` is set until the
    next commit provides a later token. ``seen_token`` is the latest one under which it
    has answered. ``leases`` are those that it may have, and ``granted_at`` is when a
    sync last extended them, in monotonic seconds. ``former_until`` is until when it may
    carry out commands to an earlier incarnation, minus infinity once it refuses them.
    ``processed`` and ``acknowledged`` are numbers of ended runs in the worker's own
    numbering; an end is acknowledged only after the commit that records it. Ends up to
    ``forgotten`` were acknowledged in a call that was answered.
    ``position`` orders workers by when they first became known. ``alive_at`` is when
    it was last known to live, ``closed_at`` since when it refuses connections or has
    closed them, as after a crash, both in monotonic seconds. ``blamed_runs`` are those
    that were blamed for its crash. ``is_replaced`` is set while another worker
    answers at its address, so that its process has ended. ``described_born`` is the
    incarnation that ``info`` describes, ``earlier_born`` are those before the current
    one.
    """

    info: WorkerInfo
    max_lease_s: float
    leases: WorkerLeases
    token: int
    position: int = 0
    incarnation: int = 1
    fenced: bool = False
    awaits_token: bool = False
    token_requested: bool = False
    seen_token: int = 0
    granted_at: float = float("-inf")
    former_until: float = float("-inf")
    clock_ms: int | None = None
    clock_at: float = 0.0
    processed: int = 0
    acknowledged: int = 0
    forgotten: int = 0
    pending_commits: int = 0
    syncing: bool = False
    next_sync_at: float = 0.0
    failures: int = 0
    overdue_syncs: int = 0
    missing_since: float | None = None
    alive_at: float | None = None
    closed_at: float | None = None
    is_replaced: bool = False
    described_born: int = 0
    earlier_born: set[int] = field(default_factory=set)
    blamed_runs: dict[TaskRef, float] = field(default_factory=dict)
    tracked_by_ref: dict[TaskRef, TrackedRun] = field(default_factory=dict)

    @property
    def address(self) -> WorkerAddress:
        """The address for commands to the worker."""
        return WorkerAddress(self.info.id, self.info.address)

    @property
    def closed(self) -> bool:
        """Whether the worker refuses connections or has closed them."""
        return self.closed_at is not None

    @property
    def is_available(self) -> bool:
        """Whether the worker has accepted the token and responds."""
        return self.fenced and self.is_responsive and not self.is_replaced

    @property
    def may_be_granted(self) -> bool:
        """Whether a sync may extend the leases.

        Only one that follows an answer does, and none while an earlier command may
        still extend them: a worker that falls silent then has few commands on the way
        that keep its runs alive.
        """
        return self.fenced and not self.failures and not self.leases.unanswered

    @property
    def is_described(self) -> bool:
        """Whether the directory has described the current incarnation.

        Another one may have less capacity, or be of another kind. A record that does
        not tell which one it is of describes none, once that is known from elsewhere.
        """
        return self.described_born == self.info.born

    @property
    def is_responsive(self) -> bool:
        """Whether the latest syncs did not all fail; true before the first sync."""
        return self.failures < UNRESPONSIVE_AFTER_FAILURES

    def is_over(self, run: TrackedRun, now: float) -> bool:
        """Return whether a run has surely ended if the worker is out of reach."""
        return self._is_over(run.late_lease_until, now)

    def is_surely_empty(self, now: float) -> bool:
        """Return whether every run has surely ended if the worker is out of reach."""
        runs = self.tracked_by_ref.values()
        starts_end = max((run.late_lease_until for run in runs), default=float("-inf"))
        return self._is_over(starts_end, now)

    def _is_over(self, late_lease_until: float, now: float) -> bool:
        if self.is_replaced:
            return True
        # The full bound is rarely needed, and costs more.
        if now <= max(late_lease_until, self.leases.certain_until):
            return False
        return now > self.leases.latest_end(late_lease_until)

    @property
    def acknowledgement(self) -> int:
        """Number up to which the next sync acknowledges ends, 0 if it need not.

        A call may be the first to reach another incarnation, which numbers its ends
        anew. So none repeats what an answered call has acknowledged, and the one after
        a call without an answer acknowledges nothing.
        """
        is_silent = self.failures or self.overdue_syncs
        if is_silent or self.acknowledged <= self.forgotten:
            return 0
        return self.acknowledged

    @property
    def has_run_of_unknown_size(self) -> bool:
        """Whether it is not known how much room its runs use."""
        return any(not run.has_claim for run in self.tracked_by_ref.values())

    def describe(self, info: WorkerInfo) -> None:
        """Apply a record of the directory, which may be of an earlier incarnation.

        Then it only tells where to reach a worker that does not answer.
        """
        is_reached = self.info.address and self.is_responsive
        if is_reached and self.is_other_incarnation(info.born):
            return
        self.info = replace(info, born=self.info.born or info.born)
        self.described_born = info.born

    def is_other_incarnation(self, born: int) -> bool:
        """Return whether ``born`` is not the current incarnation; 0 means unknown."""
        return bool(born and self.info.born and born != self.info.born)

    def is_next_incarnation(self, born: int) -> bool:
        """Return whether a record of the directory is of an incarnation not known yet.

        A worker whose wall clock is back may start with a lower ``born`` than before.
        Its reports tell of that one; the record of the one before lags behind.
        """
        is_later = born > self.info.born and born not in self.earlier_born
        return self.is_other_incarnation(born) and is_later

    def renew_token(self, token: int) -> None:
        """Allow calls to the current incarnation, under a token above earlier ones."""
        self.token = token
        self.awaits_token = self.token_requested = False

    def begin_incarnation(self, born: int, token: int, now: float) -> None:
        """Forget what holds for the previous incarnation only, which has crashed.

        A command to the previous incarnation may still reach the new one, and extend
        leases there, until that has seen a later token.

        :param born: identifies the new incarnation.
        :param token: fencing token for it.
        """
        self.earlier_born.add(self.info.born)
        self.earlier_born.discard(born)
        self.info = replace(self.info, born=born)
        self.incarnation += 1
        self.awaits_token = token <= self.token
        self.token_requested = False
        self.seen_token = 0
        self.token = token
        self.fenced = False
        self.clock_ms = None
        self.processed = self.acknowledged = self.forgotten = 0
        self.syncing = False
        self.next_sync_at = 0.0
        self.failures = self.overdue_syncs = 0
        self.alive_at = self.closed_at = None
        self.is_replaced = False
        self.blamed_runs = {}
        self._presume_leases(now)
        for run in self.tracked_by_ref.values():
            run.begin_incarnation(now)

    def _presume_leases(self, now: float) -> None:
        """Presume the longest leases that the next incarnation may hold.

        A command without an answer may reach it late, and its time is of the previous
        one's clock.
        """
        commands = self.leases.in_flight + self.leases.unanswered
        latest_at = max((each.latest_at for each in commands), default=now)
        self.former_until = max(self.former_until, now, latest_at)
        runs = self.tracked_by_ref.values()
        if any(run.sent_to_earlier for run in runs):
            # Otherwise a worker that restarts again and again would keep its runs.
            return
        until = latest_lease_end(self.former_until, self.max_lease_s)
        for run in runs:
            until = max(until, run.late_lease_until)
        self.leases = WorkerLeases(until)
        self.granted_at = float("-inf")

    def _begin_fenced(self, now: float) -> None:
        """Record the first report under a token above those of earlier commands.

        Those that this incarnation has carried out came before; it refuses the others.
        """
        self.fenced = True
        if self.former_until == float("-inf"):
            return
        former_until = min(now, self.former_until)
        self.leases.certain_until = latest_lease_end(former_until, self.max_lease_s)
        self.former_until = float("-inf")

    def min_clock_ms(self, now: float) -> int:
        """Return the lowest time that the worker's clock can show now."""
        elapsed_s = max(0.0, now - self.clock_at) * (1.0 - CLOCK_DRIFT_RATIO)
        return int((self.clock_ms or 0) + elapsed_s * MS_PER_S)

    def begin_timed_command(
        self, now: float, length_s: float, latest_at: float | None = None
    ) -> TimedCommand | None:
        """Return the times of a command that extends the leases, which is sent now.

        :param length_s: length of the lease in seconds, from ``now`` on.
        :param latest_at: when the worker refuses the command at the latest, if that is
            known.
        :returns: ``None`` while the worker's clock is unknown.
        """
        if self.clock_ms is None:
            return None
        until_ms = self.min_clock_ms(now) + int(length_s * MS_PER_S)
        left_s = (until_ms - self.clock_ms) / MS_PER_S / (1.0 - CLOCK_DRIFT_RATIO)
        last_at = now + MAX_COMMAND_DELAY_S
        command = TimedCommand(
            token=self.token,
            until_ms=until_ms,
            latest_at=last_at if latest_at is None else min(last_at, latest_at),
            lease_s=longest_lease_s(length_s),
            answered_until=self.clock_at + left_s + LEASE_MARGIN_S,
        )
        self.leases.begin(command, now)
        return command

    def record_outcome(self, command: TimedCommand | None, result: object) -> None:
        """Record what became of a command that extends the leases."""
        if command is None:
            return
        if not isinstance(result, CallFailed):
            # A refusal may extend the leases as well, for example of an old run.
            self.leases.record_answer(command)
        elif result.ran is Ran.NO:
            self.leases.withdraw(command)
        else:
            self.leases.record_silence(command)
            # The next grant follows as soon as the worker answers.
            self.granted_at = float("-inf")

    def record_token(self, token: int, now: float) -> None:
        """Record that the worker has answered a command under a token."""
        self.seen_token = max(self.seen_token, token)
        self.leases.void_below(token, now)

    def record_report(self, report: WorkerReport, now: float) -> None:
        """Record a report received now: the worker is fenced and responds."""
        self.clock_ms = report.clock_ms
        self.clock_at = now
        if not self.fenced:
            self._begin_fenced(now)
        self.failures = self.overdue_syncs = 0
        self.alive_at = now
        self.closed_at = None
        self.is_replaced = False

    def record_failure(self, is_overdue: bool) -> None:
        """Record a sync without an answer.

        :param is_overdue: whether its timeout was noticed late, as in a process that is
            too busy to read the answers in time.
        """
        if is_overdue and self.overdue_syncs < MAX_OVERDUE_SYNCS:
            self.overdue_syncs += 1
        else:
            self.failures += 1

    def record_closed(self, was_sent: bool, now: float) -> None:
        """Record that the worker refused a connection for a call, or closed it.

        :param was_sent: whether the call had been sent, so that the worker lived until
            now.
        """
        if was_sent and not self.closed:
            self.alive_at = now
        self.mark_closed(now)

    def mark_replaced(self, now: float) -> None:
        """Record that another worker answers at the address."""
        self.mark_closed(now)
        self.is_replaced = True

    def mark_closed(self, now: float) -> None:
        """Record that the worker has closed its connections, unless it had before."""
        if self.closed_at is None:
            self.closed_at = now

"""Polls the worker directory and syncs with each worker."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING, Any

from ..model.verdict import Ran
from ..observability.events import log_event
from ..runtime.flows import Call, Flow, Sleep
from ..runtime.role import UPSTREAM, CallFailed
from ..store.range_reader import read_range
from ..upstream.tasks import Refusal, SyncWorker, WorkerReport
from .crashes import record_crash
from .dispatch import COMMAND_TIMEOUT_S
from .fencing import is_fenced_by_own_token, raise_token_if_needed
from .reports import apply_report
from .run_ends import give_up_run, store_starts
from .worker_leases import LONGEST_SYNC_LEASE_S

if TYPE_CHECKING:
    from ..store.health import StoreHealth
    from ..store.messages import KeyValue
    from ..upstream.directory import DirectoryDecoder
    from .dispatch import Dispatcher
    from .flow_host import FlowHost
    from .term import OwnerTerm
    from .worker_leases import TimedCommand
    from .worker_state import WorkerState

__all__ = ["WorkerMonitor"]

DIRECTORY_POLL_INTERVAL_S = 0.5
# Workers whose store leases expired during a store outage are listed again after
# about two seconds; until then no worker counts as missing.
DIRECTORY_GRACE_S = 2.5
STOP_RETRY_INTERVAL_S = 1.0
SYNC_WAIT_S = 0.6
SYNC_RETRY_DELAY_S = 0.25
# A timeout that is noticed later shows that this process cannot keep up.
MAX_LATENESS_S = 0.2
# How long after a sync that extends the leases the next one does.
GRANT_INTERVAL_S = 1.0
# Twice the time that another entry needs to take over from an owner that dies, and the
# age that the latest one may have then.
WORKER_LEASE_S = 3.5


class WorkerMonitor:
    """Keeps a term's view of the workers up to date."""

    def __init__(
        self,
        host: FlowHost,
        dispatcher: Dispatcher,
        directory: DirectoryDecoder,
        health: StoreHealth,
    ) -> None:
        self._host = host
        self._dispatcher = dispatcher
        self._directory = directory
        self._health = health

    def monitor(self, term: OwnerTerm) -> Flow:
        """Poll the worker directory while the term lasts."""
        healthy_since = self._host.now.mono
        while not term.has_ended:
            listed = yield from read_range(
                self._host, self._directory.prefix, lambda: term.has_ended
            )
            if term.has_ended:
                return
            if listed.failures:
                healthy_since = self._host.now.mono
            self._apply_directory(term, listed.items, healthy_since)
            self._host.plan_and_commit()
            yield Sleep(DIRECTORY_POLL_INTERVAL_S)

    def _apply_directory(
        self, term: OwnerTerm, items: list[KeyValue], healthy_since: float
    ) -> None:
        if term.workers_listed_at is None:
            term.workers_listed_at = self._host.now.mono
        listed = set()
        for item in items:
            decoded = self._directory.decode(item)
            if decoded.is_error():
                reason = decoded.error
                log_event("worker_entry_refused", key=item.key, reason=reason)
                continue
            info = decoded.ok
            listed.add(info.id)
            known = term.worker_by_id.get(info.id)
            if known is None or known.info.draining != info.draining:
                log_event(
                    "worker_listed",
                    worker=info.id,
                    address=info.address,
                    draining=info.draining,
                    born=info.born,
                )
            elif known.info.capacity != info.capacity:
                log_event(
                    "worker_capacity",
                    worker=info.id,
                    capacity=list(info.capacity),
                    before=list(known.info.capacity),
                )
            worker = term.put_worker(info)
            self.sync(term, worker)
        if self._host.now.mono - healthy_since < DIRECTORY_GRACE_S:
            return
        for worker in list(term.worker_by_id.values()):
            if worker.info.id not in listed:
                self._record_missing(term, worker)

    def _record_missing(self, term: OwnerTerm, worker: WorkerState) -> None:
        if worker.missing_since is None:
            worker.missing_since = self._host.now.mono
            log_event("worker_not_listed", worker=worker.info.id)
            term.refresh_accepting(worker)
        if not worker.is_available and worker.is_surely_empty(self._host.now.mono):
            log_event("worker_gone", worker=worker.info.id)
            term.remove_worker(worker, "worker is gone")

    def sync_idle(self, term: OwnerTerm) -> None:
        """Start a sync with each worker for which one is due."""
        idle = sorted(term.idle_worker_by_id.values(), key=attrgetter("position"))
        for worker in idle:
            self.sync(term, worker)

    def sync(self, term: OwnerTerm, worker: WorkerState) -> None:
        """Start a sync with a worker unless one is in flight or none is due."""
        if term.has_ended or worker.syncing or not worker.info.address:
            return
        raise_token_if_needed(term, worker)
        if worker.awaits_token:
            return
        if self._host.now.mono < worker.next_sync_at:
            return
        term.begin_sync(worker)
        self._host.start(self._sync_once(term, worker))

    def _sync_once(self, term: OwnerTerm, worker: WorkerState) -> Flow:
        sent_at = self._host.now.mono
        grant = self._begin_grant(term, worker)
        waits = grant is None and worker.fenced and not worker.failures
        wait_s = SYNC_WAIT_S if waits and not worker.pending_commits else 0.0
        incarnation = worker.incarnation
        command = SyncWorker(
            to=worker.address,
            token=worker.token,
            acknowledged=worker.acknowledgement,
            lease_until_ms=grant.until_ms if grant else None,
            wait_s=wait_s,
        )
        timeout_s = wait_s + COMMAND_TIMEOUT_S
        result = yield Call(UPSTREAM, command, timeout_s)
        is_current = term.end_sync(worker, incarnation)
        if term.has_ended or not is_current:
            return
        worker.record_outcome(grant, result)
        if isinstance(result, WorkerReport):
            worker.record_token(command.token, self._host.now.mono)
            worker.forgotten = max(worker.forgotten, command.acknowledged)
            self._apply_report(term, worker, result, sent_at)
        elif is_fenced_by_own_token(worker, command.token, result):
            self.sync(term, worker)
        else:
            lateness_s = self._host.now.mono - sent_at - timeout_s
            self._record_sync_failure(term, worker, result, lateness_s)
        self._host.plan_and_commit()

    def _begin_grant(self, term: OwnerTerm, worker: WorkerState) -> TimedCommand | None:
        """Return the times of a sync that extends the leases, if it is to do so.

        It does not wait for an end: a worker that crashes or is cut off meanwhile
        might carry it out much later. The syncs that wait extend no lease.
        """
        now = self._host.now.mono
        if not worker.may_be_granted or now < worker.granted_at + GRANT_INTERVAL_S:
            return None
        lease_s = self._lease_s(term, worker)
        if lease_s <= 0:
            return None
        grant = worker.begin_timed_command(now, lease_s)
        if grant is not None:
            worker.granted_at = now
        return grant

    def _lease_s(self, term: OwnerTerm, worker: WorkerState) -> float:
        """Return the length of the lease to grant a worker now, in seconds.

        The lease is short, so that tasks of a worker that dies are soon started
        elsewhere. It is the longest one while nothing can be restarted without the
        store, or while this process cannot follow the worker's answers.
        """
        is_hindered = worker.overdue_syncs or self._health.is_unreachable()
        lease_s = LONGEST_SYNC_LEASE_S if is_hindered else WORKER_LEASE_S
        return min(term.longest_grant_s(worker), lease_s)

    def _apply_report(
        self, term: OwnerTerm, worker: WorkerState, report: WorkerReport, sent_at: float
    ) -> None:
        was_fenced = worker.fenced
        adopted = apply_report(term, worker, report, sent_at)
        if not worker.fenced:
            self.sync(term, worker)
            return
        if not was_fenced:
            log_event(
                "worker_fenced",
                worker=worker.info.id,
                token=worker.token,
                running=len(report.running),
                ended=len(report.ended),
            )
        for tracked in adopted:
            self._dispatcher.stop(term, worker, tracked)
        if worker.pending_commits:
            # The commit triggers the next sync. If it takes long, a sync is sent before
            # it to extend the worker's leases.
            worker.next_sync_at = self._host.now.mono + 2 * SYNC_RETRY_DELAY_S
            return
        worker.next_sync_at = 0.0
        self.sync(term, worker)

    def _record_sync_failure(
        self, term: OwnerTerm, worker: WorkerState, result: Any, lateness_s: float
    ) -> None:
        """Record a sync without an answer.

        :param lateness_s: how long after its timeout its end was noticed, in seconds.
        """
        reason = result.reason
        if reason is Refusal.OTHER_LIFE:
            worker.mark_replaced(self._host.now.mono)
        elif isinstance(result, CallFailed) and result.closed:
            worker.record_closed(result.ran is not Ran.NO, self._host.now.mono)
        was_responsive = worker.is_responsive
        is_silent = isinstance(result, CallFailed) and not result.closed
        is_overdue = is_silent and lateness_s > MAX_LATENESS_S
        worker.record_failure(is_overdue)
        if is_overdue:
            worker_id = worker.info.id
            log_event("sync_late", worker=worker_id, late_s=round(lateness_s, 3))
        if not worker.is_responsive:
            worker.next_sync_at = self._host.now.mono + SYNC_RETRY_DELAY_S
        if was_responsive and not worker.is_responsive:
            store_starts(term, worker)
            log_event(
                "worker_lost",
                worker=worker.info.id,
                address=worker.info.address,
                reason=str(reason),
                closed=worker.closed,
                runs=len(worker.tracked_by_ref),
                overdue_syncs=worker.overdue_syncs,
                leases_left_s=round(worker.leases.expire_at - self._host.now.mono, 3),
            )
        term.refresh_accepting(worker)
        if reason is Refusal.FENCED:
            self._host.step_down("a worker has seen a higher fencing token")
        self.sync(term, worker)

    def check(self, term: OwnerTerm, worker: WorkerState) -> None:
        """End the runs of a dead worker, sync with it and resend due stops."""
        if not worker.is_available:
            self._give_up_dead_runs(term, worker)
        self.sync(term, worker)
        if not worker.info.address:
            # Known only from runs of an earlier owner; the directory has not listed it.
            return
        for tracked in list(worker.tracked_by_ref.values()):
            due = self._host.now.mono - tracked.stop_sent_at > STOP_RETRY_INTERVAL_S
            if tracked.stop_requested and due:
                self._dispatcher.stop(term, worker, tracked)

    def _give_up_dead_runs(self, term: OwnerTerm, worker: WorkerState) -> None:
        """Give up the runs of a silent worker that have surely ended."""
        now = self._host.now.mono
        runs = worker.tracked_by_ref.values()
        dead = [run.ref for run in runs if worker.is_over(run, now)]
        if not dead:
            return
        _log_presumed_dead(worker, len(dead), now, now - term.began_at)
        if worker.closed:
            record_crash(term, worker)
        for ref in dead:
            give_up_run(term, worker, ref, "worker's lease has ended")


def _log_presumed_dead(
    worker: WorkerState, runs: int, now: float, term_age_s: float
) -> None:
    """Log on what grounds runs of a silent worker are given up."""
    alive_at = worker.alive_at
    log_event(
        "runs_presumed_dead",
        worker=worker.info.id,
        born=worker.info.born,
        token=worker.token,
        runs=runs,
        kept=len(worker.tracked_by_ref) - runs,
        silent_s=None if alive_at is None else round(now - alive_at, 3),
        leases_over_s=round(now - worker.leases.expire_at, 3),
        term_age_s=round(term_age_s, 3),
        unanswered=len(worker.leases.unanswered),
    )

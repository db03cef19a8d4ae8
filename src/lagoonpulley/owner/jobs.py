"""Watches jobs in the store: submissions, cancellations and final states."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

from ..observability.events import log_event
from ..runtime.flows import Call, Flow, Sleep
from ..runtime.role import STORE, CallFailed
from ..store.messages import Get, StoreStatus, Transaction, WatchPrefix
from ..store.range_reader import read_range
from ..workload.documents import (
    CANCEL,
    CHECKPOINTS_PREFIX,
    FINAL,
    JOB_ID_CHARACTERS,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    SUBMISSION,
    FinalDocument,
    JobKeys,
    decode_final,
    decode_progress,
    decode_submission,
)
from .journal import HEAD_KEY
from .takeover import restore_progress
from .watch_progress import WatchProgress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..store.messages import KeyValue
    from ..store.range_reader import RangeRead
    from .flow_host import FlowHost
    from .term import OwnerTerm

__all__ = ["JobWatcher"]

DELETE_TIMEOUT_S = 0.8
RETRY_DELAY_S = 0.05
WATCH_WAIT_S = 1.0
WATCH_TIMEOUT_S = 1.5
# The first answer contains all changes since the jobs were read.
WATCH_TOTAL_TIMEOUT_S = 10.0
# A watch that fails this often while the store answers other calls has an answer too
# long to arrive in time. A single failure may be that of a connection.
MAX_FAILURES_BESIDE_ANSWERS = 2
PROBE_TIMEOUT_S = 0.5
# Final states are kept slightly longer than the retention promised to callers.
RETENTION_SLACK_S = 10.0
MAX_JOBS_PER_DELETE = 12


class JobWatcher:
    """Keeps a term's jobs in sync with the store.

    :param retention_s: how long a final state is kept, in seconds.
    """

    def __init__(self, host: FlowHost, retention_s: float) -> None:
        self._host = host
        self._retention_s = retention_s
        self._watched = WatchProgress(now=0.0)
        # Every job stored up to this revision is known.
        self.known_revision = 0

    def read_jobs(self, term: OwnerTerm) -> Flow:
        """Read all documents of jobs except their progress.

        The parts are read at different revisions. A watch from the returned revision,
        the lowest of them, reports every change that a part may lack.

        While a new owner reads, no job is lost or run twice, because its documents
        change in two ways only: callers submit and cancel, which the watch replays.
        Submissions are deleted, and final states and progress written, only by commits
        on condition of the head's revision, and the election has changed the head. So
        a commit of an earlier owner either is part of everything read afterwards or
        never takes effect, and progress may be read before or after the jobs. Final
        states that expire meanwhile are of jobs whose submission is long gone.

        When the owner reads again later, its own commits may have ended a job whose
        submission was read before. The term knows such a job, and does not add it again
        until its final state has expired.

        :returns: a :class:`RangeRead`, incomplete if the term ends meanwhile.
        """
        return self._read(term, JOBS_PREFIX)

    def read_progress(self, term: OwnerTerm) -> Flow:
        """Read all progress documents.

        :returns: a :class:`RangeRead`, incomplete if the term ends meanwhile.
        """
        return self._read(term, PROGRESS_PREFIX)

    def load_long_checkpoints(self, term: OwnerTerm) -> Flow:
        """Restore the checkpoints that are values of their own, and delete the rest."""
        read = yield from self._read(term, CHECKPOINTS_PREFIX)
        if not term.has_ended:
            term.long_checkpoints.restore(term, read.items)

    def _read(self, term: OwnerTerm, prefix: str) -> Flow:
        def has_ended() -> bool:
            return term.has_ended

        return read_range(self._host, prefix, has_ended, JOB_ID_CHARACTERS)

    def load_jobs(self, term: OwnerTerm, items: Iterable[KeyValue]) -> None:
        """Add the jobs whose submissions are among the items, in order of revision."""
        for item in sorted(items, key=attrgetter("revision")):
            parsed = JobKeys.parse(item.key)
            if parsed is not None and parsed[1] == SUBMISSION:
                self._apply_submission(term, item)

    def load_progress(self, term: OwnerTerm, items: Iterable[KeyValue]) -> None:
        """Restore the progress of each job as an earlier owner stored it."""
        for item in items:
            record = term.record_by_id.get(item.key.removeprefix(PROGRESS_PREFIX))
            if record is None:
                continue
            decoded = decode_progress(item.value)
            if decoded.is_error():
                log_event("progress_refused", key=item.key, reason=decoded.error)
                continue
            restore_progress(term, record, decoded.ok, item.revision)

    def load_states(self, term: OwnerTerm, items: Iterable[KeyValue]) -> None:
        """Apply the cancellations and final states among the items."""
        for item in items:
            self._apply_state(term, item)

    def _apply_state(self, term: OwnerTerm, item: KeyValue) -> None:
        """Apply an item if it is a cancellation or a final state."""
        parsed = JobKeys.parse(item.key)
        if parsed is None or item.deleted:
            return
        job_id, kind = parsed
        record = term.record_by_id.get(job_id)
        if kind == CANCEL and record is not None:
            term.cancel(record)
        if kind != FINAL:
            return
        decoded = decode_final(item.value)
        if decoded.is_error():
            log_event("final_refused", key=item.key, reason=decoded.error)
            return
        self._apply_final(term, job_id, decoded.ok)

    @staticmethod
    def _apply_final(term: OwnerTerm, job_id: str, document: FinalDocument) -> None:
        record = term.record_by_id.get(job_id)
        if record is None:
            term.ended_at_by_job_id[job_id] = document.ended_at
            term.ended_jobs.remember(job_id, document.team, (), term.now.mono)
        elif not record.is_final:
            term.restore_final(record, document)
            term.enqueue_record(record)

    def watch(self, term: OwnerTerm, jobs: RangeRead) -> Flow:
        """Watch for submissions and cancellations after all jobs were read.

        Loads all jobs again if the store no longer has the history since then, or if
        an answer with all changes since then does not arrive. A failed watch is
        otherwise repeated, so that it resumes soon after the store was away.
        """
        self.known_revision = jobs.revision
        watched = WatchProgress(self._host.now.mono, jobs.transfer_s)
        self._watched = watched
        failures_beside_answers = 0
        while not term.has_ended:
            # A reread may have gone further than the watch.
            revision = self.known_revision
            watch = WatchPrefix(JOBS_PREFIX, revision, WATCH_WAIT_S)
            result = yield Call(STORE, watch, WATCH_TIMEOUT_S, WATCH_TOTAL_TIMEOUT_S)
            if isinstance(result, CallFailed):
                log_event("jobs_watch_failed", reason=result.reason)
                yield Sleep(RETRY_DELAY_S)
                if not result.partial and (yield from self._store_answers()):
                    failures_beside_answers += 1
                is_too_long = failures_beside_answers >= MAX_FAILURES_BESIDE_ANSWERS
                if result.partial or is_too_long:
                    failures_beside_answers = 0
                    yield from self._recover(term, watched, revision)
                continue
            failures_beside_answers = 0
            if result.status is not StoreStatus.OK:
                log_event("jobs_history_gone", revision=revision)
                yield from self._recover(term, watched, revision)
                continue
            has_changes = bool(result.entries)
            if has_changes:
                # An answer without events may have passed over some for a while.
                self.known_revision = max(self.known_revision, result.revision)
            watched.record_watch(self.known_revision, has_changes, self._host.now.mono)
            for item in result.entries:
                self._apply_change(term, item)
            self._host.plan_and_commit()

    def _store_answers(self) -> Flow:
        """Return whether the store answers a call with a small answer."""
        result = yield Call(STORE, Get(HEAD_KEY), PROBE_TIMEOUT_S)
        return not isinstance(result, CallFailed)

    def _recover(self, term: OwnerTerm, watched: WatchProgress, revision: int) -> Flow:
        """Load the jobs again, so that a watch from ``revision`` is no longer needed.

        Pauses first if the last load ended recently. A load that is complete
        meanwhile does as well.
        """
        while not term.has_ended and self.known_revision <= revision:
            if watched.may_recover(self._host.now.mono):
                yield from self._load_again(term, watched)
                return
            yield Sleep(RETRY_DELAY_S)

    def record_commit(self, change: Transaction, revision: int) -> None:
        """Record a commit that a working watch will report."""
        if any(write.key.startswith(JOBS_PREFIX) for write in change.puts):
            self._watched.record_commit(revision, self._host.now.mono)

    def check_watch(self, term: OwnerTerm) -> None:
        """Read the jobs again while the watch misses commits that it should report."""
        if self._watched.needs_reread(self._host.now.mono):
            self._host.start(self._reread_jobs(term, self._watched))

    def _reread_jobs(self, term: OwnerTerm, watched: WatchProgress) -> Flow:
        log_event(
            "jobs_watch_silent",
            committed=watched.committed_revision,
            seen=watched.seen_revision,
        )
        yield from self._load_again(term, watched)

    def _load_again(self, term: OwnerTerm, watched: WatchProgress) -> Flow:
        watched.begin_reread()
        jobs = yield from self.read_jobs(term)
        watched.end_reread(self._host.now.mono, jobs.transfer_s)
        if term.has_ended:
            return
        # A cancellation may precede its submission among the items.
        self.load_jobs(term, jobs.items)
        self.load_states(term, jobs.items)
        self.known_revision = max(self.known_revision, jobs.revision)
        self._host.plan_and_commit()

    def _apply_change(self, term: OwnerTerm, item: KeyValue) -> None:
        parsed = JobKeys.parse(item.key)
        if term.has_ended or parsed is None or item.deleted:
            return
        job_id, kind = parsed
        if kind == SUBMISSION:
            self._apply_submission(term, item)
        elif kind == CANCEL:
            self._apply_state(term, item)

    def _apply_submission(self, term: OwnerTerm, item: KeyValue) -> None:
        decoded = decode_submission(item.value)
        if decoded.is_error():
            log_event("submission_refused", key=item.key, reason=decoded.error)
            return
        spec = decoded.ok
        # The item may have been read before the job ended.
        if spec.id in term.record_by_id or spec.id in term.ended_at_by_job_id:
            return
        term.add_job(spec)
        log_event(
            "job_known",
            job=spec.id,
            queue=spec.queue,
            team=spec.team,
            revision=item.revision,
            age_s=round(self._host.now.wall - spec.submitted_at, 3),
        )

    def delete_expired(self, term: OwnerTerm) -> None:
        """Delete final states whose retention has passed, a few at a time.

        A failed delete is not retried until all jobs are loaded again.
        """
        limit = self._host.now.wall - self._retention_s - RETENTION_SLACK_S
        old = [
            job_id
            for job_id, ended_at in term.ended_at_by_job_id.items()
            if ended_at < limit
        ]
        if not old:
            return
        old = old[:MAX_JOBS_PER_DELETE]
        for job_id in old:
            del term.ended_at_by_job_id[job_id]
        self._host.start(self._delete_final(old))

    def _delete_final(self, job_ids: list[str]) -> Flow:
        keys = [JobKeys(job_id) for job_id in job_ids]
        deletes = tuple(key for job in keys for key in (job.final, job.cancel))
        result = yield Call(STORE, Transaction(deletes=deletes), DELETE_TIMEOUT_S)
        if isinstance(result, CallFailed):
            log_event("final_states_kept", jobs=len(job_ids), reason=result.reason)

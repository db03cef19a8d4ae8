"""Watches jobs in the store: submissions, cancellations and final states."""

from __future__ import annotations

from dataclasses import dataclass
from operator import attrgetter
from typing import TYPE_CHECKING

from ..observability.events import log_event
from ..runtime.flows import Call, Flow, Sleep
from ..runtime.role import STORE, CallFailed
from ..store.messages import ReadRange, StoreStatus, Transaction, WatchPrefix
from ..workload.documents import (
    CANCEL,
    FINAL,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    SUBMISSION,
    FinalDocument,
    JobKeys,
    decode_final,
    decode_progress,
    decode_submission,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..store.messages import KeyValue
    from .flow_host import FlowHost
    from .term import OwnerTerm

__all__ = ["JobWatcher"]

READ_TIMEOUT_S = 1.0
DELETE_TIMEOUT_S = 0.8
RETRY_DELAY_S = 0.05
WATCH_WAIT_S = 1.0
WATCH_TIMEOUT_S = 1.5
# Final states are kept slightly longer than the retention promised to callers.
RETENTION_SLACK_S = 10.0
MAX_JOBS_PER_DELETE = 12
# A working watch reports this owner's own commits within milliseconds. One that does
# not is presumed to miss other changes as well.
MAX_WATCH_LAG_S = 0.1
REREAD_INTERVAL_S = 0.2


@dataclass(slots=True, eq=False)
class _WatchProgress:
    """Revision that the watch has reached, beside this owner's latest commit.

    ``first_unseen_at`` is when the first commit was made that the watch has not
    reported, ``read_at`` when all jobs were last read again because the watch lagged.
    Times are monotonic seconds.
    """

    seen_revision: int = 0
    committed_revision: int = 0
    first_unseen_at: float = 0.0
    read_at: float = float("-inf")

    def record_commit(self, revision: int, now: float) -> None:
        """Record a commit of this owner."""
        if self.committed_revision <= self.seen_revision:
            self.first_unseen_at = now
        self.committed_revision = max(self.committed_revision, revision)

    def is_lagging(self, now: float) -> bool:
        """Return whether the watch lags and the last reread is long enough ago."""
        if (
            self.committed_revision <= self.seen_revision
            or now - self.first_unseen_at < MAX_WATCH_LAG_S
        ):
            return False
        return now - self.read_at >= REREAD_INTERVAL_S


class JobWatcher:
    """Keeps a term's jobs in sync with the store.

    :param retention_s: how long a final state is kept, in seconds.
    """

    def __init__(self, host: FlowHost, retention_s: float) -> None:
        self._host = host
        self._retention_s = retention_s
        self._watched = _WatchProgress()
        # Every job stored up to this revision is known.
        self.known_revision = 0

    def read_all(self, term: OwnerTerm, prefix: str) -> Flow:
        """Read every key under a prefix, page by page.

        :returns: the revision of the first page, and all items; not all of them if
            the term ends meanwhile.
        """
        items: list[KeyValue] = []
        revision = 0
        after = ""
        while not term.has_ended:
            call = Call(STORE, ReadRange(prefix, after), READ_TIMEOUT_S)
            result = yield call
            if isinstance(result, CallFailed):
                log_event("store_read_failed", prefix=prefix, reason=result.reason)
                yield Sleep(RETRY_DELAY_S)
                continue
            revision = revision or result.revision
            items += result.entries
            if not result.truncated or not result.entries:
                break
            after = result.entries[-1].key
        return revision, items

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
            term.restore(record, decoded.ok)

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
        elif not record.is_final:
            term.restore_final(record, document)
            term.enqueue_record(record)

    def watch(self, term: OwnerTerm, revision: int) -> Flow:
        """Watch for submissions and cancellations after a revision.

        Reads all jobs again if the store no longer has the history since then.
        """
        watched = self._watched = _WatchProgress()
        self.known_revision = revision
        while not term.has_ended:
            self.known_revision = max(self.known_revision, revision)
            watch = WatchPrefix(JOBS_PREFIX, revision, WATCH_WAIT_S)
            result = yield Call(STORE, watch, WATCH_TIMEOUT_S)
            if isinstance(result, CallFailed):
                log_event("jobs_watch_failed", reason=result.reason)
                yield Sleep(RETRY_DELAY_S)
                continue
            if result.status is not StoreStatus.OK:
                log_event("jobs_history_gone", revision=revision)
                revision, items = yield from self.read_all(term, JOBS_PREFIX)
                self.load_jobs(term, items)
                self.load_states(term, items)
                self._host.plan_and_commit()
                continue
            revision = max(revision, result.revision)
            watched.seen_revision = revision
            for item in result.entries:
                self._apply_change(term, item)
            self._host.plan_and_commit()

    def record_commit(self, change: Transaction, revision: int) -> None:
        """Record a commit that a working watch will report."""
        if any(write.key.startswith(JOBS_PREFIX) for write in change.puts):
            self._watched.record_commit(revision, self._host.now.mono)

    def check_watch(self, term: OwnerTerm) -> None:
        """Read all jobs again while the watch misses commits that it should report."""
        if self._watched.is_lagging(self._host.now.mono):
            self._watched.read_at = self._host.now.mono
            self._host.start(self._reread_jobs(term, self._watched))

    def _reread_jobs(self, term: OwnerTerm, watched: _WatchProgress) -> Flow:
        log_event(
            "jobs_watch_silent",
            committed=watched.committed_revision,
            seen=watched.seen_revision,
        )
        revision, items = yield from self.read_all(term, JOBS_PREFIX)
        for item in items:
            self._apply_change(term, item)
        if not term.has_ended:
            self.known_revision = max(self.known_revision, revision)
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

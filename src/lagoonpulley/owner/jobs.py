"""Follows the jobs in the store: submissions, cancellations and final states."""

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
    from .host import Host
    from .term import OwnerTerm

__all__ = ["JobsFollower"]

READ_TIMEOUT_S = 1.0
DELETE_TIMEOUT_S = 0.8
RETRY_PAUSE_S = 0.05
WATCH_WAIT_S = 1.0
WATCH_TIMEOUT_S = 1.5
# Final states are kept a little longer than callers may count on.
RETENTION_SLACK_S = 10.0
MOST_FORGOTTEN = 12
# A watch tells of this owner's own commits within milliseconds; one that does not
# tells of nothing else either.
WATCH_LAG_S = 0.1
READ_AGAIN_EVERY_S = 0.2


@dataclass(slots=True, eq=False)
class _Watched:
    """How far the watch has come, and this owner's commits behind that.

    ``own_at`` is when the first commit was made that the watch has not told of.
    Times are monotonic seconds.
    """

    seen_revision: int = 0
    own_revision: int = 0
    own_at: float = 0.0
    read_at: float = float("-inf")

    def note_commit(self, revision: int, now: float) -> None:
        """Take in a commit of this owner."""
        if self.own_revision <= self.seen_revision:
            self.own_at = now
        self.own_revision = max(self.own_revision, revision)

    def is_silent(self, now: float) -> bool:
        """Return whether the watch is late, and the jobs were not read of late."""
        if self.own_revision <= self.seen_revision or now - self.own_at < WATCH_LAG_S:
            return False
        return now - self.read_at >= READ_AGAIN_EVERY_S


class JobsFollower:
    """Keeps a term's jobs as the store has them.

    :param retention_s: how long a final state is kept, in seconds.
    """

    def __init__(self, host: Host, retention_s: float) -> None:
        self._host = host
        self._retention_s = retention_s
        self._watched = _Watched()

    def read_all(self, term: OwnerTerm, prefix: str) -> Flow:
        """Read every key of a prefix; return the first page's revision and them."""
        entries: list[KeyValue] = []
        revision = 0
        after = ""
        while not term.over:
            call = Call(STORE, ReadRange(prefix, after), READ_TIMEOUT_S)
            result = yield call
            if isinstance(result, CallFailed):
                log_event("store_read_failed", prefix=prefix, reason=result.reason)
                yield Sleep(RETRY_PAUSE_S)
                continue
            revision = revision or result.revision
            entries += result.entries
            if not result.truncated or not result.entries:
                break
            after = result.entries[-1].key
        return revision, entries

    def load_jobs(self, term: OwnerTerm, entries: Iterable[KeyValue]) -> None:
        """Take in the submissions among some entries, in the order of their writing."""
        for entry in sorted(entries, key=attrgetter("revision")):
            parsed = JobKeys.parse(entry.key)
            if parsed is not None and parsed[1] == SUBMISSION:
                self._take_submission(term, entry)

    def load_progress(self, term: OwnerTerm, entries: Iterable[KeyValue]) -> None:
        """Take in what an earlier owner wrote of each job."""
        for entry in entries:
            record = term.record_by_id.get(entry.key.removeprefix(PROGRESS_PREFIX))
            if record is None:
                continue
            decoded = decode_progress(entry.value)
            if decoded.is_error():
                log_event("progress_refused", key=entry.key, reason=decoded.error)
                continue
            term.restore(record, decoded.ok)

    def load_states(self, term: OwnerTerm, entries: Iterable[KeyValue]) -> None:
        """Take in the cancellations and final states among some entries."""
        for entry in entries:
            self._take_state(term, entry)

    def _take_state(self, term: OwnerTerm, entry: KeyValue) -> None:
        """Take in a cancellation or a final state."""
        parsed = JobKeys.parse(entry.key)
        if parsed is None or entry.deleted:
            return
        job_id, kind = parsed
        record = term.record_by_id.get(job_id)
        if kind == CANCEL and record is not None:
            term.cancel(record)
        if kind != FINAL:
            return
        decoded = decode_final(entry.value)
        if decoded.is_error():
            log_event("final_refused", key=entry.key, reason=decoded.error)
            return
        self._note_final(term, job_id, decoded.ok)

    @staticmethod
    def _note_final(term: OwnerTerm, job_id: str, document: FinalDocument) -> None:
        record = term.record_by_id.get(job_id)
        if record is None:
            term.ended_at_by_job_id[job_id] = document.ended_at
        elif not record.is_final:
            term.restore_final(record, document)
            term.note(record)

    def follow(self, term: OwnerTerm, revision: int) -> Flow:
        """Watch for submissions and cancellations after a revision."""
        watched = self._watched = _Watched()
        while not term.over:
            watch = WatchPrefix(JOBS_PREFIX, revision, WATCH_WAIT_S)
            result = yield Call(STORE, watch, WATCH_TIMEOUT_S)
            if isinstance(result, CallFailed):
                log_event("jobs_watch_failed", reason=result.reason)
                yield Sleep(RETRY_PAUSE_S)
                continue
            if result.status is not StoreStatus.OK:
                log_event("jobs_history_gone", revision=revision)
                revision, entries = yield from self.read_all(term, JOBS_PREFIX)
                self.load_jobs(term, entries)
                self.load_states(term, entries)
                self._host.act()
                continue
            revision = max(revision, result.revision)
            watched.seen_revision = revision
            for entry in result.entries:
                self._take_change(term, entry)
            self._host.act()

    def note_commit(self, change: Transaction, revision: int) -> None:
        """Learn of a commit that the watch will tell of if it works."""
        if any(write.key.startswith(JOBS_PREFIX) for write in change.puts):
            self._watched.note_commit(revision, self._host.now.mono)

    def check_watch(self, term: OwnerTerm) -> None:
        """Read the jobs while the watch is silent on what surely has changed."""
        if self._watched.is_silent(self._host.now.mono):
            self._watched.read_at = self._host.now.mono
            self._host.start(self._read_news(term, self._watched))

    def _read_news(self, term: OwnerTerm, watched: _Watched) -> Flow:
        log_event(
            "jobs_watch_silent",
            committed=watched.own_revision,
            seen=watched.seen_revision,
        )
        _, entries = yield from self.read_all(term, JOBS_PREFIX)
        for entry in entries:
            self._take_change(term, entry)
        self._host.act()

    def _take_change(self, term: OwnerTerm, entry: KeyValue) -> None:
        parsed = JobKeys.parse(entry.key)
        if term.over or parsed is None or entry.deleted:
            return
        job_id, kind = parsed
        if kind == SUBMISSION:
            self._take_submission(term, entry)
        elif kind == CANCEL:
            self._take_state(term, entry)

    def _take_submission(self, term: OwnerTerm, entry: KeyValue) -> None:
        decoded = decode_submission(entry.value)
        if decoded.is_error():
            log_event("submission_refused", key=entry.key, reason=decoded.error)
            return
        spec = decoded.ok
        # What was read may be older than the end of the job.
        if spec.id in term.record_by_id or spec.id in term.ended_at_by_job_id:
            return
        term.add_job(spec)
        log_event(
            "job_known",
            job=spec.id,
            queue=spec.queue,
            team=spec.team,
            revision=entry.revision,
            age_s=round(self._host.now.wall - spec.submitted_at, 3),
        )

    def forget_old(self, term: OwnerTerm) -> None:
        """Delete final states that were kept for the whole retention."""
        limit = self._host.now.wall - self._retention_s - RETENTION_SLACK_S
        old = [
            job_id
            for job_id, ended_at in term.ended_at_by_job_id.items()
            if ended_at < limit
        ]
        if not old:
            return
        old = old[:MOST_FORGOTTEN]
        for job_id in old:
            del term.ended_at_by_job_id[job_id]
        self._host.start(self._delete_final(old))

    def _delete_final(self, job_ids: list[str]) -> Flow:
        keys = [JobKeys(job_id) for job_id in job_ids]
        deletes = tuple(key for job in keys for key in (job.final, job.cancel))
        result = yield Call(STORE, Transaction(deletes=deletes), DELETE_TIMEOUT_S)
        if isinstance(result, CallFailed):
            log_event("final_states_kept", jobs=len(job_ids), reason=result.reason)

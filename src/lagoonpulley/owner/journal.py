"""Group commit of the owner's job records, fenced by a head record."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from pydantic import BaseModel, ValidationError

from ..store.messages import KeyValue, StoreResult, StoreStatus, Transaction, Write
from ..workload.documents import FinalDocument, JobKeys, ProgressDocument
from ..workload.record import JobRecord
from .settings import DEFAULT_VALUE_BYTES

__all__ = ["HEAD_KEY", "MAX_COMMIT_ROWS", "Commit", "Journal"]

HEAD_KEY = "lagoonpulley/head"

# The store accepts 32 rows per transaction; the head needs two of them and each record
# up to four.
MAX_COMMIT_ROWS = 30
ROWS_OF_FINAL_RECORD = 4
# Progress documents in one transaction. Encoded in base64 they reach the store within
# the timeout of a commit on a link of 2 Mbit/s that carries other traffic as well.
MAX_COMMIT_BYTES = 64_000

Callback = Callable[[], None]


class HeadDocument(BaseModel):
    """The journal's head: token of the writing owner and number of the commit.

    A candidate writes 0 for both. ``settled_revision`` is the mark of
    :class:`~.settled_runs.SettledRuns`, ``restarted_workers`` are the names of
    :class:`~.recent_restarts.RecentRestarts`; earlier builds do not write them.
    """

    token: int
    number: int
    settled_revision: int = 0
    restarted_workers: tuple[str, ...] = ()

    @classmethod
    def from_item(cls, item: KeyValue | None) -> HeadDocument:
        """Return the stored head; one of an earlier build tells nothing."""
        try:
            return cls.model_validate_json(item.value if item else "")
        except ValidationError:
            return cls(token=0, number=0)


@dataclass(slots=True, eq=False)
class Commit:
    """A transaction in flight: what it stores, and the calls that follow.

    ``suspects`` are the jobs and keys of which it takes one, ``None`` if it takes any.
    """

    number: int
    transaction: Transaction = field(default_factory=Transaction)
    value_by_key: dict[str, str] = field(default_factory=dict)
    record_by_id: dict[str, JobRecord] = field(default_factory=dict)
    callbacks_by_id: dict[str, list[Callback]] = field(default_factory=dict)
    head_callbacks: list[Callback] = field(default_factory=list)
    suspects: frozenset[str] | None = None

    @property
    def size(self) -> int:
        """Number of records and values."""
        return len(self.value_by_key) + len(self.record_by_id)

    def callbacks(self) -> list[Callback]:
        """Return all callbacks, in order."""
        of_records = [each for calls in self.callbacks_by_id.values() for each in calls]
        return self.head_callbacks + of_records


@dataclass(slots=True)
class _Rows:
    """Rows of a transaction that is being made."""

    puts: list[Write]
    deletes: list[str] = field(default_factory=list)
    document_bytes: int = 0

    @property
    def count(self) -> int:
        return len(self.puts) + len(self.deletes)


class Journal:
    """Collects changed records and commits them, one transaction at a time.

    Every transaction expects the head revision that the previous one left. A
    transaction whose response was lost is retried unchanged; if the first attempt
    arrives late, the head has moved on and it has no effect. Transactions of an
    earlier owner never match the head.

    :param max_value_bytes: longest value that the store accepts.
    """

    def __init__(
        self,
        token: int,
        head_revision: int,
        max_value_bytes: int = DEFAULT_VALUE_BYTES,
    ) -> None:
        # Returns the mark for the next commit, given the head's revision.
        self.read_mark: Callable[[int], int] = _no_mark
        # Returns the workers that have restarted recently.
        self.read_restarted: Callable[[], tuple[str, ...]] = tuple
        self._token = token
        self._max_value_bytes = max_value_bytes
        # Records that could not be stored as they are; their callbacks wait.
        self._unstorable: list[JobRecord] = []
        # Final jobs whose progress the store does not take.
        self._without_progress: set[str] = set()
        # Jobs and keys of a refused transaction, which are committed one by one.
        self._suspects: set[str] = set()
        self._head_revision = head_revision
        self._number = 0
        self._record_by_id: dict[str, JobRecord] = {}
        self._callbacks_by_id: dict[str, list[Callback]] = {}
        self._value_by_key: dict[str, str] = {}
        self._head_callbacks: list[Callback] = []
        self._progress_stored_ids: set[str] = set()
        self.in_flight: Commit | None = None

    @property
    def head_revision(self) -> int:
        """Revision of the journal's head as far as this owner has heard.

        It rises with each commit and is below that of every later owner's election.
        """
        return self._head_revision

    @property
    def waiting_records(self) -> int:
        """Number of records and values that wait for the next commits."""
        return len(self._record_by_id) + len(self._value_by_key)

    def waiting_rows(self) -> int:
        """Return how many rows the waiting changes need at most."""
        rows = len(self._value_by_key)
        for record in self._record_by_id.values():
            rows += ROWS_OF_FINAL_RECORD if record.is_final else 1
        return rows

    def enqueue(self, record: JobRecord, on_durable: Callback | None = None) -> None:
        """Enqueue a record; ``on_durable`` is called once it is committed."""
        self._record_by_id[record.spec.id] = record
        if on_durable is not None:
            self._callbacks_by_id.setdefault(record.spec.id, []).append(on_durable)

    def is_pending(self, job_id: str) -> bool:
        """Return whether a change of a record is not known to be durable yet."""
        return job_id in self._record_by_id or self._is_in_flight(job_id)

    def call_once_durable(self, job_id: str, callback: Callback) -> bool:
        """Call back once every change of a record so far is durable.

        :returns: ``False`` if that is so already; then there is no call.
        """
        if job_id in self._record_by_id:
            self._callbacks_by_id.setdefault(job_id, []).append(callback)
            return True
        if self._is_in_flight(job_id):
            self.in_flight.callbacks_by_id[job_id].append(callback)
            return True
        return False

    def call_after_next_commit(self, callback: Callback) -> None:
        """Call back once the head's revision has risen, also if nothing has changed."""
        if self.in_flight is not None:
            self.in_flight.head_callbacks.append(callback)
        else:
            self._head_callbacks.append(callback)

    def _is_in_flight(self, job_id: str) -> bool:
        return self.in_flight is not None and job_id in self.in_flight.record_by_id

    def enqueue_value(self, key: str, value: str) -> None:
        """Enqueue a single value for the next commit."""
        self._value_by_key[key] = value

    def mark_progress_stored(self, job_id: str) -> None:
        """Record that the store holds a progress document of a job."""
        self._progress_stored_ids.add(job_id)

    def next_commit(self) -> Commit | None:
        """Return the next transaction to send, or ``None`` if nothing is due.

        Records that no transaction can store are left out, see
        :meth:`pop_unstorable`.
        """
        if self.in_flight is not None:
            return None
        if not (self._record_by_id or self._value_by_key or self._head_callbacks):
            return None
        self._number += 1
        mark = self.read_mark(self._head_revision)
        head = HeadDocument(
            token=self._token,
            number=self._number,
            settled_revision=mark,
            restarted_workers=self.read_restarted(),
        )
        commit = Commit(self._number, head_callbacks=self._head_callbacks)
        self._head_callbacks = []
        self._suspects &= self._value_by_key.keys() | self._record_by_id.keys()
        commit.suspects = frozenset(self._suspects) or None
        rows = _Rows([Write(HEAD_KEY, head.model_dump_json())])
        self._add_values(commit, rows)
        self._add_records(commit, rows)
        commit.transaction = Transaction(
            ((HEAD_KEY, self._head_revision),), tuple(rows.puts), tuple(rows.deletes)
        )
        self.in_flight = commit
        return commit

    def _may_add(self, commit: Commit, key: str) -> bool:
        """Return whether a job or a value belongs in a commit; a suspect is alone."""
        if commit.suspects is None:
            return True
        return not commit.size and key in commit.suspects

    def _add_values(self, commit: Commit, rows: _Rows) -> None:
        for key in list(self._value_by_key):
            if not self._may_add(commit, key):
                continue
            self._suspects.discard(key)
            value = commit.value_by_key[key] = self._value_by_key.pop(key)
            rows.puts.append(Write(key, value))

    def _add_records(self, commit: Commit, rows: _Rows) -> None:
        for job_id in list(self._record_by_id):
            if not self._may_add(commit, job_id):
                continue
            if rows.count + ROWS_OF_FINAL_RECORD > MAX_COMMIT_ROWS:
                break
            if rows.document_bytes >= MAX_COMMIT_BYTES:
                break
            self._suspects.discard(job_id)
            record = self._record_by_id.pop(job_id)
            if not self._add_rows(record, rows):
                self._unstorable.append(record)
                continue
            commit.record_by_id[job_id] = record
            callbacks = self._callbacks_by_id.pop(job_id, [])
            commit.callbacks_by_id[job_id] = callbacks

    def apply_result(self, result: StoreResult) -> bool:
        """Apply the store's response to the transaction in flight.

        :returns: ``False`` if another owner has changed the head.
        """
        commit = self.in_flight
        if commit is None:
            return True
        revision = result.revision
        if result.status is not StoreStatus.OK:
            revision = self._own_head_revision(commit, result)
            if not revision:
                return False
        self._head_revision = revision
        self.in_flight = None
        for on_durable in commit.callbacks():
            on_durable()
        return True

    def apply_refusal(self) -> None:
        """Take back the transaction in flight, which the store will never accept.

        What was in it is sent again one by one, so that what the store refuses is
        found. A single record is unstorable; a single value is dropped.
        """
        commit = self.in_flight
        self.in_flight = None
        self._head_callbacks = commit.head_callbacks + self._head_callbacks
        for job_id, record in commit.record_by_id.items():
            later = self._callbacks_by_id.get(job_id, [])
            self._callbacks_by_id[job_id] = commit.callbacks_by_id[job_id] + later
            if commit.size == 1:
                self._record_by_id.pop(job_id, None)
                self._unstorable.append(record)
            else:
                self._record_by_id.setdefault(job_id, record)
        if commit.size == 1:
            return
        for key, value in commit.value_by_key.items():
            self._value_by_key.setdefault(key, value)
        self._suspects |= {*commit.value_by_key, *commit.record_by_id}

    def pop_unstorable(self) -> list[JobRecord]:
        """Return and clear the records that could not be stored as they are."""
        records, self._unstorable = self._unstorable, []
        return records

    def give_up_progress(self, record: JobRecord) -> None:
        """Store no progress of a job that is final, or nothing if that fails as well.

        Then go on as if its changes were durable: ends of other jobs' runs would wait
        for their acknowledgement otherwise.
        """
        job_id = record.spec.id
        if job_id not in self._without_progress:
            self._without_progress.add(job_id)
            self._record_by_id.setdefault(job_id, record)
            return
        self._record_by_id.pop(job_id, None)
        for on_durable in self._callbacks_by_id.pop(job_id, []):
            on_durable()

    def _own_head_revision(self, commit: Commit, result: StoreResult) -> int:
        """Return the head's revision if this commit wrote it, else 0."""
        for item in result.entries:
            if item.key != HEAD_KEY:
                continue
            head = HeadDocument.from_item(item)
            if head.token == self._token and head.number == commit.number:
                return item.revision
        return 0

    def _add_rows(self, record: JobRecord, rows: _Rows) -> bool:
        """Add the rows of one record; return ``False`` if a value is too long."""
        job_id = record.spec.id
        keys = JobKeys(job_id)
        document = ""
        has_progress = not record.is_final or bool(record.runs())
        if has_progress and job_id not in self._without_progress:
            document = ProgressDocument.from_record(record).model_dump_json()
            if len(document.encode()) > self._max_value_bytes:
                return False
        record.has_unstored_starts = False
        if record.is_final:
            final = FinalDocument(
                state=record.state, team=record.spec.team, ended_at=record.ended_at
            )
            rows.puts.append(Write(keys.final, final.model_dump_json()))
        if document:
            rows.puts.append(Write(keys.progress, document))
            rows.document_bytes += len(document)
            self._progress_stored_ids.add(job_id)
            return True
        rows.deletes.append(keys.submission)
        if record.cancel_requested:
            rows.deletes.append(keys.cancel)
        if job_id in self._progress_stored_ids:
            rows.deletes.append(keys.progress)
            self._progress_stored_ids.discard(job_id)
        return True


def _no_mark(_head_revision: int) -> int:
    return 0

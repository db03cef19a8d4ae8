"""Group commit of the owner's job records, fenced by a head record."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from pydantic import BaseModel, ValidationError

from ..store.messages import KeyValue, StoreResult, StoreStatus, Transaction, Write
from ..workload.documents import FinalDocument, JobKeys, ProgressDocument
from ..workload.record import JobRecord

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
    :class:`~.settled_runs.SettledRuns`; earlier builds do not write it.
    """

    token: int
    number: int
    settled_revision: int = 0

    @classmethod
    def from_item(cls, item: KeyValue | None) -> HeadDocument:
        """Return the stored head; one of an earlier build tells nothing."""
        try:
            return cls.model_validate_json(item.value if item else "")
        except ValidationError:
            return cls(token=0, number=0)


@dataclass(slots=True, eq=False)
class Commit:
    """One transaction in flight, and the callbacks to run once it is durable.

    ``job_ids`` are the jobs whose records it stores.
    """

    number: int
    transaction: Transaction
    job_ids: frozenset[str]
    callbacks: list[Callback] = field(default_factory=list)


class Journal:
    """Collects changed records and commits them, one transaction at a time.

    Every transaction expects the head revision that the previous one left. A
    transaction whose response was lost is retried unchanged; if the first attempt
    arrives late, the head has moved on and it has no effect. Transactions of an
    earlier owner never match the head.
    """

    def __init__(self, token: int, head_revision: int) -> None:
        # Returns the mark for the next commit, given the head's revision.
        self.read_mark: Callable[[int], int] = _no_mark
        self._token = token
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
            self.in_flight.callbacks.append(callback)
            return True
        return False

    def call_after_next_commit(self, callback: Callback) -> None:
        """Call back once the head's revision has risen, also if nothing has changed."""
        if self.in_flight is not None:
            self.in_flight.callbacks.append(callback)
        else:
            self._head_callbacks.append(callback)

    def _is_in_flight(self, job_id: str) -> bool:
        return self.in_flight is not None and job_id in self.in_flight.job_ids

    def enqueue_value(self, key: str, value: str) -> None:
        """Enqueue a single value for the next commit."""
        self._value_by_key[key] = value

    def mark_progress_stored(self, job_id: str) -> None:
        """Record that the store holds a progress document of a job."""
        self._progress_stored_ids.add(job_id)

    def next_commit(self) -> Commit | None:
        """Return the next transaction to send, or ``None`` if nothing is due."""
        if self.in_flight is not None:
            return None
        if not (self._record_by_id or self._value_by_key or self._head_callbacks):
            return None
        self._number += 1
        mark = self.read_mark(self._head_revision)
        head = HeadDocument(
            token=self._token, number=self._number, settled_revision=mark
        )
        puts = [Write(HEAD_KEY, head.model_dump_json())]
        puts += [Write(key, value) for key, value in self._value_by_key.items()]
        self._value_by_key = {}
        deletes: list[str] = []
        callbacks = self._head_callbacks
        self._head_callbacks = []
        job_ids = set()
        size = 0
        for job_id in list(self._record_by_id):
            if (
                len(puts) + len(deletes) + ROWS_OF_FINAL_RECORD > MAX_COMMIT_ROWS
                or size >= MAX_COMMIT_BYTES
            ):
                break
            record = self._record_by_id.pop(job_id)
            job_ids.add(job_id)
            callbacks += self._callbacks_by_id.pop(job_id, [])
            size += self._add_rows(record, puts, deletes)
        transaction = Transaction(
            ((HEAD_KEY, self._head_revision),), tuple(puts), tuple(deletes)
        )
        self.in_flight = Commit(
            self._number, transaction, frozenset(job_ids), callbacks
        )
        return self.in_flight

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
        for on_durable in commit.callbacks:
            on_durable()
        return True

    def _own_head_revision(self, commit: Commit, result: StoreResult) -> int:
        """Return the head's revision if this commit wrote it, else 0."""
        for item in result.entries:
            if item.key != HEAD_KEY:
                continue
            head = HeadDocument.from_item(item)
            if head.token == self._token and head.number == commit.number:
                return item.revision
        return 0

    def _add_rows(
        self, record: JobRecord, puts: list[Write], deletes: list[str]
    ) -> int:
        """Append the rows of one record; return the size of its progress document."""
        job_id = record.spec.id
        keys = JobKeys(job_id)
        record.has_unstored_starts = False
        if not record.is_final:
            document = ProgressDocument.from_record(record).model_dump_json()
            puts.append(Write(keys.progress, document))
            self._progress_stored_ids.add(job_id)
            return len(document)
        final = FinalDocument(
            state=record.state, team=record.spec.team, ended_at=record.ended_at
        )
        puts.append(Write(keys.final, final.model_dump_json()))
        if record.runs():
            document = ProgressDocument.from_record(record).model_dump_json()
            puts.append(Write(keys.progress, document))
            self._progress_stored_ids.add(job_id)
            return len(document)
        deletes.append(keys.submission)
        if record.cancel_requested:
            deletes.append(keys.cancel)
        if job_id in self._progress_stored_ids:
            deletes.append(keys.progress)
            self._progress_stored_ids.discard(job_id)
        return 0


def _no_mark(_head_revision: int) -> int:
    return 0

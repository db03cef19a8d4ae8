"""Group commit of the owner's records under one head."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from pydantic import BaseModel, ValidationError

from ..store.messages import StoreResult, StoreStatus, Transaction, Write
from ..workload.documents import FinalDocument, JobKeys, ProgressDocument
from ..workload.record import JobRecord

__all__ = ["HEAD_KEY", "Commit", "Journal"]

HEAD_KEY = "lagoonpulley/head"

# The store takes 32 rows a transaction; the head needs two of them.
MOST_ROWS = 30
MOST_COMMIT_BYTES = 400_000

Effect = Callable[[], None]


class HeadDocument(BaseModel):
    """The journal's head: who wrote it under which token, and its number."""

    token: int
    number: int


@dataclass(slots=True, eq=False)
class Commit:
    """One transaction on its way, and what follows from its success."""

    number: int
    transaction: Transaction
    effects: list[Effect] = field(default_factory=list)


class Journal:
    """Collects changed records and writes them, one transaction at a time.

    Every transaction expects the head that the one before left. A transaction
    whose answer was lost is sent again as it was; if it happens late, the head has
    moved on and it has no effect. An earlier owner's never match.
    """

    def __init__(self, token: int, head_revision: int) -> None:
        self._token = token
        self._head_revision = head_revision
        self._number = 0
        self._record_by_id: dict[str, JobRecord] = {}
        self._effects_by_id: dict[str, list[Effect]] = {}
        self._extra_by_key: dict[str, str] = {}
        self._stored_ids: set[str] = set()
        self.in_flight: Commit | None = None

    def note(self, record: JobRecord, effect: Effect | None = None) -> None:
        """Have a record written; ``effect`` follows once it is durable."""
        self._record_by_id[record.spec.id] = record
        if effect is not None:
            self._effects_by_id.setdefault(record.spec.id, []).append(effect)

    def note_value(self, key: str, value: str) -> None:
        """Have a single value written with the next commit."""
        self._extra_by_key[key] = value

    def note_stored(self, job_id: str) -> None:
        """Learn that a progress document of a job stands in the store."""
        self._stored_ids.add(job_id)

    def next_commit(self) -> Commit | None:
        """Return the next transaction to send, or ``None`` when there is none."""
        if self.in_flight is not None:
            return None
        if not self._record_by_id and not self._extra_by_key:
            return None
        self._number += 1
        head = HeadDocument(token=self._token, number=self._number)
        puts = [Write(HEAD_KEY, head.model_dump_json())]
        puts += [Write(key, value) for key, value in self._extra_by_key.items()]
        self._extra_by_key = {}
        deletes: list[str] = []
        effects: list[Effect] = []
        size = 0
        for job_id in list(self._record_by_id):
            if len(puts) + len(deletes) + 4 > MOST_ROWS or size > MOST_COMMIT_BYTES:
                break
            record = self._record_by_id.pop(job_id)
            effects += self._effects_by_id.pop(job_id, [])
            size += self._add_rows(record, puts, deletes)
        transaction = Transaction(
            ((HEAD_KEY, self._head_revision),), tuple(puts), tuple(deletes)
        )
        self.in_flight = Commit(self._number, transaction, effects)
        return self.in_flight

    def take_result(self, result: StoreResult) -> bool:
        """Take in the store's answer to the transaction in flight.

        :returns: ``False`` when another owner has moved the head.
        """
        commit = self.in_flight
        if commit is None:
            return True
        revision = result.revision
        if result.status is not StoreStatus.OK:
            revision = self._revision_of(commit, result)
            if not revision:
                return False
        self._head_revision = revision
        self.in_flight = None
        for effect in commit.effects:
            effect()
        return True

    def _revision_of(self, commit: Commit, result: StoreResult) -> int:
        """Return the head's revision if it is this commit's own, else 0."""
        for entry in result.entries:
            if entry.key != HEAD_KEY:
                continue
            try:
                head = HeadDocument.model_validate_json(entry.value)
            except ValidationError:
                return 0
            if head.token == self._token and head.number == commit.number:
                return entry.revision
        return 0

    def _add_rows(
        self, record: JobRecord, puts: list[Write], deletes: list[str]
    ) -> int:
        """Add the rows of one record; return the bytes that were added."""
        job_id = record.spec.id
        keys = JobKeys(job_id)
        if not record.is_final:
            document = ProgressDocument.from_record(record).model_dump_json()
            puts.append(Write(keys.progress, document))
            self._stored_ids.add(job_id)
            return len(document)
        final = FinalDocument(
            state=record.state, team=record.spec.team, ended_at=record.ended_at
        )
        puts.append(Write(keys.final, final.model_dump_json()))
        if record.runs():
            document = ProgressDocument.from_record(record).model_dump_json()
            puts.append(Write(keys.progress, document))
            self._stored_ids.add(job_id)
            return len(document)
        deletes.append(keys.submission)
        if record.cancel_requested:
            deletes.append(keys.cancel)
        if job_id in self._stored_ids:
            deletes.append(keys.progress)
            self._stored_ids.discard(job_id)
        return 0

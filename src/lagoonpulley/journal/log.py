"""Journal of one worker group: batched commits to segments, and snapshots."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..model.verdict import Ran
from ..runtime.flows import Call, Flow, Sleep
from ..runtime.role import STORE, WAKE, CallFailed, Request, WakeAfter
from ..store.messages import (
    ABSENT,
    Delete,
    Get,
    KeyValue,
    Put,
    StoreResult,
    StoreStatus,
)
from .messages import Append, Committed, JournalOpened, JournalRefused, NotCommitted
from .records import (
    Segment,
    SnapshotPointer,
    decode_pointer,
    decode_segment,
    encode_pointer,
    encode_segment,
    page_key,
    pointer_key,
    segment_key,
)

if TYPE_CHECKING:
    from ..settings.schema import Settings
    from .role import JournalRole

__all__ = ["GroupLog"]

COMMITS_PER_S = 20.0
MAX_BURST_COMMITS = 10.0
# Keeps rounding from ending the wait just before a token is available.
WAKE_SLACK_S = 0.001
RETRY_DELAY_S = 0.5
MAX_SEGMENT_BYTES = 400_000
MAX_PAGE_BYTES = 400_000
SEGMENTS_PER_SNAPSHOT = 400
SNAPSHOT_GROWTH = 2
SNAPSHOT_WRITE_PAUSE_S = 0.1
READ_AHEAD_SEGMENTS = 16


@dataclass(slots=True)
class _PendingAppend:
    """An append request that is not yet part of a commit."""

    request: Request
    append: Append


class GroupLog:
    """A sequence of numbered segments in the store, one per commit.

    Each segment is created only if its number is unused, so two owners can never
    both extend the journal: a new owner first writes a segment of its own, and the
    previous owner then finds its next number in use.
    """

    def __init__(
        self,
        role: JournalRole,
        writer: str,
        group: str,
        epoch: int,
        settings: Settings,
    ) -> None:
        self.group = group
        self.epoch = epoch
        self._role = role
        self._writer = writer
        self._timeout_s = settings.store.timeout_s
        self._document_by_key: dict[str, str] = {}
        self._pointer: KeyValue | None = None
        self._first_sequence = 0
        self._next_sequence = 0
        self._snapshot_number = 0
        self._page_count = 0
        self._pending_appends: list[_PendingAppend] = []
        self._writing = False
        self._write_failing = False
        self._snapshotting = False
        self._closed = False
        self._opened = False
        self._commit_tokens = MAX_BURST_COMMITS
        self._tokens_updated_at = role.now.mono
        self._write_count = 0

    def open(self, request: Request) -> Flow:
        """Replay the journal, fence earlier owners and answer the request.

        :param request: the :class:`~.messages.OpenJournal` request.
        """
        refused = yield from self._replay()
        if refused is None:
            refused = yield from self._fence()
        if self._closed:
            refused = JournalRefused("the journal was closed", is_permanent=False)
        if refused is not None:
            self._role.answer(request, refused)
            return
        self._opened = True
        self._role.answer(request, JournalOpened(dict(self._document_by_key)))

    def _replay(self) -> Flow:
        """Read the latest snapshot and all later segments.

        :returns: a :class:`JournalRefused`, or ``None`` if all were read.
        """
        found = yield self._call(Get(pointer_key(self.group)))
        if isinstance(found, CallFailed):
            return JournalRefused(found.reason, is_permanent=False)
        if found.entry is not None:
            refused = yield from self._read_snapshot(found.entry)
            if refused is not None:
                return refused
        return (yield from self._read_segments())

    def _read_snapshot(self, record: KeyValue) -> Flow:
        self._pointer = record
        decoded = decode_pointer(record.value)
        if decoded.is_error():
            return self._unreadable_record(record.key, decoded.error)
        pointer = decoded.ok
        self._snapshot_number = pointer.snapshot
        self._page_count = pointer.pages
        self._first_sequence = self._next_sequence = pointer.next_sequence
        for page in range(pointer.pages):
            key = page_key(self.group, pointer.snapshot, page)
            found = yield self._call(Get(key))
            if isinstance(found, CallFailed):
                return JournalRefused(found.reason, is_permanent=False)
            if found.entry is None:
                return JournalRefused(f"{key} is missing", is_permanent=False)
            refused = self._replay_record(found.entry)
            if refused is not None:
                return refused
        return None

    def _read_segments(self) -> Flow:
        while True:
            keys = [
                segment_key(self.group, self._next_sequence + ahead)
                for ahead in range(READ_AHEAD_SEGMENTS)
            ]
            results = yield [self._call(Get(key)) for key in keys]
            for found in results:
                if isinstance(found, CallFailed):
                    return JournalRefused(found.reason, is_permanent=False)
                if found.entry is None:
                    return None
                refused = self._replay_record(found.entry)
                if refused is not None:
                    return refused
                self._next_sequence += 1

    def _replay_record(self, record: KeyValue) -> JournalRefused | None:
        decoded = decode_segment(record.value)
        if decoded.is_error():
            return self._unreadable_record(record.key, decoded.error)
        segment = decoded.ok
        if segment.epoch > self.epoch:
            return JournalRefused(
                f"{record.key} has a higher epoch", is_permanent=False
            )
        self._apply(segment)
        return None

    def _apply(self, segment: Segment) -> None:
        for key in segment.deletes:
            self._document_by_key.pop(key, None)
        self._document_by_key.update(segment.puts)

    @staticmethod
    def _unreadable_record(key: str, reason: str) -> JournalRefused:
        return JournalRefused(f"{key} cannot be read: {reason}", is_permanent=True)

    def _fence(self) -> Flow:
        """Create a segment of this epoch so that earlier owners can no longer append.

        Segments that an earlier owner writes in the meantime are replayed.

        :returns: a :class:`JournalRefused`, or ``None`` if the segment was created.
        """
        while True:
            put = self._put(
                self._next_segment_key(), encode_segment(Segment(self.epoch))
            )
            result = yield self._call(put)
            if isinstance(result, CallFailed):
                result = yield self._call(Get(put.key))
                if isinstance(result, CallFailed):
                    return JournalRefused(result.reason, is_permanent=False)
            if result.entry is None:
                return JournalRefused("fencing was not confirmed", is_permanent=False)
            if result.entry.write_id == put.write_id:
                self._next_sequence += 1
                return None
            refused = self._replay_record(result.entry)
            if refused is not None:
                return refused
            self._next_sequence += 1

    def append(self, request: Request, append: Append) -> None:
        """Queue an append for the next commit.

        A ``fail_fast`` append is refused at once while store writes fail.
        """
        if append.fail_fast and self._write_failing:
            refusal = NotCommitted(Ran.NO, "the store cannot be written")
            self._role.answer(request, refusal)
            return
        self._pending_appends.append(_PendingAppend(request, append))
        self.start_due_work()

    def start_due_work(self) -> None:
        """Start a commit and a snapshot if they are due."""
        if self._closed or not self._opened:
            return
        if self._pending_appends and not self._writing:
            if self._acquire_commit_token():
                self._writing = True
                self._role.start(self._commit())
            else:
                delay_s = (1.0 - self._commit_tokens) / COMMITS_PER_S + WAKE_SLACK_S
                self._role.emit(WAKE, WakeAfter(self._role.name, delay_s))
        if self._snapshot_is_due():
            self._snapshotting = True
            self._role.start(self._write_snapshot())

    def _acquire_commit_token(self) -> bool:
        """Take a token for one commit from the token bucket, if one is available.

        The bucket bounds the rate of store writes: :data:`COMMITS_PER_S` on average
        and :data:`MAX_BURST_COMMITS` in a burst.
        """
        now = self._role.now.mono
        earned = (now - self._tokens_updated_at) * COMMITS_PER_S
        self._commit_tokens = min(MAX_BURST_COMMITS, self._commit_tokens + earned)
        self._tokens_updated_at = now
        if self._commit_tokens < 1.0:
            return False
        self._commit_tokens -= 1.0
        return True

    def close(self, reason: str) -> None:
        """Refuse all pending appends and start no more commits.

        :param reason: why the journal is closed; part of every refusal.
        """
        self._closed = True
        waiting, self._pending_appends = self._pending_appends, []
        for item in waiting:
            self._role.answer(item.request, NotCommitted(Ran.NO, reason))

    def _commit(self) -> Flow:
        batch = self._pop_batch()
        segment = Segment(self.epoch)
        for item in batch:
            for key in item.append.deletes:
                segment.puts.pop(key, None)
                segment.deletes.append(key)
            segment.puts.update(item.append.puts)
        put = self._put(self._next_segment_key(), encode_segment(segment))
        committed = yield from self._write_until_confirmed(put)
        self._writing = False
        if not committed:
            for item in batch:
                refusal = NotCommitted(Ran.MAYBE, "another entry owns the group")
                self._role.answer(item.request, refusal)
            if not self._closed:
                self._role.handle_lost_ownership(self)
            return
        self._next_sequence += 1
        self._apply(segment)
        for item in batch:
            self._role.answer(item.request, Committed())
        self.start_due_work()

    def _pop_batch(self) -> list[_PendingAppend]:
        size = 0
        count = 0
        for item in self._pending_appends:
            size += sum(len(key) + 2 * len(text) for key, text in item.append.puts)
            if count and size > MAX_SEGMENT_BYTES:
                break
            count += 1
        batch, self._pending_appends = (
            self._pending_appends[:count],
            self._pending_appends[count:],
        )
        return batch

    def _write_until_confirmed(self, put: Put) -> Flow:
        """Retry the write of a segment until the store confirms its outcome.

        The ``write_id`` identifies a segment that an unanswered attempt has created.

        :returns: ``False`` when another writer has used its number or the journal was
            closed.
        """
        while True:
            result = yield self._call(put)
            if isinstance(result, CallFailed):
                self._handle_write_failure()
                yield Sleep(RETRY_DELAY_S)
                if self._closed:
                    return False
                continue
            self._write_failing = False
            record = result.entry
            return record is not None and record.write_id == put.write_id

    def _handle_write_failure(self) -> None:
        """Refuse the pending ``fail_fast`` appends after a failed store write."""
        self._write_failing = True
        refused = [item for item in self._pending_appends if item.append.fail_fast]
        self._pending_appends = [
            item for item in self._pending_appends if not item.append.fail_fast
        ]
        for item in refused:
            refusal = NotCommitted(Ran.NO, "the store cannot be written")
            self._role.answer(item.request, refusal)

    def _snapshot_is_due(self) -> bool:
        if self._snapshotting or self._write_failing:
            return False
        return self._next_sequence - self._first_sequence >= SEGMENTS_PER_SNAPSHOT

    def _write_snapshot(self) -> Flow:
        """Write all documents as pages, update the pointer, delete old records.

        The pointer changes only after all pages are written, so that a replay never
        reads an incomplete snapshot.
        """
        next_sequence = self._next_sequence
        snapshot = next_sequence
        pages = self._split_into_pages()
        for number, page in enumerate(pages):
            key = page_key(self.group, snapshot, number)
            written = yield from self._write_page(key, page)
            if not written:
                self._snapshotting = False
                return
            yield Sleep(SNAPSHOT_WRITE_PAUSE_S)
        pointer = SnapshotPointer(self.epoch, snapshot, len(pages), next_sequence)
        updated = yield from self._update_pointer(pointer)
        if not updated:
            self._snapshotting = False
            return
        old_snapshot, old_pages = self._snapshot_number, self._page_count
        old_first = self._first_sequence
        self._snapshot_number, self._page_count = snapshot, len(pages)
        self._first_sequence = next_sequence
        yield from self._delete_superseded(
            old_snapshot, old_pages, old_first, next_sequence
        )
        self._snapshotting = False

    def _split_into_pages(self) -> list[Segment]:
        pages = [Segment(self.epoch)]
        size = 0
        for key, text in self._document_by_key.items():
            if size > MAX_PAGE_BYTES:
                pages.append(Segment(self.epoch))
                size = 0
            pages[-1].puts[key] = text
            size += len(key) + 2 * len(text)
        return pages

    def _write_page(self, key: str, page: Segment) -> Flow:
        result = yield self._call(self._put(key, encode_segment(page)))
        if isinstance(result, StoreResult) and result.status is StoreStatus.CONFLICT:
            old = result.entry
            put = self._put(key, encode_segment(page), old.revision)
            result = yield self._call(put)
        return isinstance(result, StoreResult) and result.ok and not self._closed

    def _update_pointer(self, pointer: SnapshotPointer) -> Flow:
        expected = self._pointer.revision if self._pointer is not None else ABSENT
        put = self._put(pointer_key(self.group), encode_pointer(pointer), expected)
        result = yield self._call(put)
        if isinstance(result, CallFailed):
            result = yield self._call(Get(put.key))
        if isinstance(result, CallFailed) or result.entry is None:
            return False
        self._pointer = result.entry
        return result.entry.write_id == put.write_id

    def _delete_superseded(
        self, snapshot: int, pages: int, first: int, next_sequence: int
    ) -> Flow:
        keys = [
            segment_key(self.group, number) for number in range(first, next_sequence)
        ]
        keys += [page_key(self.group, snapshot, page) for page in range(pages)]
        for key in keys:
            if self._closed:
                return
            found = yield self._call(Get(key))
            if isinstance(found, StoreResult) and found.entry is not None:
                yield self._call(Delete(key, found.entry.revision))
            yield Sleep(SNAPSHOT_WRITE_PAUSE_S)

    def _next_segment_key(self) -> str:
        return segment_key(self.group, self._next_sequence)

    def _put(self, key: str, value: str, expected: int = ABSENT) -> Put:
        self._write_count += 1
        write_id = f"{self._writer}.{self.epoch}.{self._write_count}"
        return Put(key, value, expected, write_id)

    def _call(self, operation: Any) -> Call:
        return Call(STORE, operation, self._timeout_s)

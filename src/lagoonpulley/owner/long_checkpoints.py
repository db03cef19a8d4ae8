"""Checkpoints that are too long for a progress document, each a value of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..observability.events import log_event
from ..runtime.flows import Call, Flow, Sleep
from ..runtime.role import STORE, CallFailed
from ..store.messages import Transaction, Write
from ..workload.documents import (
    CHECKPOINTS_PREFIX,
    CheckpointKey,
    inline_checkpoint_length,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..store.messages import KeyValue
    from ..workload.record import JobRecord
    from ..workload.spec import TaskKey
    from .term import OwnerTerm

__all__ = ["LongCheckpoints", "write_long_checkpoints"]

# Of all tasks together; an owner's memory is bounded.
MAX_HELD_CHARACTERS = 32_000_000
# Deletions in one transaction; the store accepts 32 rows.
MAX_DELETES = 30
WRITE_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.2
# A value that the store does not take by then may be one that it never takes.
MAX_ATTEMPTS = 5


class LongCheckpoints:
    """Which long checkpoints a term holds, and which have to be stored or deleted.

    A checkpoint is stored when its run has ended without completing the task; until
    then the worker lists it. It is written beside the journal, so that a large value
    delays no commit: an older value of the same task is valid too.
    """

    def __init__(self) -> None:
        # By job.
        self._length_by_task: dict[str, dict[TaskKey, int]] = {}
        self._stored_by_job_id: dict[str, set[CheckpointKey]] = {}
        # ``None`` deletes.
        self._wanted: dict[CheckpointKey, str | None] = {}
        self.held_characters = 0
        # Whether a stored progress document says that there are any.
        self.may_be_stored = False
        self.is_writing = False

    @property
    def has_changes(self) -> bool:
        """Whether anything is to be stored or deleted."""
        return bool(self._wanted)

    def admit(self, record: JobRecord, task: TaskKey, checkpoint: str) -> bool:
        """Return whether a task's new checkpoint can be held, and count it if so."""
        key = CheckpointKey(record.spec.id, task)
        length = len(checkpoint) if _is_long(record, checkpoint) else 0
        lengths = self._length_by_task.setdefault(key.job_id, {})
        total = self.held_characters - lengths.get(task, 0) + length
        if length and total > MAX_HELD_CHARACTERS:
            log_event(
                "checkpoint_refused",
                job=key.job_id,
                task=list(task),
                characters=length,
                held=self.held_characters,
            )
            return False
        self.held_characters = total
        if length:
            lengths[task] = length
        else:
            lengths.pop(task, None)
        return True

    def record_end(self, record: JobRecord, task: TaskKey) -> None:
        """Store or delete the checkpoint of a task whose run has ended."""
        key = CheckpointKey(record.spec.id, task)
        state = record.task_by_key[task]
        if not state.done and _is_long(record, state.checkpoint):
            self._wanted[key] = state.checkpoint
            self._stored_by_job_id.setdefault(key.job_id, set()).add(key)
            return
        self._drop(key)
        if state.done and record.step_of(task).gang:
            # One member that is done completes all.
            for member, _ in record.tasks_of(task.step_key):
                self._drop(CheckpointKey(key.job_id, member))

    def forget_job(self, job_id: str) -> None:
        """Delete the checkpoints of a job that starts nothing any more."""
        for key in self._stored_by_job_id.pop(job_id, ()):
            self._wanted[key] = None
        self.held_characters -= sum(self._length_by_task.pop(job_id, {}).values())

    def _drop(self, key: CheckpointKey) -> None:
        stored = self._stored_by_job_id.get(key.job_id, set())
        if key in stored:
            stored.discard(key)
            self._wanted[key] = None
        lengths = self._length_by_task.get(key.job_id, {})
        self.held_characters -= lengths.pop(key.task, 0)

    def restore(self, term: OwnerTerm, items: Iterable[KeyValue]) -> None:
        """Restore what an earlier owner stored; delete what no task needs."""
        for item in items:
            key = CheckpointKey.parse(item.key)
            if key is None or key in self._stored_by_job_id.get(key.job_id, ()):
                # This term has stored another one since the values were read.
                continue
            record = term.record_by_id.get(key.job_id)
            state = record.task_by_key.get(key.task) if record else None
            self._stored_by_job_id.setdefault(key.job_id, set()).add(key)
            if state is None or state.done or record.is_final or state.checkpoint:
                self._drop(key)
            elif self.admit(record, key.task, item.value):
                state.checkpoint = item.value

    def next_change(self) -> Transaction:
        """Return the next transaction to send: one value, or some deletions."""
        deletes: list[str] = []
        for key, checkpoint in list(self._wanted.items()):
            if checkpoint is not None and deletes:
                break
            del self._wanted[key]
            if checkpoint is not None:
                return Transaction(puts=(Write(str(key), checkpoint),))
            deletes.append(str(key))
            if len(deletes) >= MAX_DELETES:
                break
        return Transaction(deletes=tuple(deletes))


def _is_long(record: JobRecord, checkpoint: str) -> bool:
    return len(checkpoint) > inline_checkpoint_length(record.spec)


def write_long_checkpoints(term: OwnerTerm) -> Flow:
    """Send all changes of a term's long checkpoints to the store, one by one."""
    checkpoints = term.long_checkpoints
    checkpoints.is_writing = True
    while checkpoints.has_changes and not term.has_ended:
        yield from _write(term, checkpoints.next_change())
    checkpoints.is_writing = False


def _write(term: OwnerTerm, change: Transaction) -> Flow:
    for _ in range(MAX_ATTEMPTS):
        result = yield Call(STORE, change, WRITE_TIMEOUT_S)
        if term.has_ended or not isinstance(result, CallFailed):
            return
        yield Sleep(RETRY_DELAY_S)
    keys = [write.key for write in change.puts] + list(change.deletes)
    log_event(
        "checkpoint_write_failed",
        key=keys[0].removeprefix(CHECKPOINTS_PREFIX),
        reason=result.reason,
    )

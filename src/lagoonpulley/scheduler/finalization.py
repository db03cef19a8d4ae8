"""Makes the ends of a group's tasks durable, and forgets old jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..journal.messages import Committed
from .records import JobRecord, TaskRecord, job_key, task_document, task_key

if TYPE_CHECKING:
    from ..runtime.flows import Flow
    from .context import GroupContext
    from .link import WorkerLink

__all__ = ["GroupFinalizer"]


class GroupFinalizer:
    """Final states of tasks and jobs of a group."""

    def __init__(self, group: GroupContext) -> None:
        self._group = group

    def settle(
        self,
        record: JobRecord,
        changed: list[TaskRecord],
        acknowledge: tuple[WorkerLink, str, int] | None = None,
    ) -> None:
        """Make final states durable, then acknowledge them and answer callers."""
        if record.is_final and record.ended_at is None:
            record.ended_at = self._group.now.wall
        if not changed:
            return
        if not record.job.durable:
            self._confirm(record, acknowledge)
            return
        self._group.start(self._settle_durably(record, changed, acknowledge))

    def _settle_durably(
        self,
        record: JobRecord,
        changed: list[TaskRecord],
        acknowledge: tuple[WorkerLink, str, int] | None,
    ) -> Flow:
        puts = tuple(
            (task_key(record.task_id(task)), task_document(record, task))
            for task in changed
        )
        result = yield self._group.journal_call(puts)
        if isinstance(result, Committed):
            self._confirm(record, acknowledge)

    def _confirm(
        self, record: JobRecord, acknowledge: tuple[WorkerLink, str, int] | None
    ) -> None:
        if acknowledge is not None:
            link, task_id, attempt = acknowledge
            link.acknowledge(task_id, attempt)
        if record.is_final:
            record.is_finalized = True
            self._group.job_finalized(record)

    def forget_old(self) -> None:
        """Remove jobs whose answers were kept for the whole retention."""
        limit = self._group.now.wall - self._group.settings.retention_s
        old = [
            record
            for record in self._group.record_by_id.values()
            if record.ended_at is not None and record.ended_at < limit
        ]
        for record in old:
            del self._group.record_by_id[record.job.id]
            if record.job.durable:
                self._group.start(self._forget_durably(record))

    def _forget_durably(self, record: JobRecord) -> Flow:
        keys = [task_key(record.task_id(task)) for task in record.tasks]
        yield self._group.journal_call((), (job_key(record.job.id), *keys))

"""Commits ends of attempts, and deletes jobs after the retention period."""

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
    """Finalizes the tasks and jobs of one group.

    A worker may discard a report once it is acknowledged, so the final report of a
    durable job's task is acknowledged only after what follows from it is committed.
    """

    def __init__(self, group: GroupContext) -> None:
        self._group = group
        self._commits_in_flight_by_job_id: dict[str, int] = {}
        self._uncommitted_reports: set[tuple[str, int]] = set()

    def awaits_commit(self, task_id: str, attempt: int) -> bool:
        """Return whether the report of an attempt has to wait for a commit."""
        return (task_id, attempt) in self._uncommitted_reports

    def finalize(
        self,
        record: JobRecord,
        changed: list[TaskRecord],
        acknowledge: tuple[WorkerLink, str, int] | None = None,
    ) -> None:
        """Commit ends of attempts, then acknowledge them and answer callers.

        :param changed: tasks that have just reached a terminal state or wait again.
        :param acknowledge: worker link, task and attempt whose report is
            acknowledged after the commit.
        """
        if record.is_final and record.ended_at is None:
            record.ended_at = self._group.now.wall
        if not changed:
            return
        if not record.job.durable:
            self._confirm(record, acknowledge)
            return
        self._group.start(self._commit_then_confirm(record, changed, acknowledge))

    def _commit_then_confirm(
        self,
        record: JobRecord,
        changed: list[TaskRecord],
        acknowledge: tuple[WorkerLink, str, int] | None,
    ) -> Flow:
        if acknowledge is not None:
            self._uncommitted_reports.add(acknowledge[1:])
        puts = tuple(
            (task_key(record.task_id(task)), task_document(record, task))
            for task in changed
        )
        in_flight = self._commits_in_flight_by_job_id
        job_id = record.job.id
        in_flight[job_id] = in_flight.get(job_id, 0) + 1
        result = yield self._group.journal_call(puts)
        in_flight[job_id] -= 1
        if not in_flight[job_id]:
            del in_flight[job_id]
        if isinstance(result, Committed):
            self._confirm(record, acknowledge)

    def _confirm(
        self, record: JobRecord, acknowledge: tuple[WorkerLink, str, int] | None
    ) -> None:
        if acknowledge is not None:
            link, task_id, attempt = acknowledge
            self._uncommitted_reports.discard((task_id, attempt))
            link.acknowledge(task_id, attempt)
        # A task that ended later may have made the job final without being durable yet.
        is_durable = record.job.id not in self._commits_in_flight_by_job_id
        if record.is_final and is_durable and not record.is_finalized:
            record.is_finalized = True
            self._group.job_finalized(record)

    def delete_expired_jobs(self) -> None:
        """Delete jobs that ended longer than the retention period ago."""
        limit = self._group.now.wall - self._group.settings.retention_s
        old = [
            record
            for record in self._group.record_by_id.values()
            if record.ended_at is not None and record.ended_at < limit
        ]
        for record in old:
            del self._group.record_by_id[record.job.id]
            if record.job.durable:
                self._group.start(self._delete_from_journal(record))

    def _delete_from_journal(self, record: JobRecord) -> Flow:
        keys = [task_key(record.task_id(task)) for task in record.tasks]
        yield self._group.journal_call((), (job_key(record.job.id), *keys))

"""Takeover of a group: journal replay, worker fencing and task adoption."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..journal.messages import JournalOpened, OpenJournal
from ..model.job import TaskState
from ..observability.events import log_event
from ..placement.events import WorkerGone
from ..runtime.flows import Call, Flow, Sleep
from .records import JOURNAL, JOURNAL_TIMEOUT_S, decode_documents

if TYPE_CHECKING:
    from .group import Group

__all__ = ["Takeover"]

OPEN_RETRY_DELAY_S = 0.5
IN_FLIGHT_START_WAIT_S = 1.5
UNLISTED_WORKER_POLL_S = 1.0


class Takeover:
    """Restores the state of an acquired group before placement starts."""

    def __init__(self, group: Group) -> None:
        self._group = group

    def open(self) -> Flow:
        """Replay the journal, adopt placed tasks, fence the workers and activate.

        Workers without fencing support still accept start commands of the previous
        owner, so the takeover first waits until none can be in flight.
        """
        if not self._group.settings.workers_fence:
            yield Sleep(IN_FLIGHT_START_WAIT_S)
        opened = yield from self._open_journal()
        if opened is None:
            return
        decoded = decode_documents(opened.document_by_key)
        if decoded.is_error():
            self._group.mark_unreadable(decoded.error)
            return
        self._group.record_by_id = decoded.ok
        while not self._group.instance_by_id and self._group.is_opening:
            yield Sleep(OPEN_RETRY_DELAY_S)
        self._add_links()
        self._adopt_all()
        yield from self._fence_workers()
        if not self._group.is_opening:
            return
        self._queue_waiting()
        self._group.activate()
        self._group.start(self._end_tasks_on_unlisted_workers())
        self._group.request_decisions()

    def _open_journal(self) -> Flow:
        while self._group.is_opening:
            operation = OpenJournal(self._group.name, self._group.epoch)
            opened = yield Call(JOURNAL, operation, JOURNAL_TIMEOUT_S)
            if isinstance(opened, JournalOpened):
                return opened
            log_event(
                "journal_refused",
                group=self._group.name,
                epoch=self._group.epoch,
                reason=opened.reason,
            )
            if getattr(opened, "is_permanent", False):
                self._group.mark_unreadable(opened.reason)
                return None
            yield Sleep(OPEN_RETRY_DELAY_S)
        return None

    def _add_links(self) -> None:
        for instance in self._group.instance_by_id.values():
            if not instance.gone:
                self._group.add_link(instance)

    def _adopt_all(self) -> None:
        for record in self._group.record_by_id.values():
            for task in record.tasks:
                if task.is_placed:
                    self._group.adopt_task(record, task)

    def _fence_workers(self) -> Flow:
        links = list(self._group.link_by_worker_id.values())
        results = yield [link.fence_call() for link in links]
        for link, result in zip(links, results):
            if not self._group.is_opening:
                return
            yield from link.handle_fence_result(result)

    def _queue_waiting(self) -> None:
        for record in self._group.record_by_id.values():
            queued = self._group.core.pending_by_job_id.get(record.job.id)
            known = set(queued.indexes) if queued is not None else set()
            waiting = [
                task.index
                for task in record.tasks
                if task.state is TaskState.PENDING and task.index not in known
            ]
            if waiting:
                self._group.submit_to_core(record, tuple(waiting))
        self._group.limits.apply_policies()

    def _end_tasks_on_unlisted_workers(self) -> Flow:
        """End journalled attempts on workers missing from the instance list.

        An unlisted worker may still run its tasks until the leases that the
        previous owner renewed have expired.
        """
        unknown = [
            worker_id
            for worker_id in self._group.core.worker_table.by_id
            if worker_id not in self._group.link_by_worker_id
        ]
        for worker_id in unknown:
            instance = self._group.instance_by_id.get(worker_id)
            while (
                instance is None
                and self._group.now.mono < self._group.inherited_leases_expire_by()
            ):
                yield Sleep(UNLISTED_WORKER_POLL_S)
                instance = self._group.instance_by_id.get(worker_id)
                if self._group.is_inactive:
                    return
            if instance is not None and not instance.gone:
                continue
            for assignment in self._group.assignments_on(worker_id):
                self._group.attempt_lost(assignment, "worker is gone")
            self._group.core.apply(WorkerGone(worker_id), self._group.now.mono)

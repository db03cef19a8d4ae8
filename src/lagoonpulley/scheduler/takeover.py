"""Takeover of a group: replay, fence, adopt, then place."""

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

OPEN_RETRY_PAUSE_S = 0.5
START_IN_FLIGHT_S = 1.5
UNKNOWN_WORKER_PAUSE_S = 1.0


class Takeover:
    """The steps from acquiring a group to placing in it."""

    def __init__(self, group: Group) -> None:
        self._group = group

    def open(self) -> Flow:
        """Replay the journal, fence the workers, adopt tasks, then place."""
        if not self._group.settings.workers_fence:
            yield Sleep(START_IN_FLIGHT_S)
        opened = yield from self._open_journal()
        if opened is None:
            return
        decoded = decode_documents(opened.document_by_key)
        if decoded.is_error():
            self._group.give_up_serving(decoded.error)
            return
        self._group.record_by_id = decoded.ok
        while not self._group.instance_by_id and self._group.is_opening:
            yield Sleep(OPEN_RETRY_PAUSE_S)
        self._add_links()
        self._adopt_all()
        yield from self._fence_workers()
        if not self._group.is_opening:
            return
        self._queue_waiting()
        self._group.activate()
        self._group.start(self._end_tasks_on_unknown_workers())
        self._group.wants_decisions()

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
                self._group.give_up_serving(opened.reason)
                return None
            yield Sleep(OPEN_RETRY_PAUSE_S)
        return None

    def _add_links(self) -> None:
        for instance in self._group.instance_by_id.values():
            if not instance.gone:
                self._group.add_link(instance)

    def _adopt_all(self) -> None:
        for record in self._group.record_by_id.values():
            for task in record.tasks:
                if task.holds_room:
                    self._group.hold_room(record, task)

    def _fence_workers(self) -> Flow:
        links = list(self._group.link_by_worker_id.values())
        results = yield [link.fence_call() for link in links]
        for link, result in zip(links, results):
            if not self._group.is_opening:
                return
            yield from link.take_fence_result(result)

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
        self._group.limits.push()

    def _end_tasks_on_unknown_workers(self) -> Flow:
        """Give up journalled attempts on workers that the list does not show."""
        unknown = [
            worker_id
            for worker_id in self._group.core.worker_table.by_id
            if worker_id not in self._group.link_by_worker_id
        ]
        for worker_id in unknown:
            line = self._group.instance_by_id.get(worker_id)
            while (
                line is None
                and self._group.now.mono < self._group.unknown_surely_ended_at()
            ):
                yield Sleep(UNKNOWN_WORKER_PAUSE_S)
                line = self._group.instance_by_id.get(worker_id)
                if self._group.is_closed:
                    return
            if line is not None and not line.gone:
                continue
            for assignment in self._group.assignments_on(worker_id):
                self._group.attempt_lost(assignment, "worker is gone")
            self._group.core.apply(WorkerGone(worker_id), self._group.now.mono)

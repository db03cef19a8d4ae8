"""Applies the placement core's decisions: starts and preempts tasks."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..journal.messages import Committed
from ..model.job import TaskState
from ..model.verdict import Ran
from ..observability.events import log_event
from ..placement.events import Place, Preempt, PreemptReason
from .link import Assignment
from .records import JobRecord, TaskRecord, task_document, task_key

if TYPE_CHECKING:
    from ..runtime.flows import Flow
    from .context import GroupContext

__all__ = ["GroupDispatcher"]


class GroupDispatcher:
    """Starts and preempts tasks of one group.

    A durable task that is exclusive or must not be repeated is journalled as
    assigned before its start command is sent, so that a later owner knows that
    it may have run.
    """

    def __init__(self, group: GroupContext) -> None:
        self._group = group

    def apply_decisions(self) -> None:
        """Apply one round of decisions.

        Requests another round if any task was placed, because the core bounds
        the number of placements per round.
        """
        if self._group.is_inactive:
            return
        began = time.perf_counter()
        decisions = self._group.core.decide(self._group.now.mono)
        took_s = time.perf_counter() - began
        for decision in decisions:
            self._apply_decision(decision, took_s / len(decisions))
        if any(isinstance(decision, Place) for decision in decisions):
            self._group.request_decisions()
        for link in self._group.link_by_worker_id.values():
            link.flush()

    def _apply_decision(self, decision: Place | Preempt, took_s: float) -> None:
        found = self._group.find_task(decision.task_id)
        if found is None:
            return
        record, task = found
        if isinstance(decision, Preempt):
            self._preempt(record, task, decision)
            return
        task.state = TaskState.ASSIGNED
        # The epoch in the high bits keeps attempt numbers above those of previous
        # owners, whose last attempts may not be journalled.
        task.attempt = max(task.attempt + 1, self._group.epoch << 20)
        task.worker_id = decision.worker_id
        task.boot_id = self._group.link_by_worker_id[decision.worker_id].boot_id
        task.sent = False
        task.ran = Ran.NO
        log_event(
            "task_placed",
            job=record.job.id,
            task=decision.task_id,
            team=record.job.team,
            attempt=task.attempt,
            worker=decision.worker_id,
            epoch=self._group.epoch,
            reason=decision.reason,
            candidates=decision.candidates,
            waited_s=round(decision.waited_s, 3),
            took_us=round(took_s * 1e6),
        )
        self._group.count("placements")
        self._group.time("waiting", decision.waited_s)
        self._dispatch(record, task)

    def _dispatch(self, record: JobRecord, task: TaskRecord) -> None:
        assignment = Assignment(record, task, task.attempt)
        job = record.job
        if job.durable and (job.exclusive or not job.repeatable):
            self._group.start(self._journal_then_start(assignment))
        else:
            self._group.link_by_worker_id[task.worker_id].queue_start(assignment)

    def _journal_then_start(self, assignment: Assignment) -> Flow:
        record, task = assignment.record, assignment.task
        put = (task_key(record.task_id(task)), task_document(record, task))
        result = yield self._group.journal_call((put,))
        if self._group.is_inactive or not assignment.is_current:
            return
        if not isinstance(result, Committed):
            self._group.attempt_not_run(assignment, "assignment was not journalled")
            return
        link = self._group.link_by_worker_id.get(task.worker_id)
        if record.cancel_requested or link is None:
            self._group.attempt_not_run(assignment, "cancelled before start")
            return
        link.queue_start(assignment)
        link.flush()

    def _preempt(self, record: JobRecord, task: TaskRecord, decision: Preempt) -> None:
        log_event(
            "task_preempted",
            job=record.job.id,
            task=decision.task_id,
            attempt=task.attempt,
            worker=decision.worker_id,
            epoch=self._group.epoch,
            reason=decision.reason,
        )
        self._group.count("preemptions")
        is_forced = decision.reason is not PreemptReason.URGENT
        self._group.stop_task(
            record, task, checkpoint=record.job.repeatable or not is_forced
        )

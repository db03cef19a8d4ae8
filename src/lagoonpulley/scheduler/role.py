"""Scheduler role: serves the owned groups and requests about their jobs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..configuration.messages import ConfigurationChanged
from ..limits.messages import AllotmentsChanged, PartsReleased, ReleaseParts
from ..membership.messages import Leave
from ..model.verdict import Ran
from ..ownership.messages import (
    GroupAcquired,
    GroupDeposed,
    GroupLost,
    LeaseExtended,
    ReleaseAll,
)
from ..peers.messages import (
    CancelJob,
    FetchJob,
    JobAnswer,
    JobVerdict,
    Refusal,
    SubmitAnswer,
    SubmitJobs,
)
from ..routing.budget import RetryBudget
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.role import STORE, Now, Request, Send, Tick
from ..store.messages import ListInstances, StoreResult
from .admission import PendingSubmission, submit_jobs
from .group import Group, Phase
from .messages import DecideMore, GroupStatus, GroupStatusQuery
from .records import JobRecord, job_status
from .takeover import Takeover

if TYPE_CHECKING:
    from ..configuration.document import ConfigurationDocument
    from ..observability.metrics import Metrics
    from ..settings.schema import Settings
    from ..store.messages import Instance

__all__ = ["SchedulerRole"]

INSTANCE_POLL_S = 1.5
POLL_SLACK_S = 0.5
INSTANCE_RETRY_DELAY_S = 0.5
DELETE_INTERVAL_S = 10.0
POLICY_INTERVAL_S = 1.0
RETRY_TOKENS_PER_SUCCESS = 0.2
MAX_RETRY_TOKENS = 100.0
NOT_READY_RETRY_S = 1.0


@dataclass(slots=True)
class _Waiter:
    """A request that waits for a job to end; ``until`` is in monotonic seconds."""

    request: Request
    until: float


class SchedulerRole(FlowRole):
    """Holds the state of every group that this process owns."""

    name = "scheduler"

    def __init__(self, entry_id: str, settings: Settings, metrics: Metrics) -> None:
        super().__init__(entry_id)
        self.settings = settings
        self.valid_until = float("-inf")
        self.accepting_by_id: dict[str, JobRecord] = {}
        self.pending_submissions: list[PendingSubmission] = []
        self._metrics = metrics
        self._group_by_name: dict[str, Group] = {}
        self._groups_to_decide: dict[str, Group] = {}
        self._fault_by_group: dict[str, str] = {}
        self._document: ConfigurationDocument | None = None
        self._instance_by_id: dict[str, Instance] = {}
        self._instances_revision = 0
        self._watching_instances = False
        self._waiters_by_job_id: dict[str, list[_Waiter]] = {}
        self._budget_by_team: dict[str, RetryBudget] = {}
        self._next_delete_at = 0.0
        self._next_policy_at = 0.0

    @classmethod
    def from_settings(
        cls, entry_id: str, settings: Settings, metrics: Metrics
    ) -> SchedulerRole:
        """Create the scheduler role of a process."""
        return cls(entry_id, settings, metrics)

    def handle(self, message: Any, now: Now) -> list[Send]:
        """Process one message, then one decision round per group that requested it.

        A group that requests another round meanwhile gets it with the next message;
        :class:`DecideMore` makes sure that one follows.
        """
        sends = super().handle(message, now)
        dirty, self._groups_to_decide = self._groups_to_decide, {}
        for group in dirty.values():
            group.apply_decisions()
        if self._groups_to_decide:
            self.emit(self.name, DecideMore())
        sends += self._outbox
        self._outbox = []
        return sends

    def receive(self, message: Any) -> None:
        """Process a tick, a message of another role, or a request about jobs."""
        match message:
            case Tick():
                self._tick()
            case Request(operation=SubmitJobs() as submission):
                self._submit(message, submission)
            case Request(operation=FetchJob() as fetch):
                self._fetch(message, fetch)
            case Request(operation=CancelJob() as cancel):
                self._cancel(message, cancel)
            case Request(operation=GroupStatusQuery()):
                self.answer(message, self._status())
            case LeaseExtended(valid_until):
                self.valid_until = max(self.valid_until, valid_until)
            case GroupAcquired(group, epoch):
                self._acquire(group, epoch)
            case GroupLost(group, epoch) | GroupDeposed(group, epoch):
                self._lose(group, epoch)
            case ConfigurationChanged(document):
                self._configure(document)
            case AllotmentsChanged(epoch, parts_by_team):
                self._set_allotments(epoch, parts_by_team)
            case Request(operation=ReleaseParts() as release_request):
                groups = list(self._group_by_name.values())
                parts = groups[0].limits.release_parts(release_request) if groups else 0
                self.answer(message, PartsReleased(parts))
            case ReleaseAll() | Leave():
                for group in list(self._group_by_name.values()):
                    self._release(group)

    def request_decisions(self, group: Group) -> None:
        """Run a group's decision round once the current message is processed."""
        self._groups_to_decide[group.name] = group

    def try_spend_retry_token(self, team: str) -> bool:
        """Consume one token of a team's retry budget; return whether one was left."""
        return self._budget(team).try_spend()

    def count(self, name: str) -> None:
        """Increment a counter metric."""
        self._metrics.count(f"scheduler.{name}")

    def time(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds as a timer metric."""
        self._metrics.time(f"scheduler.{name}", duration_s)

    def report_fault(self, group: str, reason: str) -> None:
        """Record a fault that needs an operator; it is shown in the group status."""
        self._fault_by_group[group] = reason

    def drop(self, group: Group) -> None:
        """Close and remove a group that this process no longer owns.

        Callers that wait for its jobs are refused.
        """
        group.close()
        if self._group_by_name.get(group.name) is group:
            del self._group_by_name[group.name]
            self._refuse_waiting(group.name)

    def job_finalized(self, group: Group, record: JobRecord) -> None:
        """Answer the requests that wait for a job; refill its team's retry budget."""
        self._budget(record.job.team).record_success()
        answer = JobAnswer(job_status(record))
        for waiter in self._waiters_by_job_id.pop(record.job.id, ()):
            self.answer(waiter.request, answer)

    def _budget(self, team: str) -> RetryBudget:
        budget = self._budget_by_team.get(team)
        if budget is None:
            budget = RetryBudget(MAX_RETRY_TOKENS, RETRY_TOKENS_PER_SUCCESS)
            self._budget_by_team[team] = budget
        return budget

    def _acquire(self, name: str, epoch: int) -> None:
        known = self._group_by_name.get(name)
        if known is not None:
            known.close()
        self._fault_by_group.pop(name, None)
        group = Group(self, name, epoch, self.settings)
        self._group_by_name[name] = group
        if self._document is not None:
            group.limits.set_configuration(self._document)
        group.set_instances(self._instance_by_id)
        self.start(Takeover(group).open())
        if not self._watching_instances:
            self._watching_instances = True
            self.start(self._watch_instances())

    def _lose(self, name: str, epoch: int) -> None:
        group = self._group_by_name.get(name)
        if group is None or group.epoch > epoch:
            return
        self.drop(group)

    def _release(self, group: Group) -> None:
        del self._group_by_name[group.name]
        group.release()
        self._refuse_waiting(group.name)

    def _refuse_waiting(self, name: str) -> None:
        for job_id, waiters in list(self._waiters_by_job_id.items()):
            others = []
            for waiter in waiters:
                if waiter.request.operation.group != name:
                    others.append(waiter)
                    continue
                answer = JobAnswer(refusal=self._not_owner(name))
                self.answer(waiter.request, answer)
            if others:
                self._waiters_by_job_id[job_id] = others
            else:
                del self._waiters_by_job_id[job_id]

    def _watch_instances(self) -> Flow:
        """Long-poll the list of workers while any group is owned."""
        while self._group_by_name:
            operation = ListInstances(
                self.settings.data_centre, self._instances_revision, INSTANCE_POLL_S
            )
            result = yield Call(STORE, operation, INSTANCE_POLL_S + POLL_SLACK_S)
            if not isinstance(result, StoreResult):
                yield Sleep(INSTANCE_RETRY_DELAY_S)
                continue
            self._instances_revision = max(self._instances_revision, result.revision)
            changed = False
            for instance in result.instances:
                if instance.role == "worker":
                    self._instance_by_id[instance.id] = instance
                    changed = True
            if changed:
                for group in self._group_by_name.values():
                    group.set_instances(self._instance_by_id)
        self._watching_instances = False

    def _configure(self, document: ConfigurationDocument) -> None:
        self._document = document
        for group in self._group_by_name.values():
            group.limits.set_configuration(document)

    def _set_allotments(self, epoch: int, parts_by_team: dict[str, int]) -> None:
        for group in self._group_by_name.values():
            if group.epoch == epoch:
                group.limits.set_allotments(parts_by_team)

    def _tick(self) -> None:
        now = self.now.mono
        self._answer_slow_submissions(now)
        self._answer_waiters(now)
        if now >= self._next_delete_at:
            self._next_delete_at = now + DELETE_INTERVAL_S
            for group in self._group_by_name.values():
                group.delete_expired_jobs()
        if now >= self._next_policy_at:
            self._next_policy_at = now + POLICY_INTERVAL_S
            for group in self._group_by_name.values():
                group.limits.refresh()
                self.request_decisions(group)

    def _answer_slow_submissions(self, now: float) -> None:
        open_submissions = []
        for pending in self.pending_submissions:
            if pending.answered:
                continue
            if now < pending.answer_deadline:
                open_submissions.append(pending)
                continue
            pending.answered = True
            slow = Refusal(
                "store_slow",
                Ran.MAYBE,
                "acceptance is not yet durable; ask again with the same key",
                NOT_READY_RETRY_S,
            )
            verdicts = tuple(
                JobVerdict(verdict.job_id, verdict.refusal or slow)
                for verdict in pending.verdicts
            )
            self.answer(pending.request, SubmitAnswer(verdicts))
        self.pending_submissions = open_submissions

    def _answer_waiters(self, now: float) -> None:
        for job_id, waiters in list(self._waiters_by_job_id.items()):
            waiting = []
            for waiter in waiters:
                if now < waiter.until:
                    waiting.append(waiter)
                else:
                    self._answer_state(waiter.request)
            if waiting:
                self._waiters_by_job_id[job_id] = waiting
            else:
                del self._waiters_by_job_id[job_id]

    def _submit(self, request: Request, submission: SubmitJobs) -> None:
        group = self._active_group(submission.group)
        if group is None:
            refusal = self._not_owner(submission.group)
            self.answer(request, SubmitAnswer(refusal=refusal))
            return
        self.start(submit_jobs(self, group, request, submission.jobs))

    def _fetch(self, request: Request, fetch: FetchJob) -> None:
        record = self._find(fetch.group, fetch.job_id, fetch.team)
        if record is None or record.is_finalized or fetch.wait_s <= 0:
            self._answer_state(request)
            return
        waiter = _Waiter(request, self.now.mono + fetch.wait_s)
        self._waiters_by_job_id.setdefault(fetch.job_id, []).append(waiter)

    def _cancel(self, request: Request, cancel: CancelJob) -> None:
        group = self._active_group(cancel.group)
        record = self._find(cancel.group, cancel.job_id, cancel.team)
        if group is not None and record is not None:
            group.cancel(record)
        self._answer_state(request)

    def _answer_state(self, request: Request) -> None:
        operation = request.operation
        record = self._find(operation.group, operation.job_id, operation.team)
        if record is not None:
            self.answer(request, JobAnswer(job_status(record)))
        elif self._active_group(operation.group) is None:
            self.answer(request, JobAnswer(refusal=self._not_owner(operation.group)))
        else:
            refusal = Refusal("unknown_job", Ran.NO, "no such job is known")
            self.answer(request, JobAnswer(refusal=refusal))

    def _find(self, group_name: str, job_id: str, team: str) -> JobRecord | None:
        group = self._active_group(group_name)
        if group is None:
            return None
        record = group.record_by_id.get(job_id)
        if record is None or (team and record.job.team != team):
            return None
        return record

    def _active_group(self, name: str) -> Group | None:
        group = self._group_by_name.get(name)
        if group is None or group.phase is not Phase.ACTIVE:
            return None
        return group

    def _not_owner(self, name: str) -> Refusal:
        known = self._group_by_name.get(name)
        code = "not_owner" if known is None else "not_ready"
        detail = f"this entry does not serve group {name} now"
        return Refusal(code, Ran.NO, detail, NOT_READY_RETRY_S)

    def _status(self) -> tuple[GroupStatus, ...]:
        return tuple(
            group.status(self._fault_by_group.get(name, ""))
            for name, group in sorted(self._group_by_name.items())
        )

"""Sends each request to the entry that owns the job's group, with retries.

The owner may change or be unreachable while a request is in flight. The role
retries with exponential backoff until the deadline passes or the retry budget is
spent.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from ..membership.messages import PeersView
from ..model.verdict import Ran
from ..observability.events import log_event
from ..peers.calls import PeerCall
from ..peers.messages import (
    CancelJob,
    FetchJob,
    GroupOwner,
    JobAnswer,
    JobVerdict,
    Refusal,
    SubmitAnswer,
    SubmitJobs,
)
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.role import PEERS, CallFailed, Request
from .budget import RetryBudget
from .home import group_of_job
from .messages import RouteCancel, RouteFetch, RouteSubmit, RouteSubmitResult

if TYPE_CHECKING:
    from ..model.job import Job
    from ..settings.schema import Settings

__all__ = ["RoutingRole"]

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
CALL_TIMEOUT_S = 4.0
CALL_TIMEOUT_MARGIN_S = 1.0
FETCH_CALL_WAIT_S = 10.0
LOOKUP_TIMEOUT_S = 10.0
MAX_RETRY_TOKENS = 100.0
RETRY_TOKENS_PER_SUCCESS = 0.2
RETRY_AFTER_S = 2.0

_TRANSIENT_CODES = frozenset(("not_owner", "not_ready", "owner_changed", "accepting"))


@dataclass(slots=True)
class _Attempts:
    """Combined outcome of all calls made for one request.

    ``ran`` is ``NO`` only while no call may have taken effect.
    """

    deadline_at: float
    started_at: float
    ran: Ran = Ran.NO
    count: int = 0
    backoff_count: int = 0
    refusal: Refusal | None = None
    reason: str = "no owner of the data centre's group is known"


class RoutingRole(FlowRole):
    """Looks up the owner of each job's group and calls it.

    Submissions are idempotent: the owner in the job's home data centre detects a
    repeated job identifier. Each retry spends a token of the retry budget.
    """

    name = "routing"

    def __init__(self, entry_id: str, settings: Settings, seed: int) -> None:
        super().__init__(entry_id)
        self._entry_id = entry_id
        self._settings = settings
        self._random = random.Random(seed)
        self._view: PeersView | None = None
        self._budget = RetryBudget(MAX_RETRY_TOKENS, RETRY_TOKENS_PER_SUCCESS)

    @classmethod
    def from_settings(cls, entry_id: str, settings: Settings, seed: int) -> RoutingRole:
        """Create the role of one entry.

        :param seed: seed of the random backoff jitter.
        """
        return cls(entry_id, settings, seed)

    def receive(self, message: Any) -> None:
        """Process a membership view or a request from the gateway."""
        match message:
            case PeersView():
                self._view = message
            case Request(operation=RouteSubmit() as submit):
                self.start(self._submit(message, submit))
            case Request(operation=RouteFetch() as fetch):
                self.start(self._fetch(message, fetch))
            case Request(operation=RouteCancel() as cancel):
                self.start(self._cancel(message, cancel))

    def _submit(self, request: Request, submit: RouteSubmit) -> Flow:
        deadline_at = self.now.mono + submit.accept_s
        if len(submit.jobs) == 1 and submit.wait_s > 0:
            yield from self._submit_and_wait(request, submit, deadline_at)
            return
        verdict_by_job_id: dict[str, JobVerdict] = {}
        for group, jobs in self._by_group(submit.jobs).items():
            verdicts = yield from self._submit_group(group, jobs, deadline_at)
            verdict_by_job_id.update((item.job_id, item) for item in verdicts)
        ordered = tuple(verdict_by_job_id[job.id] for job in submit.jobs)
        self.answer(request, RouteSubmitResult(ordered))

    def _by_group(self, jobs: tuple[Job, ...]) -> dict[str, tuple[Job, ...]]:
        jobs_by_group: dict[str, list[Job]] = {}
        for job in jobs:
            group = group_of_job(job.id, self._settings.data_centres)
            jobs_by_group.setdefault(group or "", []).append(job)
        return {group: tuple(jobs) for group, jobs in jobs_by_group.items()}

    def _submit_group(
        self, group: str, jobs: tuple[Job, ...], deadline_at: float
    ) -> Flow:
        """Submit jobs of one group, retrying those with a transient refusal.

        :returns: one verdict per job, in the order of ``jobs``.
        """
        verdict_by_job_id: dict[str, JobVerdict] = {}
        waiting = jobs
        attempts = _Attempts(deadline_at, self.now.mono)
        while waiting:
            call = SubmitJobs(group, waiting, CALL_TIMEOUT_S, self._entry_id)
            answer = yield from self._call_owner(group, call, attempts)
            if not isinstance(answer, SubmitAnswer):
                break
            if answer.refusal is not None:
                refused = [JobVerdict(job.id, answer.refusal) for job in waiting]
                verdict_by_job_id.update(
                    (verdict.job_id, verdict) for verdict in refused
                )
                break
            still_waiting = []
            for job, verdict in zip(waiting, answer.verdicts):
                if self._is_transient(verdict.refusal):
                    attempts.refusal = verdict.refusal
                    attempts.ran = attempts.ran.combine(verdict.refusal.ran)
                    still_waiting.append(job)
                else:
                    verdict_by_job_id[job.id] = verdict
            waiting = tuple(still_waiting)
            if waiting and not self._spend_retry_token(attempts):
                break
            if waiting and not (yield from self._back_off(attempts)):
                break
        if len(verdict_by_job_id) == len(jobs):
            return [verdict_by_job_id[job.id] for job in jobs]
        refusal = self._give_up(group, attempts)
        return [
            verdict_by_job_id.get(job.id, JobVerdict(job.id, refusal)) for job in jobs
        ]

    def _submit_and_wait(
        self, request: Request, submit: RouteSubmit, deadline_at: float
    ) -> Flow:
        job = submit.jobs[0]
        group = group_of_job(job.id, self._settings.data_centres) or ""
        wait_until = self.now.mono + submit.wait_s
        earlier_ran = Ran.NO
        while True:
            accept_by = max(deadline_at, min(wait_until, self.now.mono))
            verdicts = yield from self._submit_group(group, submit.jobs, accept_by)
            refusal = verdicts[0].refusal
            if refusal is not None:
                refusal = replace(refusal, ran=refusal.ran.combine(earlier_ran))
                self.answer(request, RouteSubmitResult((JobVerdict(job.id, refusal),)))
                return
            earlier_ran = Ran.MAYBE
            answer = yield from self._fetch_until(group, job.id, "", wait_until)
            if answer.status is not None or job.durable:
                break
            # A job that is not durable is lost when its owner stops. Such a job is
            # always repeatable, so it is submitted again.
            if self.now.mono >= wait_until or answer.refusal.code != "unknown_job":
                break
        if not job.durable and not _is_final(answer):
            yield from self._cancel_at(group, job.id)
        self.answer(request, RouteSubmitResult(tuple(verdicts), answer.status))

    def _cancel_at(self, group: str, job_id: str) -> Flow:
        attempts = _Attempts(self.now.mono + CALL_TIMEOUT_S, self.now.mono)
        call = CancelJob(group, job_id)
        yield from self._call_owner(group, call, attempts)

    def _fetch(self, request: Request, fetch: RouteFetch) -> Flow:
        group = group_of_job(fetch.job_id, self._settings.data_centres)
        if group is None:
            self.answer(request, _unknown_job())
            return
        until = self.now.mono + fetch.wait_s
        answer = yield from self._fetch_until(group, fetch.job_id, fetch.team, until)
        self.answer(request, answer)

    def _fetch_until(self, group: str, job_id: str, team: str, until: float) -> Flow:
        while True:
            remaining_s = until - self.now.mono
            wait_s = max(0.0, min(remaining_s, FETCH_CALL_WAIT_S))
            attempts = _Attempts(
                max(until, self.now.mono + LOOKUP_TIMEOUT_S), self.now.mono
            )
            call = FetchJob(group, job_id, wait_s, team)
            answer = yield from self._call_owner(group, call, attempts)
            if not isinstance(answer, JobAnswer):
                return JobAnswer(refusal=self._give_up(group, attempts))
            if _is_final(answer) or answer.refusal is not None:
                return answer
            if self.now.mono >= until:
                return answer

    def _cancel(self, request: Request, cancel: RouteCancel) -> Flow:
        group = group_of_job(cancel.job_id, self._settings.data_centres)
        if group is None:
            self.answer(request, _unknown_job())
            return
        attempts = _Attempts(self.now.mono + LOOKUP_TIMEOUT_S, self.now.mono)
        call = CancelJob(group, cancel.job_id, cancel.team)
        answer = yield from self._call_owner(group, call, attempts)
        if not isinstance(answer, JobAnswer):
            answer = JobAnswer(refusal=self._give_up(group, attempts))
        self.answer(request, answer)

    def _call_owner(self, group: str, call: Any, attempts: _Attempts) -> Flow:
        """Call the owner, retrying until the deadline or until the budget is spent.

        :returns: the owner's answer, or ``None`` if no owner gave a final one.
        """
        while True:
            owner = self._owner_of(group)
            if owner is not None:
                result = yield self._call_to(owner, call, attempts)
                attempts.count += 1
                if isinstance(result, CallFailed):
                    attempts.ran = attempts.ran.combine(result.ran)
                    attempts.reason = result.reason
                elif not self._is_transient(result.refusal):
                    self._budget.record_success()
                    self._log_routed(group, call, owner, attempts)
                    return result
                else:
                    attempts.refusal = result.refusal
                if not self._spend_retry_token(attempts):
                    return None
            if not (yield from self._back_off(attempts)):
                return None

    def _call_to(self, owner: GroupOwner, call: Any, attempts: _Attempts) -> Call:
        wait_s = getattr(call, "wait_s", 0.0)
        remaining_s = max(INITIAL_BACKOFF_S, attempts.deadline_at - self.now.mono)
        timeout_s = min(CALL_TIMEOUT_S, remaining_s) + wait_s + CALL_TIMEOUT_MARGIN_S
        if owner.entry_id == self._entry_id:
            return Call("scheduler", call, timeout_s)
        return Call(PEERS, PeerCall(owner.address, call), timeout_s)

    def _spend_retry_token(self, attempts: _Attempts) -> bool:
        """Spend a token for another call; return whether one was available.

        Waiting until an owner is known spends no token.
        """
        if self._budget.try_spend():
            return True
        attempts.reason = "the retry budget is spent"
        return False

    def _back_off(self, attempts: _Attempts) -> Flow:
        """Wait with exponential backoff and jitter before the next attempt.

        :returns: ``False``, without waiting, if the deadline would pass first.
        """
        remaining_s = attempts.deadline_at - self.now.mono
        backoff_s = min(
            MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(attempts.backoff_count, 8)
        )
        backoff_s *= 0.5 + self._random.random() / 2
        if backoff_s >= remaining_s:
            return False
        attempts.backoff_count += 1
        yield Sleep(backoff_s)
        return True

    def _owner_of(self, group: str) -> GroupOwner | None:
        if self._view is None:
            return None
        owner = self._view.owner_by_group.get(group)
        if owner is None or not owner.address:
            return None
        return owner

    @staticmethod
    def _is_transient(refusal: Refusal | None) -> bool:
        return refusal is not None and refusal.code in _TRANSIENT_CODES

    def _give_up(self, group: str, attempts: _Attempts) -> Refusal:
        detail = attempts.reason
        if attempts.refusal is not None:
            detail = attempts.refusal.detail
        log_event(
            "request_not_routed",
            group=group,
            attempts=attempts.count,
            ran=attempts.ran,
            reason=detail,
            took_s=round(self.now.mono - attempts.started_at, 3),
        )
        return Refusal("no_owner", attempts.ran, detail, RETRY_AFTER_S)

    def _log_routed(
        self, group: str, call: Any, owner: GroupOwner, attempts: _Attempts
    ) -> None:
        for job_id in _job_ids(call):
            log_event(
                "request_routed",
                job=job_id,
                request=type(call).__name__,
                group=group,
                owner=owner.entry_id,
                epoch=owner.epoch,
                attempt=attempts.count,
                via=self._entry_id,
                reason="owner of the job's home",
                candidates=len(self._view.known) + 1 if self._view else 0,
                took_s=round(self.now.mono - attempts.started_at, 3),
            )


def _job_ids(call: Any) -> list[str]:
    if isinstance(call, SubmitJobs):
        return [job.id for job in call.jobs]
    return [call.job_id]


def _is_final(answer: JobAnswer) -> bool:
    if answer.status is None:
        return False
    return answer.status.state not in ("pending", "running")


def _unknown_job() -> JobAnswer:
    return JobAnswer(refusal=Refusal("unknown_job", Ran.NO, "no such job is known"))

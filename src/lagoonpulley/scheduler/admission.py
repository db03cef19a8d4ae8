"""Admission control: validates submitted jobs and journals their acceptance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..journal.messages import Committed, NotCommitted
from ..model.job import Job, JobKind
from ..model.verdict import Ran
from ..observability.events import log_event
from ..peers.messages import JobVerdict, Refusal, SubmitAnswer
from .records import JobRecord, job_document, job_key

if TYPE_CHECKING:
    from ..runtime.flows import Flow
    from ..runtime.role import Request
    from .group import Group
    from .role import SchedulerRole

__all__ = ["PendingSubmission", "check_job", "submit_jobs"]

RETRY_AFTER_FULL_S = 5.0
RETRY_AFTER_STORE_S = 5.0
RETRY_AFTER_ACCEPTING_S = 1.0
ACCEPTANCE_TIMEOUT_S = 3.0


@dataclass(slots=True)
class PendingSubmission:
    """A submission whose acceptance is being committed.

    ``answer_deadline`` is on the monotonic clock; the caller is answered then even
    if the commit has not completed.
    """

    request: Request
    verdicts: list[JobVerdict]
    answer_deadline: float
    answered: bool = False


def submit_jobs(
    role: SchedulerRole, group: Group, request: Request, jobs: tuple[Job, ...]
) -> Flow:
    """Accept or refuse each job of a submission.

    Durable jobs are journalled in one append before they are reported as accepted.
    """
    verdicts: list[JobVerdict] = []
    fresh: list[JobRecord] = []
    for job in jobs:
        refusal = check_job(role, group, job)
        known = group.record_by_id.get(job.id)
        if refusal is None and known is None:
            record = _new_record(group, job)
            role.accepting_by_id[job.id] = record
            fresh.append(record)
        verdicts.append(JobVerdict(job.id, refusal))
    pending = PendingSubmission(
        request, verdicts, group.now.mono + ACCEPTANCE_TIMEOUT_S
    )
    durable = [record for record in fresh if record.job.durable]
    result = Committed()
    if durable:
        role.pending_submissions.append(pending)
        puts = tuple(
            (job_key(record.job.id), job_document(record)) for record in durable
        )
        result = yield group.journal_call(puts, fail_fast=True)
    _finish_submission(role, group, pending, fresh, result)


def _new_record(group: Group, job: Job) -> JobRecord:
    """Create the record of a job that is not known in this epoch.

    A job that is not durable may have run under a previous owner.
    """
    record = JobRecord.from_job(job, group.now.wall)
    if not job.durable and group.epoch > 1:
        for task in record.tasks:
            task.ran_before = Ran.MAYBE
    return record


def _finish_submission(
    role: SchedulerRole,
    group: Group,
    pending: PendingSubmission,
    fresh: list[JobRecord],
    result: Committed | NotCommitted,
) -> None:
    refused: dict[str, Refusal] = {}
    for record in fresh:
        role.accepting_by_id.pop(record.job.id, None)
        refusal = _refusal_of(group, record.job, result)
        if refusal is not None:
            refused[record.job.id] = refusal
            continue
        group.admit(record)
        log_event(
            "job_accepted",
            job=record.job.id,
            team=record.job.team,
            kind=record.job.kind,
            tasks=record.job.tasks,
            epoch=group.epoch,
        )
    if pending.answered:
        return
    pending.answered = True
    verdicts = tuple(
        JobVerdict(verdict.job_id, refused.get(verdict.job_id, verdict.refusal))
        for verdict in pending.verdicts
    )
    role.answer(pending.request, SubmitAnswer(verdicts))


def _refusal_of(
    group: Group, job: Job, result: Committed | NotCommitted
) -> Refusal | None:
    """Return why a job is not accepted after its journal append, or ``None``."""
    committed = isinstance(result, Committed)
    if group.is_inactive:
        ran = Ran.NO
        if job.durable:
            ran = Ran.MAYBE if committed else result.ran
        detail = "the group changed its owner"
        return Refusal("owner_changed", ran, detail, RETRY_AFTER_ACCEPTING_S)
    if committed or not job.durable:
        return None
    return _not_committed(result)


def _not_committed(result: NotCommitted) -> Refusal:
    return Refusal("store_unavailable", result.ran, result.reason, RETRY_AFTER_STORE_S)


def check_job(role: SchedulerRole, group: Group, job: Job) -> Refusal | None:
    """Return why a job cannot be accepted, or ``None``.

    A repeated submission of an accepted job is accepted if the digest is the same.
    """
    known = group.record_by_id.get(job.id) or role.accepting_by_id.get(job.id)
    if known is not None:
        return _check_duplicate(role, job, known)
    lacking = group.core.find_lacking_resource(job)
    if lacking is not None:
        return Refusal(
            "unsatisfiable",
            Ran.NO,
            f"no worker of this data centre could ever hold the job: {lacking}",
        )
    refusal = _check_limit(group, job)
    if refusal is not None:
        return refusal
    return _check_queue(role, group, job)


def _check_duplicate(role: SchedulerRole, job: Job, known: JobRecord) -> Refusal | None:
    if known.job.digest != job.digest:
        return Refusal(
            "idempotency_mismatch",
            Ran.NO,
            "the Idempotency-Key was used for another request",
        )
    if job.id in role.accepting_by_id:
        return Refusal(
            "accepting",
            Ran.MAYBE,
            "the same request is being accepted",
            RETRY_AFTER_ACCEPTING_S,
        )
    return None


def _check_limit(group: Group, job: Job) -> Refusal | None:
    team = group.core.team_by_name.get(job.team)
    if team is None or team.policy.withdrawn:
        return Refusal("unknown_team", Ran.NO, f"team {job.team} is not in force")
    limit = team.policy.limit
    tasks = job.tasks if job.kind is JobKind.GANG else 1
    if limit is None or job.request.times(tasks).fits_in(limit):
        return None
    if not group.limits.global_limit_allows(job, tasks):
        return Refusal(
            "over_limit", Ran.NO, f"the job is larger than team {job.team}'s limit"
        )
    return None


def _check_queue(role: SchedulerRole, group: Group, job: Job) -> Refusal | None:
    admission = role.settings.admission
    waiting = group.waiting_tasks_of(job.team) + job.tasks
    if waiting > admission.waiting_tasks_per_team:
        return Refusal(
            "team_queue_full",
            Ran.NO,
            f"team {job.team} has too many tasks waiting",
            RETRY_AFTER_FULL_S,
        )
    if group.waiting_tasks() + job.tasks > admission.waiting_tasks:
        return Refusal(
            "queue_full", Ran.NO, "too many tasks are waiting", RETRY_AFTER_FULL_S
        )
    return None

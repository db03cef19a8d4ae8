"""Routing role: retries, the retry budget and verdicts on submitted jobs."""

from __future__ import annotations

import pytest
from tests.support.role_harness import RoleHarness, make_settings

from lagoonpulley.membership.messages import PeersView
from lagoonpulley.model.job import Job, JobKind
from lagoonpulley.model.resources import Resources
from lagoonpulley.model.verdict import Ran
from lagoonpulley.peers.messages import (
    GroupOwner,
    JobVerdict,
    PeerInfo,
    Refusal,
    SubmitAnswer,
    SubmitJobs,
)
from lagoonpulley.routing.budget import RetryBudget
from lagoonpulley.routing.home import group_of_job, home_of_key, job_id_of
from lagoonpulley.routing.messages import RouteSubmit, RouteSubmitResult
from lagoonpulley.routing.role import RoutingRole
from lagoonpulley.runtime.role import CallFailed, Reply, Request

CENTRES = ("timisoara", "arad")
ME = PeerInfo("timisoara-1", 1, "timisoara", "10.0.0.1:1")
OWNER = GroupOwner("arad/0", 4, "arad-1", "10.0.1.1:1")
NOT_OWNER = SubmitAnswer(refusal=Refusal("not_owner", Ran.NO, "moved", 1.0))
CONNECTION_REFUSED = CallFailed(Ran.NO, "refused")
NO_ANSWER = CallFailed(Ran.MAYBE, "no answer")


class Router(RoleHarness):
    """Drives a routing role whose calls the test answers one by one."""

    def __init__(self, owner=OWNER):
        super().__init__(RoutingRole.from_settings("timisoara-1", make_settings(), 1))
        owners = {owner.group: owner} if owner else {}
        self.send(PeersView(ME, (ME,), frozenset(), (), owners))
        self.job = make_job()

    def submit(self):
        submit = RouteSubmit((self.job,), 5.0, 0.0)
        self.send(Request("caller", "callers", submit, 10.0))

    def answer_calls(self, *results):
        for result in results:
            while not self.open_requests:
                self.tick(0.1)
            self.reply(self.pop_request(SubmitJobs), result)

    def verdict(self):
        (reply,) = self.sent_of_type(Reply)
        assert isinstance(reply.result, RouteSubmitResult)
        return reply.result.verdicts[0]


def make_job():
    return Job(
        id=job_id_of("north", "arad/7", CENTRES),
        team="north",
        queue="reviews",
        kind=JobKind.BATCH,
        tasks=1,
        request=Resources(1000, 1, 0, 1, 1),
        run_time_s=1.0,
        deadline_s=None,
        repeatable=False,
        exclusive=True,
        durable=True,
        task_class="default",
        payload="",
        digest="",
    )


@pytest.fixture
def router():
    made = Router()
    made.submit()
    return made


def test_refused_connections_end_as_not_run(router):
    while not router.sent_of_type(Reply):
        if router.open_requests:
            router.reply(router.pop_request(SubmitJobs), CONNECTION_REFUSED)
        router.tick(0.1)
    assert router.verdict().refusal.ran is Ran.NO


def test_one_unanswered_attempt_makes_the_verdict_maybe(router):
    router.answer_calls(NO_ANSWER)
    while not router.sent_of_type(Reply):
        if router.open_requests:
            router.reply(router.pop_request(SubmitJobs), CONNECTION_REFUSED)
        router.tick(0.1)
    assert router.verdict().refusal.ran is Ran.MAYBE


def test_retry_reaches_the_answer(router):
    accepted = SubmitAnswer((JobVerdict(router.job.id),))
    router.answer_calls(CONNECTION_REFUSED, NOT_OWNER, NO_ANSWER, accepted)
    assert router.verdict() == JobVerdict(router.job.id)


def test_final_refusal_is_passed_on_at_once(router):
    refusal = Refusal("unsatisfiable", Ran.NO, "processors_milli")
    router.answer_calls(SubmitAnswer((JobVerdict(router.job.id, refusal),)))
    assert router.verdict().refusal == refusal


def test_late_answer_of_an_answered_call_changes_nothing(router):
    accepted = SubmitAnswer((JobVerdict(router.job.id),))
    request = router.open_requests[0][1]
    router.answer_calls(accepted)
    router.reply(request, SubmitAnswer((JobVerdict("another-job"),)))
    assert router.verdict() == JobVerdict(router.job.id)


def test_without_an_owner_the_request_is_given_up_at_its_deadline():
    router = Router(owner=None)
    router.submit()
    for _ in range(60):
        router.tick(0.1)
    assert router.verdict().refusal.ran is Ran.NO
    assert router.open_requests == []


def test_exhausted_budget_ends_retries_early():
    router = Router()
    budget = router.role._budget
    while budget.try_spend():
        continue
    router.submit()
    router.answer_calls(NO_ANSWER)
    assert router.verdict().refusal.ran is Ran.MAYBE


def test_budget_is_refilled_by_successes():
    budget = RetryBudget(max_tokens=1.0, tokens_per_success=0.5)
    assert budget.try_spend()
    assert not budget.try_spend()
    budget.record_success()
    budget.record_success()
    assert budget.try_spend()


def test_home_is_named_by_prefix_or_hash():
    assert home_of_key("arad/1", CENTRES) == "arad"
    assert home_of_key("elsewhere/1", CENTRES) in CENTRES
    job_id = job_id_of("north", "arad/1", CENTRES)
    assert job_id == job_id_of("north", "arad/1", CENTRES)
    assert job_id != job_id_of("south", "arad/1", CENTRES)
    assert group_of_job(job_id, CENTRES) == "arad/0"
    assert group_of_job("nonsense", CENTRES) is None

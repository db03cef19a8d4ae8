"""Answers of the platform's gateway for outcomes of the intake role."""

from __future__ import annotations

import pytest
from werkzeug.test import Client

from lagoonpulley.intake.messages import Outcome, OutcomeKind
from lagoonpulley.intake.readiness import EntryReadiness
from lagoonpulley.platform.gateway import (
    DEFAULT_TIMEOUT_S,
    MAX_TIMEOUT_S,
    PlatformGateway,
)
from lagoonpulley.policy.messages import PolicyChanged, PolicyConfirmed
from lagoonpulley.policy.values import Policy, Queue
from lagoonpulley.runtime.role import Now
from lagoonpulley.store.health import StoreHealthTracker

POLICY = Policy(
    version=1,
    revision=1,
    queue_by_name={"reviews": Queue("reviews", "localhost", "/reviews/", "service")},
    service_by_name={},
    team_by_name={},
    team_by_api_key={"north": "north"},
)
PATH = "/reviews/" + "a" * 16
CALLER = {"X-Api-Key": "north"}


class FixedOutcome:
    """A runtime whose calls all have the same outcome."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.timeouts_s = []

    def call(self, to, operation, timeout_s, request_id):
        self.timeouts_s.append(timeout_s)
        return self.outcome


def now():
    return Now(0.0, 0.0)


def client_of(runtime, policy_age_s=0.0):
    readiness = EntryReadiness(StoreHealthTracker(now), now, max_policy_age_s=1.5)
    readiness.submit(PolicyChanged(POLICY))
    readiness.submit(PolicyConfirmed(now().mono - policy_age_s))
    return Client(PlatformGateway(runtime, readiness, now))


@pytest.mark.parametrize("retry_after_s", [1, 2, 5])
def test_refusal_says_when_to_retry(retry_after_s):
    outcome = Outcome(OutcomeKind.REFUSED, "no owner", retry_after_s=retry_after_s)
    response = client_of(FixedOutcome(outcome)).get(PATH, headers=CALLER)
    assert response.status_code == 503
    assert response.headers["Retry-After"] == str(retry_after_s)


@pytest.mark.parametrize(
    ("deadline_ms", "timeout_s"),
    [
        ("nan", DEFAULT_TIMEOUT_S),
        ("none", DEFAULT_TIMEOUT_S),
        ("", DEFAULT_TIMEOUT_S),
        ("inf", MAX_TIMEOUT_S),
        ("-inf", 0.0),
        ("-1", 0.0),
        ("1500", 1.5),
        ("60000", MAX_TIMEOUT_S),
    ],
)
def test_timeout_follows_the_deadline_header(deadline_ms, timeout_s):
    runtime = FixedOutcome(Outcome(OutcomeKind.DONE))
    headers = {**CALLER, "Deadline-Ms": deadline_ms}
    assert client_of(runtime).get(PATH, headers=headers).status_code == 200
    assert runtime.timeouts_s == [timeout_s]


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [(PATH, "north", 200), (PATH, "other", 401), ("/none/", "north", 404)],
)
@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
def test_no_answer_depends_on_a_policy_that_is_not_confirmed(method, path, key, status):
    runtime = FixedOutcome(Outcome(OutcomeKind.DONE))
    headers = {"X-Api-Key": key, "Deadline-Ms": "1"}
    body = {"spec": "", "steps": [{"count": 1, "cpu": 1, "memMb": 1, "estimateMs": 1}]}
    confirmed = client_of(runtime, policy_age_s=1.4)
    response = confirmed.open(path, method=method, headers=headers, json=body)
    assert response.status_code == status
    runtime.timeouts_s.clear()
    unconfirmed = client_of(runtime, policy_age_s=1.6)
    response = unconfirmed.open(path, method=method, headers=headers, json=body)
    assert response.status_code == 503
    assert response.headers["Retry-After"] == "1"
    assert runtime.timeouts_s == []

"""Answers to the callers that wait for jobs of a group that is lost."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from tests.support.role_harness import RoleHarness, make_settings

from lagoonpulley.observability.metrics import NoMetrics
from lagoonpulley.ownership.messages import GroupLost
from lagoonpulley.peers.messages import FetchJob, JobAnswer
from lagoonpulley.runtime.role import Reply, Request
from lagoonpulley.scheduler.role import SchedulerRole


@dataclass(eq=False)
class OwnedGroup:
    """A group as the role sees it, without a journal or workers."""

    name: str
    epoch: int = 1

    def close(self):
        """Do nothing: there is nothing to close."""


@pytest.fixture
def harness():
    settings = make_settings()
    return RoleHarness(SchedulerRole(settings.entry_id, settings, NoMetrics()))


def wait_for_job(harness, group, job_id):
    """Let a caller wait for a job of a group that the role owns."""
    role = harness.role
    role._group_by_name.setdefault(group, OwnedGroup(group))
    role._find = lambda *_: type("Record", (), {"is_finalized": False})
    fetch = FetchJob(group, job_id, wait_s=60.0)
    role._fetch(Request(job_id, "caller", fetch, 60.0), fetch)


def refused_ids(harness):
    replies = harness.sent_of_type(Reply)
    return [
        reply.request_id for reply in replies if isinstance(reply.result, JobAnswer)
    ]


def test_waiters_of_other_groups_go_on_waiting_when_one_is_lost(harness):
    wait_for_job(harness, "one", "job-1")
    wait_for_job(harness, "two", "job-2")
    harness.send(GroupLost("one", 1))
    assert refused_ids(harness) == ["job-1"]
    harness.send(GroupLost("two", 1))
    assert refused_ids(harness) == ["job-1", "job-2"]


def test_waiters_are_refused_when_a_worker_has_deposed_the_owner(harness):
    wait_for_job(harness, "one", "job-1")
    harness.role.drop(harness.role._group_by_name["one"])
    harness.send(GroupLost("one", 1))
    assert refused_ids(harness) == ["job-1"]

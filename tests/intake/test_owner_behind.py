"""Submissions while the owner works but does not start jobs in time."""

from __future__ import annotations

import pytest
from tests.support.steps import StepWorld, step

from lagoonpulley.intake.messages import OutcomeKind
from lagoonpulley.runtime.flows import Sleep


@pytest.fixture
def world():
    made = StepWorld(entries=3)
    made.run(2.0)
    return made


def submit_for(world, seconds, first=0):
    """Submit five jobs a second, and return the outcomes."""
    outcomes = []
    for number in range(first, first + int(seconds * 5)):
        outcomes.append(world.submit(f"{number:016x}", payload="seconds=60"))
        world.run(0.2)
    return outcomes


def refused(outcomes):
    return [one for one in outcomes if one.kind is OutcomeKind.REFUSED]


def test_submissions_are_refused_while_no_round_considers_jobs(world, monkeypatch):
    with monkeypatch.context() as patch:
        patch.setattr(world.owner().owner, "_plan", lambda term, max_starts: None)
        assert refused(submit_for(world, 1.0)) == []
        submit_for(world, 6.0, first=100)
        later = submit_for(world, 2.0, first=200)
        assert refused(later) == later
        assert later[0].reason == "the owner is behind"
    world.run(3.0)
    assert refused(submit_for(world, 1.0, first=300)) == []


def test_submissions_are_refused_while_the_owner_does_not_see_them(world, monkeypatch):
    def wait_forever(term, revision):
        while True:
            yield Sleep(60.0)

    for entry in world.entry_by_name.values():
        monkeypatch.setattr(entry.owner._jobs, "watch", wait_forever)
        monkeypatch.setattr(entry.owner._jobs, "check_watch", lambda term: None)
    world.kill(world.owner())
    world.run(4.0)
    assert refused(submit_for(world, 1.0)) == []
    submit_for(world, 6.0, first=100)
    later = submit_for(world, 2.0, first=200)
    assert refused(later) == later


@pytest.mark.parametrize("policy", [{}, {"teams": {"north": [1000, 0, 0]}}])
def test_submissions_queue_for_capacity_and_limits(world, policy):
    world.set_policy(2, **policy)
    world.submit("b" * 16, step(count=48), payload="seconds=60")
    assert refused(submit_for(world, 15.0)) == []


def test_owner_that_reads_jobs_again_because_its_watch_is_silent_is_not_behind(world):
    world.submit("b" * 16)
    # The end of this job is the first change that the watch misses.
    world.delivers_watch_events = False
    world.run(2.0)
    assert refused(submit_for(world, 10.0)) == []

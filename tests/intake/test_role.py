"""Callers' requests against a store that is there, away or silent."""

from __future__ import annotations

import pytest
from tests.support.steps import POLICY_KEY, StepWorld, step

from lagoonpulley.intake.messages import (
    CancelJob,
    OutcomeKind,
    ReadPending,
    ReadState,
    SubmitJob,
)
from lagoonpulley.workload.documents import JobKeys
from lagoonpulley.workload.record import JobState
from lagoonpulley.workload.spec import JobSpec

JOB = "a" * 16


@pytest.fixture
def world():
    made = StepWorld(entries=3)
    made.run(1.0)
    return made


def ask(world, operation, number=0):
    return world.call_intake(world.entry_by_name[f"e{number}"], operation)


def submission(world, payload="seconds=1", team="north"):
    spec = JobSpec(JOB, "reviews", team, payload, (step(),), world.clock.now.wall)
    revision = world.store.key_value_by_key[POLICY_KEY].revision
    return SubmitJob(spec, POLICY_KEY, revision)


def test_submission_is_accepted_once(world):
    assert ask(world, submission(world)).kind is OutcomeKind.DONE
    assert ask(world, submission(world), 1).kind is OutcomeKind.DONE
    world.run(5.0)
    assert ask(world, submission(world), 2).kind is OutcomeKind.DONE
    world.run(5.0)
    assert len(world.executions(JOB)) == 1


def test_submission_of_another_team_is_not_taken_for_the_same(world):
    ask(world, submission(world))
    outcome = ask(world, submission(world, team="south"))
    assert outcome.kind is OutcomeKind.OTHER_TEAM


def test_submission_under_an_old_policy_is_not_stored(world):
    old = submission(world)
    world.set_policy(2)
    assert ask(world, old).kind is OutcomeKind.POLICY_CHANGED
    assert JobKeys(JOB).submission not in world.store.key_value_by_key


def test_submission_goes_by_another_entry_when_the_store_turns_this_one_away(world):
    world.entry_by_name["e0"].has_store = False
    assert ask(world, submission(world)).kind is OutcomeKind.DONE
    assert JobKeys(JOB).submission in world.store.key_value_by_key


def test_submission_is_refused_at_once_when_no_entry_has_the_store(world):
    world.store_up = False
    world.run(1.5)
    began = world.clock.mono
    assert ask(world, submission(world)).kind is OutcomeKind.REFUSED
    assert world.clock.mono - began < 0.2


def test_submission_without_an_answer_is_not_called_refused(world):
    world.lose_answers = 1.0
    assert ask(world, submission(world)).kind is OutcomeKind.UNKNOWN
    assert JobKeys(JOB).submission in world.store.key_value_by_key


def test_state_follows_the_job(world):
    assert ask(world, ReadState(JOB, "north")).kind is OutcomeKind.MISSING
    ask(world, submission(world, "seconds=2"))
    world.run(0.5)
    assert ask(world, ReadState(JOB, "north")).state is JobState.RUNNING
    world.run(3.0)
    assert ask(world, ReadState(JOB, "north")).state is JobState.COMPLETED


def test_state_is_queued_while_the_limit_of_the_team_keeps_the_job(world):
    world.set_policy(2, teams={"north": [1, 0, 0]})
    world.run(1.0)
    ask(world, submission(world))
    assert ask(world, ReadState(JOB, "north")).state is JobState.QUEUED


def test_cancel_stops_what_runs(world):
    ask(world, submission(world, "seconds=30"))
    world.run(0.5)
    assert ask(world, CancelJob(JOB, "north"), 1).kind is OutcomeKind.DONE
    assert ask(world, ReadState(JOB, "north")).state is JobState.CANCELLED
    world.run(1.0)
    assert world.executions(JOB)[0].kind.value == "stopped"
    assert ask(world, CancelJob(JOB, "north")).kind is OutcomeKind.DONE


def test_cancel_of_an_unknown_job(world):
    assert ask(world, CancelJob(JOB, "north")).kind is OutcomeKind.MISSING


def test_pending_counts_jobs_that_have_not_begun(world):
    world.set_policy(2, teams={"north": [1, 0, 0]})
    world.run(1.0)
    ask(world, submission(world))
    world.run(2.5)
    assert ask(world, ReadPending("reviews")).pending == 1


def test_submission_under_an_old_policy_brings_the_new_one_while_watches_are_deaf(
    world,
):
    old = submission(world)
    world.delivers_watch_events = False
    world.set_policy(2)
    assert ask(world, old).kind is OutcomeKind.POLICY_CHANGED
    world.run(0.01)
    assert world.entry_by_name["e0"].roles["policy"]._version == 2
    assert ask(world, submission(world)).kind is OutcomeKind.DONE

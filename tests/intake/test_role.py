"""Callers' requests while the store answers, is unreachable or loses its answers."""

from __future__ import annotations

import pytest
from tests.support.step_documents import POLICY_KEY
from tests.support.steps import StepWorld, step

from lagoonpulley.intake.messages import (
    CancelJob,
    OutcomeKind,
    ReadPending,
    ReadState,
    SubmitJob,
)
from lagoonpulley.intake.role import MAX_WRITE_S
from lagoonpulley.store.messages import Transaction
from lagoonpulley.workload.documents import JobKeys
from lagoonpulley.workload.record import JobState
from lagoonpulley.workload.spec import JobSpec

JOB = "a" * 16
# From the acknowledgement of a policy until requests are handled by it.
POLICY_BOUND_S = 2.0
# The shortest time within which the users' callers want an answer.
SHORTEST_AIM_S = 0.25


@pytest.fixture
def world():
    made = StepWorld(entries=3)
    made.run(1.0)
    return made


def perform(world, operation, number=0):
    return world.call_intake(world.entry_by_name[f"e{number}"], operation)


def submission(world, payload="seconds=1", team="north"):
    spec = JobSpec(JOB, "reviews", team, payload, (step(),), world.clock.now.wall)
    revision = world.store.key_value_by_key[POLICY_KEY].revision
    return SubmitJob(spec, revision)


def test_submission_is_accepted_once(world):
    assert perform(world, submission(world)).kind is OutcomeKind.DONE
    assert perform(world, submission(world), 1).kind is OutcomeKind.DONE
    world.run(5.0)
    assert perform(world, submission(world), 2).kind is OutcomeKind.DONE
    world.run(5.0)
    assert len(world.executions(JOB)) == 1


def test_submission_of_another_team_is_not_a_duplicate(world):
    perform(world, submission(world))
    outcome = perform(world, submission(world, team="south"))
    assert outcome.kind is OutcomeKind.OTHER_TEAM


def test_submission_under_an_outdated_policy_is_not_stored(world):
    entry = world.entry_by_name["e0"]
    entry.unreadable_prefixes = (POLICY_KEY,)
    entry.has_peers = False
    world.set_policy(2)
    world.run(POLICY_BOUND_S)
    world.send_submission(entry, JOB)
    world.run(1.0)
    assert JobKeys(JOB).submission not in world.store.key_value_by_key


def test_submission_is_relayed_when_this_entry_cannot_reach_the_store(world):
    world.entry_by_name["e0"].has_store = False
    assert perform(world, submission(world)).kind is OutcomeKind.DONE
    assert JobKeys(JOB).submission in world.store.key_value_by_key


def test_submission_is_refused_at_once_when_no_entry_reaches_the_store(world):
    world.store_up = False
    world.run(1.5)
    began = world.clock.mono
    assert perform(world, submission(world)).kind is OutcomeKind.REFUSED
    assert world.clock.mono - began < 0.2


def test_submission_without_an_answer_is_unknown_and_not_refused(world):
    world.lose_answers = 1.0
    assert perform(world, submission(world)).kind is OutcomeKind.UNKNOWN
    assert JobKeys(JOB).submission in world.store.key_value_by_key


def test_state_follows_the_job(world):
    assert perform(world, ReadState(JOB, "north")).kind is OutcomeKind.MISSING
    perform(world, submission(world, "seconds=2"))
    world.run(0.5)
    assert perform(world, ReadState(JOB, "north")).state is JobState.RUNNING
    world.run(3.0)
    assert perform(world, ReadState(JOB, "north")).state is JobState.COMPLETED


def test_state_is_queued_while_the_team_limit_blocks_the_job(world):
    world.set_policy(2, teams={"north": [1, 0, 0]})
    world.run(1.0)
    perform(world, submission(world))
    assert perform(world, ReadState(JOB, "north")).state is JobState.QUEUED


def test_cancel_stops_running_tasks(world):
    perform(world, submission(world, "seconds=30"))
    world.run(0.5)
    assert perform(world, CancelJob(JOB, "north"), 1).kind is OutcomeKind.DONE
    assert perform(world, ReadState(JOB, "north")).state is JobState.CANCELLED
    world.run(1.0)
    assert world.executions(JOB)[0].kind.value == "stopped"
    assert perform(world, CancelJob(JOB, "north")).kind is OutcomeKind.DONE


def test_cancel_of_an_unknown_job(world):
    assert perform(world, CancelJob(JOB, "north")).kind is OutcomeKind.MISSING


def test_pending_counts_jobs_that_have_not_started(world):
    world.set_policy(2, teams={"north": [1, 0, 0]})
    world.run(1.0)
    perform(world, submission(world))
    world.run(2.5)
    assert perform(world, ReadPending("reviews")).pending == 1


def test_submission_is_accepted_under_the_new_policy_while_watches_are_silent(world):
    entry = world.entry_by_name["e0"]
    world.delivers_watch_events = False
    world.set_policy(2)
    world.run(POLICY_BOUND_S)
    assert entry.version_answered_by == 2
    world.send_submission(entry, JOB)
    world.run(0.1)
    assert JobKeys(JOB).submission in world.store.key_value_by_key


@pytest.mark.parametrize("seed", range(3))
def test_submission_is_answered_in_time_while_answers_are_lost(seed):
    world = StepWorld(entries=1, seed=seed)
    world.run(1.0)
    world.losing_operations = ("Transaction",)
    world.lose_answers = 0.25
    took_s = []
    for number in range(60):
        began = world.clock.mono
        outcome = world.submit(f"{number:016x}", payload="seconds=0.1")
        took_s.append(world.clock.mono - began)
        assert outcome.kind is OutcomeKind.DONE
    assert sorted(took_s)[len(took_s) * 8 // 10] < SHORTEST_AIM_S


def test_submission_without_answers_is_given_up_in_bounded_time(world):
    world.lose_answers = 1.0
    began = world.clock.mono
    assert perform(world, submission(world)).kind is OutcomeKind.UNKNOWN
    assert world.clock.mono - began < MAX_WRITE_S + 0.1


def test_cancellation_whose_answers_are_lost_is_never_said_not_to_have_run():
    """Its write is done and not answered, the job ends, and the next read is lost."""
    world = StepWorld(entries=1)
    world.run(1.0)
    world.set_policy(2, teams={"north": [1, 0, 0]})
    world.run(1.0)
    perform(world, submission(world))
    world.run(0.5)
    writes = []

    def loses_answer(request):
        if request.reply_to != "intake":
            return False
        if isinstance(request.operation, Transaction):
            writes.append(request.operation)
            return len(writes) == 1
        return bool(writes)

    world._loses_answer = loses_answer
    outcome = perform(world, CancelJob(JOB, "north"))
    assert len(writes) == 2
    assert outcome.kind is OutcomeKind.UNKNOWN
    writes.clear()
    assert perform(world, ReadState(JOB, "north")).state is JobState.CANCELLED


def test_submission_that_the_store_refuses_is_sent_again_until_its_deadline(world):
    world.unwritable_prefixes.add(JobKeys(JOB).submission)
    began = world.clock.mono
    assert perform(world, submission(world)).kind is OutcomeKind.REFUSED
    assert world.clock.mono - began < 0.1

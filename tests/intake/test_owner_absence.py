"""Submissions while the store answers but no owner can start jobs."""

from __future__ import annotations

import json

import pytest
from tests.support.steps import StepWorld

from lagoonpulley.intake import owner_follower
from lagoonpulley.intake.messages import CancelJob, OutcomeKind, ReadPending, ReadState
from lagoonpulley.observability.prometheus import REGISTRY
from lagoonpulley.owner.session import OWNER_KEY
from lagoonpulley.owner.status import STATUS_KEY
from lagoonpulley.store.messages import Get
from lagoonpulley.workload.documents import JOBS_PREFIX, JobKeys
from lagoonpulley.workload.record import JobState

STORED_JOB = "a" * 16
JOB = "b" * 16


@pytest.fixture
def world():
    """A cell whose owner has ended; its successors cannot load the jobs."""
    made = StepWorld(entries=3)
    made.run(2.0)
    made.submit(STORED_JOB, payload="seconds=60")
    made.run(0.5)
    made.unreadable_prefixes.add(JOBS_PREFIX)
    made.kill(made.owner())
    return made


def live_entry(world):
    return next(entry for entry in world.entry_by_name.values() if entry.alive)


def test_submission_is_admitted_during_a_takeover(world):
    world.run(2.0)
    assert world.submit(JOB).kind is OutcomeKind.DONE


def test_submission_is_refused_at_once_when_no_owner_works(world):
    world.run(6.0)
    began = world.clock.mono
    outcome = world.submit(JOB)
    assert outcome.kind is OutcomeKind.REFUSED
    assert outcome.reason == "no owner is working"
    assert outcome.retry_after_s == 2
    assert world.clock.mono - began < 0.2
    assert JobKeys(JOB).submission not in world.store.key_value_by_key


def test_refused_submission_never_runs(world):
    world.run(6.0)
    assert world.submit(JOB).kind is OutcomeKind.REFUSED
    world.unreadable_prefixes.clear()
    world.run(10.0)
    assert world.executions(JOB) == []


def test_submission_is_admitted_soon_after_an_owner_has_loaded(world):
    world.run(6.0)
    world.unreadable_prefixes.clear()
    world.run_until(lambda: world.owner().owner._term.loaded, 3.0)
    world.run(1.0)
    assert world.submit(JOB).kind is OutcomeKind.DONE
    world.run_until(lambda: world.final_state(JOB) == "completed", 5.0)


def test_stored_submission_is_confirmed_when_no_owner_works(world):
    world.run(6.0)
    outcome = world.submit(STORED_JOB, payload="seconds=60")
    assert outcome.kind is OutcomeKind.DONE
    assert world.submit(STORED_JOB, team="south").kind is OutcomeKind.OTHER_TEAM


def test_submission_that_may_be_stored_is_not_refused(world):
    world.run(6.0)
    world.unreadable_prefixes.add(JobKeys(STORED_JOB).prefix)
    outcome = world.submit(STORED_JOB, payload="seconds=60")
    assert outcome.kind is OutcomeKind.UNKNOWN


def test_consistent_reads_are_paced_when_no_owner_works(world, monkeypatch):
    world.run(6.0)
    reads = []
    apply = world.store.apply

    def apply_and_count(operation, now):
        if operation == Get(STATUS_KEY):
            reads.append(operation)
        return apply(operation, now)

    monkeypatch.setattr(world.store, "apply", apply_and_count)
    world.run(10.0)
    live = sum(entry.alive for entry in world.entry_by_name.values())
    assert 0 < len(reads) <= 11 * live


def test_reads_and_cancels_go_on_when_no_owner_works(world):
    world.run(6.0)
    entry = live_entry(world)
    read = world.call_intake(entry, ReadState(STORED_JOB, "north"))
    assert read.state is JobState.RUNNING
    assert world.call_intake(entry, ReadPending("reviews")).kind is OutcomeKind.DONE
    cancel = world.call_intake(entry, CancelJob(STORED_JOB, "north"))
    assert cancel.kind is OutcomeKind.DONE


def test_new_entry_refuses_only_what_it_has_seen_itself(world):
    world.run(6.0)
    for entry in list(world.entry_by_name.values()):
        world.kill(entry)
    world.start_entry("e9")
    world.run(1.0)
    assert world.submit(JOB).kind is OutcomeKind.DONE


def test_return_of_the_store_alone_refuses_nothing(world):
    world.unreadable_prefixes.clear()
    world.run(3.0)
    world.store_up = False
    world.run(6.0)
    world.store_up = True
    world.run(1.0)
    assert world.submit(JOB).kind is OutcomeKind.DONE


def test_owner_of_a_build_without_status_is_trusted(world):
    world.run(6.0)
    item = world.store.key_value_by_key[OWNER_KEY]
    document = json.loads(item.value)
    del document["writes_status"]
    world.put(OWNER_KEY, json.dumps(document))
    world.run(1.0)
    assert world.submit(JOB).kind is OutcomeKind.DONE


def test_absent_status_beside_an_owner_without_status_is_trusted(world):
    world.delete(STATUS_KEY)
    world.run(6.0)
    assert world.submit(JOB).kind is OutcomeKind.REFUSED
    test_owner_of_a_build_without_status_is_trusted(world)


def test_idle_owner_keeps_admission_open():
    world = StepWorld(entries=3)
    world.run(30.0)
    assert world.submit(JOB).kind is OutcomeKind.DONE


def test_changes_of_admission_are_logged_once(world, monkeypatch):
    logged = []
    monkeypatch.setattr(
        owner_follower, "log_event", lambda event, **fields: logged.append(event)
    )
    world.run(8.0)
    live = sum(entry.alive for entry in world.entry_by_name.values())
    assert logged == ["admission_closed"] * live
    world.unreadable_prefixes.clear()
    world.run(4.0)
    assert logged == ["admission_closed"] * live + ["admission_open"] * live


def test_refused_submissions_are_counted_by_reason(world):
    name = "lagoonpulley_refused_submissions_total"
    labels = {"reason": "no owner is working"}
    counted = REGISTRY.get_sample_value(name, labels) or 0.0
    world.run(6.0)
    world.submit(JOB)
    world.submit(STORED_JOB, payload="seconds=60")
    assert REGISTRY.get_sample_value(name, labels) == counted + 1

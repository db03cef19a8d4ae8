"""Elections whose responses are lost, and owners that step down."""

from __future__ import annotations

import pytest
from tests.support.steps import StepWorld, step

from lagoonpulley.model.verdict import Ran
from lagoonpulley.owner.journal import HEAD_KEY
from lagoonpulley.owner.session import OWNER_KEY
from lagoonpulley.runtime.role import CallFailed
from lagoonpulley.store.messages import Get, RevokeLease, Transaction, WatchPrefix

# How soon a caller learns that a call was lost, as when a connection is reset.
LOST_CALL_S = 0.05


def concerns_owner_record(operation):
    if isinstance(operation, Transaction):
        return any(write.key == OWNER_KEY for write in operation.puts)
    return operation == Get(OWNER_KEY)


def lose_owner_responses(world, limit):
    """Lose responses to elections, and to owner record reads after the first loss.

    :param limit: number of responses to lose.
    """
    call_store = world._call_store
    lost = []

    def call(entry, request):
        is_lost = concerns_owner_record(request.operation) and len(lost) < limit
        has_begun = lost or isinstance(request.operation, Transaction)
        if is_lost and has_begun:
            lost.append(request)
            world.lose_answers = 1.0
        call_store(entry, request)
        world.lose_answers = 0.0

    world._call_store = call
    return lost


def test_entry_whose_election_response_is_lost_becomes_owner():
    world = StepWorld(entries=2)
    world.run(2.0)
    lost = lose_owner_responses(world, limit=4)
    world.kill(world.owner())
    world.run(8.0)
    assert len(lost) == 4
    assert world.owner()


def test_owner_whose_session_lapsed_may_be_elected_again():
    world = StepWorld(entries=1)
    world.run(2.0)
    first = world.owner().owner._term.token
    lose_owner_responses(world, limit=2)
    session = world.owner().roles["session"]._session
    world.store.apply(RevokeLease(session.lease_id), world.clock.mono)
    world.run(6.0)
    assert world.owner().owner._term.token > first
    world.submit("a" * 16, step())
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 12.0)


def test_owner_that_steps_down_leaves_no_owner_record():
    world = StepWorld(entries=2)
    world.run(2.0)
    first = world.owner().owner._term.token
    world.put(HEAD_KEY, "written by somebody else")
    world.submit("a" * 16, step())
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 12.0)
    assert world.owner().owner._term.token > first


def fail_calls(world, is_match, limit):
    """Fail the next matching calls before they reach the store; returns them.

    :param is_match: takes an operation of the store.
    :param limit: number of calls to fail.
    """
    call_store = world._call_store
    failed_calls = []

    def call(entry, request):
        if len(failed_calls) >= limit or not is_match(request.operation):
            call_store(entry, request)
            return
        failed_calls.append(request.operation)
        failed = CallFailed(Ran.MAYBE, "the request was lost")
        world.clock.after(
            LOST_CALL_S, lambda: world._reply_store(entry, request, failed)
        )

    world._call_store = call
    return failed_calls


def is_revoke(operation):
    return isinstance(operation, RevokeLease)


def is_owner_watch(operation):
    return isinstance(operation, WatchPrefix) and operation.prefix == OWNER_KEY


def record_terms(world):
    """Record the token and the session's lease of each term; returns the list."""
    terms = []

    def record(entry):
        begin_term = entry.owner._begin_term

        def begin(elected):
            lease_id = entry.roles["session"]._session.lease_id
            terms.append((elected.token, lease_id))
            begin_term(elected)

        entry.owner._begin_term = begin

    for entry in world.entry_by_name.values():
        record(entry)
    return terms


def owner_lease_ids(world):
    """Return the leases that the stored owner record hangs on."""
    lease_by_id = world.store._lease_by_id
    return [name for name, lease in lease_by_id.items() if OWNER_KEY in lease.keys]


def step_down_without_revoke(world):
    """End the owner's term; all its revokes and its next watches are lost."""
    lost = fail_calls(world, is_revoke, limit=100)
    fail_calls(world, is_owner_watch, limit=2)
    world.owner().owner.step_down("test")
    return lost


@pytest.mark.parametrize("delay_s", [0.05 * number for number in range(10)])
def test_term_that_ended_does_not_begin_again_by_its_old_record(delay_s):
    world = StepWorld(entries=1)
    terms = record_terms(world)
    world.run(2.0 + delay_s)
    lost = step_down_without_revoke(world)
    world.run_until(lambda: len(terms) > 1, 4.0)
    world.run(0.01)
    assert lost
    assert terms[1][0] > terms[0][0]
    assert owner_lease_ids(world) == [terms[1][1]]


def test_record_of_a_term_that_ended_is_removed_while_its_lease_lives():
    world = StepWorld(entries=1)
    terms = record_terms(world)
    world.run(2.0)
    lease_id = terms[0][1]
    # Nothing ends the old lease: a renewal may still be under way to the store.
    world.store._lease_by_id[lease_id].ttl_s = 60.0
    world.run(0.5)
    step_down_without_revoke(world)
    world.run_until(lambda: len(terms) > 1, 4.0)
    assert lease_id in world.store._lease_by_id
    assert terms[1][0] > terms[0][0]
    assert owner_lease_ids(world) == [terms[1][1]]


def test_record_of_a_session_that_lapsed_is_not_adopted():
    world = StepWorld(entries=1)
    world.run(0.001)
    terms = record_terms(world)
    session = world.entry_by_name["e0"].roles["session"]
    call_store = world._call_store
    elections = []

    def call(entry, request):
        operation = request.operation
        is_election = isinstance(operation, Transaction) and any(
            write.key == OWNER_KEY for write in operation.puts
        )
        if not is_election or elections:
            call_store(entry, request)
            return
        elections.append(session._session.lease_id)
        world.lose_answers = 1.0
        call_store(entry, request)
        world.lose_answers = 0.0
        # Another session opens before the outcome of the election is known.
        world.clock.after(0.1, lapse)

    def lapse():
        session._session = None

    world._call_store = call
    # The old lease lives on at the store.
    grant = world.store._grant
    world.store._grant = lambda ttl_s, now: grant(60.0, now)
    world.run_until(lambda: terms, 6.0)
    assert elections
    assert elections[0] in world.store._lease_by_id
    assert terms[0][1] != elections[0]
    assert owner_lease_ids(world) == [terms[0][1]]


def test_lost_revoke_of_an_owner_that_steps_down_is_retried():
    world = StepWorld(entries=1)
    terms = record_terms(world)
    world.run(2.0)
    lease_id = terms[0][1]
    world.store._lease_by_id[lease_id].ttl_s = 60.0
    world.run(0.5)
    fail_calls(world, is_revoke, limit=1)
    world.owner().owner.step_down("test")
    world.run(1.0)
    assert lease_id not in world.store._lease_by_id


def test_lost_revokes_are_not_retried_after_the_lease_has_expired():
    world = StepWorld(entries=1)
    world.run(2.0)
    lost = fail_calls(world, is_revoke, limit=100)
    world.owner().owner.step_down("test")
    world.run(3.0)
    count = len(lost)
    world.run(5.0)
    assert 1 < len(lost) == count

"""Elections whose responses are lost, and owners that step down."""

from __future__ import annotations

from tests.support.steps import StepWorld, step

from lagoonpulley.owner.journal import HEAD_KEY
from lagoonpulley.owner.session import OWNER_KEY
from lagoonpulley.store.messages import Get, RevokeLease, Transaction


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

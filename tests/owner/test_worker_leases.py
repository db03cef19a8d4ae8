"""When the leases on a worker have certainly expired."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lagoonpulley.owner.journal import Journal
from lagoonpulley.owner.term import OwnerTerm
from lagoonpulley.owner.worker_leases import (
    TimedCommand,
    WorkerLeases,
    latest_lease_end,
)
from lagoonpulley.runtime.role import Now

EARLIER = TimedCommand(
    token=3, until_ms=0, latest_at=12.0, lease_s=3.0, answered_until=3.0
)
LATER = replace(EARLIER, token=4, latest_at=14.0, answered_until=5.0)


def leases_with_unanswered(*commands, certain_until=2.0):
    leases = WorkerLeases(certain_until)
    for command in commands:
        leases.begin(command, 0.0)
        leases.record_silence(command)
    return leases


def test_command_in_flight_may_extend_the_leases():
    leases = WorkerLeases(2.0)
    leases.begin(EARLIER, 0.0)
    assert leases.expire_at == 5.0


def test_unanswered_command_extends_a_lease_only_before_it_expires():
    assert leases_with_unanswered(EARLIER).expire_at == 5.0


def test_unanswered_commands_extend_the_leases_one_after_the_other():
    assert leases_with_unanswered(EARLIER, LATER).expire_at == 8.0


def test_command_that_is_never_carried_out_late_extends_no_later_lease():
    soon = replace(EARLIER, latest_at=1.0)
    assert leases_with_unanswered(soon, certain_until=9.0).expire_at == 9.0
    assert leases_with_unanswered(soon, certain_until=2.0).expire_at == 4.0


def test_lease_of_a_run_that_a_late_start_begins_is_extended_as_well():
    """The leases from before have expired by then."""
    leases = leases_with_unanswered(EARLIER)
    assert leases.expire_at == 5.0
    assert leases.latest_end(8.0) == 11.0


def test_answered_command_extends_the_leases_to_its_own_end():
    leases = WorkerLeases(2.0)
    leases.begin(EARLIER, 0.0)
    leases.record_answer(EARLIER)
    assert leases.expire_at == 3.0
    assert not leases.needs_token_above(3)


def test_command_that_was_not_sent_extends_nothing():
    leases = WorkerLeases(2.0)
    leases.begin(EARLIER, 0.0)
    leases.withdraw(EARLIER)
    assert leases.expire_at == 2.0


def test_later_token_rules_out_unanswered_commands_that_it_finds():
    """The worker may have carried out the earlier one just before."""
    leases = leases_with_unanswered(EARLIER, LATER)
    leases.void_below(4, now=4.0)
    assert leases.unanswered == [LATER]
    assert leases.certain_until == 7.0


def test_equal_token_rules_out_nothing():
    leases = leases_with_unanswered(EARLIER)
    leases.void_below(3, now=4.0)
    assert leases.unanswered == [EARLIER]
    assert leases.needs_token_above(3)
    assert not leases.needs_token_above(4)


def test_command_that_cannot_matter_any_more_is_forgotten():
    leases = leases_with_unanswered(EARLIER)
    leases.begin(LATER, now=EARLIER.is_over_at)
    assert leases.unanswered == []


@pytest.mark.parametrize("order", [(EARLIER, LATER), (LATER, EARLIER)])
def test_order_of_sending_does_not_matter(order):
    assert leases_with_unanswered(*order).expire_at == 8.0


BEGAN_WALL = 1000.0


def term_with_session_end(at):
    journal = Journal(1, 1)
    term = OwnerTerm(1, journal, 10.0, 0.0, began_at=0.0, began_wall=BEGAN_WALL)
    term.now = Now(0.0, BEGAN_WALL)
    term.session_expires_at = at
    return term


def test_successor_waits_as_long_as_owners_grant_and_not_as_workers_allow():
    """Tasks of a worker that dies with its owner must soon run again."""
    silent = term_with_session_end(0.0).worker_of_run("w0", 1)
    assert silent.leases.expire_at == latest_lease_end(0.0, 6.0)


@pytest.mark.parametrize("started_s_before", [-3.0, 0.0, 3.0, 28.0])
def test_successor_waits_as_long_as_workers_allow_after_a_restart(started_s_before):
    """The clocks may differ, so the worker may seem to start after the term began."""
    born = int((BEGAN_WALL - started_s_before) * 1000)
    silent = term_with_session_end(0.0).worker_of_run("w0", born)
    assert silent.leases.expire_at == latest_lease_end(0.0, 10.0)


def test_grant_that_is_carried_out_when_the_one_before_ends_is_over_by_then():
    term = term_with_session_end(1.0)
    worker = term.worker_of_run("w0", 1)
    assert term.longest_grant_s(worker) == 6.0
    worker.leases.record_answer(replace(EARLIER, answered_until=3.5))
    assert term.longest_grant_s(worker) == 1.0 + 6.0 - 3.5
    worker.leases.record_silence(replace(EARLIER, lease_s=4.0))
    worker.leases.void_below(4, now=1.0)
    assert term.longest_grant_s(worker) == 1.0 + 6.0 - 5.0

"""How soon the owner reads the jobs again once the store answers its reads."""

from __future__ import annotations

import pytest
from tests.owner.test_takeover import has_owner, store_jobs
from tests.owner.test_watch_recovery import put_submission, replace_watch_answers
from tests.support.steps import StepWorld

from lagoonpulley.store.messages import StoreResult, StoreStatus
from lagoonpulley.workload.documents import JOBS_PREFIX

# Within which the owner has to start new work once the store is back.
BACK_AT_WORK_S = 1.2
OUTAGES_S = (1.3, 2.2, 4.0, 5.2, 7.4)


def rereading_world(entries, final_count):
    """Return a world whose owner is in a reread, the only way to know of new jobs."""
    world = StepWorld(entries=entries)
    store_jobs(world, open_count=0, final_count=final_count)
    world.run(2.0)
    replace_watch_answers(world, lambda watch: StoreResult(StoreStatus.NOT_FOUND))
    watched = world.owner().owner._jobs._watched
    world.run_until(lambda: watched._is_rereading, 5.0)
    return world


def start_delay_s(world, outage_s, cuts_peers):
    """Leave reads of jobs unanswered for a time; return how long a job then waits."""
    entries = world.entry_by_name.values()
    for entry in entries:
        entry.unreadable_prefixes = (JOBS_PREFIX,)
        entry.has_peers = not cuts_peers
    world.run(outage_s)
    for entry in entries:
        entry.unreadable_prefixes = ()
        entry.has_peers = True
    put_submission(world, "a" * 16)
    return world.run_until(lambda: world.executions("a" * 16), 30.0)


@pytest.mark.parametrize("final_count", [300, 2000])
@pytest.mark.parametrize(("entries", "cuts_peers"), [(1, False), (3, False), (3, True)])
def test_owner_is_back_at_work_soon_after_its_reads_were_silent(
    entries, cuts_peers, final_count
):
    delay_by_outage_s = {}
    for outage_s in OUTAGES_S:
        world = rereading_world(entries, final_count)
        delay_by_outage_s[outage_s] = start_delay_s(world, outage_s, cuts_peers)
    assert max(delay_by_outage_s.values()) <= BACK_AT_WORK_S, delay_by_outage_s


def is_loaded(world):
    return has_owner(world) and world.owner().owner._term.loaded


def load_delay_s(entries, loses, losses_last_s, seed):
    """Lose answers with pages while a new owner loads; return how long it goes on."""
    world = StepWorld(entries=entries, seed=seed)
    world.run(1.0)
    store_jobs(world, open_count=300, final_count=1000)
    world.kill(world.owner())
    world.lose_answers = loses
    world.losing_operations = ("ReadRange",)
    world.run_until(lambda: has_owner(world), 5.0)
    world.run(losses_last_s)
    world.lose_answers = 0.0
    return world.run_until(lambda: is_loaded(world), 30.0)


# A loss of all pages is a store that answers only what is small.
@pytest.mark.parametrize("loses", [0.5, 0.9, 1.0])
@pytest.mark.parametrize("entries", [2, 4])
def test_takeover_ends_soon_after_answers_were_lost(entries, loses):
    delays = [
        load_delay_s(entries, loses, losses_last_s, seed)
        for losses_last_s in (3.0, 5.3, 8.1)
        for seed in range(3)
    ]
    assert max(delays) <= BACK_AT_WORK_S, delays

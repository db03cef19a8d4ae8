"""Tests of store calls relayed by other entries.

The store may stop answering one entry while it answers the others. An owner in this
state must keep its ownership and continue to work through the others.
"""

from __future__ import annotations

import random

import pytest
from tests.support.steps import StepWorld, step

from lagoonpulley.peers.store_relay import (
    PAGE_SILENCE_S,
    RELAY_OVERHEAD_S,
    StoreRelayRole,
)
from lagoonpulley.runtime.role import PEERS, STORE, Now, Request
from lagoonpulley.store.health import StoreHealthTracker
from lagoonpulley.store.messages import Get, ReadRange, WatchPrefix
from lagoonpulley.store.route import STORE_RELAY, RelayCall


@pytest.fixture
def world():
    made = StepWorld(entries=3)
    made.run(3.0)
    return made


def test_owner_without_direct_store_access_continues_by_relayed_calls(world):
    owner = world.owner()
    token = owner.owner._term.token
    owner.has_store = False
    world.run(0.5)
    world.submit("a" * 16, step(count=3), step(after=(0,)))
    within_s = world.run_until(lambda: world.final_state("a" * 16), 4.0)
    assert within_s < 2.6
    assert world.owner() is owner
    assert owner.owner._term.token == token


def test_entry_calls_the_store_directly_once_it_is_reachable_again(world):
    owner = world.owner()
    owner.has_store = False
    world.run(1.0)
    assert owner.store_health.is_directly_unreachable()
    assert not owner.store_health.is_unreachable()
    owner.has_store = True
    world.run(0.5)
    assert not owner.store_health.is_directly_unreachable()


def test_store_is_unreachable_when_no_entry_reaches_it(world):
    world.store_up = False
    world.run(1.0)
    assert all(
        entry.store_health.is_unreachable() for entry in world.entry_by_name.values()
    )
    world.store_up = True
    world.run(1.0)
    assert not any(
        entry.store_health.is_unreachable() for entry in world.entry_by_name.values()
    )


def test_second_owner_takes_over_when_the_first_is_killed(world):
    first = world.owner()
    world.kill(first)
    world.run(3.0)
    assert world.owner() is not first


def test_calls_refused_during_the_backoff_do_not_extend_it(world):
    entry = world.owner()
    entry.has_store = entry.has_peers = False
    world.run(1.0)
    assert entry.store_health.is_unreachable()
    entry.has_peers = True
    for _ in range(20):
        # Calls come more often than the backoff ends.
        request = Request("test", "test", Get("key"), 1.0)
        entry.mailbox.append((STORE_RELAY, RelayCall(request)))
        world.run(0.1)
    assert not entry.store_health.is_unreachable()


@pytest.fixture
def relay():
    health = StoreHealthTracker(lambda: Now(0.0, 0.0))
    return StoreRelayRole("e0", health, random.Random(1))


@pytest.mark.parametrize(
    ("relayed_timeout_s", "expected_s"), [(None, 1.0), (4.0, 4.0), (0.5, 0.5)]
)
def test_relayed_call_has_the_timeout_of_a_whole_answer(
    relay, relayed_timeout_s, expected_s
):
    relay._last_relay = "e1"
    call = Request("id", "owner", ReadRange("jobs/"), 1.0, 10.0, relayed_timeout_s)
    (send,) = relay.handle(RelayCall(call), Now(0.0, 0.0))
    assert send.to == PEERS
    assert send.message.timeout_s == pytest.approx(expected_s + RELAY_OVERHEAD_S)


@pytest.mark.parametrize(
    ("timeout_s", "silence_s"), [(0.7, 0.5), (8.2, PAGE_SILENCE_S)]
)
def test_page_for_another_entry_is_given_up_when_nothing_arrives(
    relay, timeout_s, silence_s
):
    request = Request("id", PEERS, ReadRange("jobs/"), timeout_s)
    (send,) = relay.handle(request, Now(0.0, 0.0))
    assert send.message.timeout_s == pytest.approx(silence_s)
    total_s = timeout_s - RELAY_OVERHEAD_S
    assert send.message.total_timeout_s == pytest.approx(total_s)


def test_watch_for_another_entry_may_be_silent_while_nothing_changes(relay):
    request = Request("id", PEERS, WatchPrefix("jobs/", 1, 1.6), 2.2)
    (send,) = relay.handle(request, Now(0.0, 0.0))
    assert send.message.timeout_s == pytest.approx(2.0)
    assert send.message.total_timeout_s is None


@pytest.mark.parametrize("timeout_s", [0.7, 3.2])
def test_relayed_call_ends_before_the_calling_entry_gives_up(timeout_s):
    health = StoreHealthTracker(lambda: Now(0.0, 0.0))
    role = StoreRelayRole("e0", health, random.Random(1))
    request = Request("id", PEERS, Get("key"), timeout_s)
    (send,) = role.handle(request, Now(0.0, 0.0))
    assert send.to == STORE
    assert send.message.operation == Get("key")
    assert send.message.timeout_s == pytest.approx(timeout_s - RELAY_OVERHEAD_S)

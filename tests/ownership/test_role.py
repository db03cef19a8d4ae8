"""Ownership: session leases and claims, also when the store loses answers."""

from __future__ import annotations

import pytest
from tests.support.logged_events import capture_events
from tests.support.role_harness import RoleHarness, make_settings

from lagoonpulley.membership.messages import PeersView
from lagoonpulley.model.verdict import Ran
from lagoonpulley.ownership.messages import GroupAcquired, GroupLost, LeaseExtended
from lagoonpulley.ownership.record import owner_key, rank_candidates, session_key
from lagoonpulley.ownership.role import OwnershipRole
from lagoonpulley.peers.messages import GroupOwner, PeerInfo
from lagoonpulley.runtime.role import CallFailed, Reply
from lagoonpulley.standin.store import StoreState
from lagoonpulley.store.messages import ABSENT, Get, Put, RenewLease

GROUP = "timisoara/0"
LOST = CallFailed(Ran.MAYBE, "lost")


class Claimant(RoleHarness):
    """Drives an ownership role over a store that answers at once or loses answers.

    ``replace_result`` returns what the role receives in place of the store's result.
    """

    def __init__(self, store, name="timisoara-1", **settings):
        me = PeerInfo(name, 1, "timisoara", f"{name}:1")
        role = OwnershipRole.from_settings(
            name, 1, me.address, make_settings(**settings)
        )
        super().__init__(role)
        self.store = store
        self.me = me
        self.replace_result = lambda operation, result: result

    def send(self, message):
        super().send(message)
        while self.open_requests:
            _, request = self.open_requests.pop(0)
            result = self.store.apply(request.operation, self.time)
            result = self.replace_result(request.operation, result)
            super().send(Reply(request.request_id, result))

    def send_view(self, *others, owner=None):
        owners = {GROUP: owner} if owner else {}
        local = (self.me, *others)
        self.send(PeersView(self.me, local, frozenset(), others, owners))

    def run(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.tick(0.1)

    def acquired(self):
        return [message.epoch for message in self.sent_of_type(GroupAcquired)]


@pytest.fixture
def store():
    return StoreState()


def test_unowned_group_is_claimed_under_the_next_epoch(store):
    claimant = Claimant(store)
    claimant.send_view()
    claimant.run(2.0)
    assert claimant.acquired() == [1]


def test_of_two_claimants_one_acquires(store):
    claimants = [Claimant(store, f"timisoara-{number}") for number in (1, 2)]
    for claimant in claimants:
        claimant.send_view(*[other.me for other in claimants if other is not claimant])
    for _ in range(30):
        for claimant in claimants:
            claimant.tick(0.1)
    assert sorted(len(claimant.acquired()) for claimant in claimants) == [0, 1]


def test_group_of_a_live_session_is_not_claimed(store):
    owner = Claimant(store, "timisoara-2")
    owner.send_view()
    owner.run(2.0)
    claimant = Claimant(store)
    claimant.time = owner.time
    claimant.send_view()
    for _ in range(30):
        owner.tick(0.1)
        claimant.tick(0.1)
    assert claimant.acquired() == []


def test_group_of_a_dead_session_is_claimed_after_its_lease(store):
    owner = Claimant(store, "timisoara-2")
    owner.send_view()
    owner.run(2.0)
    claimant = Claimant(store)
    claimant.time = owner.time
    claimant.send_view()
    claimant.run(2.0)
    assert claimant.acquired() == []
    claimant.run(3.0)
    assert claimant.acquired() == [2]


def test_lease_is_trusted_for_less_than_its_duration(store):
    claimant = Claimant(store, workers_fence=False)
    claimant.send_view()
    claimant.run(2.0)
    (*_, last) = claimant.sent_of_type(LeaseExtended)
    assert last.valid_until <= claimant.time + 3.0 - 0.5


def test_owner_whose_lease_lapsed_keeps_its_epoch(store):
    owner = Claimant(store)
    owner.send_view()
    owner.run(2.0)
    record = store.key_value_by_key[owner_key(GROUP)]
    owner.time += 10.0
    owner.run(2.0)
    assert owner.sent_of_type(GroupLost) == []
    renewed = store.key_value_by_key[owner_key(GROUP)]
    assert renewed.revision > record.revision
    assert '"epoch":1' in renewed.value


def test_claim_with_a_lost_answer_succeeds(store):
    claimant = Claimant(store)
    key = owner_key(GROUP)

    def lose_claim(operation, result):
        is_claim = getattr(operation, "key", "") == key
        return LOST if is_claim and not isinstance(operation, Get) else result

    claimant.replace_result = lose_claim
    claimant.send_view()
    claimant.run(2.0)
    assert claimant.acquired() == [1]


def test_claimant_waits_a_lease_after_store_recovery(store):
    owner = Claimant(store, "timisoara-2")
    owner.send_view()
    owner.run(2.0)
    claimant = Claimant(store)
    claimant.time = owner.time
    claimant.send_view()
    claimant.run(1.0)
    claimant.replace_result = lambda operation, result: LOST
    claimant.run(9.0)
    assert session_key("timisoara-2.1.1") not in store.key_value_by_key
    claimant.replace_result = lambda operation, result: result
    claimant.run(2.5)
    assert claimant.acquired() == []
    claimant.run(4.0)
    assert claimant.acquired() == [2]


def test_owner_that_learns_of_a_higher_epoch_loses_its_group(store):
    owner = Claimant(store)
    owner.send_view()
    owner.run(2.0)
    owner.send_view(owner=GroupOwner(GROUP, 7, "timisoara-2", "10.0.0.2:1"))
    assert [lost.epoch for lost in owner.sent_of_type(GroupLost)] == [1]


def test_session_is_renewed_once_a_second(store):
    owner = Claimant(store)
    owner.send_view()
    owner.run(2.0)
    renewals = []
    owner.replace_result = lambda operation, result: (
        (renewals.append(operation) if isinstance(operation, RenewLease) else None)
        or result
    )
    owner.run(10.0)
    assert 9 <= len(renewals) <= 11


def test_ranking_changes_little_when_an_entry_joins():
    groups = [f"group-{number}" for number in range(200)]
    before = {group: rank_candidates(group, "abcd")[0] for group in groups}
    after = {group: rank_candidates(group, "abcde")[0] for group in groups}
    moved = [group for group in groups if before[group] != after[group]]
    assert {after[group] for group in moved} == {"e"}
    assert len(moved) < 80


def test_owner_record_that_cannot_be_read_is_logged_and_not_claimed(store):
    store.apply(Put(owner_key(GROUP), "damaged", ABSENT, "w"), 0.0)
    claimant = Claimant(store)
    with capture_events() as events:
        claimant.send_view()
        claimant.run(2.0)
    refused = events.named("owner_record_refused")
    assert {(event["group"], event["revision"]) for event in refused} == {(GROUP, 1)}
    assert claimant.acquired() == []

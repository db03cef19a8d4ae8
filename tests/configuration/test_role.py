"""Configuration role: the applied revision only increases, in any message order."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.support.role_harness import RoleHarness, make_settings

from lagoonpulley.configuration.document import (
    ConfigurationDocument,
    KeyEntry,
    TeamEntry,
    parse_document,
)
from lagoonpulley.configuration.keys import authenticate, create_key
from lagoonpulley.configuration.messages import ConfigurationChanged
from lagoonpulley.configuration.role import (
    ConfigurationRole,
    pack_document,
    unpack_document,
)
from lagoonpulley.membership.messages import PeersView
from lagoonpulley.peers.messages import (
    ConfigurationAnswer,
    ConfigurationOffer,
    FetchConfiguration,
    PeerInfo,
)
from lagoonpulley.runtime.role import Request
from lagoonpulley.store.messages import KeyValue, StoreResult, StoreStatus, Watch

ME = PeerInfo("timisoara-1", 1, "timisoara", "10.0.0.1:1")


def document(revision):
    teams = {"north": TeamEntry(share=revision)}
    return ConfigurationDocument(revision=revision, teams=teams)


@pytest.fixture
def role():
    return RoleHarness(ConfigurationRole.from_settings("timisoara-1", make_settings()))


def offer(role, revision):
    packed = pack_document(document(revision))
    offered = ConfigurationOffer(revision, packed)
    role.send(Request("offer", "peers", offered, 1.0))


def test_document_may_arrive_slowly(role):
    role.send(PeersView(ME, (ME,), frozenset(), (), {}))
    role.tick()
    requests = [role.pop_request(Watch), role.pop_request(Watch)]
    for request in requests:
        # At least 4 MB at 4 Mbit/s.
        assert request.total_timeout_s >= 8.0
        assert request.timeout_s < 5.0


def applied(role):
    changes = [message for to, message in role.sent if to == "gateway"]
    return [
        change.document.revision
        for change in changes
        if isinstance(change, ConfigurationChanged)
    ]


@settings(derandomize=True, database=None)
@given(st.lists(st.integers(1, 9), max_size=12))
def test_revision_never_goes_down_in_any_order_of_offers(revisions):
    role = RoleHarness(ConfigurationRole.from_settings("timisoara-1", make_settings()))
    for revision in revisions:
        offer(role, revision)
    assert applied(role) == sorted(set(applied(role)))
    assert role.role.revision == max(revisions, default=0)


def test_late_answer_of_an_old_watch_is_ignored(role):
    role.tick()
    request = role.pop_request(Watch)
    offer(role, 5)
    entry = KeyValue("configuration", document(3).model_dump_json(), 9)
    role.reply(request, StoreResult(StoreStatus.OK, entry=entry))
    assert applied(role) == [5]


def test_damaged_document_is_not_applied(role):
    role.send(Request("offer", "peers", ConfigurationOffer(7, "!!"), 1.0))
    role.tick()
    entry = KeyValue("configuration", '{"revision":-1}', 9)
    role.reply(role.pop_request(Watch), StoreResult(StoreStatus.OK, entry=entry))
    assert applied(role) == []


def test_peer_with_a_higher_revision_is_asked(role):
    peer = PeerInfo("arad-1", 1, "arad", "10.0.1.1:1", configuration_revision=4)
    role.send(PeersView(ME, (ME,), frozenset(), (peer,), {}))
    request = role.pop_request(FetchConfiguration)
    assert request.operation.address == peer.address
    role.reply(request, ConfigurationAnswer(4, pack_document(document(4))))
    assert applied(role) == [4]


def test_only_the_live_entry_with_the_lowest_id_watches_the_store(role):
    lower = PeerInfo("timisoara-0", 1, "timisoara", "10.0.0.0:1")
    role.send(PeersView(ME, (ME, lower), frozenset(), (lower,), {}))
    role.tick()
    waits = [request.operation.wait_s for _, request in role.open_requests]
    assert waits == [0.0]
    suspects = frozenset(("timisoara-0",))
    role.send(PeersView(ME, (ME, lower), suspects, (lower,), {}))
    role.tick()
    waits = [request.operation.wait_s for _, request in role.open_requests]
    assert max(waits) > 0


def test_packed_document_is_restored_and_damage_is_detected():
    packed = pack_document(document(2))
    assert unpack_document(packed).ok == document(2)
    assert unpack_document(packed[:-8]).is_error()


def test_document_with_queue_of_unknown_team_is_refused():
    text = '{"revision":1,"queues":{"q":{"team":"x"}}}'
    assert "unknown team x" in parse_document(text).error


def test_keys_are_compared_by_digest():
    new = create_key("north")
    held = ConfigurationDocument(
        revision=1, teams={"north": TeamEntry()}, keys={new.id: new.entry}
    )
    assert authenticate(held, new.text) == "north"
    assert authenticate(held, new.text + "x") is None
    assert authenticate(held, f"lp_{new.id}_") is None
    assert authenticate(held, "") is None
    assert new.text not in held.model_dump_json()
    assert isinstance(held.keys[new.id], KeyEntry)

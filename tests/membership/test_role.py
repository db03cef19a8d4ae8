"""Membership: heartbeats, failure detection and gossip about peers and owners."""

from __future__ import annotations

import pytest
from tests.support.role_harness import RoleHarness, make_settings

from lagoonpulley.membership.messages import OwnedGroups, PeersView
from lagoonpulley.membership.role import MembershipRole
from lagoonpulley.model.verdict import Ran
from lagoonpulley.peers.messages import (
    GroupOwner,
    Heartbeat,
    HeartbeatAnswer,
    PeerInfo,
)
from lagoonpulley.runtime.role import CallFailed, Request

ME = PeerInfo("timisoara-1", 1, "timisoara", "10.0.0.1:1")
PEER = PeerInfo("timisoara-2", 1, "timisoara", "10.0.0.2:1")


@pytest.fixture
def member():
    settings = make_settings(seeds=["10.0.0.2:1"])
    return RoleHarness(MembershipRole.from_settings(ME, settings, seed=1))


def send_heartbeat_from(member, info, **fields):
    heartbeat = Heartbeat(info, **fields)
    member.send(Request("in", "peers", heartbeat, 1.0))


def view_of(member):
    return member.sent_of_type(PeersView)[-1]


def test_seed_gets_a_heartbeat_and_becomes_a_peer(member):
    member.tick()
    request = member.pop_request(Heartbeat)
    assert request.operation.address == "10.0.0.2:1"
    member.reply(request, HeartbeatAnswer(PEER))
    assert PEER in view_of(member).local


def test_silent_peer_is_suspected_before_it_is_dead(member):
    send_heartbeat_from(member, PEER)
    member.tick(2.0)
    assert not view_of(member).suspect_ids
    member.tick(1.0)
    assert view_of(member).suspect_ids == {"timisoara-2"}
    assert PEER in view_of(member).local
    member.tick(4.0)
    assert PEER not in view_of(member).local


def test_vouching_clears_suspicion(member):
    other = PeerInfo("timisoara-3", 1, "timisoara", "10.0.0.3:1")
    send_heartbeat_from(member, PEER)
    member.tick(3.0)
    send_heartbeat_from(member, other)
    member.tick(1.0)
    while True:
        request = member.pop_request(Heartbeat)
        if request.operation.address == other.address:
            break
    assert request.operation.message.suspects == ("timisoara-2",)
    member.reply(request, HeartbeatAnswer(other, vouched=("timisoara-2",)))
    assert not view_of(member).suspect_ids


def test_earlier_incarnation_is_ignored(member):
    newer = PeerInfo("timisoara-2", 5, "timisoara", "10.0.0.9:1")
    send_heartbeat_from(member, newer)
    send_heartbeat_from(member, PEER)
    assert newer in view_of(member).local
    assert PEER not in view_of(member).local


def test_owner_of_highest_epoch_wins(member):
    old = GroupOwner("arad/0", 1, "arad-1", "10.0.1.1:1")
    new = GroupOwner("arad/0", 2, "arad-2", "10.0.1.2:1")
    send_heartbeat_from(member, PEER, owners=(new,))
    send_heartbeat_from(member, PEER, owners=(old,))
    assert view_of(member).owner_by_group["arad/0"] == new


def test_released_group_has_no_owner(member):
    member.send(OwnedGroups({"timisoara/0": 3}))
    assert view_of(member).owner_by_group["timisoara/0"].entry_id == "timisoara-1"
    member.send(OwnedGroups({}))
    assert view_of(member).owner_by_group["timisoara/0"].entry_id == ""


def test_unreachable_address_is_removed_unless_it_is_a_seed(member):
    stranger = PeerInfo("arad-9", 1, "arad", "10.0.1.9:1")
    send_heartbeat_from(member, PEER, members=(stranger,))
    for _ in range(40):
        member.tick(1.0)
        for _, request in list(member.open_requests):
            if isinstance(getattr(request.operation, "message", None), Heartbeat):
                member.open_requests.remove((_, request))
                member.reply(request, CallFailed(Ran.NO, "refused"))
    member.tick(1.0)
    addresses = {
        request.operation.address
        for _, request in member.open_requests
        if isinstance(getattr(request.operation, "message", None), Heartbeat)
    }
    assert "10.0.1.9:1" not in addresses
    assert "10.0.0.2:1" in addresses

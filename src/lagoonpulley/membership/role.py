"""Detects failed peers by heartbeat and distributes owners of groups by gossip."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from ..peers.calls import PeerCall
from ..peers.messages import GroupOwner, Heartbeat, HeartbeatAnswer, PeerInfo
from ..runtime.flows import Call, Flow, FlowRole
from ..runtime.role import PEERS, STORE, CallFailed, Request, Tick
from ..store.messages import ListInstances, StoreResult
from .messages import (
    ConfigurationRevision,
    Leave,
    OwnedGroups,
    PeersView,
    StatusQuery,
    StatusView,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..settings.schema import Settings

__all__ = ["MembershipRole"]

SUSPECT_AFTER_INTERVALS = 2.5
DEAD_AFTER_INTERVALS = 6.0
REMOTE_DEAD_AFTER_INTERVALS = 120.0
MEMBERS_PER_HEARTBEAT = 1
REMOTE_OWNERS_PER_HEARTBEAT = 2
REMOVE_PEER_AFTER_INTERVALS = 300.0
MAX_FAILED_HEARTBEATS_PER_ADDRESS = 30
INSTANCE_LIST_INTERVAL_S = 30.0


@dataclass(slots=True)
class _Peer:
    """A peer, and when it was last known to be alive, in monotonic seconds.

    ``last_heartbeat_at`` is when this entry last received a heartbeat, or an answer to
    one, from the peer; ``last_vouched_at`` is when another entry last confirmed that it
    receives them.
    """

    info: PeerInfo
    last_heartbeat_at: float
    last_vouched_at: float = float("-inf")

    @property
    def last_seen_at(self) -> float:
        return max(self.last_heartbeat_at, self.last_vouched_at)


class MembershipRole(FlowRole):
    """Tracks which entries are alive and which entry owns which group.

    Every interval, an entry sends a heartbeat to each entry of its data centre, to
    each address that has not answered yet, and to one random entry of one other
    data centre. The other data centres take turns.
    """

    name = "membership"

    def __init__(self, me: PeerInfo, settings: Settings, seed: int) -> None:
        super().__init__(me.entry_id)
        self._me = me
        self._settings = settings
        self._interval_s = settings.heartbeat_interval_s
        self._random = random.Random(seed)
        self._peer_by_id: dict[str, _Peer] = {}
        self._failures_by_address: dict[str, int] = dict.fromkeys(settings.seeds, 0)
        self._failures_by_address.pop(me.address, None)
        self._owner_by_group: dict[str, GroupOwner] = {}
        self._view: PeersView | None = None
        self._next_heartbeat_at = float("-inf")
        self._next_list_at = float("-inf")
        self._instances_revision = 0
        self._remote_turn = 0

    @classmethod
    def from_settings(
        cls, me: PeerInfo, settings: Settings, seed: int
    ) -> MembershipRole:
        """Create the role of one entry.

        :param me: the description of this entry that it sends to its peers.
        :param seed: seed of the random choice of peers and owners.
        """
        return cls(me, settings, seed)

    def receive(self, message: Any) -> None:
        """Process a tick, a peer's heartbeat or a message of another role."""
        match message:
            case Tick():
                self._tick()
            case Request(operation=Heartbeat() as heartbeat):
                self._answer_heartbeat(message, heartbeat)
            case Request(operation=StatusQuery()):
                self.answer(message, self._status())
            case OwnedGroups(epoch_by_group):
                self._update_owned_groups(epoch_by_group)
            case ConfigurationRevision(revision):
                self._me = replace(self._me, configuration_revision=revision)
            case Leave():
                self._me = replace(self._me, leaving=True)
                self._next_heartbeat_at = float("-inf")
        self._publish()

    def _tick(self) -> None:
        now = self.now.mono
        if now >= self._next_list_at:
            self._next_list_at = now + INSTANCE_LIST_INTERVAL_S
            self.start(self._list_instances())
        if now < self._next_heartbeat_at:
            return
        self._next_heartbeat_at = now + self._interval_s
        self._remove_silent_peers()
        for address in self._heartbeat_addresses():
            self.start(self._send_heartbeat(address))

    def _remove_silent_peers(self) -> None:
        """Remove silent peers, and addresses other than seeds that do not answer."""
        limit_s = REMOVE_PEER_AFTER_INTERVALS * self._interval_s
        for entry_id, peer in list(self._peer_by_id.items()):
            if self.now.mono - peer.last_seen_at >= limit_s:
                del self._peer_by_id[entry_id]
        for address, failures in list(self._failures_by_address.items()):
            if address in self._settings.seeds:
                continue
            if failures >= MAX_FAILED_HEARTBEATS_PER_ADDRESS:
                del self._failures_by_address[address]

    def _heartbeat_addresses(self) -> list[str]:
        addresses = set(self._failures_by_address)
        remote_by_data_centre: dict[str, list[str]] = {}
        for peer in self._peer_by_id.values():
            info = peer.info
            if info.data_centre == self._me.data_centre:
                addresses.add(info.address)
            else:
                remote = remote_by_data_centre.setdefault(info.data_centre, [])
                remote.append(info.address)
        if remote_by_data_centre:
            names = sorted(remote_by_data_centre)
            self._remote_turn += 1
            remote = remote_by_data_centre[names[self._remote_turn % len(names)]]
            addresses.add(self._random.choice(sorted(remote)))
        addresses.discard(self._me.address)
        return sorted(addresses)

    def _send_heartbeat(self, address: str) -> Flow:
        heartbeat = Heartbeat(
            sender=self._me,
            owners=self._select_owners(),
            suspects=tuple(sorted(self._suspect_ids())),
            members=self._sample_live_peers(),
        )
        call = PeerCall(address, heartbeat)
        answer = yield Call(PEERS, call, self._interval_s)
        if isinstance(answer, CallFailed):
            if address in self._failures_by_address:
                self._failures_by_address[address] += 1
            return
        self._record_heartbeat(answer.sender, address)
        self._merge_gossip(answer.owners, answer.members)
        self._record_vouched(answer)
        self._publish()

    def _answer_heartbeat(self, request: Request, heartbeat: Heartbeat) -> None:
        self._record_heartbeat(heartbeat.sender, heartbeat.sender.address)
        self._merge_gossip(heartbeat.owners, heartbeat.members)
        answer = HeartbeatAnswer(
            sender=self._me,
            owners=self._select_owners(),
            vouched=self._vouch_for(heartbeat.suspects),
        )
        self.answer(request, answer)

    def _record_heartbeat(self, info: PeerInfo, address: str) -> None:
        self._failures_by_address.pop(address, None)
        if info.entry_id == self._me.entry_id:
            return
        known = self._peer_by_id.get(info.entry_id)
        if known is not None and info.incarnation < known.info.incarnation:
            return
        self._peer_by_id[info.entry_id] = _Peer(info, self.now.mono)

    def _merge_gossip(
        self, owners: Iterable[GroupOwner], members: Iterable[PeerInfo]
    ) -> None:
        for owner in owners:
            known = self._owner_by_group.get(owner.group)
            if known is None or owner.epoch > known.epoch:
                self._owner_by_group[owner.group] = owner
        for info in members:
            self._merge_member(info)

    def _merge_member(self, info: PeerInfo) -> None:
        if info.entry_id == self._me.entry_id:
            return
        known = self._peer_by_id.get(info.entry_id)
        if known is None:
            if not info.leaving:
                self._failures_by_address.setdefault(info.address, 0)
        elif info.incarnation > known.info.incarnation:
            known.info = info

    def _record_vouched(self, answer: HeartbeatAnswer) -> None:
        for entry_id in answer.vouched:
            peer = self._peer_by_id.get(entry_id)
            if peer is not None:
                peer.last_vouched_at = self.now.mono

    def _vouch_for(self, suspects: Iterable[str]) -> tuple[str, ...]:
        limit_s = SUSPECT_AFTER_INTERVALS * self._interval_s
        heard = []
        for entry_id in suspects:
            peer = self._peer_by_id.get(entry_id)
            if peer is not None and self.now.mono - peer.last_heartbeat_at < limit_s:
                heard.append(entry_id)
        return tuple(heard)

    def _update_owned_groups(self, epoch_by_group: dict[str, int]) -> None:
        for group, epoch in epoch_by_group.items():
            known = self._owner_by_group.get(group)
            if known is not None and known.epoch > epoch:
                continue
            owner = GroupOwner(group, epoch, self._me.entry_id, self._me.address)
            self._owner_by_group[group] = owner
        for group, owner in list(self._owner_by_group.items()):
            if owner.entry_id == self._me.entry_id and group not in epoch_by_group:
                released = GroupOwner(group, owner.epoch, "", "")
                self._owner_by_group[group] = released

    def _owners(self) -> tuple[GroupOwner, ...]:
        owners = self._owner_by_group
        return tuple(owners[group] for group in sorted(owners) if owners[group].address)

    def _select_owners(self) -> tuple[GroupOwner, ...]:
        """Return the owners of all local groups and a sample of remote groups."""
        owners = self._owners()
        prefix = f"{self._me.data_centre}/"
        own = [owner for owner in owners if owner.group.startswith(prefix)]
        remote_owners = [
            owner for owner in owners if not owner.group.startswith(prefix)
        ]
        if len(remote_owners) > REMOTE_OWNERS_PER_HEARTBEAT:
            remote_owners = self._random.sample(
                remote_owners, REMOTE_OWNERS_PER_HEARTBEAT
            )
        return (*own, *remote_owners)

    def _sample_live_peers(self) -> tuple[PeerInfo, ...]:
        live = [
            peer.info
            for _, peer in sorted(self._peer_by_id.items())
            if self._is_live(peer)
        ]
        if len(live) <= MEMBERS_PER_HEARTBEAT:
            return tuple(live)
        return tuple(self._random.sample(live, MEMBERS_PER_HEARTBEAT))

    def _is_live(self, peer: _Peer) -> bool:
        silence_s = self.now.mono - peer.last_seen_at
        if peer.info.data_centre != self._me.data_centre:
            return silence_s < REMOTE_DEAD_AFTER_INTERVALS * self._interval_s
        return silence_s < DEAD_AFTER_INTERVALS * self._interval_s

    def _suspect_ids(self) -> frozenset[str]:
        limit_s = SUSPECT_AFTER_INTERVALS * self._interval_s
        return frozenset(
            entry_id
            for entry_id, peer in self._peer_by_id.items()
            if peer.info.data_centre == self._me.data_centre
            and self.now.mono - peer.last_seen_at >= limit_s
        )

    def _publish(self) -> None:
        view = self._make_view()
        if view == self._view:
            return
        self._view = view
        for role in ("ownership", "routing", "configuration", "limits"):
            self.emit(role, view)

    def _make_view(self) -> PeersView:
        known = [
            peer.info
            for _, peer in sorted(self._peer_by_id.items())
            if self._is_live(peer)
        ]
        local = [info for info in known if info.data_centre == self._me.data_centre]
        return PeersView(
            me=self._me,
            local=(self._me, *local),
            suspect_ids=self._suspect_ids(),
            known=tuple(known),
            owner_by_group=dict(self._owner_by_group),
        )

    def _status(self) -> StatusView:
        peers = [self._peer_by_id[entry_id] for entry_id in sorted(self._peer_by_id)]
        silent = [peer.info.entry_id for peer in peers if not self._is_live(peer)]
        return StatusView(
            me=self._me,
            peers=tuple(peer.info for peer in peers),
            silent_ids=tuple(silent),
            owners=self._owners(),
        )

    def _list_instances(self) -> Flow:
        operation = ListInstances(after=self._instances_revision)
        result = yield Call(STORE, operation, self._settings.store.timeout_s)
        if not isinstance(result, StoreResult):
            return
        self._instances_revision = max(self._instances_revision, result.revision)
        for instance in result.instances:
            if instance.role != "entry" or instance.leaving or instance.gone:
                continue
            known = any(
                peer.info.address == instance.address
                for peer in self._peer_by_id.values()
            )
            if not known and instance.address != self._me.address:
                self._failures_by_address.setdefault(instance.address, 0)

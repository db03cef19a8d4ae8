"""Heartbeats between entries and the state of each peer."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from ..peers.messages import (
    GroupOwner,
    Heartbeat,
    HeartbeatAnswer,
    PeerCall,
    PeerInfo,
)
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
OTHER_OWNERS_PER_HEARTBEAT = 2
FORGET_AFTER_INTERVALS = 300.0
FORGET_ADDRESS_AFTER_TRIES = 30
LIST_INTERVAL_S = 30.0


@dataclass(slots=True)
class _Peer:
    """A peer and when it was last heard of, on the monotonic clock."""

    info: PeerInfo
    heard_at: float
    vouched_at: float = float("-inf")

    @property
    def last_sign_at(self) -> float:
        return max(self.heard_at, self.vouched_at)


class MembershipRole(FlowRole):
    """Knows which entries live and who owns which group.

    Entries of the same data centre beat to each other every interval; of the
    others, one entry of one data centre is beaten to per interval, in turn.
    """

    name = "membership"

    def __init__(self, me: PeerInfo, settings: Settings, seed: int) -> None:
        super().__init__(me.entry_id)
        self._me = me
        self._settings = settings
        self._interval_s = settings.heartbeat_interval_s
        self._random = random.Random(seed)
        self._peer_by_id: dict[str, _Peer] = {}
        self._tries_by_address: dict[str, int] = dict.fromkeys(settings.seeds, 0)
        self._tries_by_address.pop(me.address, None)
        self._owner_by_group: dict[str, GroupOwner] = {}
        self._view: PeersView | None = None
        self._next_beat_at = float("-inf")
        self._next_list_at = float("-inf")
        self._list_revision = 0
        self._turn = 0

    @classmethod
    def from_settings(
        cls, me: PeerInfo, settings: Settings, seed: int
    ) -> MembershipRole:
        """Create the role of one entry.

        :param me: what the entry tells about itself.
        :param seed: seed of the order in which peers are chosen.
        """
        return cls(me, settings, seed)

    def receive(self, message: Any) -> None:
        """Process a tick, a peer's heartbeat or news from another role."""
        match message:
            case Tick():
                self._tick()
            case Request(operation=Heartbeat() as heartbeat):
                self._answer_heartbeat(message, heartbeat)
            case Request(operation=StatusQuery()):
                self.answer(message, self._status())
            case OwnedGroups(epoch_by_group):
                self._set_owned(epoch_by_group)
            case ConfigurationRevision(revision):
                self._me = replace(self._me, configuration_revision=revision)
            case Leave():
                self._me = replace(self._me, leaving=True)
                self._next_beat_at = float("-inf")
        self._publish()

    def _tick(self) -> None:
        now = self.now.mono
        if now >= self._next_list_at:
            self._next_list_at = now + LIST_INTERVAL_S
            self.start(self._read_instances())
        if now < self._next_beat_at:
            return
        self._next_beat_at = now + self._interval_s
        self._forget_silent()
        for address in self._targets():
            self.start(self._beat(address))

    def _forget_silent(self) -> None:
        limit_s = FORGET_AFTER_INTERVALS * self._interval_s
        for entry_id, peer in list(self._peer_by_id.items()):
            if self.now.mono - peer.last_sign_at >= limit_s:
                del self._peer_by_id[entry_id]
        for address, tries in list(self._tries_by_address.items()):
            if address in self._settings.seeds:
                continue
            if tries >= FORGET_ADDRESS_AFTER_TRIES:
                del self._tries_by_address[address]

    def _targets(self) -> list[str]:
        targets = set(self._tries_by_address)
        remote_by_data_centre: dict[str, list[str]] = {}
        for peer in self._peer_by_id.values():
            info = peer.info
            if info.data_centre == self._me.data_centre:
                targets.add(info.address)
            else:
                remote = remote_by_data_centre.setdefault(info.data_centre, [])
                remote.append(info.address)
        if remote_by_data_centre:
            names = sorted(remote_by_data_centre)
            self._turn += 1
            remote = remote_by_data_centre[names[self._turn % len(names)]]
            targets.add(self._random.choice(sorted(remote)))
        targets.discard(self._me.address)
        return sorted(targets)

    def _beat(self, address: str) -> Flow:
        heartbeat = Heartbeat(
            sender=self._me,
            owners=self._owners_to_tell(),
            suspects=tuple(sorted(self._suspect_ids())),
            members=self._sample(),
        )
        call = PeerCall(address, heartbeat)
        answer = yield Call(PEERS, call, self._interval_s)
        if isinstance(answer, CallFailed):
            if address in self._tries_by_address:
                self._tries_by_address[address] += 1
            return
        self._hear(answer.sender, address)
        self._learn(answer.owners, answer.members)
        self._note_vouched(answer)
        self._publish()

    def _answer_heartbeat(self, request: Request, heartbeat: Heartbeat) -> None:
        self._hear(heartbeat.sender, heartbeat.sender.address)
        self._learn(heartbeat.owners, heartbeat.members)
        answer = HeartbeatAnswer(
            sender=self._me,
            owners=self._owners_to_tell(),
            vouched=self._vouch(heartbeat.suspects),
        )
        self.answer(request, answer)

    def _hear(self, info: PeerInfo, address: str) -> None:
        self._tries_by_address.pop(address, None)
        if info.entry_id == self._me.entry_id:
            return
        known = self._peer_by_id.get(info.entry_id)
        if known is not None and info.incarnation < known.info.incarnation:
            return
        self._peer_by_id[info.entry_id] = _Peer(info, self.now.mono)

    def _learn(self, owners: Iterable[GroupOwner], members: Iterable[PeerInfo]) -> None:
        for owner in owners:
            known = self._owner_by_group.get(owner.group)
            if known is None or owner.epoch > known.epoch:
                self._owner_by_group[owner.group] = owner
        for info in members:
            self._learn_member(info)

    def _learn_member(self, info: PeerInfo) -> None:
        if info.entry_id == self._me.entry_id:
            return
        known = self._peer_by_id.get(info.entry_id)
        if known is None:
            if not info.leaving:
                self._tries_by_address.setdefault(info.address, 0)
        elif info.incarnation > known.info.incarnation:
            known.info = info

    def _note_vouched(self, answer: HeartbeatAnswer) -> None:
        for entry_id in answer.vouched:
            peer = self._peer_by_id.get(entry_id)
            if peer is not None:
                peer.vouched_at = self.now.mono

    def _vouch(self, suspects: Iterable[str]) -> tuple[str, ...]:
        limit_s = SUSPECT_AFTER_INTERVALS * self._interval_s
        heard = []
        for entry_id in suspects:
            peer = self._peer_by_id.get(entry_id)
            if peer is not None and self.now.mono - peer.heard_at < limit_s:
                heard.append(entry_id)
        return tuple(heard)

    def _set_owned(self, epoch_by_group: dict[str, int]) -> None:
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

    def _owners_to_tell(self) -> tuple[GroupOwner, ...]:
        """Return the owners of this data centre's groups and some others."""
        owners = self._owners()
        prefix = f"{self._me.data_centre}/"
        own = [owner for owner in owners if owner.group.startswith(prefix)]
        others = [owner for owner in owners if not owner.group.startswith(prefix)]
        if len(others) > OTHER_OWNERS_PER_HEARTBEAT:
            others = self._random.sample(others, OTHER_OWNERS_PER_HEARTBEAT)
        return (*own, *others)

    def _sample(self) -> tuple[PeerInfo, ...]:
        live = [
            peer.info
            for _, peer in sorted(self._peer_by_id.items())
            if self._is_live(peer)
        ]
        if len(live) <= MEMBERS_PER_HEARTBEAT:
            return tuple(live)
        return tuple(self._random.sample(live, MEMBERS_PER_HEARTBEAT))

    def _is_live(self, peer: _Peer) -> bool:
        silent_s = self.now.mono - peer.last_sign_at
        if peer.info.data_centre != self._me.data_centre:
            return silent_s < REMOTE_DEAD_AFTER_INTERVALS * self._interval_s
        return silent_s < DEAD_AFTER_INTERVALS * self._interval_s

    def _suspect_ids(self) -> frozenset[str]:
        limit_s = SUSPECT_AFTER_INTERVALS * self._interval_s
        return frozenset(
            entry_id
            for entry_id, peer in self._peer_by_id.items()
            if peer.info.data_centre == self._me.data_centre
            and self.now.mono - peer.last_sign_at >= limit_s
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

    def _read_instances(self) -> Flow:
        operation = ListInstances(after=self._list_revision)
        result = yield Call(STORE, operation, self._settings.store.timeout_s)
        if not isinstance(result, StoreResult):
            return
        self._list_revision = max(self._list_revision, result.revision)
        for instance in result.instances:
            if instance.role != "entry" or instance.leaving or instance.gone:
                continue
            known = any(
                peer.info.address == instance.address
                for peer in self._peer_by_id.values()
            )
            if not known and instance.address != self._me.address:
                self._tries_by_address.setdefault(instance.address, 0)

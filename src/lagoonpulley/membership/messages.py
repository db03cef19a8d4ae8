"""Messages between the membership role and the other roles."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.messages import GroupOwner, PeerInfo

__all__ = [
    "ConfigurationRevision",
    "Leave",
    "OwnedGroups",
    "PeersView",
    "StatusQuery",
    "StatusView",
]


@dataclass(frozen=True, slots=True)
class PeersView:
    """Snapshot of the live peers and of the owners of groups.

    ``local`` holds the live entries of this data centre, including this entry;
    ``suspect_ids`` names the entries of this data centre that neither this entry
    nor another one has heard from in time, including dead ones; ``known`` holds the
    live entries of all data centres except this entry.
    """

    me: PeerInfo
    local: tuple[PeerInfo, ...]
    suspect_ids: frozenset[str]
    known: tuple[PeerInfo, ...]
    owner_by_group: dict[str, GroupOwner]


@dataclass(frozen=True, slots=True)
class OwnedGroups:
    """The groups that this entry owns, with the epoch of each."""

    epoch_by_group: dict[str, int]


@dataclass(frozen=True, slots=True)
class ConfigurationRevision:
    """The revision of the configuration that this entry has applied."""

    revision: int


@dataclass(frozen=True, slots=True)
class Leave:
    """Announce that this entry is shutting down."""


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """Request a :class:`StatusView`."""


@dataclass(frozen=True, slots=True)
class StatusView:
    """All known peers with the configuration revision that each last reported.

    ``silent_ids`` names the peers that are considered dead.
    """

    me: PeerInfo
    peers: tuple[PeerInfo, ...]
    silent_ids: tuple[str, ...]
    owners: tuple[GroupOwner, ...]

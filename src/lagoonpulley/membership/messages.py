"""What membership tells other roles, and is told by them."""

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
    """Peers and owners as known now.

    ``local`` holds the live entries of the same data centre, this one
    included; ``suspect_ids`` names entries of it not heard of lately; ``known``
    holds every entry heard of that is not known to be dead.
    """

    me: PeerInfo
    local: tuple[PeerInfo, ...]
    suspect_ids: frozenset[str]
    known: tuple[PeerInfo, ...]
    owner_by_group: dict[str, GroupOwner]


@dataclass(frozen=True, slots=True)
class OwnedGroups:
    """The groups that this entry owns."""

    epoch_by_group: dict[str, int]


@dataclass(frozen=True, slots=True)
class ConfigurationRevision:
    """The revision in force at this entry."""

    revision: int


@dataclass(frozen=True, slots=True)
class Leave:
    """Begin a planned stop."""


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """Ask for a :class:`StatusView`."""


@dataclass(frozen=True, slots=True)
class StatusView:
    """Peers with the revision each reported last, and the owners of groups."""

    me: PeerInfo
    peers: tuple[PeerInfo, ...]
    silent_ids: tuple[str, ...]
    owners: tuple[GroupOwner, ...]

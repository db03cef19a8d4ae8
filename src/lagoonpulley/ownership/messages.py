"""What ownership tells other roles, and is told by them."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "GroupAcquired",
    "GroupDeposed",
    "GroupLost",
    "GroupReleased",
    "LeaseExtended",
    "ReleaseAll",
]


@dataclass(frozen=True, slots=True)
class GroupAcquired:
    """This entry owns a group from now on, under an epoch."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class GroupLost:
    """This entry no longer owns a group."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class GroupDeposed:
    """A role found proof that another entry owns a group by now."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseExtended:
    """Commands may leave until ``valid_until`` on the monotonic clock."""

    valid_until: float


@dataclass(frozen=True, slots=True)
class GroupReleased:
    """The scheduler has stopped placing in a group that is handed over."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ReleaseAll:
    """Hand over every group: the entry is about to stop."""

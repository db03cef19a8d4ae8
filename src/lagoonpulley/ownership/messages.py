"""Messages between the ownership role and the other roles."""

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
    """This entry has become the owner of a group under a new epoch."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class GroupLost:
    """This entry no longer owns a group.

    ``epoch`` is 0 if the group was not claimed because its record is unreadable.
    """

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class GroupDeposed:
    """A role has found evidence that another entry owns a group."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseExtended:
    """Commands may be sent until ``valid_until``, in monotonic seconds."""

    valid_until: float


@dataclass(frozen=True, slots=True)
class GroupReleased:
    """The scheduler has stopped placing tasks in a group that is being released."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ReleaseAll:
    """Release every group because this entry is shutting down."""

"""Messages between the session role and the owner role about the leader election."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Deposed", "Elected", "Resign", "SessionExtended", "StoodDown"]


@dataclass(frozen=True, slots=True)
class Elected:
    """This entry has won the election and is the owner.

    ``token`` is its fencing token, higher than that of every earlier owner;
    ``head_revision`` is the store revision of the journal's head. ``passed_over_lives``
    are the lives of registered stronger entries that had a head start and did not win.
    ``settled_revision`` is the mark that the earlier owner has stored in the head, and
    ``restarted_workers`` are the workers that had restarted shortly before.
    """

    token: int
    head_revision: int
    passed_over_lives: frozenset[str] = frozenset()
    settled_revision: int = 0
    restarted_workers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Deposed:
    """This entry is no longer the owner."""

    reason: str


@dataclass(frozen=True, slots=True)
class StoodDown:
    """The owner role has ended the term of ``token`` by itself."""

    token: int


@dataclass(frozen=True, slots=True)
class SessionExtended:
    """Nobody else can become the owner before ``until`` (monotonic seconds)."""

    until: float


@dataclass(frozen=True, slots=True)
class Resign:
    """Request to give up ownership because the process is about to stop."""

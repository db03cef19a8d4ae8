"""Messages about who is the owner."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Deposed", "Elected", "Resign", "SessionExtended", "StoodDown"]


@dataclass(frozen=True, slots=True)
class Elected:
    """This entry is the owner from now on.

    ``token`` is its fencing token, higher than that of every earlier owner;
    ``head_revision`` the revision of the journal's head.
    """

    token: int
    head_revision: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """This entry is no longer the owner."""

    reason: str


@dataclass(frozen=True, slots=True)
class StoodDown:
    """The owner has found that it cannot go on under ``token``."""

    token: int


@dataclass(frozen=True, slots=True)
class SessionExtended:
    """Nobody else can become the owner before ``until`` (monotonic seconds)."""

    until: float


@dataclass(frozen=True, slots=True)
class Resign:
    """Give ownership up: the process is about to stop."""

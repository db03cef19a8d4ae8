"""The ownership record of a group as it stands in the store."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, Field

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["OwnerRecord", "owner_key", "rank_candidates", "session_key"]


class OwnerRecord(BaseModel):
    """Owner of a group; ``session`` is empty after an explicit release."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    version: int = 1
    epoch: int = Field(ge=0)
    entry_id: str = ""
    address: str = ""
    session: str = ""


def owner_key(group: str) -> str:
    """Return the store key of a group's ownership record."""
    return f"lagoonpulley/owner/{group}"


def session_key(session: str) -> str:
    """Return the store key that exists as long as a session's lease."""
    return f"lagoonpulley/session/{session}"


def rank_candidates(group: str, entry_ids: Iterable[str]) -> list[str]:
    """Return entries in the order in which they should take a group.

    Rendezvous hashing: when an entry joins or leaves, only the groups that it
    ranks first for change their preferred owner.
    """

    def score(entry_id: str) -> bytes:
        return hashlib.sha256(f"{group}|{entry_id}".encode()).digest()

    return sorted(entry_ids, key=score, reverse=True)

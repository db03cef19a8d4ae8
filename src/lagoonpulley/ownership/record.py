"""The stored ownership record of a group, and the ranking of its candidates."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, Field

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["OwnerRecord", "owner_key", "rank_candidates", "session_key"]


class OwnerRecord(BaseModel):
    """Owner of a group; a released record has no entry, address or session."""

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
    """Return the store key of a session, which is deleted when its lease expires."""
    return f"lagoonpulley/session/{session}"


def rank_candidates(group: str, entry_ids: Iterable[str]) -> list[str]:
    """Return the candidates for a group, the preferred owner first.

    The order comes from rendezvous hashing: when an entry joins or leaves, the
    preferred owner changes only for the groups in which that entry ranks first.
    """

    def score(entry_id: str) -> bytes:
        return hashlib.sha256(f"{group}|{entry_id}".encode()).digest()

    return sorted(entry_ids, key=score, reverse=True)

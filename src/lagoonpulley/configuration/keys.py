"""API keys of teams: creation, digests and authentication."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .document import KeyEntry

if TYPE_CHECKING:
    from .document import ConfigurationDocument

__all__ = ["NewKey", "authenticate", "create_key", "key_id_of"]

KEY_PREFIX = "lp"
ID_BYTES = 6
SECRET_BYTES = 24
_UNKNOWN_DIGEST = hashlib.sha256(b"").hexdigest()


@dataclass(frozen=True, slots=True)
class NewKey:
    """A newly created key; ``text`` is shown once and never stored."""

    id: str
    text: str
    entry: KeyEntry


def create_key(team: str) -> NewKey:
    """Create a random API key for a team."""
    key_id = secrets.token_hex(ID_BYTES)
    text = f"{KEY_PREFIX}_{key_id}_{secrets.token_urlsafe(SECRET_BYTES)}"
    return NewKey(key_id, text, KeyEntry(team=team, digest=_digest(text)))


def key_id_of(text: str) -> str:
    """Return the public identifier of a key, or ``""`` if the key is malformed."""
    parts = text.split("_", 2)
    if len(parts) != 3 or parts[0] != KEY_PREFIX:
        return ""
    return parts[1]


def authenticate(document: ConfigurationDocument, text: str) -> str | None:
    """Return the team that a key belongs to, or ``None`` if the key is invalid.

    The digest is compared in constant time, also for unknown identifiers.
    """
    entry = document.keys.get(key_id_of(text))
    expected = entry.digest if entry is not None else _UNKNOWN_DIGEST
    matches = hmac.compare_digest(expected, _digest(text))
    if entry is None or not matches:
        return None
    return entry.team


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()

"""Job identifiers, and the home data centre that each one names.

The home is derived from the idempotency key, so that every entry sends the same
submission to the same owner, which can detect the duplicate.
"""

from __future__ import annotations

import hashlib
import uuid
from typing import TYPE_CHECKING

from ..ownership.role import groups_of

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["group_of_job", "home_of_key", "job_id_of", "new_idempotency_key"]

ID_DIGITS = 24


def new_idempotency_key(data_centre: str) -> str:
    """Return a new idempotency key whose home is the given data centre."""
    return f"{data_centre}/{uuid.uuid4()}"


def home_of_key(key: str, data_centres: Sequence[str]) -> str:
    """Return the home of a key: the data centre that detects its duplicates.

    A key that begins with a data centre's name and a slash belongs to that data
    centre; any other key is assigned by rendezvous hashing.
    """
    prefix, separator, _ = key.partition("/")
    if separator and prefix in data_centres:
        return prefix
    return max(
        data_centres,
        key=lambda name: hashlib.sha256(f"{name}|{key}".encode()).digest(),
    )


def job_id_of(team: str, key: str, data_centres: Sequence[str]) -> str:
    """Return the job identifier for a team's idempotency key."""
    digest = hashlib.sha256(f"{team}|{key}".encode()).hexdigest()[:ID_DIGITS]
    return f"{home_of_key(key, data_centres)}-{digest}"


def group_of_job(job_id: str, data_centres: Sequence[str]) -> str | None:
    """Return the worker group that a job belongs to.

    :returns: ``None`` if the identifier is malformed.
    """
    home, _, digest = job_id.rpartition("-")
    if home not in data_centres or len(digest) != ID_DIGITS:
        return None
    return groups_of(home)[0]

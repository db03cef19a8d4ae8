"""Counts of jobs that have not begun, kept in the store for every entry."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..runtime.role import Now
    from .term import OwnerTerm

__all__ = ["PENDING_KEY", "PendingBoard"]

PENDING_KEY = "lagoonpulley/pending"
WRITE_EVERY_S = 1.0


class PendingBoard:
    """Has the counts written when they changed, at most once a second."""

    def __init__(self) -> None:
        self._written = ""
        self._next_at = 0.0

    def refresh(self, term: OwnerTerm, now: Now) -> None:
        """Write the counts if they are due and other than before."""
        if now.mono < self._next_at:
            return
        self._next_at = now.mono + WRITE_EVERY_S
        counts = json.dumps(term.pending_by_queue(), sort_keys=True)
        if counts != self._written:
            self._written = counts
            term.journal.note_value(PENDING_KEY, counts)

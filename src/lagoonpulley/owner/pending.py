"""Counts by queue of jobs that have not started, stored for all entries to read."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..runtime.role import Now
    from .term import OwnerTerm

__all__ = ["PENDING_KEY", "PendingCounts"]

PENDING_KEY = "lagoonpulley/pending"
WRITE_INTERVAL_S = 1.0


class PendingCounts:
    """Writes the counts when they have changed, at most once a second."""

    def __init__(self) -> None:
        self._written = ""
        self._next_at = 0.0

    def write_if_due(self, term: OwnerTerm, now: Now) -> None:
        """Enqueue the counts if a write is due and they have changed."""
        if now.mono < self._next_at:
            return
        self._next_at = now.mono + WRITE_INTERVAL_S
        counts = json.dumps(term.pending_by_queue(), sort_keys=True)
        if counts != self._written:
            self._written = counts
            term.journal.enqueue_value(PENDING_KEY, counts)

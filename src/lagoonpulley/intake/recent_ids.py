"""Set of identifiers that keeps only the latest ones."""

from __future__ import annotations

__all__ = ["RecentIds"]


class RecentIds:
    """Identifiers in the order in which they were added.

    :param max_ids: the oldest one is dropped beyond this number.
    """

    def __init__(self, max_ids: int) -> None:
        self._max_ids = max_ids
        self._ids: dict[str, None] = {}

    def __contains__(self, identifier: str) -> bool:
        return identifier in self._ids

    def add(self, identifier: str) -> None:
        """Add an identifier; one that is present keeps its place."""
        self._ids.setdefault(identifier)
        if len(self._ids) > self._max_ids:
            del self._ids[next(iter(self._ids))]

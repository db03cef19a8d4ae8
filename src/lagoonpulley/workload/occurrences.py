"""A set of occurrences, most of which follow one another."""

from __future__ import annotations

from collections.abc import Iterable

__all__ = ["OccurrenceSet"]


class OccurrenceSet:
    """Occurrences of a job, held as all below a number and some from there on."""

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._all_below = 0
        self._others: set[int] = set()
        for first, last in ranges:
            for occurrence in range(first, last + 1):
                self.add(occurrence)

    def __contains__(self, occurrence: int) -> bool:
        return occurrence < self._all_below or occurrence in self._others

    def __len__(self) -> int:
        return self._all_below + len(self._others)

    def add(self, occurrence: int) -> None:
        """Add an occurrence."""
        if occurrence in self:
            return
        self._others.add(occurrence)
        while self._all_below in self._others:
            self._others.discard(self._all_below)
            self._all_below += 1

    def ranges(self) -> list[tuple[int, int]]:
        """Return the first and last occurrence of each range, in order."""
        ranges = [(0, self._all_below - 1)] if self._all_below else []
        for occurrence in sorted(self._others):
            if ranges and ranges[-1][1] == occurrence - 1:
                ranges[-1] = (ranges[-1][0], occurrence)
            else:
                ranges.append((occurrence, occurrence))
        return ranges

"""Resource vectors of workers, tasks and teams."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

__all__ = ["RESOURCE_NAMES", "ZERO", "Resources"]


class Resources(NamedTuple):
    """Amounts of each resource, as integers."""

    processors_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum of both vectors."""
        return Resources(
            self[0] + other[0],
            self[1] + other[1],
            self[2] + other[2],
            self[3] + other[3],
            self[4] + other[4],
        )

    def minus(self, other: Resources) -> Resources:
        """Return this vector less the other; components may become negative."""
        return Resources(
            self[0] - other[0],
            self[1] - other[1],
            self[2] - other[2],
            self[3] - other[3],
            self[4] - other[4],
        )

    def times(self, count: int) -> Resources:
        """Return the vector multiplied by an integer."""
        return Resources(*(amount * count for amount in self))

    def fits_in(self, available: Resources) -> bool:
        """Return whether every component is at most that of ``available``."""
        return (
            self[0] <= available[0]
            and self[1] <= available[1]
            and self[2] <= available[2]
            and self[3] <= available[3]
            and self[4] <= available[4]
        )

    def copies_in(self, available: Resources) -> int:
        """Return how many times this vector fits; 1 at most if it asks for nothing."""
        copies = [have // want for have, want in zip(available, self) if want > 0]
        return max(0, min(copies, default=1))

    def copies_counter(self) -> Callable[[Resources], int]:
        """Return :meth:`copies_in` as a function, faster for many vectors."""
        wanted = [(index, want) for index, want in enumerate(self) if want > 0]
        if not wanted:
            return self.copies_in
        (first, first_want), *others = wanted

        def count_copies(available: Resources) -> int:
            copies = available[first] // first_want
            for index, want in others:
                fitting = available[index] // want
                if fitting < copies:
                    copies = fitting
            return copies if copies > 0 else 0

        return count_copies

    def largest_fraction_of(self, total: Resources) -> float:
        """Return the dominant share: the largest component relative to ``total``.

        It is infinite if ``total`` lacks a resource that this vector contains, or if
        it is too large for a floating-point number.
        """
        share = 0.0
        for amount, total_amount in zip(self, total):
            if amount <= 0:
                continue
            if total_amount <= 0:
                return float("inf")
            try:
                share = max(share, amount / total_amount)
            except OverflowError:
                return float("inf")
        return share


RESOURCE_NAMES = Resources._fields
ZERO = Resources()

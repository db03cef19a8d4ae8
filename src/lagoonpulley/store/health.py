"""Whether this entry is in contact with the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.role import Now

__all__ = ["StoreContact", "StoreHealth"]


class StoreHealth(Protocol):
    """Tells whether calls to the store are worth trying."""

    def is_away(self) -> bool:
        """Return whether the last call of this entry failed."""
        ...


class StoreContact:
    """Times of the last answer and of the last failure.

    The store's port writes, callers' threads and roles read; each time is replaced
    at once.
    """

    def __init__(self, clocks: Callable[[], Now]) -> None:
        self._clocks = clocks
        self._seen_at = float("-inf")
        self._failed_at = float("-inf")

    def note(self, answered: bool) -> None:
        """Take in the outcome of one call."""
        now = self._clocks().mono
        if answered:
            self._seen_at = now
        else:
            self._failed_at = now

    def is_away(self) -> bool:
        """See :class:`StoreHealth`."""
        return self._failed_at > self._seen_at

    def silence_s(self) -> float:
        """Return how long ago the store answered, in seconds."""
        return self._clocks().mono - self._seen_at

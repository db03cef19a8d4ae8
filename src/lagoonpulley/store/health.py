"""Whether this entry is in contact with the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.role import Now

__all__ = ["StoreHealth", "StoreHealthTracker"]

# A single answer may be lost on its way while the store is well.
FAILURES_TO_BELIEVE = 2


class StoreHealth(Protocol):
    """Tells whether calls to the store are worth trying."""

    def is_unreachable(self) -> bool:
        """Return whether the last calls failed, directly and by other entries."""
        ...


class StoreHealthTracker:
    """The last answer, and the failures since then.

    Ports and roles write, callers' threads read; each field is replaced at once.
    """

    def __init__(self, clocks: Callable[[], Now]) -> None:
        self._clocks = clocks
        self._seen_at = float("-inf")
        self._failures = 0
        self._direct_failures = 0

    def record_result(self, answered: bool) -> None:
        """Take in the outcome of one call, whichever way it went."""
        self._failures = 0 if answered else self._failures + 1
        if answered:
            self._seen_at = self._clocks().mono

    def record_direct_result(self, answered: bool) -> None:
        """Take in whether the store answered a call of this entry itself."""
        self._direct_failures = 0 if answered else self._direct_failures + 1

    def is_directly_unreachable(self) -> bool:
        """Return whether the last calls from here to the store failed."""
        return self._direct_failures >= FAILURES_TO_BELIEVE

    def is_unreachable(self) -> bool:
        """See :class:`StoreHealth`."""
        return self._failures >= FAILURES_TO_BELIEVE

    def silence_s(self) -> float:
        """Return how long ago the store answered, in seconds."""
        return self._clocks().mono - self._seen_at

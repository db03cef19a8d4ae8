"""Health of the store as seen by this entry."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.role import Now

__all__ = ["StoreHealth", "StoreHealthTracker"]

# One failure may be a lost answer of a healthy store.
FAILURES_UNTIL_UNREACHABLE = 2


class StoreHealth(Protocol):
    """Reports whether calls to the store currently succeed."""

    def is_unreachable(self) -> bool:
        """Return whether the latest calls failed; a relayed call counts once."""
        ...

    def silence_s(self) -> float:
        """Return the seconds since the last answer, infinite before the first."""
        ...


class StoreHealthTracker:
    """Tracks consecutive failures of store calls and the time of the last answer.

    Ports and roles update it from several threads.

    :param clocks: returns the current monotonic and wall-clock time.
    """

    def __init__(self, clocks: Callable[[], Now]) -> None:
        self._clocks = clocks
        self._lock = threading.Lock()
        self._last_answer_at = float("-inf")
        self._failures = 0
        self._direct_failures = 0

    def record_result(self, answered: bool) -> None:
        """Record whether a call got an answer, be it directly or relayed."""
        with self._lock:
            self._failures = 0 if answered else self._failures + 1
            if answered:
                self._last_answer_at = self._clocks().mono

    def record_direct_result(self, answered: bool) -> None:
        """Record whether the store answered a direct call from this entry."""
        with self._lock:
            self._direct_failures = 0 if answered else self._direct_failures + 1

    def is_directly_unreachable(self) -> bool:
        """Return whether the latest direct calls to the store failed."""
        return self._direct_failures >= FAILURES_UNTIL_UNREACHABLE

    def is_unreachable(self) -> bool:
        """See :class:`StoreHealth`."""
        return self._failures >= FAILURES_UNTIL_UNREACHABLE

    def silence_s(self) -> float:
        """Return the seconds since the last answer, infinite before the first."""
        return self._clocks().mono - self._last_answer_at

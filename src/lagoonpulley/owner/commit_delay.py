"""Estimate of how much an owner can commit within a time."""

from __future__ import annotations

from .journal import MAX_COMMIT_ROWS

__all__ = ["CommitDelay"]

# Weight of the latest commit in the average.
SMOOTHING = 0.3
# A store within the data centre does not answer sooner.
MIN_COMMIT_S = 0.001


class CommitDelay:
    """Measures the commits of an owner; times are monotonic seconds."""

    def __init__(self) -> None:
        self._average_s = 0.0
        self._sent_at: float | None = None

    def record_sent(self, now: float) -> None:
        """Record that a commit was sent for the first time."""
        self._sent_at = now

    def record_durable(self, now: float) -> None:
        """Record that the commit in flight is durable."""
        if self._sent_at is not None:
            self._average_s += SMOOTHING * (now - self._sent_at - self._average_s)
        self._sent_at = None

    def rows_within(self, delay_s: float, now: float) -> int:
        """Return how many rows can be durable within a time.

        Those of one commit can, however long it takes. A commit in flight that takes
        longer than the average tells that others will.
        """
        in_flight_s = now - self._sent_at if self._sent_at is not None else 0.0
        commit_s = max(self._average_s, in_flight_s, MIN_COMMIT_S)
        return max(1, int(delay_s / commit_s)) * MAX_COMMIT_ROWS

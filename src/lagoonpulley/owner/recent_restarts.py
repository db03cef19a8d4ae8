"""Tells the next owner which workers have restarted a short while ago."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .worker_leases import MAX_COMMAND_DELAY_S, latest_lease_end

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["RecentRestarts"]

# More are stored as "all workers".
MAX_STORED_WORKERS = 200
ALL_WORKERS = "*"


class RecentRestarts:
    """Workers of which a former life's commands may still set the leases.

    An owner that saw a restart counts these leases; its successor would know of it by
    wall clocks alone, which may differ. The names are part of the journal's head, which
    each commit writes: no run is placed on a restarted worker without them.

    :param max_lease_s: longest lease of a worker, in seconds.
    :param stored: the names that the earlier owner has stored.
    :param now: monotonic time in seconds.
    """

    def __init__(self, max_lease_s: float, stored: Iterable[str], now: float) -> None:
        self._max_lease_s = max_lease_s
        self._until_by_id: dict[str, float] = {}
        for worker_id in stored:
            self.record(worker_id, now)

    def record(self, worker_id: str, now: float) -> None:
        """Record that a worker is known to have restarted.

        :param now: monotonic time in seconds.
        """
        until = latest_lease_end(now + MAX_COMMAND_DELAY_S, self._max_lease_s)
        self._until_by_id[worker_id] = until

    def includes(self, worker_id: str, now: float) -> bool:
        """Return whether a worker has restarted recently.

        :param now: monotonic time in seconds.
        """
        names = (worker_id, ALL_WORKERS)
        return any(self._until_by_id.get(name, now) > now for name in names)

    def names(self, now: float) -> tuple[str, ...]:
        """Return the names to store.

        :param now: monotonic time in seconds.
        """
        for worker_id, until in list(self._until_by_id.items()):
            if until <= now:
                del self._until_by_id[worker_id]
        if len(self._until_by_id) > MAX_STORED_WORKERS:
            return (ALL_WORKERS,)
        return tuple(self._until_by_id)

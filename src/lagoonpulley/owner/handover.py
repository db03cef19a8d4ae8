"""Decides when an owner hands over to a much stronger entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .entries import stronger_entries

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..store.messages import KeyValue
    from .entries import EntryDocument
    from .settings import OwnerSettings

__all__ = ["HandoverMonitor"]

# Shortest term before an owner hands over, so that ownership does not flap.
MIN_TERM_S = 5.0
# How long a stronger entry must have been registered.
MIN_REGISTERED_S = 3.0
# The same for an entry that was registered at the election but did not win it.
MIN_REGISTERED_AFTER_LOSS_S = 15.0


class HandoverMonitor:
    """Tracks since when the stronger entries have been registered without a gap."""

    def __init__(self, settings: OwnerSettings) -> None:
        self._name = settings.entry_id
        self._capacity = settings.capacity
        self._term_began_at = float("-inf")
        self._passed_over_lives: Collection[str] = ()
        self._registered_since_by_life: dict[str, float] = {}

    def begin_term(self, passed_over_lives: Collection[str], now: float) -> None:
        """Begin a term of this entry as the owner.

        :param passed_over_lives: lives of the stronger entries that did not win.
        :param now: monotonic time in seconds.
        """
        self._term_began_at = now
        self._passed_over_lives = passed_over_lives
        self._registered_since_by_life = {}

    def find_successor(
        self, entries: Iterable[KeyValue], now: float
    ) -> EntryDocument | None:
        """Return a stronger entry that should be the owner instead, if there is one.

        :param entries: the entries that are registered now.
        :param now: monotonic time in seconds.
        """
        stronger = stronger_entries(entries, self._name, self._capacity)
        since_by_life = self._registered_since_by_life
        self._registered_since_by_life = {
            document.life: since_by_life.get(document.life, now)
            for document in stronger
        }
        if now - self._term_began_at < MIN_TERM_S:
            return None
        for document in stronger:
            registered_s = now - self._registered_since_by_life[document.life]
            if registered_s >= self._required_s(document.life):
                return document
        return None

    def _required_s(self, life: str) -> float:
        if life in self._passed_over_lives:
            return MIN_REGISTERED_AFTER_LOSS_S
        return MIN_REGISTERED_S

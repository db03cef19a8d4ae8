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
# The time after a loss doubles each time that an entry loses an ownership handed over
# to it, up to this. An entry that kept the ownership for longer counts as reliable.
MAX_REQUIRED_S = 240.0


class HandoverMonitor:
    """Tracks since when the stronger entries have been registered without a gap."""

    def __init__(self, settings: OwnerSettings) -> None:
        self._name = settings.entry_id
        self._capacity = settings.capacity
        self._term_began_at = float("-inf")
        self._passed_over_lives: Collection[str] = ()
        self._registered_since_by_life: dict[str, float] = {}
        # Life of the last successor, and when it was found.
        self._successor_life: str | None = None
        self._handed_over_at = float("-inf")
        # How often this entry became the owner again soon after handing over.
        self._failed_handovers_by_life: dict[str, int] = {}

    def begin_term(self, passed_over_lives: Collection[str], now: float) -> None:
        """Begin a term of this entry as the owner.

        :param passed_over_lives: lives of the stronger entries that did not win.
        :param now: monotonic time in seconds.
        """
        self._term_began_at = now
        self._passed_over_lives = passed_over_lives
        self._registered_since_by_life = {}
        self._judge_last_handover(now)

    def _judge_last_handover(self, now: float) -> None:
        """Count a successor that did not stay the owner."""
        life = self._successor_life
        self._successor_life = None
        if life is None:
            return
        if now - self._handed_over_at > MAX_REQUIRED_S:
            self._failed_handovers_by_life.pop(life, None)
            return
        count = self._failed_handovers_by_life.get(life, 0)
        self._failed_handovers_by_life[life] = count + 1

    def find_successor(
        self, entries: Iterable[KeyValue], now: float
    ) -> EntryDocument | None:
        """Return a stronger entry that should be the owner instead, if there is one.

        The caller hands over to it.

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
                self._successor_life = document.life
                self._handed_over_at = now
                return document
        return None

    def _required_s(self, life: str) -> float:
        failed_handovers = self._failed_handovers_by_life.get(life, 0)
        if failed_handovers:
            factor = 2.0 ** (failed_handovers - 1)
            return min(MAX_REQUIRED_S, MIN_REGISTERED_AFTER_LOSS_S * factor)
        if life in self._passed_over_lives:
            return MIN_REGISTERED_AFTER_LOSS_S
        return MIN_REGISTERED_S

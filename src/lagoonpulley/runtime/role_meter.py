"""Measures the delay, processing time and queue length of one role."""

from __future__ import annotations

import threading
from typing import NamedTuple

from ..observability.events import log_event
from ..observability.prometheus import (
    add_role_load,
    role_delay_histogram,
    set_role_queue,
)

__all__ = ["BEHIND_DELAY_S", "KindLoad", "RoleMeter"]

# A role whose messages wait longer than this is behind.
BEHIND_DELAY_S = 0.25
BEHIND_LOG_INTERVAL_S = 1.0
# Metrics are updated, and the busy share is computed, once per window.
WINDOW_S = 1.0


class KindLoad(NamedTuple):
    """Number of messages of one kind and their processing time in seconds."""

    messages: int = 0
    busy_s: float = 0.0


class RoleMeter:
    """Measures one role.

    Any thread may call :meth:`record_queued`; the other methods that record are called
    by the role's own thread. Times are monotonic seconds.
    """

    def __init__(self, role: str) -> None:
        self._role = role
        self._lock = threading.Lock()
        self._queued = 0
        self._processed = 0
        self._load_by_kind: dict[str, KindLoad] = {}
        self._flushed_by_kind: dict[str, KindLoad] = {}
        self._max_delays_s: list[float] = []
        self._delays = role_delay_histogram(role)
        self._window_began_at: float | None = None
        self._window_busy_s = 0.0
        self._window_slowest = ("", 0.0)
        self._busy_share = 0.0
        self._slowest = ("", 0.0)
        self._behind_since: float | None = None
        self._behind_max_delay_s = 0.0
        self._behind_logged_at = float("-inf")

    @property
    def queued(self) -> int:
        """Number of messages whose processing has not begun."""
        return max(0, self._queued - self._processed)

    def add_reader(self) -> None:
        """Keep one more maximum of the delay; see :meth:`take_max_delay`."""
        self._max_delays_s.append(0.0)

    def take_max_delay(self, reader: int) -> float:
        """Return the longest delay since this reader's previous call, in seconds."""
        delay_s, self._max_delays_s[reader] = self._max_delays_s[reader], 0.0
        return delay_s

    def totals(self) -> dict[str, KindLoad]:
        """Return the processed messages since the start, by kind."""
        return self._load_by_kind.copy()

    def record_queued(self) -> None:
        """Count a message that was put into the mailbox."""
        with self._lock:
            self._queued += 1

    def record_began(self, queued_at: float, began_at: float) -> None:
        """Record that the processing of a message begins."""
        self._processed += 1
        if self._window_began_at is None:
            self._window_began_at = queued_at
        delay_s = max(0.0, began_at - queued_at)
        self._delays.observe(delay_s)
        for reader, max_delay_s in enumerate(self._max_delays_s):
            if delay_s > max_delay_s:
                self._max_delays_s[reader] = delay_s
        if delay_s > BEHIND_DELAY_S:
            self._record_behind(delay_s, began_at)
        elif self._behind_since is not None:
            self._record_caught_up(began_at)

    def record_ended(self, kind: str, began_at: float, ended_at: float) -> None:
        """Record that the processing of a message has ended.

        :param kind: kind of the message, from a small set of names.
        """
        busy_s = ended_at - began_at
        load = self._load_by_kind.get(kind, KindLoad())
        self._load_by_kind[kind] = KindLoad(load.messages + 1, load.busy_s + busy_s)
        self._window_busy_s += busy_s
        if busy_s > self._window_slowest[1]:
            self._window_slowest = (kind, busy_s)
        if ended_at - self._window_began_at >= WINDOW_S:
            self._end_window(ended_at)

    def _end_window(self, at: float) -> None:
        self._busy_share = self._window_busy_s / (at - self._window_began_at)
        self._slowest = self._window_slowest
        self._window_began_at = at
        self._window_busy_s = 0.0
        self._window_slowest = ("", 0.0)
        for kind, load in self._load_by_kind.items():
            flushed = self._flushed_by_kind.get(kind, KindLoad())
            if load.messages > flushed.messages:
                messages = load.messages - flushed.messages
                add_role_load(self._role, kind, messages, load.busy_s - flushed.busy_s)
        self._flushed_by_kind = self._load_by_kind.copy()
        set_role_queue(self._role, self.queued)

    def _record_behind(self, delay_s: float, at: float) -> None:
        self._behind_max_delay_s = max(self._behind_max_delay_s, delay_s)
        if at - self._behind_logged_at < BEHIND_LOG_INTERVAL_S:
            return
        self._behind_logged_at = at
        if self._behind_since is None:
            self._behind_since = at
        kind, busy_s = self._slowest
        log_event(
            "role_behind",
            role=self._role,
            delay_s=round(delay_s, 3),
            queued=self.queued,
            busy_share=round(self._busy_share, 3),
            slowest=kind,
            slowest_s=round(busy_s, 3),
        )

    def _record_caught_up(self, at: float) -> None:
        log_event(
            "role_caught_up",
            role=self._role,
            behind_s=round(at - self._behind_since, 3),
            max_delay_s=round(self._behind_max_delay_s, 3),
        )
        self._behind_since = None
        self._behind_max_delay_s = 0.0

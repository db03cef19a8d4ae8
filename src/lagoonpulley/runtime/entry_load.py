"""Log line about the load of an entry whose roles are behind."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

from ..observability.events import log_event
from .role_meter import BEHIND_DELAY_S

if TYPE_CHECKING:
    from .load import LoadInterval, LoadSource

__all__ = ["EntryLoadLog", "call_fields", "share_by_role"]

LOG_INTERVAL_S = 5.0


class EntryLoadLog:
    """Writes ``entry_load`` at most once per interval, if a role was behind in it.

    Any thread may call :meth:`write_if_due`.
    """

    def __init__(self, load: LoadSource) -> None:
        self._load = load
        self._lock = threading.Lock()
        self._next_at = float("-inf")

    def write_if_due(self, at: float) -> None:
        """Write the line if an interval has ended.

        :param at: monotonic time in seconds.
        """
        if at < self._next_at:
            return
        with self._lock:
            if at < self._next_at:
                return
            self._next_at = at + LOG_INTERVAL_S
            interval = self._load.read(at)
        if interval.duration_s > 0 and interval.max_delay_s() > BEHIND_DELAY_S:
            _write(interval)


def _write(interval: LoadInterval) -> None:
    behind = {}
    for name, role in interval.role_by_name.items():
        if role.max_delay_s > BEHIND_DELAY_S:
            behind[name] = {
                "delay_s": round(role.max_delay_s, 3),
                "queued": role.queued,
                "messages": role.messages,
            }
    log_event(
        "entry_load",
        interval_s=round(interval.duration_s, 3),
        behind=behind,
        busy_share=share_by_role(interval),
        processor_share=round(interval.processor_s / interval.duration_s, 3),
        **call_fields(interval),
    )


def share_by_role(interval: LoadInterval) -> dict[str, float]:
    """Return the share of the interval that each role spent processing."""
    return {
        name: round(role.busy_s / interval.duration_s, 3)
        for name, role in interval.role_by_name.items()
    }


def call_fields(interval: LoadInterval) -> dict[str, Any]:
    """Return the fields of calls and bytes a second of each port."""
    fields: dict[str, Any] = {}
    for port in interval.calls_by_port:
        load = interval.calls_of(port)
        fields[f"{port}_calls_per_s"] = round(load.calls / interval.duration_s, 1)
        sent, received = load.sent_bytes, load.received_bytes
        fields[f"{port}_sent_bytes_per_s"] = round(sent / interval.duration_s)
        fields[f"{port}_received_bytes_per_s"] = round(received / interval.duration_s)
    return fields

"""Reader of the events in log files of entries."""

from __future__ import annotations

import datetime
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

__all__ = ["timestamp_of", "read_events"]


def read_events(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the events in log lines.

    A prefix that a log collector put before the JSON object is dropped; lines
    without a JSON object or without an event are skipped.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            yield fields


def timestamp_of(event: dict[str, Any]) -> float | None:
    """Return the wall-clock time of an event in seconds, or ``None`` if it has none.

    The time may be a number of seconds or a text in ISO 8601 format.
    """
    time = event.get("time")
    if isinstance(time, int | float):
        return float(time)
    try:
        return datetime.datetime.fromisoformat(str(time)).timestamp()
    except ValueError:
        return None

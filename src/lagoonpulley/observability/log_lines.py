"""Events in log files of entries."""

from __future__ import annotations

import datetime
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

__all__ = ["moment_of", "read_events"]


def read_events(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the events in log lines.

    Whatever a collector put before the JSON object of a line is dropped; lines
    without one are passed over.
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


def moment_of(event: dict[str, Any]) -> float | None:
    """Return the wall time of an event in seconds, or ``None`` if it has none."""
    time = event.get("time")
    if isinstance(time, int | float):
        return float(time)
    try:
        return datetime.datetime.fromisoformat(str(time)).timestamp()
    except ValueError:
        return None

"""Structured log lines of scheduling decisions, rate limited per event."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from enum import Enum
from typing import Any

from .prometheus import count_event

__all__ = ["DECISION_LOGGER", "log_event"]

DECISION_LOGGER = "lagoonpulley.decisions"

# Lines written per event and second; the next line carries the number suppressed.
MAX_LINES_PER_S = 300
MAX_FAILURE_LINES_PER_S = 2
FAILURE_SUFFIXES = (
    "_failed",
    "_refused",
    "_away",
    "_late",
    "_not_understood",
    "_unknown",
)
# What became of a run is told for each, though it is a failure.
RUN_FAILURES = frozenset(("start_failed", "stop_failed"))
# Of one field: keys, names and reasons may come from other writers.
MAX_TEXT_LENGTH = 1000

_log = logging.getLogger(DECISION_LOGGER)


@dataclass(slots=True)
class _LineQuota:
    """Lines written and suppressed for one event in the current one-second window."""

    window_start: float = 0.0
    lines: int = 0
    suppressed: int = 0


_quota_by_event: dict[str, _LineQuota] = {}


def _line_limit(event: str) -> int:
    if event.endswith(FAILURE_SUFFIXES) and event not in RUN_FAILURES:
        return MAX_FAILURE_LINES_PER_S
    return MAX_LINES_PER_S


def _admit_line(event: str) -> int | None:
    """Return how many lines were suppressed before this one.

    ``None`` means that the rate limit is reached and this line is suppressed too.
    """
    quota = _quota_by_event.setdefault(event, _LineQuota())
    now = time.monotonic()
    if now - quota.window_start >= 1.0:
        quota.window_start = now
        quota.lines = 0
    if quota.lines >= _line_limit(event):
        quota.suppressed += 1
        return None
    quota.lines += 1
    suppressed, quota.suppressed = quota.suppressed, 0
    return suppressed


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, str) and len(value) > MAX_TEXT_LENGTH:
        return value[:MAX_TEXT_LENGTH] + "..."
    return value


def log_event(event: str, **fields: Any) -> None:
    """Count an event and write its log line unless the rate limit is reached.

    :param event: name of the event, as listed in the operators' documentation.
    :param fields: key-value pairs of the line; enum members are written by value, and
        long texts are cut.
    """
    count_event(event)
    if not _log.isEnabledFor(logging.INFO):
        return
    suppressed = _admit_line(event)
    if suppressed is None:
        return
    if suppressed:
        fields["left_out"] = suppressed
    plain_fields = {name: _plain(value) for name, value in fields.items()}
    _log.info(event, extra={"event": event, **plain_fields})

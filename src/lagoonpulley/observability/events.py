"""Log lines of decisions: one event with key=value fields per line."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from enum import Enum
from typing import Any

from .prometheus import count_event

__all__ = ["DECISION_LOGGER", "log_event"]

DECISION_LOGGER = "lagoonpulley.decisions"

# Lines of one event in one second; what is left out is counted on the next line.
MOST_LINES_PER_S = 300
MOST_FAILURE_LINES_PER_S = 2
FAILURE_SUFFIXES = ("_failed", "_refused", "_away")

_log = logging.getLogger(DECISION_LOGGER)


@dataclass(slots=True)
class _Budget:
    """Lines of one event in the present second."""

    began: float = 0.0
    lines: int = 0
    left_out: int = 0


_budget_by_event: dict[str, _Budget] = {}


def _most_lines(event: str) -> int:
    if event.endswith(FAILURE_SUFFIXES):
        return MOST_FAILURE_LINES_PER_S
    return MOST_LINES_PER_S


def _take_line(event: str) -> int | None:
    """Return how many lines were left out before this one, ``None`` to leave it."""
    budget = _budget_by_event.setdefault(event, _Budget())
    now = time.monotonic()
    if now - budget.began >= 1.0:
        budget.began = now
        budget.lines = 0
    if budget.lines >= _most_lines(event):
        budget.left_out += 1
        return None
    budget.lines += 1
    left_out, budget.left_out = budget.left_out, 0
    return left_out


def log_event(event: str, **fields: Any) -> None:
    """Write one event.

    :param event: name of the event, as listed in the operators' pages.
    :param fields: its values; enumerations are written by value.
    """
    count_event(event)
    if not _log.isEnabledFor(logging.INFO):
        return
    left_out = _take_line(event)
    if left_out is None:
        return
    if left_out:
        fields["left_out"] = left_out
    plain = {
        name: value.value if isinstance(value, Enum) else value
        for name, value in fields.items()
    }
    _log.info(event, extra={"event": event, **plain})

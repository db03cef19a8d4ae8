"""Log lines of decisions: one event with key=value fields per line."""

from __future__ import annotations

import logging
from enum import Enum
from typing import Any

__all__ = ["DECISION_LOGGER", "log_event"]

DECISION_LOGGER = "lagoonpulley.decisions"

_log = logging.getLogger(DECISION_LOGGER)


def log_event(event: str, **fields: Any) -> None:
    """Write one event.

    :param event: name of the event, as listed in the operators' pages.
    :param fields: its values; enumerations are written by value.
    """
    if not _log.isEnabledFor(logging.INFO):
        return
    plain = {
        name: value.value if isinstance(value, Enum) else value
        for name, value in fields.items()
    }
    _log.info(event, extra={"event": event, **plain})

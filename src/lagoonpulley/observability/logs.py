"""Log output as one JSON object per line, and a buffer of recent decisions."""

from __future__ import annotations

import logging
import sys
from collections import deque
from typing import TYPE_CHECKING, Any

from pythonjsonlogger.json import JsonFormatter

from .events import DECISION_LOGGER

if TYPE_CHECKING:
    from ..settings.schema import LogSettings

__all__ = [
    "DecisionBuffer",
    "buffer_decisions",
    "concerns_job",
    "configure_logging",
    "configure_stdout_logging",
]

ROOT_LOGGER = "lagoonpulley"
MAX_BUFFERED_EVENTS = 20_000


class DecisionBuffer(logging.Handler):
    """Keeps the most recent decision events in memory for ``explain``."""

    def __init__(self, max_events: int = MAX_BUFFERED_EVENTS) -> None:
        super().__init__(logging.INFO)
        self._events: deque[dict[str, Any]] = deque(maxlen=max_events)

    def emit(self, record: logging.LogRecord) -> None:
        """Append the fields of one event; the oldest is dropped when full."""
        fields = {
            name: value
            for name, value in record.__dict__.items()
            if name not in _STANDARD_FIELDS
        }
        fields["time"] = record.created
        self._events.append(fields)

    def events_of_job(self, job_id: str) -> list[dict[str, Any]]:
        """Return the buffered events that concern a job, oldest first."""
        return [fields for fields in list(self._events) if concerns_job(fields, job_id)]


def concerns_job(fields: dict[str, Any], job_id: str) -> bool:
    """Return whether an event is about a job or one of its tasks."""
    if fields.get("job") == job_id:
        return True
    return str(fields.get("task", "")).rpartition("/")[0] == job_id


def configure_logging(settings: LogSettings, entry_id: str) -> None:
    """Write log lines to the configured file, or to standard error without one.

    :raises OSError: if the file cannot be opened.
    """
    handler: logging.Handler
    if settings.file:
        handler = logging.FileHandler(settings.file, encoding="utf-8")
    else:
        handler = logging.StreamHandler(sys.stderr)
    _attach_handler(handler, settings.level, entry_id)


def configure_stdout_logging(entry_id: str) -> None:
    """Write log lines to standard output."""
    _attach_handler(logging.StreamHandler(sys.stdout), "info", entry_id)


def _attach_handler(handler: logging.Handler, level: str, entry_id: str) -> None:
    formatter = JsonFormatter(
        "%(message)s %(levelname)s %(name)s",
        rename_fields={"levelname": "level", "name": "logger"},
        static_fields={"entry": entry_id},
        timestamp="time",
    )
    handler.setFormatter(formatter)
    root = logging.getLogger(ROOT_LOGGER)
    root.setLevel(level.upper())
    root.addHandler(handler)
    root.propagate = False


def buffer_decisions(buffer: DecisionBuffer) -> None:
    """Copy every decision event logged from now on into a buffer."""
    logger = logging.getLogger(DECISION_LOGGER)
    logger.setLevel(logging.INFO)
    logger.addHandler(buffer)


_STANDARD_FIELDS = frozenset(
    (*logging.makeLogRecord({}).__dict__, "message", "asctime", "taskName")
)

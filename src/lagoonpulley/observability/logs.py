"""Log output: one JSON object per line."""

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
    "concerns",
    "configure_logging",
    "configure_stdout_logging",
]

ROOT_LOGGER = "lagoonpulley"
KEPT_EVENTS = 20_000


class DecisionBuffer(logging.Handler):
    """Keeps the last events of decisions in memory for ``explain``."""

    def __init__(self, most: int = KEPT_EVENTS) -> None:
        super().__init__(logging.INFO)
        self._events: deque[dict[str, Any]] = deque(maxlen=most)

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the fields of one event."""
        fields = {
            name: value
            for name, value in record.__dict__.items()
            if name not in _STANDARD_FIELDS
        }
        fields["time"] = record.created
        self._events.append(fields)

    def events_of_job(self, job_id: str) -> list[dict[str, Any]]:
        """Return the kept events that concern a job, oldest first."""
        return [fields for fields in list(self._events) if concerns(fields, job_id)]


def concerns(fields: dict[str, Any], job_id: str) -> bool:
    """Return whether an event is about a job or one of its tasks."""
    if fields.get("job") == job_id:
        return True
    return str(fields.get("task", "")).rpartition("/")[0] == job_id


def configure_logging(settings: LogSettings, entry_id: str) -> None:
    """Send the program's log lines to a file or to standard error.

    :raises OSError: when the file cannot be opened.
    """
    handler: logging.Handler
    if settings.file:
        handler = logging.FileHandler(settings.file, encoding="utf-8")
    else:
        handler = logging.StreamHandler(sys.stderr)
    _attach(handler, settings.level, entry_id)


def configure_stdout_logging(entry_id: str) -> None:
    """Send the program's log lines to standard output."""
    _attach(logging.StreamHandler(sys.stdout), "info", entry_id)


def _attach(handler: logging.Handler, level: str, entry_id: str) -> None:
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
    """Copy events of decisions into a buffer from now on."""
    logger = logging.getLogger(DECISION_LOGGER)
    logger.setLevel(logging.INFO)
    logger.addHandler(buffer)


_STANDARD_FIELDS = frozenset(
    (*logging.makeLogRecord({}).__dict__, "message", "asctime", "taskName")
)

"""Captures the events that the code under test logs."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from lagoonpulley.observability.events import DECISION_LOGGER


class _ListHandler(logging.Handler):
    """Keeps all records."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep one record."""
        self.records.append(record)


class LoggedEvents:
    """Events captured since the beginning, oldest first."""

    def __init__(self, handler: _ListHandler) -> None:
        self._handler = handler

    def named(self, event: str) -> list[dict]:
        """Return the fields of all events of one name."""
        records = list(self._handler.records)
        return [record.__dict__ for record in records if record.event == event]


@contextmanager
def capture_events() -> Iterator[LoggedEvents]:
    """Capture events until the context ends."""
    logger = logging.getLogger(DECISION_LOGGER)
    level = logger.level
    handler = _ListHandler()
    logger.setLevel(logging.INFO)
    logger.addHandler(handler)
    try:
        yield LoggedEvents(handler)
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)

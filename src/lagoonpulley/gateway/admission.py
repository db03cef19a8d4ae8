"""Bounds on requests in flight at one entry."""

from __future__ import annotations

import threading
from contextlib import contextmanager
from typing import TYPE_CHECKING

from ..model.verdict import Ran
from .problems import Problem

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..settings.schema import AdmissionSettings

__all__ = ["Admission"]

RETRY_AFTER_S = 1.0


class Admission:
    """Counts callers that wait and bytes in flight, and refuses beyond a bound."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._waiting = 0
        self._bytes = 0
        self._stopping = False

    def stop(self) -> None:
        """Refuse all new work from now on."""
        self._stopping = True

    @property
    def is_stopping(self) -> bool:
        """Whether the entry is about to stop."""
        return self._stopping

    @property
    def in_flight(self) -> int:
        """Return how many admitted requests are not yet answered."""
        with self._lock:
            return self._waiting

    @contextmanager
    def admit(self, body_bytes: int) -> Iterator[None]:
        """Hold a place for one request.

        :param body_bytes: size of the request's body.
        :raises Problem: when the entry has taken in all that it may.
        """
        self._enter(body_bytes)
        try:
            yield
        finally:
            with self._lock:
                self._waiting -= 1
                self._bytes -= body_bytes

    def _enter(self, body_bytes: int) -> None:
        if body_bytes > self._settings.body_bytes:
            raise Problem(
                "too_large",
                Ran.NO,
                f"the body is over {self._settings.body_bytes} bytes",
            )
        if self._stopping:
            raise Problem("stopping", Ran.NO, "this entry is stopping", RETRY_AFTER_S)
        with self._lock:
            if self._waiting >= self._settings.waiting_callers:
                raise _overloaded("too many callers are waiting")
            if self._bytes + body_bytes > self._settings.bytes_in_flight:
                raise _overloaded("too many bytes are in flight")
            self._waiting += 1
            self._bytes += body_bytes


def _overloaded(detail: str) -> Problem:
    return Problem("overloaded", Ran.NO, detail, RETRY_AFTER_S)

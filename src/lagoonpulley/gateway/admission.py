"""Limits the requests in flight at one entry."""

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
    """Counts requests and bytes in flight and refuses requests above a limit."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._requests_in_flight = 0
        self._bytes_in_flight = 0
        self._stopping = False

    def stop(self) -> None:
        """Refuse all new requests."""
        self._stopping = True

    @property
    def is_stopping(self) -> bool:
        """Whether the entry is stopping and refuses new requests."""
        return self._stopping

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that are not yet answered."""
        with self._lock:
            return self._requests_in_flight

    @contextmanager
    def admit(self, body_bytes: int) -> Iterator[None]:
        """Count one request as in flight until the context exits.

        :param body_bytes: size of the request's body.
        :raises Problem: when a limit is exceeded or the entry is stopping.
        """
        self._reserve(body_bytes)
        try:
            yield
        finally:
            with self._lock:
                self._requests_in_flight -= 1
                self._bytes_in_flight -= body_bytes

    def _reserve(self, body_bytes: int) -> None:
        if body_bytes > self._settings.body_bytes:
            raise Problem(
                "too_large",
                Ran.NO,
                f"the body is over {self._settings.body_bytes} bytes",
            )
        if self._stopping:
            raise Problem("stopping", Ran.NO, "this entry is stopping", RETRY_AFTER_S)
        with self._lock:
            if self._requests_in_flight >= self._settings.waiting_callers:
                raise _overloaded("too many callers are waiting")
            if self._bytes_in_flight + body_bytes > self._settings.bytes_in_flight:
                raise _overloaded("too many bytes are in flight")
            self._requests_in_flight += 1
            self._bytes_in_flight += body_bytes


def _overloaded(detail: str) -> Problem:
    return Problem("overloaded", Ran.NO, detail, RETRY_AFTER_S)

"""Whole requests that wait for a thread of the application."""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .http_connection import HttpConnection
    from .wsgi import HttpRequest

__all__ = ["RequestQueue"]


class RequestQueue:
    """Requests in the order of their arrival, at most one of each connection."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._request_by_connection: OrderedDict[HttpConnection, HttpRequest] = (
            OrderedDict()
        )
        self._is_closed = False

    def put(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Add the request of a connection."""
        with self._changed:
            self._request_by_connection[connection] = request
            self._changed.notify()

    def drop(self, connection: HttpConnection) -> None:
        """Remove the request of a connection if no thread has taken it."""
        with self._changed:
            self._request_by_connection.pop(connection, None)

    def take(self) -> tuple[HttpConnection, HttpRequest] | None:
        """Wait for a request and remove it; ``None`` once the queue is closed."""
        with self._changed:
            self._changed.wait_for(self._may_end_wait)
            if self._is_closed:
                return None
            return self._request_by_connection.popitem(last=False)

    def close(self) -> None:
        """Have all threads end; requests that are left are not answered."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def _may_end_wait(self) -> bool:
        return self._is_closed or bool(self._request_by_connection)

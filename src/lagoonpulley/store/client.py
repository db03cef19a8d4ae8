"""Blocking store client for the command line."""

from __future__ import annotations

import queue
from typing import TYPE_CHECKING

from ..runtime.curl import CurlLoop
from .http import decode_result, encode_operation

if TYPE_CHECKING:
    from ..runtime.role import CallFailed
    from .messages import StoreOperation, StoreResult

__all__ = ["StoreClient"]


class StoreClient:
    """Performs store operations one at a time and blocks until each has a result.

    :param url: base address of the store.
    :param timeout_s: timeout of each operation in seconds.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._loop = CurlLoop("store-client")

    def call(self, operation: StoreOperation) -> StoreResult | CallFailed:
        """Perform an operation and return its result or failure."""
        outcomes: queue.SimpleQueue = queue.SimpleQueue()
        call = encode_operation(self._url, operation, self._timeout_s)
        self._loop.submit(call, outcomes.put)
        return decode_result(outcomes.get())

    def close(self) -> None:
        """Close the connections and stop the client's thread."""
        self._loop.close()

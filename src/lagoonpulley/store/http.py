"""HTTP adapter of the store for :mod:`..entry`.

Entries of :mod:`..platform` use :mod:`..platform.store` instead.
"""

from __future__ import annotations

import json
from dataclasses import asdict, replace
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from pydantic import TypeAdapter, ValidationError

from ..model.verdict import Ran
from ..runtime.curl import CurlLoop, HttpAnswer, HttpCall, HttpFailure
from ..runtime.role import CallFailed, Reply, Request
from .messages import (
    Delete,
    Get,
    GrantLease,
    ListInstances,
    ListKeys,
    Put,
    RenewLease,
    RevokeLease,
    StoreOperation,
    StoreResult,
    StoreStatus,
    Watch,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["StorePort", "decode_result", "encode_operation"]

_STATUS_BY_CODE = {
    200: StoreStatus.OK,
    404: StoreStatus.NOT_FOUND,
    409: StoreStatus.CONFLICT,
}
_RESULT_ADAPTER = TypeAdapter(StoreResult)


class StorePort:
    """Sends store operations over HTTP and replies to the requesting role.

    :param url: base address of the store.
    :param deliver: puts a message into the mailbox of a role.
    """

    def __init__(self, url: str, deliver: Callable[[str, Any], None]) -> None:
        self._url = url.rstrip("/")
        self._deliver = deliver
        self._loop = CurlLoop("store-port")

    def submit(self, message: Request) -> None:
        """Start the call of one operation."""
        call = encode_operation(self._url, message.operation, message.timeout_s)
        call = replace(call, total_timeout_s=message.total_timeout_s)

        def complete(outcome: HttpAnswer | HttpFailure) -> None:
            result = decode_result(outcome)
            self._deliver(message.reply_to, Reply(message.request_id, result))

        self._loop.submit(call, complete)

    def close(self) -> None:
        """Stop the adapter's thread."""
        self._loop.close()


def encode_operation(url: str, operation: StoreOperation, timeout_s: float) -> HttpCall:
    """Return the HTTP request of a store operation.

    :param url: base address of the store.
    :param timeout_s: timeout of the whole request in seconds.
    """
    method, path = _method_and_path(operation)
    body = json.dumps(asdict(operation)).encode() if method != "GET" else b""
    return HttpCall(method, url + path, body, timeout_s)


def _method_and_path(operation: StoreOperation) -> tuple[str, str]:
    match operation:
        case Get(key):
            return "GET", f"/v1/kv/{quote(key, safe='')}"
        case Put(key):
            return "PUT", f"/v1/kv/{quote(key, safe='')}"
        case Delete(key):
            return "DELETE", f"/v1/kv/{quote(key, safe='')}"
        case ListKeys(prefix):
            return "GET", f"/v1/list/{quote(prefix, safe='')}"
        case GrantLease():
            return "POST", "/v1/leases"
        case RenewLease(lease_id):
            return "PUT", f"/v1/leases/{quote(lease_id)}"
        case RevokeLease(lease_id):
            return "DELETE", f"/v1/leases/{quote(lease_id)}"
        case Watch(key, after, wait_s):
            where = quote(key, safe="")
            return "GET", f"/v1/watch/{where}?after={after}&wait_s={wait_s}"
        case ListInstances(data_centre, after, wait_s):
            query = f"data_centre={quote(data_centre)}&after={after}&wait_s={wait_s}"
            return "GET", f"/v1/instances?{query}"
    raise TypeError(f"unknown store operation {operation!r}")


def decode_result(outcome: HttpAnswer | HttpFailure) -> StoreResult | CallFailed:
    """Return the store result of an HTTP response or failure.

    A 4xx status outside the protocol means that the operation was not executed; after
    any other unknown status it may have been.
    """
    if isinstance(outcome, HttpFailure):
        return CallFailed(outcome.ran, outcome.reason)
    if outcome.status not in _STATUS_BY_CODE:
        ran = Ran.NO if 400 <= outcome.status < 500 else Ran.MAYBE
        return CallFailed(ran, f"store answered with status {outcome.status}")
    try:
        return _RESULT_ADAPTER.validate_json(outcome.body)
    except ValidationError as error:
        return CallFailed(Ran.MAYBE, f"store answer not understood: {error}")

"""Encodes operations of the platform's store as HTTP and decodes the answers."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from pydantic import BaseModel, Field, ValidationError

from ..model.verdict import Ran
from ..runtime.curl import HttpAnswer, HttpCall, HttpFailure
from ..runtime.role import CallFailed
from ..store.messages import (
    Get,
    GrantLease,
    KeyValue,
    ReadRange,
    RenewLease,
    RevokeLease,
    StoreResult,
    StoreStatus,
    Transaction,
    WatchPrefix,
)
from .ranges import Milliseconds, Revision

if TYPE_CHECKING:
    from ..store.messages import StoreOperation

__all__ = ["PlatformStoreCodec"]

MS_PER_S = 1000

OK = 200
NOT_FOUND = 404
HISTORY_GONE = 410
PRECONDITION_FAILED = 412
NOT_EXECUTED_STATUSES = frozenset((429, 503))
# Of a request that the store will not take; those with another meaning aside.
CLIENT_ERRORS = range(400, 500)


class _Item(BaseModel):
    """One key with its value in base64; ``created`` is the revision that created it."""

    key: str
    value: str = ""
    revision: Revision
    created: Revision = 0
    tombstone: bool = False

    def to_key_value(self) -> KeyValue:
        """Return the item with its value decoded from base64 of UTF-8 text."""
        try:
            value = base64.b64decode(self.value, validate=True).decode()
        except ValueError:
            # Invalid base64, non-ASCII characters in it, or bytes that are not UTF-8.
            # Other clients may store values that are not text. Decoders reject the
            # replacement as an invalid document.
            value = "\0"
        return KeyValue(
            self.key,
            value,
            self.revision,
            created=self.created,
            deleted=self.tombstone,
        )


class _Body(BaseModel):
    """Union of the fields of all answers.

    ``storeRevision`` is the store's revision at the time of a read, ``revision``
    that of a change or of a single item.
    """

    key: str | None = None
    value: str = ""
    revision: Revision = 0
    created: Revision = 0
    items: list[_Item] = Field(default_factory=list, fail_fast=True)
    events: list[_Item] = Field(default_factory=list, fail_fast=True)
    truncated: bool = False
    store_revision: Revision = Field(0, alias="storeRevision")
    lease: Revision = 0
    ttl_ms: Milliseconds = Field(0, alias="ttlMs")


class PlatformStoreCodec:
    """Codec for store operations over HTTP."""

    def __init__(self, address: str) -> None:
        self.set_address(address)

    def set_address(self, address: str) -> None:
        """Send later calls to ``address`` (``IP:PORT``)."""
        self._url = f"http://{address}"

    def encode(self, operation: StoreOperation, timeout_s: float) -> HttpCall:
        """Return the HTTP call for an operation.

        :raises TypeError: when the platform's store does not support the operation.
        """
        method, path, body = _method_path_body(operation)
        data = json.dumps(body).encode() if body is not None else b""
        return HttpCall(method, self._url + path, data, timeout_s)

    def decode(
        self, operation: StoreOperation, outcome: HttpAnswer | HttpFailure
    ) -> StoreResult | CallFailed:
        """Return the result of an operation, decoded from its HTTP answer."""
        if isinstance(outcome, HttpFailure):
            return CallFailed(outcome.ran, outcome.reason, outcome.partial)
        if outcome.status in NOT_EXECUTED_STATUSES:
            return CallFailed(Ran.NO, f"store answered {outcome.status}")
        status = _to_store_status(outcome.status)
        if status is None:
            reason = f"store answered {outcome.status}"
            if outcome.status in CLIENT_ERRORS:
                return CallFailed(Ran.NO, reason, refused=True)
            return CallFailed(Ran.MAYBE, reason)
        try:
            body = _Body.model_validate_json(outcome.body or b"{}")
        except ValidationError as error:
            if status is StoreStatus.NOT_FOUND:
                return StoreResult(status)
            count = error.error_count()
            return CallFailed(Ran.MAYBE, f"store answer has {count} faults")
        return _to_result(operation, status, body)


def _to_store_status(code: int) -> StoreStatus | None:
    if code == OK:
        return StoreStatus.OK
    if code in (NOT_FOUND, HISTORY_GONE):
        return StoreStatus.NOT_FOUND
    if code == PRECONDITION_FAILED:
        return StoreStatus.CONFLICT
    return None


def _to_result(
    operation: StoreOperation, status: StoreStatus, body: _Body
) -> StoreResult:
    entry = None
    if isinstance(operation, Get) and status is StoreStatus.OK:
        item = _Item(
            key=operation.key,
            value=body.value,
            revision=body.revision,
            created=body.created,
        )
        entry = item.to_key_value()
    is_change = isinstance(operation, Transaction)
    return StoreResult(
        status,
        entry=entry,
        entries=tuple(item.to_key_value() for item in body.items or body.events),
        lease_id=str(body.lease) if isinstance(operation, GrantLease) else "",
        revision=body.revision if is_change else body.store_revision,
        truncated=body.truncated,
        ttl_s=body.ttl_ms / MS_PER_S,
    )


def _method_path_body(operation: StoreOperation) -> tuple[str, str, Any]:
    match operation:
        case Get(key):
            return "GET", "/api/kv-key?" + urlencode({"key": key}), None
        case ReadRange(prefix, after, stale):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            if stale:
                query["serializable"] = "1"
            return "GET", "/api/kv-range?" + urlencode(query), None
        case WatchPrefix(prefix, after, wait_s):
            wait_ms = int(wait_s * MS_PER_S)
            query = {"prefix": prefix, "after": after, "waitMs": wait_ms}
            return "GET", "/api/kv-watch?" + urlencode(query), None
        case Transaction():
            return "POST", "/api/kv-txn", _transaction_body(operation)
        case GrantLease(ttl_s):
            return "POST", "/api/kv-lease", {"ttlMs": int(ttl_s * MS_PER_S)}
        case RenewLease(lease_id):
            return "POST", f"/api/kv-keep/{lease_id}", {}
        case RevokeLease(lease_id):
            return "DELETE", f"/api/kv-lease-end/{lease_id}", None
    raise TypeError(f"the platform's store does not support {type(operation).__name__}")


def _transaction_body(change: Transaction) -> dict[str, Any]:
    puts = []
    for write in change.puts:
        put = {
            "key": write.key,
            "value": base64.b64encode(write.value.encode()).decode(),
        }
        if write.lease_id:
            put["lease"] = int(write.lease_id)
        puts.append(put)
    expected = [{"key": key, "revision": rev} for key, rev in change.expected]
    return {"expect": expected, "puts": puts, "deletes": list(change.deletes)}

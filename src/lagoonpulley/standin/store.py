"""In-memory simulation of the platform's key-value store."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..store.messages import (
    ABSENT,
    Delete,
    Get,
    GrantLease,
    Instance,
    KeyValue,
    ListInstances,
    ListKeys,
    Put,
    ReadRange,
    RenewLease,
    RevokeLease,
    StoreOperation,
    StoreResult,
    StoreStatus,
    Transaction,
    Watch,
    WatchPrefix,
)

__all__ = ["StoreState"]

MAX_VALUE_BYTES = 1_000_000
MAX_KEYS_PER_PAGE = 500
MAX_PAGE_BYTES = 1_000_000
MAX_TRANSACTION_ROWS = 32

_OK = StoreResult(StoreStatus.OK)
_NOT_FOUND = StoreResult(StoreStatus.NOT_FOUND)


@dataclass(slots=True)
class _Lease:
    """A lease: its expiry on the store's clock and the keys attached to it."""

    ttl_s: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


class StoreState:
    """Keys, leases and instances of the store; callers must serialize operations."""

    def __init__(self) -> None:
        self.revision = 0
        self.calls = 0
        self.writes = 0
        self.key_value_by_key: dict[str, KeyValue] = {}
        self.instance_by_id: dict[str, tuple[Instance, int]] = {}
        self._lease_by_id: dict[str, _Lease] = {}
        self._lease_count = 0
        self._history: list[KeyValue] = []
        self._compacted_revision = 0

    def apply(self, operation: StoreOperation, now: float) -> StoreResult:
        """Perform one operation and return its result.

        :param now: time on the store's clock in seconds.
        :raises ValueError: if the value of a put is larger than the store accepts, or
            a transaction has too many rows.
        """
        self.calls += 1
        self.expire(now)
        match operation:
            case Get(key):
                return self._get(key)
            case Put():
                self.writes += 1
                return self._put(operation)
            case Delete(key, expected):
                self.writes += 1
                return self._delete(key, expected)
            case ListKeys(prefix):
                return self._list(prefix)
            case GrantLease(ttl_s):
                self.writes += 1
                return self._grant(ttl_s, now)
            case RenewLease(lease_id):
                self.writes += 1
                return self._renew(lease_id, now)
            case RevokeLease(lease_id):
                self.writes += 1
                return self._revoke(lease_id)
            case Watch(key, after, _):
                return self._get_if_changed(key, after)
            case ListInstances(data_centre, after, _):
                return self._changed_instances(data_centre, after)
            case Transaction():
                self.writes += 1
                return self._transact(operation)
            case ReadRange(prefix, after, _):
                return self._read_range(prefix, after)
            case WatchPrefix(prefix, after, _):
                return self._changes_since(prefix, after)
        raise TypeError(f"unknown store operation {operation!r}")

    def set_instance(self, instance: Instance) -> None:
        """Add an instance to the list or replace it."""
        self.revision += 1
        self.instance_by_id[instance.id] = (instance, self.revision)

    def expire(self, now: float) -> None:
        """Revoke every expired lease."""
        for lease_id, lease in list(self._lease_by_id.items()):
            if lease.ends_at <= now:
                self._revoke(lease_id)

    def compact_history(self) -> None:
        """Drop the history of changes; a watch from an older revision then fails."""
        self._history = []
        self._compacted_revision = self.revision

    def _get(self, key: str) -> StoreResult:
        entry = self.key_value_by_key.get(key)
        status = StoreStatus.NOT_FOUND if entry is None else StoreStatus.OK
        return StoreResult(status, entry=entry, revision=self.revision)

    def _transact(self, change: Transaction) -> StoreResult:
        rows = len(change.expected) + len(change.puts) + len(change.deletes)
        if rows > MAX_TRANSACTION_ROWS:
            raise ValueError(f"a transaction of {rows} rows")
        for key, revision in change.expected:
            current = self.key_value_by_key.get(key)
            if (current.revision if current else ABSENT) != revision:
                return self._conflict(change)
        for write in change.puts:
            if write.lease_id and write.lease_id not in self._lease_by_id:
                return _NOT_FOUND
        self.revision += 1
        for write in change.puts:
            self._write(write.key, write.value, write.lease_id)
        for key in change.deletes:
            self._remove(key)
        return StoreResult(StoreStatus.OK, revision=self.revision)

    def _conflict(self, change: Transaction) -> StoreResult:
        present = [self.key_value_by_key.get(key) for key, _ in change.expected]
        entries = tuple(entry for entry in present if entry is not None)
        return StoreResult(StoreStatus.CONFLICT, entries=entries)

    def _write(self, key: str, value: str, lease_id: str = "") -> None:
        """Set a key at the current revision."""
        known = self.key_value_by_key.get(key)
        created = known.created if known else self.revision
        entry = KeyValue(key, value, self.revision, created=created)
        self.key_value_by_key[key] = entry
        self._history.append(entry)
        for lease in self._lease_by_id.values():
            lease.keys.discard(key)
        if lease_id:
            self._lease_by_id[lease_id].keys.add(key)

    def _remove(self, key: str) -> None:
        """Remove a key at the current revision."""
        if self.key_value_by_key.pop(key, None) is not None:
            self._history.append(KeyValue(key, "", self.revision, deleted=True))

    def _read_range(self, prefix: str, after: str) -> StoreResult:
        keys = sorted(
            key
            for key in self.key_value_by_key
            if key.startswith(prefix) and key > after
        )
        page = self._first_page(keys)
        return StoreResult(
            StoreStatus.OK,
            entries=tuple(self.key_value_by_key[key] for key in page),
            revision=self.revision,
            truncated=len(keys) > len(page),
        )

    def _first_page(self, keys: list[str]) -> list[str]:
        """Return as many of the keys as one answer contains, at least one of them."""
        page = keys[:MAX_KEYS_PER_PAGE]
        size = 0
        for index, key in enumerate(page):
            size += len(key) + len(self.key_value_by_key[key].value.encode())
            if index and size > MAX_PAGE_BYTES:
                return page[:index]
        return page

    def _changes_since(self, prefix: str, after: int) -> StoreResult:
        if after < self._compacted_revision:
            return StoreResult(StoreStatus.NOT_FOUND, revision=self.revision)
        entries = tuple(
            entry
            for entry in self._history
            if entry.revision > after and entry.key.startswith(prefix)
        )
        return StoreResult(StoreStatus.OK, entries=entries, revision=self.revision)

    def _put(self, put: Put) -> StoreResult:
        if len(put.value.encode()) > MAX_VALUE_BYTES:
            raise ValueError(f"value of {put.key} is larger than {MAX_VALUE_BYTES}")
        current = self.key_value_by_key.get(put.key)
        if (current.revision if current else ABSENT) != put.expected:
            return StoreResult(StoreStatus.CONFLICT, entry=current)
        if put.lease_id:
            lease = self._lease_by_id.get(put.lease_id)
            if lease is None:
                return _NOT_FOUND
            lease.keys.add(put.key)
        self.revision += 1
        entry = KeyValue(put.key, put.value, self.revision, put.write_id)
        self.key_value_by_key[put.key] = entry
        return StoreResult(StoreStatus.OK, entry=entry)

    def _delete(self, key: str, expected: int) -> StoreResult:
        current = self.key_value_by_key.get(key)
        if current is None:
            return _NOT_FOUND
        if current.revision != expected:
            return StoreResult(StoreStatus.CONFLICT, entry=current)
        self.revision += 1
        del self.key_value_by_key[key]
        return _OK

    def _list(self, prefix: str) -> StoreResult:
        entries = [
            entry
            for key, entry in self.key_value_by_key.items()
            if key.startswith(prefix)
        ]
        entries.sort(key=lambda entry: entry.key)
        return StoreResult(StoreStatus.OK, entries=tuple(entries))

    def _grant(self, ttl_s: float, now: float) -> StoreResult:
        self._lease_count += 1
        lease_id = f"lease-{self._lease_count}"
        self._lease_by_id[lease_id] = _Lease(ttl_s, now + ttl_s)
        return StoreResult(StoreStatus.OK, lease_id=lease_id)

    def _renew(self, lease_id: str, now: float) -> StoreResult:
        lease = self._lease_by_id.get(lease_id)
        if lease is None:
            return _NOT_FOUND
        lease.ends_at = now + lease.ttl_s
        return StoreResult(StoreStatus.OK, lease_id=lease_id)

    def _revoke(self, lease_id: str) -> StoreResult:
        lease = self._lease_by_id.pop(lease_id, None)
        if lease is None:
            return _NOT_FOUND
        for key in lease.keys:
            if key in self.key_value_by_key:
                self.revision += 1
                self._remove(key)
        return _OK

    def _get_if_changed(self, key: str, after: int) -> StoreResult:
        entry = self.key_value_by_key.get(key)
        if entry is None or entry.revision <= after:
            return _NOT_FOUND
        return StoreResult(StoreStatus.OK, entry=entry)

    def _changed_instances(self, data_centre: str, after: int) -> StoreResult:
        changed = [
            instance
            for instance, revision in self.instance_by_id.values()
            if revision > after and data_centre in ("", instance.data_centre)
        ]
        status = StoreStatus.OK if changed else StoreStatus.NOT_FOUND
        return StoreResult(status, instances=tuple(changed), revision=self.revision)

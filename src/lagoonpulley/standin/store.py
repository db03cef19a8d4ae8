"""In-memory stand-in for the platform's key-value store."""

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
    RenewLease,
    RevokeLease,
    StoreOperation,
    StoreResult,
    StoreStatus,
    Watch,
)

__all__ = ["StoreState"]

MAX_VALUE_BYTES = 1_000_000

_OK = StoreResult(StoreStatus.OK)
_NOT_FOUND = StoreResult(StoreStatus.NOT_FOUND)


@dataclass(slots=True)
class _Lease:
    """A lease, its end on the store's clock and the keys attached to it."""

    ttl_s: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


class StoreState:
    """Keys, leases and instances, changed one operation at a time."""

    def __init__(self) -> None:
        self.revision = 0
        self.calls = 0
        self.writes = 0
        self.entry_by_key: dict[str, KeyValue] = {}
        self.instance_by_id: dict[str, tuple[Instance, int]] = {}
        self._lease_by_id: dict[str, _Lease] = {}
        self._lease_count = 0

    def apply(self, operation: StoreOperation, now: float) -> StoreResult:
        """Perform one operation.

        :param now: the store's clock in seconds.
        :raises ValueError: when a value is larger than the store holds.
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
                return self._changed(key, after)
            case ListInstances(data_centre, after, _):
                return self._instances(data_centre, after)
        raise TypeError(f"unknown store operation {operation!r}")

    def set_instance(self, instance: Instance) -> None:
        """Add or replace one line of the list of instances."""
        self.revision += 1
        self.instance_by_id[instance.id] = (instance, self.revision)

    def expire(self, now: float) -> None:
        """End every lease whose time has passed."""
        for lease_id, lease in list(self._lease_by_id.items()):
            if lease.ends_at <= now:
                self._revoke(lease_id)

    def _get(self, key: str) -> StoreResult:
        entry = self.entry_by_key.get(key)
        if entry is None:
            return _NOT_FOUND
        return StoreResult(StoreStatus.OK, entry=entry)

    def _put(self, put: Put) -> StoreResult:
        if len(put.value.encode()) > MAX_VALUE_BYTES:
            raise ValueError(f"value of {put.key} is larger than {MAX_VALUE_BYTES}")
        current = self.entry_by_key.get(put.key)
        if (current.revision if current else ABSENT) != put.expected:
            return StoreResult(StoreStatus.CONFLICT, entry=current)
        if put.lease_id:
            lease = self._lease_by_id.get(put.lease_id)
            if lease is None:
                return _NOT_FOUND
            lease.keys.add(put.key)
        self.revision += 1
        entry = KeyValue(put.key, put.value, self.revision, put.write_id)
        self.entry_by_key[put.key] = entry
        return StoreResult(StoreStatus.OK, entry=entry)

    def _delete(self, key: str, expected: int) -> StoreResult:
        current = self.entry_by_key.get(key)
        if current is None:
            return _NOT_FOUND
        if current.revision != expected:
            return StoreResult(StoreStatus.CONFLICT, entry=current)
        self.revision += 1
        del self.entry_by_key[key]
        return _OK

    def _list(self, prefix: str) -> StoreResult:
        entries = [
            entry for key, entry in self.entry_by_key.items() if key.startswith(prefix)
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
            if self.entry_by_key.pop(key, None) is not None:
                self.revision += 1
        return _OK

    def _changed(self, key: str, after: int) -> StoreResult:
        entry = self.entry_by_key.get(key)
        if entry is None or entry.revision <= after:
            return _NOT_FOUND
        return StoreResult(StoreStatus.OK, entry=entry)

    def _instances(self, data_centre: str, after: int) -> StoreResult:
        changed = [
            instance
            for instance, revision in self.instance_by_id.values()
            if revision > after and data_centre in ("", instance.data_centre)
        ]
        status = StoreStatus.OK if changed else StoreStatus.NOT_FOUND
        return StoreResult(status, instances=tuple(changed), revision=self.revision)

"""Stand-in for the platform's store: ``store.py HOST PORT``.

It follows the page PROTOCOL, "The platform's metadata store". Beside it, ``POST
/standin/put`` is the door of the operator and of the workers, who may write below
``op/`` and ``servers/``; a ``ttlMs`` there removes the entry when it is not renewed.
"""

from __future__ import annotations

import asyncio
import base64
import sys
import time
from collections import deque
from typing import Any

from http1 import Request, serve

VALUE_BYTES = 1_048_576
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
MAX_ENTRIES = 32
HISTORY_S = 20.0
TTL_MIN_MS = 1000
TTL_MAX_MS = 600_000
WRITES_PER_S = 400
READS_PER_S = 2000
ANSWER_S = 0.004


class Rate:
    """Limits the cost of calls within each sliding second."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._calls: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def take(self, cost: float = 1.0) -> bool:
        """Return whether a call is within the limit, and count it if so."""
        now = time.monotonic()
        while self._calls and self._calls[0][0] < now - 1.0:
            self._sum -= self._calls.popleft()[1]
        if self._sum + cost > self._per_s:
            return False
        self._calls.append((now, cost))
        self._sum += cost
        return True


class Store:
    """Items, leases, history and the watches that wait for a change."""

    def __init__(self) -> None:
        self.revision = 1
        self.item_by_key: dict[str, dict[str, Any]] = {}
        self.keys_by_lease: dict[int, set[str]] = {}
        self.lease_ends_at: dict[int, float] = {}
        self.lease_ttl_s: dict[int, float] = {}
        self.put_ends_at: dict[str, float] = {}
        self.history: deque[tuple[float, dict[str, Any]]] = deque()
        self.compacted = 1
        self.changed = asyncio.Event()
        self.lease_count = 0
        self.writes = Rate(WRITES_PER_S)
        self.reads = Rate(READS_PER_S)

    def apply(self, puts: list[dict[str, Any]], deletes: list[str]) -> None:
        """Apply one change under the next revision."""
        self.revision += 1
        for put in puts:
            key, lease = put["key"], put.get("lease") or 0
            old = self.item_by_key.get(key)
            self._detach(key, old)
            created = old["created"] if old else self.revision
            item = {
                "key": key,
                "value": put["value"],
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.item_by_key[key] = item
            if lease:
                self.keys_by_lease[lease].add(key)
            self._remember(item)
        for key in deletes:
            old = self.item_by_key.pop(key, None)
            if old is None:
                continue
            self._detach(key, old)
            event = {"key": key, "revision": self.revision, "tombstone": True}
            self._remember(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _detach(self, key: str, item: dict[str, Any] | None) -> None:
        if item and item["lease"]:
            self.keys_by_lease.get(item["lease"], set()).discard(key)

    def _remember(self, event: dict[str, Any]) -> None:
        now = time.monotonic()
        self.history.append((now, event))
        while self.history and self.history[0][0] < now - HISTORY_S:
            self.compacted = self.history.popleft()[1]["revision"]

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys; return whether it existed."""
        if self.lease_ends_at.pop(lease, None) is None:
            return False
        keys = sorted(self.keys_by_lease.pop(lease, ()))
        if keys:
            self.apply([], keys)
        return True

    async def expire(self) -> None:
        """End the leases and the workers' entries whose time is over."""
        while True:
            now = time.monotonic()
            for lease, ends_at in list(self.lease_ends_at.items()):
                if ends_at <= now:
                    self.end_lease(lease)
            for key, ends_at in list(self.put_ends_at.items()):
                if ends_at <= now:
                    del self.put_ends_at[key]
                    self.apply([], [key])
            await asyncio.sleep(0.02)

    async def handle(self, request: Request) -> tuple[int, Any]:
        """Answer one call."""
        if request.path.startswith("/standin/"):
            return self._side_door(request)
        await asyncio.sleep(ANSWER_S)
        name = request.path.removeprefix("/api/")
        if request.method == "GET":
            return await self._read(name, request.query)
        if name.startswith("kv-keep/"):
            return self._keep(int(name.rpartition("/")[2]))
        if not self.writes.take():
            return 429, {}
        if name.startswith("kv-lease-end/"):
            found = self.end_lease(int(name.rpartition("/")[2]))
            return (200 if found else 404), {}
        body = request.json()
        if name == "kv-lease":
            return self._grant(body["ttlMs"])
        if name == "kv-txn":
            return self._transact(body)
        return 404, {}

    async def _read(self, name: str, query: dict[str, str]) -> tuple[int, Any]:
        is_stale = query.get("serializable") == "1"
        if not is_stale and not self.reads.take():
            return 429, {}
        if name == "kv-key":
            item = self.item_by_key.get(query["key"])
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, item | {"storeRevision": self.revision}
        if name == "kv-range":
            return self._range(query["prefix"], query.get("after", ""))
        if name == "kv-watch":
            wait_s = min(30.0, int(query.get("waitMs", "0")) / 1000)
            return await self._watch(query["prefix"], int(query["after"]), wait_s)
        return 404, {}

    def _range(self, prefix: str, after: str) -> tuple[int, Any]:
        items, size, truncated = [], 0, False
        for key in sorted(self.item_by_key):
            if not key.startswith(prefix) or key <= after:
                continue
            item = self.item_by_key[key]
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                truncated = True
                break
            items.append(item)
            size += len(item["value"])
        body = {"items": items, "truncated": truncated}
        return 200, body | {"storeRevision": self.revision}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> tuple[int, Any]:
        until = time.monotonic() + wait_s
        while True:
            if after < self.compacted:
                return 410, {}
            events = [
                event
                for _, event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue

    def _keep(self, lease: int) -> tuple[int, Any]:
        if not self.reads.take(0.1):
            return 429, {}
        if lease not in self.lease_ends_at:
            return 404, {}
        ttl_s = self.lease_ttl_s[lease]
        self.lease_ends_at[lease] = time.monotonic() + ttl_s
        return 200, {"ttlMs": int(ttl_s * 1000)}

    def _grant(self, ttl_ms: int) -> tuple[int, Any]:
        ttl_ms = min(TTL_MAX_MS, max(TTL_MIN_MS, ttl_ms))
        self.lease_count += 1
        lease = self.lease_count
        self.lease_ttl_s[lease] = ttl_ms / 1000
        self.lease_ends_at[lease] = time.monotonic() + ttl_ms / 1000
        self.keys_by_lease[lease] = set()
        return 200, {"lease": lease, "ttlMs": ttl_ms}

    def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        expect = body.get("expect") or []
        puts = body.get("puts") or []
        deletes = body.get("deletes") or []
        if len(expect) + len(puts) + len(deletes) > MAX_ENTRIES:
            return 400, {}
        for put in puts:
            if len(base64.b64decode(put["value"])) > VALUE_BYTES:
                return 400, {"message": "a value is too large"}
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        for put in puts:
            if put.get("lease") and put["lease"] not in self.lease_ends_at:
                return 404, {}
        for row in expect:
            item = self.item_by_key.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [each["key"] for each in expect]
                found = [self.item_by_key[k] for k in keys if k in self.item_by_key]
                return 412, {"items": found}
        if puts or deletes:
            self.apply(puts, deletes)
        return 200, {"revision": self.revision}

    def _side_door(self, request: Request) -> tuple[int, Any]:
        body = request.json()
        key = body["key"]
        if "value" in body:
            value = base64.b64encode(body["value"].encode()).decode()
            self.apply([{"key": key, "value": value}], [])
            self.put_ends_at.pop(key, None)
            if body.get("ttlMs"):
                self.put_ends_at[key] = time.monotonic() + body["ttlMs"] / 1000
        elif key in self.item_by_key:
            self.put_ends_at.pop(key, None)
            self.apply([], [key])
        return 200, {"revision": self.revision}


async def main() -> None:
    """Serve until the process is killed."""
    store = Store()
    await serve(sys.argv[1], int(sys.argv[2]), store.handle)
    print("ready", flush=True)
    await store.expire()


if __name__ == "__main__":
    asyncio.run(main())

"""Stand-in for the platform's metadata store, after the pages' description.

Paths under /standin/ are the operator's and the workers' own writes.
"""

import base64
import json
import sys
import threading
import time
from urllib.parse import parse_qs, urlsplit

from service import JsonHandler, serve

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
MAX_ROWS = 32
MAX_VALUE_BYTES = 1_048_576
HISTORY_S = 20.0


class Store:
    """Keys, leases and the history of changes, under one revision."""

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 1
        self.items = {}
        self.history = []
        self.compacted = 0
        self.leases = {}
        self.last_lease = 0
        self.seen_workers = {}

    def advance(self):
        """End leases that have run out, and workers' entries after their silence."""
        now = time.monotonic()
        for lease in [i for i, (_, ends) in self.leases.items() if ends <= now]:
            self.end_lease(lease)
        for key in [k for k, until in self.seen_workers.items() if until <= now]:
            del self.seen_workers[key]
            self.write([], [key])
        while self.history and self.history[0][1] < now - HISTORY_S:
            self.compacted = self.history.pop(0)[0]["revision"]

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        self.write([], [k for k, item in self.items.items() if item["lease"] == lease])
        return True

    def write(self, puts, deletes):
        now = time.monotonic()
        self.revision += 1
        for put in puts:
            known = self.items.get(put["key"])
            self.items[put["key"]] = item = {
                "key": put["key"],
                "value": put["value"],
                "revision": self.revision,
                "created": known["created"] if known else self.revision,
                "lease": put.get("lease", 0),
            }
            self.history.append((item, now))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                gone = {"key": key, "revision": self.revision, "tombstone": True}
                self.history.append((gone, now))
        self.changed.notify_all()

    def transact(self, body):
        expect, puts, deletes = body["expect"], body["puts"], body["deletes"]
        if len(expect) + len(puts) + len(deletes) > MAX_ROWS:
            return 400, {}
        for put in puts:
            if len(base64.b64decode(put["value"])) > MAX_VALUE_BYTES:
                return 400, {}
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        for row in expect:
            known = self.items.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                found = [self.items.get(each["key"]) for each in expect]
                return 412, {"items": [item for item in found if item]}
        for put in puts:
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        self.write(puts, deletes)
        return 200, {"revision": self.revision}

    def read_range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key]["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(self.items[key])
        return {
            "items": page,
            "truncated": len(page) < len(keys),
            "storeRevision": self.revision,
        }

    def watch(self, prefix, after, wait_s):
        until = time.monotonic() + wait_s
        while True:
            self.advance()
            if after < self.compacted:
                return 410, {"storeRevision": self.revision}
            events = [
                item
                for item, _ in self.history
                if item["revision"] > after and item["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            self.changed.wait(min(left_s, 0.05))


STORE = Store()


class Handler(JsonHandler):
    """The store's calls."""

    def answer(self, method, path, body):
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        with STORE.changed:
            STORE.advance()
            return self.perform(method, url.path, query, body)

    def perform(self, method, path, query, body):
        if path == "/api/kv-key":
            item = STORE.items.get(query["key"])
            found = {"storeRevision": STORE.revision}
            return (200, item | found) if item else (404, found)
        if path == "/api/kv-range":
            return 200, STORE.read_range(query["prefix"], query.get("after", ""))
        if path == "/api/kv-watch":
            wait_s = int(query["waitMs"]) / 1000
            return STORE.watch(query["prefix"], int(query["after"]), wait_s)
        if path == "/api/kv-txn":
            return STORE.transact(body)
        if path == "/api/kv-lease":
            STORE.last_lease += 1
            ttl_s = body["ttlMs"] / 1000
            STORE.leases[STORE.last_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": STORE.last_lease, "ttlMs": body["ttlMs"]}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in STORE.leases:
                return 404, {}
            ttl_s, _ = STORE.leases[lease]
            STORE.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {}
        if path.startswith("/api/kv-lease-end/"):
            ended = STORE.end_lease(int(path.rpartition("/")[2]))
            return (200, {}) if ended else (404, {})
        if path == "/standin/put":
            value = base64.b64encode(json.dumps(body["value"]).encode()).decode()
            STORE.write([{"key": body["key"], "value": value}], [])
            if body.get("silence_s"):
                until = time.monotonic() + body["silence_s"]
                STORE.seen_workers[body["key"]] = until
            return 200, {"revision": STORE.revision}
        return 404, {}


if __name__ == "__main__":
    serve(Handler, int(sys.argv[1]))

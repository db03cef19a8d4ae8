"""Simulated store of a cell, its outages and the links of the entries to it."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from lagoonpulley.model.verdict import Ran
from lagoonpulley.runtime.role import CallFailed, Request
from lagoonpulley.standin.store import StoreState
from lagoonpulley.store.messages import ReadRange, Transaction, WatchPrefix, Write
from lagoonpulley.store.route import STORE_RELAY, RelayCall

from .network import Clock

if TYPE_CHECKING:
    import random

    from .step_entry import StepEntry

POLL_INTERVAL_S = 0.02
# Sizes on the wire, in bytes: an answer's headers, and the field names and numbers of
# an item.
ANSWER_BYTES = 200
ITEM_BYTES = 80
# An answer that passes larger ones on a link that connections share.
SMALL_ANSWER_BYTES = 4000


class StepStore:
    """Performs the store calls of the entries; tests set what goes wrong.

    :param rng: chooses the answers that are lost.
    """

    def __init__(self, rng: random.Random) -> None:
        self.clock = Clock()
        self.random = rng
        self.store = StoreState()
        self.store_up = True
        # Probability that a store operation is applied but not answered.
        self.lose_answers = 0.0
        # Names of the operations of which answers are lost; all if it is empty.
        self.losing_operations: tuple[str, ...] = ()
        self.delivers_watch_events = True
        # Whether watches that deliver no events return the store's revision.
        self.silent_watches_advance = False
        # Prefixes whose pages do not arrive before a read times out.
        self.unreadable_prefixes: set[str] = set()
        # Prefixes of keys whose values the store refuses, as values that are too long.
        self.unwritable_prefixes: set[str] = set()
        self.max_value_characters = 1_048_576

    def put(self, key: str, value: str) -> None:
        """Write a key to the store."""
        change = Transaction(puts=(Write(key, value),))
        self.store.apply(change, self.clock.mono)

    def delete(self, key: str) -> None:
        """Delete a key of the store."""
        self.store.apply(Transaction(deletes=(key,)), self.clock.mono)

    def _call_store(self, entry: StepEntry, request: Request) -> None:
        if not entry.route.should_call_directly(request):
            entry.mailbox.append((STORE_RELAY, RelayCall(request)))
            return
        if not entry.has_store or not self.store_up:
            failed = CallFailed(Ran.NO, "the store is unreachable")
            self.clock.after(0.005, lambda: self._reply_store(entry, request, failed))
            return
        until = self.clock.mono + getattr(request.operation, "wait_s", 0.0)
        sent_at = self.clock.mono
        lost = self._loses_answer(request) or self._times_out(request)
        lost = lost or _reads_any(request.operation, entry.unreadable_prefixes)

        def perform() -> None:
            if self._refuses(request.operation):
                refused = CallFailed(Ran.NO, "store answered 400", refused=True)
                self._reply_store(entry, request, refused)
                return
            result = self.store.apply(request.operation, self.clock.mono)
            waits = isinstance(request.operation, WatchPrefix)
            if waits and not self.delivers_watch_events:
                revision = request.operation.after
                if self.silent_watches_advance:
                    revision = self.store.revision
                result = replace(result, entries=(), revision=revision)
            waits = waits and result.ok and not result.entries
            if waits and self.clock.mono < until:
                self.clock.after(POLL_INTERVAL_S, perform)
                return
            if not lost:
                self._deliver_store_answer(entry, request, result, sent_at)

        if lost:
            failed = CallFailed(Ran.MAYBE, "the answer was lost")
            self.clock.after(
                request.timeout_s, lambda: self._reply_store(entry, request, failed)
            )
        self.clock.after(0.003, perform)

    def _refuses(self, operation: Any) -> bool:
        if not isinstance(operation, Transaction):
            return False
        prefixes = tuple(self.unwritable_prefixes)
        longest = max((len(write.value) for write in operation.puts), default=0)
        is_too_long = longest > self.max_value_characters
        return is_too_long or any(w.key.startswith(prefixes) for w in operation.puts)

    def _reply_store(self, entry: StepEntry, request: Request, result: Any) -> None:
        entry.mailbox.append(entry.route.route_result(request, result))

    def _deliver_store_answer(
        self, entry: StepEntry, request: Request, result: Any, sent_at: float
    ) -> None:
        """Deliver an answer over the entry's link, or its timeout if that is earlier.

        An answer that timed out occupies the link only until then: the entry closes
        the connection.
        """
        starts_at = self.clock.mono + 0.002
        size = size_of_answer(result)
        entry.store_bytes_by_operation[type(request.operation).__name__] += size
        if entry.shares_store_link and size <= SMALL_ANSWER_BYTES:
            arrives_at = starts_at + 2 * size / entry.store_bytes_per_s
            self.clock.at(arrives_at, lambda: self._reply_store(entry, request, result))
            return
        starts_at = max(starts_at, entry.store_link_free_at)
        arrives_at = starts_at + size / entry.store_bytes_per_s
        silent_at = sent_at + request.timeout_s
        times_out_at = silent_at
        if request.total_timeout_s is not None and starts_at < silent_at:
            times_out_at = sent_at + request.total_timeout_s
        if arrives_at <= times_out_at:
            entry.store_link_free_at = arrives_at
            self.clock.at(arrives_at, lambda: self._reply_store(entry, request, result))
            return
        entry.store_link_free_at = max(entry.store_link_free_at, times_out_at)
        partial = starts_at < times_out_at
        failed = CallFailed(Ran.MAYBE, "timed out before the answer was here", partial)
        self.clock.at(times_out_at, lambda: self._reply_store(entry, request, failed))

    def _loses_answer(self, request: Request) -> bool:
        name = type(request.operation).__name__
        if self.losing_operations and name not in self.losing_operations:
            return False
        return self.random.random() < self.lose_answers

    def _times_out(self, request: Request) -> bool:
        operation = request.operation
        is_read = isinstance(operation, ReadRange)
        return is_read and operation.prefix in self.unreadable_prefixes


def size_of_answer(result: Any) -> int:
    """Return the approximate size in bytes of the store's answer on the wire."""
    items = list(getattr(result, "entries", ()))
    if getattr(result, "entry", None) is not None:
        items.append(result.entry)
    values = sum(len(item.key) + len(item.value) * 4 // 3 for item in items)
    return ANSWER_BYTES + values + len(items) * ITEM_BYTES


def _reads_any(operation: Any, prefixes: tuple[str, ...]) -> bool:
    """Return whether a call reads, watches or checks a key with one of the prefixes."""
    keys = [getattr(operation, "key", ""), getattr(operation, "prefix", "")]
    if isinstance(operation, Transaction) and not operation.puts:
        keys += [key for key, _ in operation.expected]
    return any(key.startswith(prefixes) for key in keys) if prefixes else False

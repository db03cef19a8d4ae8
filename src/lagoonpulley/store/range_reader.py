"""Reads all keys below a prefix in parts whose size does not grow with the state."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Protocol

from ..model.verdict import Ran
from ..observability.events import log_event
from ..runtime.flows import Call, Flow, Sleep
from ..runtime.role import STORE, CallFailed
from .messages import Get, ReadRange

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.role import Now
    from .messages import KeyValue, StoreResult

__all__ = ["RangeRead", "read_range"]

# Of a page of a read that is not split yet.
WHOLE_TIMEOUT_S = 0.5
# Of other calls, while no part of the answer arrives.
SILENCE_TIMEOUT_S = 1.0
# Of calls that another entry relays: their answers arrive all at once.
INITIAL_TIMEOUT_S = 1.0
MAX_TIMEOUT_S = 8.0
TOTAL_TIMEOUT_S = 10.0
# Of a small answer. A session is renewed in this time or lapses.
PROBE_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.05
INITIAL_CALLS_IN_FLIGHT = 2
MAX_CALLS_IN_FLIGHT = 16
# The number of calls in flight doubles after calls that took less than the first, and
# halves after calls that took longer than the second.
FAST_CALLS_S = 0.1
SLOW_CALLS_S = 0.25
PRINTABLE_CHARACTERS = "".join(map(chr, range(0x20, 0x7F)))


class Timekeeper(Protocol):
    """Anything that knows the current time; roles do."""

    now: Now


@dataclass(frozen=True, slots=True)
class _Part:
    """The keys that begin with ``prefix`` and are greater than ``after``.

    ``split_order`` contains the characters by which to split the part, the likely ones
    first; a part without any is not split.
    """

    prefix: str
    after: str = ""
    split_order: str = ""

    def call(self, relayed_timeout_s: float) -> Call:
        """Return the call that reads the first page."""
        read = ReadRange(self.prefix, self.after)
        if self.split_order:
            return Call(STORE, read, WHOLE_TIMEOUT_S)
        return Call(STORE, read, SILENCE_TIMEOUT_S, TOTAL_TIMEOUT_S, relayed_timeout_s)

    def split(self) -> list[_Part]:
        """Return parts with narrower prefixes that cover the same keys.

        Only keys that continue with a control character are not covered.
        """
        parts = []
        for character in self.split_order:
            prefix = self.prefix + character
            if self.after.startswith(prefix):
                parts.append(_Part(prefix, self.after))
            elif self.after < prefix:
                parts.append(_Part(prefix))
        last = self.prefix + PRINTABLE_CHARACTERS[-1]
        return [*parts, _Part(self.prefix, max(self.after, last))]


@dataclass(slots=True)
class RangeRead:
    """Everything read so far.

    ``revision`` is the lowest revision at which a page was read, 0 before the first
    page. The items are no snapshot: they contain every change up to this revision, and
    may contain later ones. ``failures`` counts the failed calls, ``transfer_s`` is how
    long calls were in flight of which something arrived, in seconds.
    """

    revision: int = 0
    failures: int = 0
    transfer_s: float = 0.0
    item_by_key: dict[str, KeyValue] = field(default_factory=dict)

    @property
    def items(self) -> list[KeyValue]:
        """All items, each key once."""
        return list(self.item_by_key.values())

    def add(self, prefix: str, result: StoreResult | CallFailed) -> None:
        """Add the result of a call."""
        if isinstance(result, CallFailed):
            self.failures += 1
            log_event("store_read_failed", prefix=prefix, reason=result.reason)
            return
        if not self.revision or result.revision < self.revision:
            self.revision = result.revision
        self.item_by_key.update((item.key, item) for item in result.entries)


def read_range(
    timekeeper: Timekeeper,
    prefix: str,
    has_ended: Callable[[], bool],
    likely_characters: str = "",
) -> Flow:
    """Read all keys below a prefix, a bounded number of calls at a time.

    A page that arrived is not read again. If a page does not arrive soon, the rest is
    read by narrower prefixes, one for each character that may follow. Fewer calls are
    in flight while calls take long, and relayed calls that used up their timeout make
    later ones have a longer one: answers may be on their way over a slow link, which
    other calls need as well. After calls of which nothing arrived for long, the read
    goes on once a small answer arrives, so that no long timeout runs while the store is
    away.

    :param has_ended: whether to stop early.
    :param likely_characters: the characters that usually follow the prefix; without
        any, the read is not split.
    :returns: a :class:`RangeRead`; it is incomplete if ``has_ended`` returned true.
    """
    read = RangeRead()
    remaining = deque([_Part(prefix, split_order=_split_order(likely_characters))])
    calls_in_flight = INITIAL_CALLS_IN_FLIGHT
    relayed_timeout_s = INITIAL_TIMEOUT_S
    while remaining and not has_ended():
        count = min(calls_in_flight, len(remaining))
        batch = [remaining.popleft() for _ in range(count)]
        calls = [part.call(relayed_timeout_s) for part in batch]
        sent_at = timekeeper.now.mono
        results = [_check_page(result) for result in (yield calls)]
        took_s = timekeeper.now.mono - sent_at
        if any(_has_arrived(result) for result in results):
            read.transfer_s += took_s
        failures_before = read.failures
        for part, call, result in zip(batch, calls, results):
            timed_out = isinstance(result, CallFailed) and took_s >= call.timeout_s
            if timed_out and part.split_order:
                remaining.extendleft(reversed(part.split()))
            elif isinstance(result, CallFailed):
                remaining.appendleft(part)
            elif result.truncated:
                rest = replace(part, after=result.entries[-1].key)
                remaining.appendleft(rest)
            read.add(part.prefix, result)
        if read.failures == failures_before:
            calls_in_flight = _next_calls_in_flight(calls_in_flight, took_s)
            continue
        calls_in_flight = 1
        was_silent = not all(_has_arrived(result) for result in results)
        if was_silent and took_s >= relayed_timeout_s:
            relayed_timeout_s = min(MAX_TIMEOUT_S, 2 * relayed_timeout_s)
        yield Sleep(RETRY_DELAY_S)
        if was_silent and took_s >= PROBE_TIMEOUT_S:
            yield from _wait_for_small_answer(prefix, has_ended)
    return read


def _wait_for_small_answer(prefix: str, has_ended: Callable[[], bool]) -> Flow:
    """Wait until the store answers the read of a key that does not exist."""
    probe = Call(STORE, Get(prefix), PROBE_TIMEOUT_S)
    while not has_ended():
        (result,) = yield [probe]
        if not isinstance(result, CallFailed):
            return
        log_event("store_read_failed", prefix=prefix, reason=result.reason)
        yield Sleep(RETRY_DELAY_S)


def _check_page(result: StoreResult | CallFailed) -> StoreResult | CallFailed:
    """Return a failure in place of an answer that cannot be a page."""
    if isinstance(result, CallFailed):
        return result
    if not result.ok:
        reason = f"page answered with {result.status.value}"
    elif result.revision <= 0:
        reason = "page without a revision"
    elif result.truncated and not result.entries:
        reason = "truncated page without items"
    else:
        return result
    return CallFailed(Ran.NO, reason, partial=True)


def _has_arrived(result: StoreResult | CallFailed) -> bool:
    """Return whether at least a part of an answer arrived."""
    return not isinstance(result, CallFailed) or result.partial


def _split_order(likely_characters: str) -> str:
    if not likely_characters:
        return ""
    return "".join(dict.fromkeys(likely_characters + PRINTABLE_CHARACTERS))


def _next_calls_in_flight(calls_in_flight: int, took_s: float) -> int:
    if took_s > SLOW_CALLS_S:
        return max(1, calls_in_flight // 2)
    if took_s < FAST_CALLS_S:
        return min(MAX_CALLS_IN_FLIGHT, 2 * calls_in_flight)
    return calls_in_flight

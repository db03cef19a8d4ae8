"""Reads all keys below a prefix in parts whose size does not grow with the state."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from ..observability.events import log_event
from ..runtime.flows import Call, Flow, Sleep
from ..runtime.role import STORE, CallFailed
from .messages import ReadRange

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..runtime.role import Now
    from .messages import KeyValue, StoreResult

__all__ = ["RangePart", "RangeRead", "read_range", "split_by_first_character"]

# Of calls during which nothing arrives, or which another entry relays.
INITIAL_TIMEOUT_S = 1.0
MAX_TIMEOUT_S = 8.0
TOTAL_TIMEOUT_S = 10.0
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
class RangePart:
    """The keys that begin with ``prefix`` and are greater than ``after``."""

    prefix: str
    after: str = ""


@dataclass(slots=True)
class RangeRead:
    """Everything read so far.

    ``revision`` is the lowest revision at which a page was read, 0 before the first
    page. The items are no snapshot: they contain every change up to this revision, and
    may contain later ones. ``failures`` counts the failed calls, ``took_s`` is the
    duration of the read in seconds.
    """

    revision: int = 0
    failures: int = 0
    took_s: float = 0.0
    item_by_key: dict[str, KeyValue] = field(default_factory=dict)

    @property
    def items(self) -> list[KeyValue]:
        """All items, each key once."""
        return list(self.item_by_key.values())

    def add(self, page: StoreResult) -> None:
        """Add the items of a page."""
        if not self.revision or page.revision < self.revision:
            self.revision = page.revision
        self.item_by_key.update((item.key, item) for item in page.entries)


def split_by_first_character(prefix: str, likely: str) -> list[RangePart]:
    """Return parts that together cover the keys below a prefix.

    There is a part for each printable ASCII character that may follow the prefix, those
    of ``likely`` first, and one for all greater characters. Only keys that continue
    with a control character are not covered.
    """
    characters = dict.fromkeys(likely + PRINTABLE_CHARACTERS)
    parts = [RangePart(prefix + character) for character in characters]
    return [*parts, RangePart(prefix, after=prefix + PRINTABLE_CHARACTERS[-1])]


def read_range(
    timekeeper: Timekeeper, parts: Iterable[RangePart], has_ended: Callable[[], bool]
) -> Flow:
    """Read parts until all are complete, a bounded number of calls at a time.

    A page that arrived is not read again. After a call that used up its timeout, calls
    get a longer one: the answer may have been on its way over a slow link. Fewer calls
    are in flight while calls take long, so that other traffic on the link is not held
    up.

    :param has_ended: whether to stop early.
    :returns: a :class:`RangeRead`; it is incomplete if ``has_ended`` returned true.
    """
    read = RangeRead()
    began = timekeeper.now.mono
    remaining = deque(parts)
    calls_in_flight = INITIAL_CALLS_IN_FLIGHT
    timeout_s = INITIAL_TIMEOUT_S
    while remaining and not has_ended():
        batch = [
            remaining.popleft() for _ in range(min(calls_in_flight, len(remaining)))
        ]
        sent_at = timekeeper.now.mono
        results = yield [
            Call(STORE, ReadRange(part.prefix, part.after), timeout_s, TOTAL_TIMEOUT_S)
            for part in batch
        ]
        took_s = timekeeper.now.mono - sent_at
        failures_before = read.failures
        for part, result in zip(batch, results):
            if isinstance(result, CallFailed):
                read.failures += 1
                log_event("store_read_failed", prefix=part.prefix, reason=result.reason)
                remaining.appendleft(part)
                continue
            read.add(result)
            if result.truncated and result.entries:
                rest = RangePart(part.prefix, after=result.entries[-1].key)
                remaining.appendleft(rest)
        if read.failures > failures_before:
            calls_in_flight = 1
            if took_s >= timeout_s:
                timeout_s = min(MAX_TIMEOUT_S, 2 * timeout_s)
            yield Sleep(RETRY_DELAY_S)
            continue
        calls_in_flight = _next_calls_in_flight(calls_in_flight, took_s)
    read.took_s = timekeeper.now.mono - began
    return read


def _next_calls_in_flight(calls_in_flight: int, took_s: float) -> int:
    if took_s > SLOW_CALLS_S:
        return max(1, calls_in_flight // 2)
    if took_s < FAST_CALLS_S:
        return min(MAX_CALLS_IN_FLIGHT, 2 * calls_in_flight)
    return calls_in_flight

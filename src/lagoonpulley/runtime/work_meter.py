"""Splits the time that one role spends processing by what it does."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from .clocks import boot_time

__all__ = ["WorkLoad", "WorkMeter"]


class WorkLoad(NamedTuple):
    """How often a kind of work was done, and the time that it took in seconds."""

    times: int = 0
    busy_s: float = 0.0


class WorkMeter:
    """Measures kinds of work, which may contain each other, each without the others.

    Used by the role's own thread only. As the busy time of a role, the times include
    waiting for the processor.

    :param monotonic: returns the monotonic time in seconds.
    """

    def __init__(self, monotonic: Callable[[], float] = boot_time) -> None:
        self._monotonic = monotonic
        self._open: list[str] = []
        self._since = 0.0
        self._load_by_kind: dict[str, WorkLoad] = {}
        self._count_by_name: dict[str, int] = {}

    @contextmanager
    def measure(self, kind: str) -> Iterator[None]:
        """Measure the work of the block, which must not contain a ``yield``.

        :param kind: kind of the work, from a small set of names.
        """
        self._add_elapsed(0)
        self._open.append(kind)
        try:
            yield
        finally:
            self._add_elapsed(1)
            self._open.pop()

    def count(self, name: str, number: int) -> None:
        """Add to a count.

        :param name: from a small set of names.
        """
        self._count_by_name[name] = self._count_by_name.get(name, 0) + number

    def take(self) -> tuple[dict[str, WorkLoad], dict[str, int]]:
        """Return the work and the counts since the previous call."""
        self._add_elapsed(0)
        loads, self._load_by_kind = self._load_by_kind, {}
        counts, self._count_by_name = self._count_by_name, {}
        return loads, counts

    def _add_elapsed(self, times: int) -> None:
        """Add the time since the last call to the work that is being done.

        :param times: 1 if this work ends.
        """
        now = self._monotonic()
        if self._open:
            load = self._load_by_kind.get(self._open[-1], WorkLoad())
            elapsed_s = now - self._since
            self._load_by_kind[self._open[-1]] = WorkLoad(
                load.times + times, load.busy_s + elapsed_s
            )
        self._since = now

"""Notices that the process stood still while its steady clock did as well."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..observability.events import log_event
from .clocks import boot_time

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["SuspensionLog"]

# Reading two clocks one after the other takes less.
MIN_SUSPENSION_S = 0.05


class SuspensionLog:
    """Writes ``process_suspended`` for time that the monotonic clock has not counted.

    :param monotonic: returns the seconds of the clock that stands still meanwhile.
    :param boot_time: returns the seconds of the clock that does not.
    """

    def __init__(
        self,
        monotonic: Callable[[], float] = time.monotonic,
        boot_time: Callable[[], float] = boot_time,
    ) -> None:
        self._monotonic = monotonic
        self._boot_time = boot_time
        self._uncounted_s = boot_time() - monotonic()

    def check(self) -> None:
        """Write the line if the process was suspended since the last call."""
        uncounted_s = self._boot_time() - self._monotonic()
        suspended_s = uncounted_s - self._uncounted_s
        self._uncounted_s = uncounted_s
        if suspended_s >= MIN_SUSPENSION_S:
            log_event("process_suspended", suspended_s=round(suspended_s, 3))

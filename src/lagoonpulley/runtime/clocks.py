"""Clocks of the process."""

from __future__ import annotations

import time

from .role import Now

__all__ = ["boot_time", "read_clocks"]

# Without such a clock, as on other systems than Linux, suspensions are not counted.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_time() -> float:
    """Return the seconds since the machine started, with those of its suspensions."""
    return time.clock_gettime(_BOOT_CLOCK)


def read_clocks() -> Now:
    """Return a monotonic clock and the wall clock, in seconds.

    The former counts suspensions, as sessions and leases elsewhere expire meanwhile.
    """
    return Now(boot_time(), time.time())

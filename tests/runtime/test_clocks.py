"""The clock by which roles measure time."""

from __future__ import annotations

import time

import pytest

from lagoonpulley.runtime.clocks import read_clocks


@pytest.mark.skipif(not hasattr(time, "CLOCK_BOOTTIME"), reason="no such clock here")
def test_time_of_a_suspension_counts_for_sessions_and_leases(monkeypatch):
    suspended_s = 4.0
    boot_time = time.clock_gettime(time.CLOCK_BOOTTIME)
    now_by_clock = {time.CLOCK_BOOTTIME: boot_time + suspended_s}
    monkeypatch.setattr(time, "clock_gettime", now_by_clock.__getitem__)
    assert read_clocks().mono == boot_time + suspended_s

"""The split of a role's time by what it does."""

from __future__ import annotations

import pytest

from lagoonpulley.runtime.work_meter import WorkLoad, WorkMeter


class ManualClock:
    """A monotonic clock that a test sets."""

    def __init__(self) -> None:
        self.mono = 100.0

    def __call__(self) -> float:
        return self.mono


def test_work_inside_other_work_counts_only_once():
    clock = ManualClock()
    work = WorkMeter(clock)
    with work.measure("reports"):
        clock.mono += 1.0
        for _ in range(2):
            with work.measure("planning"):
                clock.mono += 4.0
        clock.mono += 2.0
    clock.mono += 50.0
    with work.measure("planning"):
        clock.mono += 0.5
    loads, _ = work.take()
    assert loads == {"reports": WorkLoad(1, 3.0), "planning": WorkLoad(3, 8.5)}
    assert work.take() == ({}, {})


def test_work_that_is_under_way_is_split_between_two_intervals():
    clock = ManualClock()
    work = WorkMeter(clock)
    with work.measure("ticks"):
        clock.mono += 1.0
        assert work.take()[0] == {"ticks": WorkLoad(0, 1.0)}
        clock.mono += 2.0
    assert work.take()[0] == {"ticks": WorkLoad(1, 2.0)}


def test_work_that_raises_ends_as_well():
    clock = ManualClock()
    work = WorkMeter(clock)
    with pytest.raises(KeyError), work.measure("reports"):
        clock.mono += 1.0
        raise KeyError
    clock.mono += 5.0
    assert work.take()[0] == {"reports": WorkLoad(1, 1.0)}


def test_counts_add_up_between_two_readings():
    work = WorkMeter(ManualClock())
    work.count("rounds", 1)
    work.count("rounds", 2)
    work.count("demands", 0)
    assert work.take()[1] == {"rounds": 3, "demands": 0}
    assert work.take()[1] == {}

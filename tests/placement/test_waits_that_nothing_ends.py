"""Jobs that wait in an idle cell though nothing keeps them from running."""

from __future__ import annotations

import pytest
from tests.placement.conftest import Cell

from lagoonpulley.placement.events import JobCancelled


def decide_for(cell, seconds):
    """Return the jobs that are placed within some seconds."""
    placed = set()
    for _ in range(int(seconds * 10)):
        cell.now += 0.1
        placed |= {place.job.id for place in cell.places()}
    return placed


@pytest.fixture
def small_cell():
    made = Cell(share_preempt_after_s=None, max_backfill_s=1.0, backfill_depth=2)
    made.workers(2)
    made.teams(north=1)
    return made


def test_job_waits_for_ever_behind_a_cancelled_one_that_had_stopped_backfill(
    small_cell,
):
    cell = small_cell
    too_large = cell.submit(processors=8)
    decide_for(cell, 2.0)
    small = cell.submit()
    decide_for(cell, 0.5)
    cell.apply(JobCancelled(too_large.id))
    assert small.id in decide_for(cell, 5.0)


def test_job_beyond_the_depth_waits_for_ever_once_those_before_it_are_cancelled(
    small_cell,
):
    cell = small_cell
    too_large = [cell.submit(processors=8) for _ in range(2)]
    decide_for(cell, 0.5)
    small = cell.submit()
    decide_for(cell, 0.2)
    for job in too_large:
        cell.apply(JobCancelled(job.id))
    assert small.id in decide_for(cell, 5.0)

"""Starts of jobs while the store loses a part of its answers."""

from __future__ import annotations

import pytest
from tests.owner.test_watch_recovery import put_submission
from tests.support.steps import StepWorld

LOST_SHARE = 0.25
JOB_INTERVAL_S = 0.02
JOBS = 250
# As the queue's objective says: a job of no length is complete within it.
TARGET_S = 1.0


def store_jobs_steadily(world, stored_at_by_id):
    """Store one job at each interval until there are all."""
    if len(stored_at_by_id) == JOBS:
        return
    job_id = f"{len(stored_at_by_id):016x}"
    stored_at_by_id[job_id] = world.clock.mono
    put_submission(world, job_id, "seconds=0.5")
    world.clock.after(
        JOB_INTERVAL_S, lambda: store_jobs_steadily(world, stored_at_by_id)
    )


@pytest.mark.parametrize("seed", range(4))
def test_jobs_start_in_time_while_answers_are_lost(seed):
    world = StepWorld(entries=3, workers=8, seed=seed)
    world.run(2.0)
    owner = world.owner()
    # The other calls of the owner have their own tests.
    world.losing_operations = ("Transaction",)
    world.lose_answers = LOST_SHARE
    stored_at_by_id = {}
    store_jobs_steadily(world, stored_at_by_id)
    world.run(JOBS * JOB_INTERVAL_S)
    world.lose_answers = 0.0
    world.run(4.0)
    assert world.owner() is owner
    waits = sorted(
        world.executions(job_id)[0].started_at - stored_at
        for job_id, stored_at in stored_at_by_id.items()
    )
    assert waits[len(waits) * 9 // 10] < TARGET_S

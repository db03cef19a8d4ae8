"""Heartbeats that the owner writes to the store."""

from __future__ import annotations

from tests.support.steps import StepWorld

from lagoonpulley.owner.session import OWNER_KEY
from lagoonpulley.owner.status import STATUS_KEY, OwnerStatus
from lagoonpulley.workload.documents import JOBS_PREFIX


def stored_status(world):
    item = world.store.key_value_by_key.get(STATUS_KEY)
    return OwnerStatus.model_validate_json(item.value) if item else None


def test_loaded_owner_writes_a_heartbeat_a_second():
    world = StepWorld()
    world.run(2.0)
    first = stored_status(world)
    world.run(10.0)
    later = stored_status(world)
    assert later.token == first.token
    assert 8 <= later.number - first.number <= 10


def test_owner_that_cannot_load_writes_no_heartbeat():
    world = StepWorld()
    world.unreadable_prefixes.add(JOBS_PREFIX)
    world.run(5.0)
    assert world.owner().owner._term is not None
    assert stored_status(world) is None


def test_heartbeat_of_the_next_owner_has_a_higher_token():
    world = StepWorld()
    world.run(2.0)
    first = stored_status(world)
    world.kill(world.owner())
    world.run(4.0)
    assert stored_status(world).token > first.token


def test_status_is_not_seen_by_watches_of_the_owner_record():
    assert not STATUS_KEY.startswith(OWNER_KEY)


def test_jobs_stored_while_the_watch_is_silent_start_within_a_heartbeat():
    world = StepWorld(entries=3)
    world.run(2.0)
    world.delivers_watch_events = False
    job_ids = [letter * 16 for letter in "abc"]
    for job_id in job_ids:
        world.submit(job_id, payload="seconds=60")
    world.run_until(lambda: all(map(world.executions, job_ids)), 2.0)

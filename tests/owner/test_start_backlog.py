"""The owner's measure of how long jobs wait because it is slow."""

from __future__ import annotations

import pytest
from tests.support.steps import StepWorld, step

from lagoonpulley.owner.start_backlog import StartBacklog

JOB = "a" * 16


@pytest.fixture
def world():
    made = StepWorld()
    made.run(1.0)
    return made


@pytest.fixture
def term(world):
    return world.owner().owner._term


@pytest.fixture
def backlog(world):
    return StartBacklog(world.clock.mono)


def measure_after(world, backlog, seconds):
    world.run(seconds)
    return backlog.measure_delay_s(world.owner().owner._term, world.clock.mono)


def test_no_job_no_delay(world, backlog):
    assert measure_after(world, backlog, 1.0) == 0.0


def test_uncommitted_placement_is_delayed(world, backlog):
    backlog.record_placement(JOB, world.clock.mono)
    assert measure_after(world, backlog, 2.0) == pytest.approx(2.0, abs=0.1)
    backlog.record_commit(JOB)
    assert measure_after(world, backlog, 1.0) == 0.0


def test_delay_is_what_the_rate_of_starts_would_need(world, backlog):
    now = world.clock.mono
    for number in range(30):
        backlog.record_placement(f"{number:016x}", now)
    for number in range(20):
        backlog.record_commit(f"{number:016x}")
    # 20 jobs were started in 2 s, so the other 10 take another second.
    assert measure_after(world, backlog, 2.0) == pytest.approx(1.0, abs=0.1)


def test_job_that_no_round_considered_is_delayed(world, backlog, monkeypatch):
    monkeypatch.setattr(world.owner().owner, "_plan", lambda term, max_starts: None)
    world.submit(JOB)
    assert measure_after(world, backlog, 1.0) == 0.0
    assert measure_after(world, backlog, 2.0) == pytest.approx(2.0, abs=0.1)


def wait_for_capacity(world):
    world.submit("b" * 16, step(count=3, processors=16000), payload="seconds=60")
    world.submit(JOB)


def wait_for_team_limit(world):
    world.set_policy(2, teams={"north": [1, 0, 0]})
    world.run(1.0)
    world.submit(JOB)


def wait_for_permits(world):
    queue = {"max_attempts": 2, "target_s": 1.0, "advice": [0.005, 0.0005, 2.0]}
    world.set_policy(2, queues={"reviews": queue})
    world.forbidden_workers = set(world.worker_by_id)
    world.run(1.0)
    world.submit(JOB)


@pytest.mark.parametrize(
    "hold_back", [wait_for_capacity, wait_for_team_limit, wait_for_permits]
)
def test_wait_for_another_cause_is_no_delay_of_the_owner(world, backlog, hold_back):
    hold_back(world)
    for _ in range(10):
        assert measure_after(world, backlog, 1.0) == 0.0
    assert world.executions(JOB) == []

"""Speeds of workers as their tasks show them, and placement by speed."""

from __future__ import annotations

import random

import pytest

from lagoonpulley.model.resources import Resources
from lagoonpulley.planning.cell import CellWorker
from lagoonpulley.planning.packing import (
    SpeedPreference,
    StepTaskCounts,
    pack_gang,
    pack_tasks,
)
from lagoonpulley.planning.worker_speed import SpeedTier, WorkerSpeeds
from lagoonpulley.upstream.directory import WorkerInfo
from lagoonpulley.workload.spec import StepSpec

CAPACITY = Resources(16_000, 65_536)
STEP = StepSpec(1, Resources(4000, 1024), 1.0)
SPEEDS = {"slow": 0.55, "a": 1.2, "b": 1.2, "c": 1.2}
SAMPLES = 12


def learn(speeds, speed_by_worker, rng, samples=SAMPLES):
    """Record runs whose declared times are off by up to half, three in 100 far off."""
    for _ in range(samples):
        for worker_id, speed in speed_by_worker.items():
            work_s = rng.lognormvariate(0.0, 0.5)
            stretch = 7.0 if rng.random() < 0.03 else 1.0
            declared_s = work_s * rng.uniform(0.5, 1.5)
            speeds.record_run(worker_id, "queue", declared_s, work_s * stretch / speed)


@pytest.mark.parametrize("seed", range(20))
def test_slow_worker_is_found_among_fast_ones(seed):
    speeds = WorkerSpeeds()
    learn(speeds, SPEEDS, random.Random(seed), samples=24)
    assert speeds.tier_of("slow") is SpeedTier.SLOW
    assert all(speeds.tier_of(worker) < SpeedTier.SLOW for worker in "abc")


def test_no_worker_is_slow_or_fast_when_all_are_equally_slow():
    speeds = WorkerSpeeds()
    for _ in range(SAMPLES):
        for worker_id in "abcd":
            speeds.record_run(worker_id, "queue", 1.0, 4.0)
    assert {speeds.tier_of(worker) for worker in "abcd"} == {SpeedTier.USUAL}


def test_wrong_declared_times_of_a_queue_make_no_worker_slow():
    speeds = WorkerSpeeds()
    for _ in range(SAMPLES):
        speeds.record_run("a", "understated", 1.0, 3.0)
        speeds.record_run("b", "overstated", 1.0, 0.4)
    assert speeds.tier_of("a") is speeds.tier_of("b") is SpeedTier.USUAL


def test_single_task_that_takes_long_makes_no_worker_slow():
    speeds = WorkerSpeeds()
    for worker_id in "abcd":
        for _ in range(SAMPLES):
            speeds.record_run(worker_id, "queue", 1.0, 1.0)
    speeds.record_run("a", "queue", 1.0, 50.0)
    assert speeds.tier_of("a") is SpeedTier.USUAL


def test_restarted_worker_begins_as_a_usual_one():
    speeds = WorkerSpeeds()
    learn(speeds, SPEEDS, random.Random(1), samples=24)
    speeds.forget("slow")
    assert speeds.tier_of("slow") is SpeedTier.USUAL


def make_workers(tiers):
    return [
        CellWorker(
            WorkerInfo(f"w{number}", "s", "", "a", CAPACITY, (), "", 1),
            accepting=True,
            speed_tier=tier,
        )
        for number, tier in enumerate(tiers)
    ]


def tiers_of(chosen):
    return {worker.speed_tier for worker in chosen}


def test_gang_runs_on_fast_workers_if_they_can_hold_it():
    workers = make_workers([SpeedTier.SLOW, *[SpeedTier.FAST] * 2])
    gang = StepSpec(8, Resources(4000, 1024), 1.0, gang=True)
    chosen = pack_gang(gang, workers, StepTaskCounts({}), {})
    assert tiers_of(chosen) == {SpeedTier.FAST}


def test_gang_does_not_wait_for_fast_workers():
    workers = make_workers([SpeedTier.SLOW, *[SpeedTier.FAST] * 2])
    gang = StepSpec(12, Resources(4000, 1024), 1.0, gang=True)
    assert len(pack_gang(gang, workers, StepTaskCounts({}), {})) == 12


def test_work_with_slack_leaves_the_fast_workers_to_urgent_work():
    workers = make_workers([SpeedTier.SLOW, SpeedTier.FAST])
    patient = pack_tasks(STEP, workers, 2, StepTaskCounts({}), {}, SpeedPreference.SLOW)
    urgent = pack_tasks(STEP, workers, 2, StepTaskCounts({}), {}, SpeedPreference.FAST)
    assert tiers_of(patient) == {SpeedTier.SLOW}
    assert tiers_of(urgent) == {SpeedTier.FAST}


def test_slow_workers_are_not_idle_while_work_waits():
    workers = make_workers([SpeedTier.SLOW, SpeedTier.FAST])
    chosen = pack_tasks(STEP, workers, 8, StepTaskCounts({}), {}, SpeedPreference.FAST)
    assert tiers_of(chosen) == {SpeedTier.SLOW, SpeedTier.FAST}
    assert len(chosen) == 8

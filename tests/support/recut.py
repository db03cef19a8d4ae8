"""Workers that crash silently, are back under their ids and are cut off soon after."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

from .step_workers import CAPACITY
from .steps import StepWorld, step

if TYPE_CHECKING:
    from lagoonpulley.standin.task_worker import TaskWorkerState
    from lagoonpulley.workload.spec import JobSpec

__all__ = [
    "crash_silently_and_cut_off",
    "restart_unnoticed",
    "world_with_one_worker",
]

ENTRIES = 3
WORKERS = 8
CRASHED_WORKERS = 4
# Longer than what a new owner presumes of leases that an earlier one has granted.
MAX_LEASE_S = 10.0
ADVICE_S = 0.02
PERMIT_VALID_S = 2.0
JOB_INTERVAL_S = 0.05
TASK_S = 12.0
UNTIL_CRASH_S = 0.5
SILENT_S = 0.6
UNTIL_KILL_S = 1.4
UNTIL_CUT_S = 0.6
CUT_S = 9.0
# By then, no worker counts as just started, and earlier leases have expired.
QUIET_S = 31.0


class _Arrivals:
    """Submits a small job with long tasks every now and then."""

    def __init__(self, world: StepWorld) -> None:
        self._world = world
        self.spec_by_id: dict[str, JobSpec] = {}

    def run(self, seconds: float) -> None:
        """Let time pass with arrivals."""
        until = self._world.clock.mono + seconds
        while self._world.clock.mono < until - JOB_INTERVAL_S / 2:
            next_at = self._world.clock.mono + JOB_INTERVAL_S
            job_id = f"{len(self.spec_by_id):016x}"
            task = step(processors=CAPACITY[0] // 16)
            self._world.submit(job_id, task, payload=f"seconds={TASK_S}")
            self.spec_by_id[job_id] = self._world.last_spec
            self._world.run(max(0.0, next_at - self._world.clock.mono))


def crash_silently_and_cut_off(
    seed: int,
    kills_owner: bool,
    directory_lag_s: float = 0.1,
    wall_offset_s: float = 0.0,
) -> tuple[StepWorld, dict[str, JobSpec]]:
    """Crash half of the workers, which are back at once, and cut them off.

    Starts need a permit of the advisor, which knows the next incarnations at once.

    :param kills_owner: whether the owner is killed shortly before the cut.
    :param directory_lag_s: how long after its start the directory lists a worker.
    :param wall_offset_s: the wall clocks of the workers less that of the entries.
    :returns: the world after the cut, and the jobs by id.
    """
    rng = random.Random(seed)
    world = StepWorld(
        entries=ENTRIES, workers=WORKERS, seed=seed, max_lease_s=MAX_LEASE_S
    )
    for worker in world.worker_by_id.values():
        worker.wall_offset_s += wall_offset_s
    _set_advice(world, PERMIT_VALID_S)
    world.run(QUIET_S + rng.uniform(0.0, 1.0))
    arrivals = _Arrivals(world)
    arrivals.run(UNTIL_CRASH_S)
    crashed = rng.sample(sorted(world.worker_by_id), CRASHED_WORKERS)
    world.dead_workers.update(crashed)
    arrivals.run(SILENT_S)
    for worker_id in crashed:
        world.restart_worker(worker_id)
        world.clock.after(directory_lag_s, partial(world.add_worker, worker_id))
    world.dead_workers.clear()
    arrivals.run(UNTIL_KILL_S)
    if kills_owner:
        world.kill(world.owner())
    world.run(UNTIL_CUT_S)
    world.dead_workers.update(crashed)
    world.run(CUT_S)
    world.dead_workers.clear()
    return world, arrivals.spec_by_id


def world_with_one_worker(
    permit_valid_s: float | None = None,
) -> tuple[StepWorld, TaskWorkerState]:
    """Return a world whose first owner is settled, and its worker.

    :param permit_valid_s: how long permits of the advisor are valid, ``None`` for a
        queue without advice.
    """
    world = StepWorld(workers=1, max_lease_s=MAX_LEASE_S)
    if permit_valid_s is not None:
        _set_advice(world, permit_valid_s)
    world.run(QUIET_S)
    return world, world.worker_by_id["w0"]


def restart_unnoticed(world: StepWorld, worker: TaskWorkerState) -> None:
    """Restart a worker at once, while the open poll of the owner hides it."""
    world.dead_workers.add(worker.id)
    world.run(0.1)
    world.restart_worker(worker.id)
    world.dead_workers.clear()


def _set_advice(world: StepWorld, permit_valid_s: float) -> None:
    advice = [ADVICE_S, 0.001, permit_valid_s]
    queue = {"max_attempts": 2, "target_s": 1.0, "advice": advice}
    world.set_policy(2, {"reviews": queue})
    world.advice_s = ADVICE_S
    world.permit_valid_s = permit_valid_s

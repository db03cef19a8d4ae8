"""Workers that are cut off while late commands to them are on their way."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from lagoonpulley.upstream.tasks import SyncWorker

from .lateness import Lateness
from .step_invariants import check_all
from .step_workers import CAPACITY
from .steps import StepWorld, step

if TYPE_CHECKING:
    from lagoonpulley.workload.spec import JobSpec

__all__ = [
    "complete_beside_a_late_grant",
    "cut_off_workers_with_late_commands",
    "is_completed",
]

ENTRIES = 3
WORKERS = 6
JOBS = 14
TASKS_PER_JOB = 3
JOB_INTERVAL_S = 0.1
# The first jobs find workers that answer.
PUNCTUAL_JOBS = 3
LATE_SHARE = 0.8
SHORTEST_TASK_S = 0.6
LONGEST_TASK_S = 4.0
WORKERS_CUT_OFF = 3
# Longer than the leases, and the commands, that are on their way when it begins.
CUT_S = 13.0
UNTIL_CUT_S = 1.0
UNTIL_KILL_S = 1.0


def cut_off_workers_with_late_commands(
    seed: int, kills_owner: bool
) -> tuple[StepWorld, dict[str, JobSpec]]:
    """Cut off half of the workers, which carry out late commands with shifted times.

    :param kills_owner: whether the owner is killed during the cut.
    :returns: the world after the cut, and the jobs by id.
    """
    rng = random.Random(seed)
    world = StepWorld(entries=ENTRIES, workers=WORKERS, seed=seed)
    world.late_times_count_from_arrival = True
    # By then, leases that an earlier owner may have granted have expired.
    world.run(8.0)
    spec_by_id = {}
    for number in range(JOBS):
        if number == PUNCTUAL_JOBS:
            lateness = Lateness(LATE_SHARE)
            world.lateness_by_worker = dict.fromkeys(world.worker_by_id, lateness)
        submitted_at = world.clock.mono
        job_id = f"{number:016x}"
        task = step(count=TASKS_PER_JOB, processors=CAPACITY[0] // 4)
        seconds = rng.uniform(SHORTEST_TASK_S, LONGEST_TASK_S)
        world.submit(job_id, task, payload=f"seconds={seconds:.1f}")
        spec_by_id[job_id] = world.last_spec
        world.run(max(0.0, submitted_at + JOB_INTERVAL_S - world.clock.mono))
    world.run(UNTIL_CUT_S)
    world.lateness_by_worker.clear()
    world.dead_workers.update(rng.sample(sorted(world.worker_by_id), WORKERS_CUT_OFF))
    world.run(UNTIL_KILL_S)
    if kills_owner:
        world.kill(world.owner())
    world.run(CUT_S - UNTIL_KILL_S)
    world.dead_workers.clear()
    return world, spec_by_id


def is_completed(world: StepWorld, spec_by_id: dict[str, JobSpec]) -> bool:
    """Return whether all jobs are completed."""
    return all(world.final_state(job_id) == "completed" for job_id in spec_by_id)


def complete_beside_a_late_grant(within_s: float) -> None:
    """Check a job whose worker is cut off right after a grant that it carries out late.

    The grant is two seconds late, and its time counts from then.

    :param within_s: how long after the beginning of the cut the job, of twelve seconds,
        is completed at the latest.
    """
    world = StepWorld(workers=2)
    world.late_times_count_from_arrival = True
    world.run(8.0)
    world.submit("a" * 16, step(processors=CAPACITY[0]), payload="seconds=12")
    spec_by_id = {"a" * 16: world.last_spec}
    world.run(1.0)
    (worker,) = (w for w in world.worker_by_id.values() if w.executions)

    late_grants = []

    def delay_of(worker_id: str, command: Any) -> float | None:
        is_sync = worker_id == worker.id and isinstance(command, SyncWorker)
        if not is_sync or command.lease_until_ms is None:
            return None
        late_grants.append(command)
        return 2.0

    world._delay_of = delay_of
    world.run_until(lambda: late_grants, 3.0)
    del world._delay_of
    world.dead_workers.add(worker.id)
    world.run_until(lambda: is_completed(world, spec_by_id), within_s)
    check_all(world, spec_by_id, {})

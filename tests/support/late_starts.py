"""Starts that reach the next incarnation of their worker late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .step_workers import CAPACITY
from .steps import StepWorld, step

if TYPE_CHECKING:
    from lagoonpulley.standin.task_worker import TaskWorkerState
    from lagoonpulley.workload.spec import JobSpec

__all__ = ["start_late_beside_a_busy_worker"]


def start_late_beside_a_busy_worker(
    world: StepWorld, late_id: str, busy_id: str
) -> tuple[dict[str, JobSpec], TaskWorkerState]:
    """Let the only run of a job start late, behind a cut, while the job waits.

    Another job fills the other of two workers for six seconds. The owner has had the
    stop of the run confirmed. Its worker needs three seconds to stop a run.

    :returns: the jobs by id, and the worker that has the late run.
    """
    whole = step(processors=CAPACITY[0])
    world.submit(busy_id, whole, payload="seconds=6")
    spec_by_id = {busy_id: world.last_spec}
    world.run(0.3)
    (busy,) = (w for w in world.worker_by_id.values() if w.executions)
    (idle,) = (w for w in world.worker_by_id.values() if w is not busy)
    idle.stop_s = 3.0
    world.late_workers.add(idle.id)
    world.submit(late_id, whole, payload="seconds=9")
    spec_by_id[late_id] = world.last_spec
    # The stop is confirmed.
    world.run(1.3)
    world.late_workers.clear()
    world.dead_workers.add(idle.id)
    world.restart_worker(idle.id)
    world.run_until(lambda: world.executions(late_id), 4.0)
    return spec_by_id, idle

"""Runs of a worker that restarts again and again, out of reach of the owner."""

from __future__ import annotations

from tests.support.steps import StepWorld, step

JOB = "a" * 16


def test_run_is_started_elsewhere_though_its_worker_keeps_restarting():
    """Each restart that the directory tells moves the end of all leases by 6.8 s."""
    world = StepWorld(workers=2)
    world.run(8.0)
    world.submit(JOB, step(processors=16000), payload="seconds=5")
    world.run(1.0)
    (worker,) = (w for w in world.worker_by_id.values() if w.executions)
    world.dead_workers.add(worker.id)
    for _ in range(6):
        worker.restart(world.clock.mono)
        world.add_worker(worker.id)
        world.run(5.0)
    assert len(world.executions(JOB)) == 2

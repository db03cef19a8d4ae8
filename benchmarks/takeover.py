"""Time without an owner after a death, under the injected clock.

``python -m benchmarks.takeover``
"""

from __future__ import annotations

import logging
import statistics

from tests.support.world import DATA_CENTRES, SimEntry, World

from lagoonpulley.observability.logs import ROOT_LOGGER
from lagoonpulley.scheduler.group import Phase

RUNS = 60
STEP_S = 0.05
LONGEST_S = 30.0
LEASE_S = 3.0
ENTRIES_PER_DATA_CENTRE = 3


def serving(world: World, data_centre: str) -> SimEntry | None:
    """Return the live entry that serves a data centre's group."""
    for entry in world.entries.values():
        if not entry.alive or entry.data_centre != data_centre:
            continue
        groups = entry.roles["scheduler"]._group_by_name.values()
        if any(group.phase is Phase.ACTIVE for group in groups):
            return entry
    return None


def gap_after_death(seed: int) -> tuple[float, float]:
    """Return seconds without an owner, and from death to an urgent task's start."""
    world = World(seed, entries_per_data_centre=ENTRIES_PER_DATA_CENTRE)
    data_centre = DATA_CENTRES[seed % len(DATA_CENTRES)]
    world.advance(5.0 + (seed * 0.37) % 3.0)
    owner = serving(world, data_centre)
    assert owner is not None
    world.kill(owner.id)
    other = next(
        entry
        for entry in world.entries.values()
        if entry.alive and entry.data_centre == data_centre
    )
    died_at = world.clock.mono
    caller = world.submit(
        other.id, f"{data_centre}/urgent", queue="enquiries", team="", deadline_s=6.8
    )
    while serving(world, data_centre) is None:
        world.advance(STEP_S)
        assert world.clock.mono - died_at < LONGEST_S
    gap_s = world.clock.mono - died_at
    while True:
        world.advance(STEP_S)
        started = [
            execution.at
            for worker in world.workers.values()
            for execution in worker.executions
            if execution.task_id.startswith(caller.job.id)
        ]
        if started:
            return gap_s, started[0] - died_at
        assert world.clock.mono - died_at < LONGEST_S


def main() -> None:
    """Measure and print medians and largest values."""
    logger = logging.getLogger(ROOT_LOGGER)
    logger.addHandler(logging.NullHandler())
    logger.propagate = False
    figures = [gap_after_death(seed) for seed in range(RUNS)]
    for name, values in (
        ("without an owner", [gap for gap, _ in figures]),
        ("urgent task submitted at the death starts", [start for _, start in figures]),
    ):
        median, largest = statistics.median(values), max(values)
        print(
            f"{name}: median {median:.2f} s ({median / LEASE_S:.2f} leases), "
            f"largest {largest:.2f} s ({largest / LEASE_S:.2f} leases), {RUNS} deaths"
        )


if __name__ == "__main__":
    main()

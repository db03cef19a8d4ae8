"""Measures how long a group has no active owner after its owner is killed.

Runs on the simulated clock of the test world.

``python -m benchmarks.takeover``
"""

from __future__ import annotations

import logging
import statistics

from tests.support.world import DATA_CENTRES, SimEntry, World

from lagoonpulley.observability.logs import ROOT_LOGGER
from lagoonpulley.scheduler.group import Phase

KILLED_OWNERS = 60
STEP_S = 0.05
MAX_WAIT_S = 30.0
SESSION_LEASE_S = 3.0
ENTRIES_PER_DATA_CENTRE = 3


def find_active_owner(world: World, data_centre: str) -> SimEntry | None:
    """Return a data centre's live entry with an active group, or ``None``."""
    for entry in world.entries.values():
        if not entry.alive or entry.data_centre != data_centre:
            continue
        groups = entry.roles["scheduler"]._group_by_name.values()
        if any(group.phase is Phase.ACTIVE for group in groups):
            return entry
    return None


def measure_takeover(seed: int) -> tuple[float, float]:
    """Kill the owner of a group and measure the takeover.

    Returns the seconds until another owner is active, and the seconds until a task with
    a deadline of 6.8 s starts that is submitted at the kill.
    """
    world = World(seed, entries_per_data_centre=ENTRIES_PER_DATA_CENTRE)
    data_centre = DATA_CENTRES[seed % len(DATA_CENTRES)]
    # Spreads the kills over the 3 s of a session lease.
    world.advance(5.0 + (seed * 0.37) % 3.0)
    owner = find_active_owner(world, data_centre)
    assert owner is not None
    world.kill(owner.id)
    submitting_entry = next(
        entry
        for entry in world.entries.values()
        if entry.alive and entry.data_centre == data_centre
    )
    killed_at = world.clock.mono
    caller = world.submit(
        submitting_entry.id,
        f"{data_centre}/urgent",
        queue="enquiries",
        team="",
        deadline_s=6.8,
    )
    while find_active_owner(world, data_centre) is None:
        world.advance(STEP_S)
        assert world.clock.mono - killed_at < MAX_WAIT_S
    takeover_s = world.clock.mono - killed_at
    while True:
        world.advance(STEP_S)
        started = [
            execution.at
            for worker in world.workers.values()
            for execution in worker.executions
            if execution.task_id.startswith(caller.job.id)
        ]
        if started:
            return takeover_s, started[0] - killed_at
        assert world.clock.mono - killed_at < MAX_WAIT_S


def main() -> None:
    """Print the median and the largest time of both measurements."""
    logger = logging.getLogger(ROOT_LOGGER)
    logger.addHandler(logging.NullHandler())
    logger.propagate = False
    measurements = [measure_takeover(seed) for seed in range(KILLED_OWNERS)]
    for name, values in (
        ("without an owner", [takeover_s for takeover_s, _ in measurements]),
        (
            "urgent task submitted at the death starts",
            [start_s for _, start_s in measurements],
        ),
    ):
        median, largest = statistics.median(values), max(values)
        print(
            f"{name}: median {median:.2f} s ({median / SESSION_LEASE_S:.2f} leases), "
            f"largest {largest:.2f} s ({largest / SESSION_LEASE_S:.2f} leases), "
            f"{KILLED_OWNERS} deaths"
        )


if __name__ == "__main__":
    main()

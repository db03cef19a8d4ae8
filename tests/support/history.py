"""Random histories of operations and faults on a simulated cell.

The same seed always gives the same history.
"""

from __future__ import annotations

import random

from lagoonpulley.model.job import JobKind
from lagoonpulley.model.resources import Resources

from .invariants import (
    CHECKS_AFTER_EACH_EVENT,
    CHECKS_AFTER_EACH_OPERATION,
    CHECKS_AT_END,
)
from .world import DATA_CENTRES, DRAIN_DEADLINE_S, World

OPERATIONS_PER_HISTORY = 30
# Time for the accepted work to finish once all faults have ended.
RECOVERY_S = 70.0


class History:
    """A simulated cell and the operations that a history applies to it.

    Each operation draws its arguments from the random generator that it is given.

    :param workers_fence: whether workers refuse commands with an outdated epoch.
    """

    def __init__(self, seed: int, workers_fence: bool = True) -> None:
        self.world = World(seed, workers_fence)
        self.world.after_event = self._after_event
        self._events = 0
        self._key_count = 0
        self.world.advance(5.0)

    def _after_event(self) -> None:
        for check in CHECKS_AFTER_EACH_EVENT:
            check(self.world)

    def check(self) -> None:
        """Check every invariant that holds between two operations."""
        for check in CHECKS_AFTER_EACH_OPERATION:
            check(self.world)

    def entry_ids(self) -> list[str]:
        """Return the ids of all entries in order."""
        return sorted(self.world.entries)

    def worker_ids(self) -> list[str]:
        """Return the ids of all workers in order."""
        return sorted(self.world.workers)

    def submit(self, rng: random.Random) -> None:
        """Submit a random job to a random entry."""
        self._key_count += 1
        home = rng.choice(DATA_CENTRES)
        unrepeatable = rng.random() < 0.4
        kind = rng.choice([JobKind.BATCH, JobKind.GANG, JobKind.URGENT])
        self.world.submit(
            rng.choice(self.entry_ids()),
            f"{home}/{self._key_count}",
            tasks=rng.choice([1, 1, 2, 3]),
            kind=kind,
            request=Resources(rng.choice([500, 1000, 2000]), 512, 0, 1, 1),
            run_time_s=rng.choice([0.5, 2.0, 6.0]),
            repeatable=not unrepeatable,
            deadline_s=1.0 if kind is JobKind.URGENT else None,
            wait_s=rng.choice([0.0, 8.0]),
        )

    def submit_open(self, rng: random.Random) -> None:
        """Submit an urgent job to the open queue, without an API key."""
        self._key_count += 1
        self.world.submit(
            rng.choice(self.entry_ids()),
            f"{rng.choice(DATA_CENTRES)}/{self._key_count}",
            queue="enquiries",
            team="",
            exclusive=False,
            kind=JobKind.URGENT,
            run_time_s=0.3,
            wait_s=5.0,
        )

    def submit_again(self, rng: random.Random) -> None:
        """Submit a job of queue reviews again with the same idempotency key.

        The entry is drawn; a drawn job of another queue is not submitted.
        """
        if not self.world.callers:
            return
        caller = rng.choice(self.world.callers)
        job = caller.job
        if job.queue != "reviews":
            return
        self.world.submit(
            rng.choice(self.entry_ids()),
            caller.expected_answer.removeprefix("answer-to-"),
            tasks=job.tasks,
            kind=job.kind,
            request=job.request,
            run_time_s=job.run_time_s,
            repeatable=job.repeatable,
            deadline_s=job.deadline_s,
            durable=job.durable,
            wait_s=8.0,
        )

    def cancel(self, rng: random.Random) -> None:
        """Cancel a random submitted job through a random entry."""
        if self.world.callers:
            caller = rng.choice(self.world.callers)
            self.world.cancel(rng.choice(self.entry_ids()), caller.job)

    def wrong_key(self, rng: random.Random) -> None:
        """Submit to a queue of team north with the key of team south."""
        self.world.submit(rng.choice(self.entry_ids()), "wrong", team="south")

    def kill_entry(self, rng: random.Random) -> None:
        """Kill the process of an entry."""
        self.world.kill(rng.choice(self.entry_ids()))

    def replace_entry(self, rng: random.Random) -> None:
        """Start a new process for the first dead entry."""
        for entry_id, entry in sorted(self.world.entries.items()):
            if not entry.alive:
                self.world.start_entry(entry_id, entry.data_centre)
                return

    def pause_entry(self, rng: random.Random) -> None:
        """Pause an entry, at once or after a few more messages."""
        self.world.pause(rng.choice(self.entry_ids()), rng.choice([0, 1, 3, 9]))

    def unpause_entry(self, rng: random.Random) -> None:
        """Unpause every paused entry."""
        for entry_id in self.entry_ids():
            if self.world.entries[entry_id].paused:
                self.world.unpause(entry_id)

    def store_outage(self, rng: random.Random) -> None:
        """Make the store unreachable."""
        self.world.set_store_up(False)

    def store_returns(self, rng: random.Random) -> None:
        """Make the store reachable again."""
        self.world.set_store_up(True)

    def vary_network(self, rng: random.Random) -> None:
        """Draw new rates of loss and duplication, and new delays, of calls."""
        conditions = self.world.network.conditions
        conditions.store_answer_loss_rate = rng.choice([0.0, 0.1, 0.4])
        conditions.worker_answer_loss_rate = rng.choice([0.0, 0.1, 0.4])
        conditions.duplication_rate = rng.choice([0.0, 0.2])
        conditions.slow_command_rate = rng.choice([0.0, 0.3])
        conditions.store_delay_s = rng.choice([0.01, 0.5])
        is_faulty = any(
            (
                conditions.store_answer_loss_rate,
                conditions.worker_answer_loss_rate,
                conditions.store_delay_s > 0.1,
            )
        )
        self.world._set_fault("network", is_faulty)

    def cut_link(self, rng: random.Random) -> None:
        """Cut a link between data centres, or of a data centre to store or worker."""
        pairs = [
            (DATA_CENTRES[0], DATA_CENTRES[1]),
            (DATA_CENTRES[0], "store"),
            (DATA_CENTRES[1], "store"),
        ]
        pairs += [
            (worker_id.rpartition("-")[0], f"worker:{worker_id}")
            for worker_id in self.worker_ids()
        ]
        self.world.cut(*rng.choice(pairs))

    def heal_cuts(self, rng: random.Random) -> None:
        """Restore every cut link."""
        self.world.heal_cuts()

    def stop_worker(self, rng: random.Random) -> None:
        """Stop a worker."""
        self.world.stop_worker(rng.choice(self.worker_ids()))

    def restart_worker(self, rng: random.Random) -> None:
        """Restart every stopped worker with a new boot id."""
        for worker_id in self.worker_ids():
            if f"worker:{worker_id}" in self.world.network.dead_addresses:
                self.world.restart_worker(worker_id)

    def worker_leaves(self, rng: random.Random) -> None:
        """List a worker as leaving."""
        self.world.mark_worker_leaving(rng.choice(self.worker_ids()))

    def worker_returns(self, rng: random.Random) -> None:
        """List every leaving worker as available again."""
        for worker_id in list(self.world.leaving_at):
            self.world.readmit_worker(worker_id)

    def change_limit(self, rng: random.Random) -> None:
        """Change the limit of team north."""
        self.world.set_limit(rng.choice([4000, 6000, 8000]))

    def withdraw_key(self, rng: random.Random) -> None:
        """Withdraw the key of team north, with a probability of 0.3."""
        if rng.random() < 0.3:
            self.world.withdraw_key("north")

    def drain_entry(self, rng: random.Random) -> None:
        """Begin the planned stop of an entry."""
        self.world.drain(rng.choice(self.entry_ids()))

    def advance(self, rng: random.Random) -> None:
        """Let some time pass."""
        self.world.advance(rng.choice([0.1, 0.5, 1.0, 2.0, 4.0, 8.0]))

    def settle(self) -> None:
        """End all faults, let the accepted work finish and check every invariant."""
        self.world.heal()
        # Draining entries end within this time, and the second call restarts them.
        self.world.advance(DRAIN_DEADLINE_S + 1.0)
        self.world.heal()
        self.world.advance(RECOVERY_S)
        self.check()
        for check in CHECKS_AT_END:
            check(self.world)


OPERATIONS = (
    *["submit"] * 6,
    *["advance"] * 9,
    "submit_open",
    "submit_again",
    "submit_again",
    "cancel",
    "wrong_key",
    "kill_entry",
    "replace_entry",
    "replace_entry",
    "pause_entry",
    "unpause_entry",
    "unpause_entry",
    "store_outage",
    "store_returns",
    "store_returns",
    "vary_network",
    "cut_link",
    "heal_cuts",
    "stop_worker",
    "restart_worker",
    "worker_leaves",
    "worker_returns",
    "change_limit",
    "withdraw_key",
    "drain_entry",
)


def run_history(seed: int, operations: int = OPERATIONS_PER_HISTORY) -> History:
    """Run one random history and check the invariants after each operation.

    :raises InvariantBroken: with the name of the invariant.
    """
    rng = random.Random(seed)
    history = History(seed, workers_fence=rng.random() < 0.7)
    for _ in range(operations):
        getattr(history, rng.choice(OPERATIONS))(rng)
        history.check()
    history.settle()
    return history

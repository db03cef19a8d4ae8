"""Capacity reserved for pending gangs, so that smaller tasks cannot starve them.

A gang needs all its capacity at once. Under a mixed overload, smaller and less urgent
tasks fill every gap, and the gang could start only after the last of them.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..model.resources import Resources
from .packing import pack_tasks

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..workload.spec import StepSpec
    from .cell import CellWorker
    from .packing import StepTaskCounts

__all__ = [
    "RESERVE_AFTER_S",
    "GangReservations",
    "fits_drained_workers",
    "longest_reservation_s",
]

# Reservations for more gangs at a time would leave too much capacity idle.
MAX_RESERVED_GANGS = 2
# How long a gang must lack capacity before it gets a reservation.
RESERVE_AFTER_S = 0.4
# A reservation lasts until all runs on its workers should have ended, within these
# bounds: what keeps a gang from starting then is something else.
SHORTEST_RESERVATION_S = 1.0
LONGEST_RESERVATION_S = 20.0


class GangReservations:
    """Capacity that one round withholds from demands less urgent than the gangs."""

    def __init__(self) -> None:
        self.reserved_by_worker_id: dict[str, Resources] = {}
        self.gangs: list[tuple[str, tuple[int, int]]] = []

    @property
    def is_full(self) -> bool:
        """Whether the maximum number of gangs holds a reservation."""
        return len(self.gangs) >= MAX_RESERVED_GANGS

    def reserve(
        self,
        gang: tuple[str, tuple[int, int]],
        step: StepSpec,
        workers: list[CellWorker],
        task_counts: StepTaskCounts,
    ) -> None:
        """Reserve free capacity for a gang that does not fit yet.

        :param gang: job id and step of the gang.
        :param workers: the workers that may run the step.
        """
        self.gangs.append(gang)
        chosen = pack_tasks(
            step, workers, step.count, task_counts, self.reserved_by_worker_id
        )
        for worker in chosen:
            self._add_reservation(worker, step.capacity_request)
        count_by_worker_id = Counter(worker.info.id for worker in chosen)
        others = [
            worker
            for worker in workers
            if worker.count_when_drained(step) > count_by_worker_id[worker.info.id]
        ]
        self._reserve_partially(step, others, step.count - len(chosen))

    def hold(self, workers: Iterable[CellWorker], amount: Resources) -> None:
        """Withhold capacity on workers from the demands that follow in this round."""
        for worker in workers:
            self._add_reservation(worker, amount)

    def _reserve_partially(
        self, step: StepSpec, workers: list[CellWorker], missing: int
    ) -> None:
        """Reserve what is free on the emptiest workers, for one task each."""
        by_free_processors = sorted(
            workers,
            key=lambda worker: (
                -worker.free_beside(self.reserved_by_worker_id).processors_milli
            ),
        )
        for worker in by_free_processors[:missing]:
            free = worker.free_beside(self.reserved_by_worker_id)
            part = [
                min(want, max(0, have))
                for want, have in zip(step.capacity_request, free)
            ]
            self._add_reservation(worker, Resources(*part))

    def _add_reservation(self, worker: CellWorker, amount: Resources) -> None:
        reserved = self.reserved_by_worker_id.get(worker.info.id, Resources())
        self.reserved_by_worker_id[worker.info.id] = reserved.plus(amount)


def fits_drained_workers(step: StepSpec, workers: Iterable[CellWorker]) -> bool:
    """Return whether a gang fits on its workers once all runs that end have ended."""
    found = 0
    for worker in workers:
        found += worker.count_when_drained(step)
        if found >= step.count:
            return True
    return False


def longest_reservation_s(workers: Iterable[CellWorker], now: float) -> float:
    """Return how long a gang's reservation on its workers may last, in seconds.

    :param now: monotonic time in seconds.
    """
    ends = [
        claim.expected_end
        for worker in workers
        for claim in worker.claim_by_ref.values()
        if not claim.long_running
    ]
    left_s = max(ends, default=now) - now
    return min(LONGEST_RESERVATION_S, max(SHORTEST_RESERVATION_S, left_s))

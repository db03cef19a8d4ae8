"""Steps whose tasks wait for workers, and what keeps them waiting."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.resources import Resources
    from ..policy.values import Queue
    from ..workload.record import JobRecord
    from ..workload.spec import StepKey, StepSpec
    from .cell import CellWorker, Changes
    from .permits import StepPermits

__all__ = ["AVOID_FAILED_WORKERS_S", "BlockReason", "Demand"]

# How long a step that lacks capacity keeps avoiding the workers it failed on.
AVOID_FAILED_WORKERS_S = 1.0
# How long others may use what a gang's reservation kept, once that has ended without
# a start of the gang.
RESERVATION_PAUSE_S = 0.5


class BlockReason(Enum):
    """What kept a demand from starting in the last round that considered it.

    ``RESERVED``: capacity is or may be free, but gangs hold reservations. ``ADVICE``:
    an answer from the advisor is pending.
    """

    NONE = "not"
    CAPACITY = "room"
    TEAM_LIMIT = "limit"
    RESERVED = "kept"
    ADVICE = "advice"


@dataclass(slots=True, eq=False)
class Demand:
    """A step with pending tasks whose dependencies are done.

    ``due_at`` is when the job should be complete, in seconds of the wall clock.
    ``lacks_capacity_since`` is in monotonic seconds. ``fits_drained_workers`` tells
    whether a gang that asked for a reservation can start once all runs that end have
    ended; its reservation ends at ``reserved_until``, and it gets another one from
    ``may_reserve_at`` on, both in monotonic seconds. ``held_workers`` are kept free,
    one entry for each task, until the advisor answers. ``order`` is the sort key among
    all demands; the lowest is served first. ``request`` is what one task counts
    against a worker's capacity. ``scheduled_at`` is when the job was submitted or due
    to begin, in seconds of the wall clock, and ``remaining_s`` the declared run time
    from the step to the end of the job, in seconds.
    """

    record: JobRecord
    key: StepKey
    queue: Queue
    due_at: float
    block_reason: BlockReason = BlockReason.NONE
    lacks_capacity_since: float | None = None
    fits_drained_workers: bool = True
    reserved_until: float | None = None
    may_reserve_at: float = float("-inf")
    held_workers: tuple[CellWorker, ...] = ()
    order: tuple[int, float, str, StepKey] = field(init=False)
    step: StepSpec = field(init=False)
    request: Resources = field(init=False)
    scheduled_at: float = field(init=False)
    remaining_s: float = field(init=False)

    def __post_init__(self) -> None:
        spec = self.record.spec
        job_id = spec.id
        self.scheduled_at = spec.scheduled_at(self.key.occurrence)
        self.remaining_s = self.record.remaining_path_s(self.key.step)
        self.order = (self.queue.priority, self.due_at, job_id, self.key)
        self.step = self.record.step_of(self.key)
        self.request = self.step.capacity_request

    @property
    def avoided_worker_ids(self) -> set[str]:
        """Ids of workers on which the step failed, stalled or got no start answer."""
        return self.record.avoided_workers_by_step.get(self.key, set())

    def has_lacked_capacity_for(self, duration_s: float, now: float) -> bool:
        """Return whether capacity has been lacking for at least a duration.

        :param now: monotonic time in seconds.
        """
        since = self.lacks_capacity_since
        return since is not None and now - since >= duration_s

    def may_reserve(self, now: float) -> bool:
        """Return whether a gang may have a reservation in a round.

        :param now: monotonic time of the round in seconds.
        """
        if self.reserved_until is not None and now >= self.reserved_until:
            self.reserved_until = None
            self.may_reserve_at = now + RESERVATION_PAUSE_S
        return now >= self.may_reserve_at

    def recognize_reservation(
        self, changes: Changes, reserved_by_worker_id: dict[str, Resources]
    ) -> None:
        """Set the reason of a blocked demand if only reservations block it by now.

        Otherwise the end of the reservations would not unblock it. A gang keeps its
        reason, as it may have a reservation of its own.
        """
        if self.block_reason is not BlockReason.CAPACITY or self.step.gang:
            return
        if reserved_by_worker_id and changes.may_fit_unreserved(self.request):
            self.block_reason = BlockReason.RESERVED

    def may_be_unblocked(
        self,
        changes: Changes,
        reserved_by_worker_id: dict[str, Resources],
        permits: StepPermits | None,
        now: float,
    ) -> bool:
        """Return whether the cause that blocked the demand may be gone.

        See :meth:`.cell.Changes.may_fit` for the parameters.
        """
        reason = self.block_reason
        if reason is BlockReason.NONE:
            return True
        if reason is BlockReason.ADVICE:
            return False
        if reason is BlockReason.TEAM_LIMIT:
            return self.record.spec.team in changes.teams_with_releases
        if changes.may_fit(self.request, reserved_by_worker_id, permits):
            return True
        # Most jobs avoid no worker, which is the cheapest to check.
        if not self.record.avoided_workers_by_step or not self.avoided_worker_ids:
            return False
        return self.has_lacked_capacity_for(AVOID_FAILED_WORKERS_S, now)

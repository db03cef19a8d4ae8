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

__all__ = [
    "AVOID_FAILED_WORKERS_S",
    "LIFT_BY_REASON",
    "BlockReason",
    "Demand",
    "Lift",
]

# How long a step that lacks capacity keeps avoiding the workers it failed on. A gang
# whose start there got no answer keeps the room of its other members for less.
AVOID_FAILED_WORKERS_S = 2.0
# How long others may use what a gang's reservation kept, once that has ended without
# a start of the gang.
RESERVATION_PAUSE_S = 0.5


class Lift(Enum):
    """What lets a planning round consider a blocked demand again.

    ``NEXT_ROUND``: it is not blocked. ``ROOM``: a worker may have gained room for one
    of its tasks, also as less of it is withheld for others. ``TEAM_RELEASE``: its team
    has released resources. ``ANSWER``: the advisor has answered. ``TIME``: the cause
    passes by itself.
    """

    NEXT_ROUND = "next round"
    ROOM = "room"
    TEAM_RELEASE = "team release"
    ANSWER = "answer"
    TIME = "time"


class BlockReason(Enum):
    """What kept a demand from starting in the last round that considered it.

    ``CAPACITY``: too little room is free. ``RESERVED``: capacity is or may be free, but
    gangs hold reservations. ``ADVICE``: an answer from the advisor is pending.
    ``ADVISOR_PAUSE``: the advisor has refused, and is left alone for a while.
    ``PROBATION``: as many workers as may be have a task that may crash them.
    """

    NONE = "not"
    CAPACITY = "room"
    TEAM_LIMIT = "limit"
    RESERVED = "kept"
    ADVICE = "advice"
    ADVISOR_PAUSE = "advisor pause"
    PROBATION = "probation"


# A demand that is blocked until a time is lifted then, whatever its reason.
LIFT_BY_REASON = {
    BlockReason.NONE: Lift.NEXT_ROUND,
    BlockReason.CAPACITY: Lift.ROOM,
    BlockReason.TEAM_LIMIT: Lift.TEAM_RELEASE,
    BlockReason.RESERVED: Lift.ROOM,
    BlockReason.ADVICE: Lift.ANSWER,
    BlockReason.ADVISOR_PAUSE: Lift.TIME,
    BlockReason.PROBATION: Lift.TIME,
}


@dataclass(slots=True, eq=False)
class Demand:
    """A step with pending tasks whose dependencies are done.

    ``blocked_until`` is when the reason for which it is blocked ends at the latest, in
    monotonic seconds; infinity if only an event ends it. ``due_at`` is when the job
    should be complete, in seconds of the wall clock.
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
    blocked_until: float = float("inf")
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

    def block(self, reason: BlockReason, until: float = float("inf")) -> None:
        """Leave the demand alone until its reason is lifted, see :class:`Lift`.

        :param until: when the reason ends by itself, in monotonic seconds.
        """
        self.block_reason = reason
        self.blocked_until = until

    def unblock(self) -> None:
        """Let the next round consider the demand."""
        self.block(BlockReason.NONE)

    def has_lacked_capacity_for(self, duration_s: float, now: float) -> bool:
        """Return whether capacity has been lacking for at least a duration.

        :param now: monotonic time in seconds.
        """
        since = self.lacks_capacity_since
        return since is not None and now - since >= duration_s

    def returns_to_avoided_at(self, now: float) -> float:
        """Return when the step may use the workers again that it avoids now.

        :param now: monotonic time in seconds.
        :returns: monotonic time in seconds, infinity if it avoids none.
        """
        if not self.avoided_worker_ids or self.lacks_capacity_since is None:
            return float("inf")
        returns_at = self.lacks_capacity_since + AVOID_FAILED_WORKERS_S
        return returns_at if now < returns_at else float("inf")

    def may_reserve(self, now: float) -> bool:
        """Return whether a gang may have a reservation in a round.

        :param now: monotonic time of the round in seconds.
        """
        if self.reserved_until is not None and now >= self.reserved_until:
            self.reserved_until = None
            self.may_reserve_at = now + RESERVATION_PAUSE_S
        return now >= self.may_reserve_at

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
        lift = LIFT_BY_REASON[self.block_reason]
        if lift is Lift.NEXT_ROUND or now >= self.blocked_until:
            return True
        if lift is Lift.TEAM_RELEASE:
            return self.record.spec.team in changes.teams_with_releases
        if lift is Lift.ROOM:
            return changes.may_fit(self.request, reserved_by_worker_id, permits)
        return False

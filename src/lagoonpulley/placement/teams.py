"""Teams: what they run, what waits, and the order in which they are served."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model.job import JobKind
from ..model.resources import ZERO, Resources
from .events import TeamPolicy

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..model.job import Job

__all__ = ["PendingJob", "Team"]

SMALLEST_WEIGHT = 1e-6
WAITING_SCALE_S = 60.0


@dataclass(slots=True, eq=False)
class PendingJob:
    """Tasks of a job that wait; ``indexes`` holds those not yet placed.

    ``blocked_at`` is when it was first the job's turn and there was no room.
    """

    job: Job
    indexes: deque[int]
    submitted_at: float
    cancelled: bool = False
    preempted_at: float = float("-inf")
    blocked_at: float | None = None

    @property
    def is_done(self) -> bool:
        """Whether nothing of the job waits any more."""
        return self.cancelled or not self.indexes


@dataclass(slots=True, eq=False)
class Team:
    """One team's use and its queues.

    At ``blocked_version`` of the workers none of its next jobs had room;
    ``blocked_request`` is the least of each resource that any of them needs.
    """

    name: str
    policy: TeamPolicy = field(default_factory=lambda: TeamPolicy(1.0))
    used: Resources = ZERO
    share: float = 0.0
    decayed_share: float = 0.0
    decayed_at: float = 0.0
    blocked_version: int = 0
    blocked_request: Resources = ZERO
    services: deque[PendingJob] = field(default_factory=deque)
    work: deque[PendingJob] = field(default_factory=deque)

    def add(self, pending: PendingJob, at_head: bool = False) -> None:
        """Queue a job of any kind but urgent ones."""
        is_service = pending.job.kind is JobKind.SERVICE
        target = self.services if is_service else self.work
        if at_head:
            target.appendleft(pending)
        else:
            target.append(pending)
        self.blocked_version = 0

    def waiting_jobs(self, depth: int) -> Iterator[PendingJob]:
        """Yield jobs in order: services, then up to ``depth`` others."""
        for queue, most in ((self.services, depth), (self.work, depth)):
            _drop_done_at_head(queue)
            seen = 0
            for pending in queue:
                if pending.is_done:
                    continue
                yield pending
                seen += 1
                if seen >= most:
                    break

    def note_blocked(self, version: int, depth: int) -> None:
        """Remember that none of the next jobs has room."""
        self.blocked_version = version
        requests = [pending.job.request for pending in self.waiting_jobs(depth)]
        least = (min(amounts) for amounts in zip(*requests))
        self.blocked_request = Resources(*least) if requests else ZERO

    def has_waiting(self) -> bool:
        """Return whether any job waits."""
        _drop_done_at_head(self.services)
        _drop_done_at_head(self.work)
        return bool(self.services or self.work)

    def oldest_wait_s(self, now: float) -> float:
        """Return how long the first job of each queue has waited at most."""
        waits = [
            now - queue[0].submitted_at for queue in (self.services, self.work) if queue
        ]
        return max(waits, default=0.0)

    def has_quota_for(self, request: Resources) -> bool:
        """Return whether the team's limit leaves room for a request."""
        if self.policy.withdrawn or self.policy.paused:
            return False
        limit = self.policy.limit
        return limit is None or self.used.plus(request).fits_in(limit)

    def is_over_limit(self) -> bool:
        """Return whether more runs than the limit allows."""
        limit = self.policy.limit
        return limit is not None and not self.used.fits_in(limit)

    def change_use(
        self, used: Resources, total: Resources, now: float, half_life_s: float
    ) -> None:
        """Set what the team runs, after decaying its past use up to ``now``."""
        self._decay(now, half_life_s)
        self.used = used
        self.share = used.largest_fraction_of(total)

    def order_key(
        self, now: float, history_weight: float, waiting_weight: float
    ) -> float:
        """Return the rank of the team; the lowest is served first.

        :param history_weight: how much past use counts beside present use.
        :param waiting_weight: how much a minute of waiting offsets a whole share.
        """
        weight = max(self.policy.weight, SMALLEST_WEIGHT)
        use = (self.share + history_weight * self.decayed_share) / weight
        if not waiting_weight:
            return use
        return use - waiting_weight * self.oldest_wait_s(now) / WAITING_SCALE_S

    def _decay(self, now: float, half_life_s: float) -> None:
        elapsed = max(0.0, now - self.decayed_at)
        keep = 0.5 ** (elapsed / half_life_s)
        self.decayed_share = self.decayed_share * keep + self.share * (1.0 - keep)
        self.decayed_at = now


def _drop_done_at_head(queue: deque[PendingJob]) -> None:
    while queue and queue[0].is_done:
        queue.popleft()

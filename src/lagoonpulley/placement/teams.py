"""Teams: resource use, queues and the key that orders them for placement."""

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

MIN_WEIGHT = 1e-6
WAITING_SCALE_S = 60.0


@dataclass(slots=True, eq=False)
class PendingJob:
    """A job with tasks that wait for placement.

    ``indexes`` are the tasks not yet placed. ``blocked_at`` is when the job was first
    tried without finding room, and ``preempted_at`` when tasks were last preempted
    for it.
    """

    job: Job
    indexes: deque[int]
    submitted_at: float
    cancelled: bool = False
    preempted_at: float = float("-inf")
    blocked_at: float | None = None

    @property
    def is_done(self) -> bool:
        """Whether the job is cancelled or has no waiting task."""
        return self.cancelled or not self.indexes


@dataclass(slots=True, eq=False)
class Team:
    """Resource use and queues of one team.

    ``share`` is the dominant share: the largest fraction of any resource that the
    team uses; ``decayed_share`` is its exponential moving average over time. None of
    the team's next jobs fitted at ``blocked_version`` of the worker table, and
    ``blocked_request`` is the least of each resource that any of them needs. A
    ``blocked_version`` of 0 means that the jobs are to be tried.
    """

    name: str
    policy: TeamPolicy = field(default_factory=lambda: TeamPolicy(1.0))
    used: Resources = ZERO
    share: float = 0.0
    decayed_share: float = 0.0
    decayed_at: float = 0.0
    blocked_version: int = 0
    blocked_request: Resources = ZERO
    service_queue: deque[PendingJob] = field(default_factory=deque)
    work_queue: deque[PendingJob] = field(default_factory=deque)

    def add(self, pending: PendingJob, at_head: bool = False) -> None:
        """Queue a job of any kind except urgent."""
        is_service = pending.job.kind is JobKind.SERVICE
        target = self.service_queue if is_service else self.work_queue
        if at_head:
            target.appendleft(pending)
        else:
            target.append(pending)
        self.blocked_version = 0

    def waiting_jobs(self, depth: int) -> Iterator[PendingJob]:
        """Yield waiting jobs: up to ``depth`` services, then up to ``depth`` others."""
        for queue, max_jobs in ((self.service_queue, depth), (self.work_queue, depth)):
            _drop_done_at_head(queue)
            seen = 0
            for pending in queue:
                if pending.is_done:
                    continue
                yield pending
                seen += 1
                if seen >= max_jobs:
                    break

    def record_blocked(self, version: int, depth: int) -> None:
        """Record that none of the next ``depth`` jobs of each queue fitted."""
        self.blocked_version = version
        requests = [pending.job.request for pending in self.waiting_jobs(depth)]
        least = (min(amounts) for amounts in zip(*requests))
        self.blocked_request = Resources(*least) if requests else ZERO

    def has_waiting(self) -> bool:
        """Return whether any job waits."""
        _drop_done_at_head(self.service_queue)
        _drop_done_at_head(self.work_queue)
        return bool(self.service_queue or self.work_queue)

    def oldest_wait_s(self, now: float) -> float:
        """Return the longest wait among the first jobs of both queues, in seconds."""
        waits = [
            now - queue[0].submitted_at
            for queue in (self.service_queue, self.work_queue)
            if queue
        ]
        return max(waits, default=0.0)

    def allows(self, request: Resources) -> bool:
        """Return whether the team is active and its limit allows one more request."""
        if self.policy.withdrawn or self.policy.paused:
            return False
        limit = self.policy.limit
        return limit is None or self.used.plus(request).fits_in(limit)

    def is_over_limit(self) -> bool:
        """Return whether the team uses more than its limit."""
        limit = self.policy.limit
        return limit is not None and not self.used.fits_in(limit)

    def set_usage(
        self, used: Resources, total: Resources, now: float, half_life_s: float
    ) -> None:
        """Set the present use, after updating the decayed past use up to ``now``."""
        self._decay(now, half_life_s)
        self.used = used
        self.share = used.largest_fraction_of(total)

    def order_key(
        self, now: float, history_weight: float, waiting_weight: float
    ) -> float:
        """Return the sort key of the team; the lowest is placed first.

        :param history_weight: factor of the decayed share, relative to the present one.
        :param waiting_weight: how much each minute of waiting lowers the key.
        """
        weight = max(self.policy.weight, MIN_WEIGHT)
        use = (self.share + history_weight * self.decayed_share) / weight
        if not waiting_weight:
            return use
        return use - waiting_weight * self.oldest_wait_s(now) / WAITING_SCALE_S

    def _decay(self, now: float, half_life_s: float) -> None:
        elapsed = max(0.0, now - self.decayed_at)
        retained = 0.5 ** (elapsed / half_life_s)
        self.decayed_share = self.decayed_share * retained + self.share * (
            1.0 - retained
        )
        self.decayed_at = now


def _drop_done_at_head(queue: deque[PendingJob]) -> None:
    while queue and queue[0].is_done:
        queue.popleft()

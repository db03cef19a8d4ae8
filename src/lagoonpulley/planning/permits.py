"""Permits from queue advisors: which workers may run a step, and until when."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..upstream.tasks import Advice
from ..workload.spec import StepKey

__all__ = ["PermitTable", "StepPermits"]

# A permit is not used this close to its expiry: it could expire in transit.
PERMIT_MARGIN_S = 0.15


@dataclass(slots=True, eq=False)
class StepPermits:
    """Advice about one step.

    ``known_ids`` are the workers that the advisor was asked about. ``allowed_ids``
    are those that may run the step; that answer is permanent. A start also needs a
    permit, which expires. ``next_request_at`` is the earliest time of the next
    request. ``request_postponed`` is set if the last one that was wanted could not be
    sent yet. Times are in monotonic seconds.
    """

    known_ids: set[str] = field(default_factory=set)
    allowed_ids: set[str] = field(default_factory=set)
    permit_by_worker_id: dict[str, str] = field(default_factory=dict)
    expires_by_worker_id: dict[str, float] = field(default_factory=dict)
    request_pending: bool = False
    request_postponed: bool = False
    next_request_at: float = 0.0

    def may_request(self, now: float) -> bool:
        """Return whether no answer is pending and none has just been refused."""
        return not self.request_pending and self.next_request_at <= now

    def is_paused(self, now: float) -> bool:
        """Return whether a refusal keeps the advisor from being asked at present."""
        return not self.request_pending and now < self.next_request_at

    def valid_ids(self, now: float) -> set[str]:
        """Return the workers whose permit is still usable."""
        return {
            worker_id
            for worker_id, expires_at in self.expires_by_worker_id.items()
            if expires_at > now
        }

    def is_valid(self, worker_id: str, now: float) -> bool:
        """Return whether a worker's permit is still usable."""
        return self.expires_by_worker_id.get(worker_id, float("-inf")) > now

    def may_run_on(self, worker_id: str) -> bool:
        """Return whether the advisor allows a worker, or was not asked about it."""
        return worker_id in self.allowed_ids or worker_id not in self.known_ids

    def refused_from(self, worker_id: str) -> float:
        """Return from when on a worker surely refuses its latest permit."""
        return self.expires_by_worker_id.get(worker_id, 0.0) + PERMIT_MARGIN_S

    def add_advice(self, asked: tuple[str, ...], advice: Advice, now: float) -> None:
        """Add an answer from the advisor.

        :param asked: the workers that the request named.
        :param now: monotonic time of the answer in seconds.
        """
        self.known_ids.update(asked)
        for worker_id, permit in advice.permit_by_worker_id.items():
            self.allowed_ids.add(worker_id)
            self.permit_by_worker_id[worker_id] = permit
            expires_at = now + advice.valid_s - PERMIT_MARGIN_S
            self.expires_by_worker_id[worker_id] = expires_at

    def forget_permit(self, worker_id: str) -> None:
        """Drop a permit that a worker refused."""
        self.expires_by_worker_id.pop(worker_id, None)


class PermitTable:
    """Permits by job and step, and the share of workers that each queue's steps get."""

    def __init__(self) -> None:
        self._by_step_by_job_id: dict[str, dict[StepKey, StepPermits]] = {}
        self._answers_by_queue: dict[str, tuple[int, int]] = {}

    def record_answer(self, queue: str, asked: int, allowed: int) -> None:
        """Record how many of the workers in a request the advisor allowed."""
        all_asked, all_allowed = self._answers_by_queue.get(queue, (0, 0))
        self._answers_by_queue[queue] = (all_asked + asked, all_allowed + allowed)

    def allowed_share(self, queue: str) -> float:
        """Return the share of workers that the advisor allows a step of a queue."""
        asked, allowed = self._answers_by_queue.get(queue, (0, 0))
        # Counts as if two workers had been asked about before, and one allowed.
        return (allowed + 1) / (asked + 2)

    def for_step(self, job_id: str, key: StepKey) -> StepPermits:
        """Return the permits of a step, creating an empty set on first use."""
        by_step = self._by_step_by_job_id.setdefault(job_id, {})
        if key not in by_step:
            by_step[key] = StepPermits()
        return by_step[key]

    def forget_step(self, job_id: str, key: StepKey) -> None:
        """Remove the permits of one step of a job."""
        self._by_step_by_job_id.get(job_id, {}).pop(key, None)

    def forget(self, job_id: str) -> None:
        """Remove the permits of all steps of a job."""
        self._by_step_by_job_id.pop(job_id, None)

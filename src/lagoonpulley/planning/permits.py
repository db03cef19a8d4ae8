"""Which workers a queue's advisor allows for a step, and until when."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..upstream.tasks import Advice
from ..workload.spec import StepKey

__all__ = ["PermitTable", "StepPermits"]

# A permit is not used in the last part of its time, while it travels.
PERMIT_MARGIN_S = 0.15


@dataclass(slots=True, eq=False)
class StepPermits:
    """What the advisor said about one step.

    ``known_ids`` are the workers that it was asked about, ``allowed_ids`` those that
    may run the step, which never changes. A permit is needed besides, and expires.
    """

    known_ids: set[str] = field(default_factory=set)
    allowed_ids: set[str] = field(default_factory=set)
    permit_by_worker_id: dict[str, str] = field(default_factory=dict)
    expires_by_worker_id: dict[str, float] = field(default_factory=dict)
    request_pending: bool = False
    next_request_at: float = 0.0

    def valid_ids(self, now: float) -> set[str]:
        """Return the workers with a permit that may still be used."""
        return {
            worker_id
            for worker_id, expires_at in self.expires_by_worker_id.items()
            if expires_at > now
        }

    def is_valid(self, worker_id: str, now: float) -> bool:
        """Return whether a worker's permit may still be used."""
        return self.expires_by_worker_id.get(worker_id, float("-inf")) > now

    def add_advice(self, asked: tuple[str, ...], advice: Advice, now: float) -> None:
        """Take in an answer received at ``now`` (monotonic seconds)."""
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
    """Permits by job and step."""

    def __init__(self) -> None:
        self._by_step_by_job_id: dict[str, dict[StepKey, StepPermits]] = {}

    def for_step(self, job_id: str, key: StepKey) -> StepPermits:
        """Return what is known of a step."""
        by_step = self._by_step_by_job_id.setdefault(job_id, {})
        if key not in by_step:
            by_step[key] = StepPermits()
        return by_step[key]

    def forget(self, job_id: str) -> None:
        """Drop what is known of a job's steps."""
        self._by_step_by_job_id.pop(job_id, None)

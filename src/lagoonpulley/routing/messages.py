"""Requests of the gateway to the router."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.job import Job
from ..peers.messages import JobStatus, JobVerdict

__all__ = ["RouteCancel", "RouteFetch", "RouteSubmit", "RouteSubmitResult"]


@dataclass(frozen=True, slots=True)
class RouteSubmit:
    """Submit jobs; a single one may be waited for.

    ``accept_s`` bounds the acceptance, ``wait_s`` the wait for the end, both in
    seconds.
    """

    jobs: tuple[Job, ...]
    accept_s: float
    wait_s: float


@dataclass(frozen=True, slots=True)
class RouteSubmitResult:
    """Verdict on each job, and the state of a single one that was waited for."""

    verdicts: tuple[JobVerdict, ...]
    status: JobStatus | None = None


@dataclass(frozen=True, slots=True)
class RouteFetch:
    """Ask for a job's state, waiting for its end up to ``wait_s`` seconds."""

    job_id: str
    team: str
    wait_s: float


@dataclass(frozen=True, slots=True)
class RouteCancel:
    """Cancel a job."""

    job_id: str
    team: str

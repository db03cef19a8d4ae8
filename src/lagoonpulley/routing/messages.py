"""Requests that the gateway sends to the routing role, and their results."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.job import Job
from ..peers.messages import JobStatus, JobVerdict

__all__ = ["RouteCancel", "RouteFetch", "RouteSubmit", "RouteSubmitResult"]


@dataclass(frozen=True, slots=True)
class RouteSubmit:
    """Submit jobs, and optionally wait for the end of a single job.

    ``accept_s`` is the timeout for acceptance and ``wait_s`` the timeout for the
    job's end, both in seconds.
    """

    jobs: tuple[Job, ...]
    accept_s: float
    wait_s: float


@dataclass(frozen=True, slots=True)
class RouteSubmitResult:
    """Verdict on each submitted job.

    ``status`` is the last known state of a single job that was waited for.
    """

    verdicts: tuple[JobVerdict, ...]
    status: JobStatus | None = None


@dataclass(frozen=True, slots=True)
class RouteFetch:
    """Read a job's state, waiting for its end for up to ``wait_s`` seconds.

    The result is a :class:`~lagoonpulley.peers.messages.JobAnswer`.
    """

    job_id: str
    team: str
    wait_s: float


@dataclass(frozen=True, slots=True)
class RouteCancel:
    """Cancel a job; the result is its state, as for :class:`RouteFetch`."""

    job_id: str
    team: str

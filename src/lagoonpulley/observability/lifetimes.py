"""Where the time of jobs goes, from the events of their decisions."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from .log_lines import moment_of

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["PHASES", "JobLifetime", "Phase", "lifetimes_from_events", "quantile"]


@dataclass(slots=True)
class JobLifetime:
    """Moments of one job, in seconds of the wall clocks of the entries that wrote."""

    job_id: str
    queue: str = ""
    submitted_at: float | None = None
    known_at: float | None = None
    placed_at: float | None = None
    last_end_at: float | None = None
    final_at: float | None = None
    state: str = ""
    runs: int = 0
    failed_runs: int = 0

    def take(self, event: dict[str, Any], at: float) -> None:
        """Take in one event of the job; events come in order of time."""
        match event["event"]:
            case "job_submitted":
                self.queue = event.get("queue", "")
                self.submitted_at = self.submitted_at or at
            case "job_known":
                self.queue = event.get("queue", "")
                self.known_at = self.known_at or at
            case "task_placed":
                self.placed_at = self.placed_at or at
                self.runs += 1
            case "task_ended":
                self.last_end_at = at
                self.failed_runs += event.get("end") != "done"
            case "job_final":
                self.final_at = at
                self.state = event.get("state", "")


@dataclass(frozen=True, slots=True)
class Phase:
    """A part of a job's time, between two of its moments."""

    name: str
    begins: str
    ends: str

    def length_s(self, job: JobLifetime) -> float | None:
        """Return how long the phase took, or ``None`` if a moment is missing."""
        begin = getattr(job, self.begins)
        end = getattr(job, self.ends)
        if begin is None or end is None:
            return None
        return max(0.0, end - begin)


PHASES = (
    Phase("known", "submitted_at", "known_at"),
    Phase("wait", "known_at", "placed_at"),
    Phase("run", "placed_at", "last_end_at"),
    Phase("final", "last_end_at", "final_at"),
    Phase("all", "submitted_at", "final_at"),
)


def lifetimes_from_events(events: Iterable[dict[str, Any]]) -> list[JobLifetime]:
    """Return the jobs that were accepted, in order of their first event."""
    timed = []
    for event in events:
        at = moment_of(event)
        if at is not None and isinstance(event.get("job"), str):
            timed.append((at, event))
    timed.sort(key=lambda pair: pair[0])
    by_id: dict[str, JobLifetime] = {}
    for at, event in timed:
        job_id = event["job"]
        by_id.setdefault(job_id, JobLifetime(job_id)).take(event, at)
    return [job for job in by_id.values() if job.submitted_at is not None]


def quantile(values: list[float], share: float) -> float:
    """Return the smallest value that is not below a share of all, which are sorted."""
    return values[max(0, math.ceil(share * len(values)) - 1)]

"""Computes timelines of jobs and the durations of their phases from logged events."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from .log_lines import timestamp_of

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["PHASES", "JobTimeline", "Phase", "timelines_from_events", "quantile"]


@dataclass(slots=True)
class JobTimeline:
    """Timestamps of one job, in seconds of the wall clock of the entry that logged."""

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

    def record(self, event: dict[str, Any], at: float) -> None:
        """Update the timeline with the next event; events must come in time order."""
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
    """A phase of a job, between the timestamps named by two attributes."""

    name: str
    begin_attribute: str
    end_attribute: str

    def duration_s(self, job: JobTimeline) -> float | None:
        """Return how long the phase took, or ``None`` if a timestamp is missing.

        Clocks of two entries may differ; a negative duration counts as zero.
        """
        begin = getattr(job, self.begin_attribute)
        end = getattr(job, self.end_attribute)
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


def timelines_from_events(events: Iterable[dict[str, Any]]) -> list[JobTimeline]:
    """Return the jobs whose acceptance was logged, in order of their first event."""
    timed = []
    for event in events:
        at = timestamp_of(event)
        if at is not None and isinstance(event.get("job"), str):
            timed.append((at, event))
    timed.sort(key=lambda pair: pair[0])
    by_id: dict[str, JobTimeline] = {}
    for at, event in timed:
        job_id = event["job"]
        by_id.setdefault(job_id, JobTimeline(job_id)).record(event, at)
    return [job for job in by_id.values() if job.submitted_at is not None]


def quantile(values: list[float], fraction: float) -> float:
    """Return the nearest-rank quantile.

    :param values: sorted values, at least one.
    :param fraction: rank as a fraction of all values, such as 0.95.
    """
    return values[max(0, math.ceil(fraction * len(values)) - 1)]

"""Jobs that are gone, runs of which a worker may still list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .worker_leases import MAX_COMMAND_DELAY_S, latest_lease_end

if TYPE_CHECKING:
    from ..workload.spec import StepSpec, TaskKey

__all__ = ["EndedJob", "EndedJobs"]

# Some 300 bytes each, and 300 for each step. More do not end while a run of them may
# still come to light.
MAX_REMEMBERED_JOBS = 10_000


@dataclass(frozen=True, slots=True)
class EndedJob:
    """What is remembered of a job without a record.

    ``steps`` is empty if an earlier owner ended the job: its final state tells the team
    only. ``kept_until`` is in monotonic seconds.
    """

    team: str
    steps: tuple[StepSpec, ...]
    kept_until: float

    def step_of(self, key: TaskKey) -> StepSpec | None:
        """Return the step of a task, ``None`` if it is not known."""
        return self.steps[key.step] if key.step < len(self.steps) else None


class EndedJobs:
    """Remembers jobs for as long as a late start may run one of their tasks.

    :param max_lease_s: longest lease of a worker, in seconds: a run that no owner has
        seen ends with it.
    """

    def __init__(self, max_lease_s: float) -> None:
        self._max_lease_s = max_lease_s
        # In the order in which they were remembered, so the oldest is the first.
        self._job_by_id: dict[str, EndedJob] = {}

    def remember(
        self, job_id: str, team: str, steps: tuple[StepSpec, ...], now: float
    ) -> None:
        """Remember a job of which nothing is started any more; forget old ones.

        A job that is remembered already stays as it is.

        :param now: monotonic time in seconds.
        """
        if job_id not in self._job_by_id:
            kept_until = latest_lease_end(now + MAX_COMMAND_DELAY_S, self._max_lease_s)
            self._job_by_id[job_id] = EndedJob(team, steps, kept_until)
        while self._job_by_id:
            oldest_id, oldest = next(iter(self._job_by_id.items()))
            is_full = len(self._job_by_id) > MAX_REMEMBERED_JOBS
            if not is_full and oldest.kept_until >= now:
                return
            del self._job_by_id[oldest_id]

    def find(self, job_id: str) -> EndedJob | None:
        """Return what is remembered of a job, ``None`` if nothing is."""
        return self._job_by_id.get(job_id)

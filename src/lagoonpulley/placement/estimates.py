"""Estimates of run times from finished tasks, per team and task class."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.job import Job

__all__ = ["RunTimeEstimates"]

LEARNING_RATE = 0.2
MIN_RATIO = 0.02
MAX_RATIO = 50.0


class RunTimeEstimates:
    """Corrects declared run times by the ratio observed for similar tasks.

    Tasks of the same team and task class share one exponential moving average of
    the ratio of actual to declared run time.
    """

    def __init__(self) -> None:
        self._ratio_by_class: dict[tuple[str, str], float] = {}

    def record_run_time(self, job: Job, run_time_s: float) -> None:
        """Update the average with the run time in seconds of a finished task."""
        if job.run_time_s <= 0:
            return
        ratio = run_time_s / job.run_time_s
        ratio = min(MAX_RATIO, max(MIN_RATIO, ratio))
        key = (job.team, job.task_class)
        known = self._ratio_by_class.get(key)
        if known is None:
            self._ratio_by_class[key] = ratio
        else:
            self._ratio_by_class[key] = known + LEARNING_RATE * (ratio - known)

    def run_time_s(self, job: Job) -> float:
        """Return the expected run time of a task in seconds."""
        ratio = self._ratio_by_class.get((job.team, job.task_class), 1.0)
        return job.run_time_s * ratio

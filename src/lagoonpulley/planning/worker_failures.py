"""Detection of workers whose tasks keep failing or stall.

A worker that fails every task frees its capacity at once and would attract more and
more tasks. The failures of a job that fails on several workers do not count against
the workers, so that one faulty job cannot exclude all of them.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..upstream.tasks import TaskRef
    from ..workload.spec import TaskKey

__all__ = ["StallDetector", "WorkerFailureTracker"]

# A worker is avoided after failures of this many jobs with no success in between.
MIN_FAILED_JOBS = 2
FIRST_AVOIDANCE_S = 3.0
MAX_AVOIDANCE_S = 24.0
# If a larger share of the workers fails tasks, the tasks are the likelier cause.
MAX_AVOIDED_SHARE = 0.35
MAX_TRACKED_ENTRIES = 1000
# Workers report progress in whole percent. A task that runs as estimated gains one
# percent in a hundredth of its estimate; one that is forty times slower still gains
# one within this share of it.
STALL_TIMEOUT_SHARE = 0.4
MIN_STALL_TIMEOUT_S = 0.5
MAX_STALL_TIMEOUT_S = 1.5


@dataclass(slots=True, eq=False)
class _FailureHistory:
    """Recent failures on one worker.

    ``avoidance_count`` lengthens each further avoidance until a task succeeds.
    """

    failed_job_ids: set[str] = field(default_factory=set)
    avoidance_count: int = 0


class WorkerFailureTracker:
    """Decides when a worker gets no more tasks, and for how long."""

    def __init__(self) -> None:
        self._history_by_worker_id: dict[str, _FailureHistory] = {}
        self._avoided_until_by_id: dict[str, float] = {}
        self._failing_jobs = _FailingJobs()

    def record_success(self, worker_id: str) -> None:
        """Clear the failures of a worker on which a task has succeeded."""
        self._history_by_worker_id.pop(worker_id, None)

    def record_failure(
        self, worker_id: str, ref: TaskRef, now: float, worker_count: int
    ) -> float | None:
        """Record a failed task.

        :param now: monotonic time in seconds.
        :param worker_count: how many workers there are.
        :returns: monotonic time until which to avoid the worker, or ``None``.
        """
        if self._failing_jobs.record_failure(worker_id, ref):
            for other in self._history_by_worker_id.values():
                other.failed_job_ids.discard(ref.job_id)
            return None
        history = self._history_by_worker_id.setdefault(worker_id, _FailureHistory())
        history.failed_job_ids.add(ref.job_id)
        if len(history.failed_job_ids) < MIN_FAILED_JOBS:
            return None
        return self._avoid(worker_id, history, now, worker_count)

    def record_stall(
        self, worker_id: str, now: float, worker_count: int
    ) -> float | None:
        """Record a stalled task; parameters and result as in :meth:`record_failure`."""
        history = self._history_by_worker_id.setdefault(worker_id, _FailureHistory())
        return self._avoid(worker_id, history, now, worker_count)

    def forget(self, worker_id: str) -> None:
        """Remove the history of a worker that is permanently lost."""
        self._history_by_worker_id.pop(worker_id, None)
        self._avoided_until_by_id.pop(worker_id, None)

    def _avoid(
        self, worker_id: str, history: _FailureHistory, now: float, worker_count: int
    ) -> float | None:
        history.failed_job_ids.clear()
        others = 0
        for other_id, until in self._avoided_until_by_id.items():
            if other_id != worker_id and until > now:
                others += 1
        if others + 1 > worker_count * MAX_AVOIDED_SHARE:
            return None
        duration_s = FIRST_AVOIDANCE_S * 2**history.avoidance_count
        history.avoidance_count += 1
        until = now + min(duration_s, MAX_AVOIDANCE_S)
        self._avoided_until_by_id[worker_id] = until
        return until


class _FailingJobs:
    """The latest jobs of which one task has failed on two different workers."""

    def __init__(self) -> None:
        self._job_ids: OrderedDict[str, None] = OrderedDict()
        self._worker_id_by_task: OrderedDict[tuple[str, TaskKey], str] = OrderedDict()

    def record_failure(self, worker_id: str, ref: TaskRef) -> bool:
        """Record the failure of a task; return whether its job is the cause."""
        if ref.job_id in self._job_ids:
            return True
        task = (ref.job_id, ref.key)
        if self._worker_id_by_task.setdefault(task, worker_id) != worker_id:
            self._job_ids[ref.job_id] = None
        _drop_oldest(self._worker_id_by_task)
        _drop_oldest(self._job_ids)
        return ref.job_id in self._job_ids


def _drop_oldest(entries: OrderedDict) -> None:
    while len(entries) > MAX_TRACKED_ENTRIES:
        entries.popitem(last=False)


@dataclass(slots=True, eq=False)
class StallDetector:
    """Detects that the progress of one run has stopped.

    ``percent`` is the progress last reported, -1 before the first report;
    ``unchanged_since`` is when it last changed, in monotonic seconds.
    """

    percent: int = -1
    unchanged_since: float = 0.0

    def record_progress(self, percent: int, now: float, estimate_s: float) -> bool:
        """Record the progress that a worker reports; return whether it has stalled.

        :param now: monotonic time in seconds.
        :param estimate_s: the declared run time of the task in seconds.
        """
        if percent != self.percent:
            self.percent = percent
            self.unchanged_since = now
        timeout_s = max(MIN_STALL_TIMEOUT_S, estimate_s * STALL_TIMEOUT_SHARE)
        return percent < 100 and now - self.unchanged_since > min(
            timeout_s, MAX_STALL_TIMEOUT_S
        )

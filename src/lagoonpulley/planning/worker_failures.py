"""Workers on which task after task fails or stands still.

Answers the load of a worker that fails all that it starts: its room is free again
at once, so that it would attract more and more work. Jobs that fail wherever they run
are told apart from it, so that they cannot have every worker avoided.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..upstream.tasks import TaskRef
    from ..workload.spec import TaskKey

__all__ = ["StallDetector", "WorkerFailureTracker"]

# Failed tasks of so many jobs in a row, with no success between them.
JOBS_TO_SUSPECT = 2
FIRST_AVOIDANCE_S = 3.0
LONGEST_AVOIDANCE_S = 24.0
# Where more of the workers fail tasks, the tasks are the likelier cause.
MOST_AVOIDED_SHARE = 0.35
MOST_REMEMBERED = 1000
# Progress is listed in percent: a task that runs as estimated rises by one in a
# hundredth of its time, one that runs forty times slower within this share of it.
STALL_SHARE = 0.4
SHORTEST_STALL_S = 0.5
LONGEST_STALL_S = 1.5


@dataclass(slots=True, eq=False)
class _Suspect:
    """What speaks against one worker."""

    failed_job_ids: set[str] = field(default_factory=set)
    avoidances: int = 0


class WorkerFailureTracker:
    """Says for how long a worker should get no more tasks."""

    def __init__(self) -> None:
        self._by_worker_id: dict[str, _Suspect] = {}
        self._avoided_until_by_id: dict[str, float] = {}
        self._faulty_jobs = _FaultyJobs()

    def record_success(self, worker_id: str) -> None:
        """A task on the worker is done."""
        self._by_worker_id.pop(worker_id, None)

    def record_failure(
        self, worker_id: str, ref: TaskRef, now: float, worker_count: int
    ) -> float | None:
        """A task failed; return until when to avoid the worker, if at all.

        :param now: monotonic time in seconds.
        :param worker_count: how many workers there are.
        """
        if self._faulty_jobs.record_failure(worker_id, ref):
            for other in self._by_worker_id.values():
                other.failed_job_ids.discard(ref.job_id)
            return None
        suspect = self._by_worker_id.setdefault(worker_id, _Suspect())
        suspect.failed_job_ids.add(ref.job_id)
        if len(suspect.failed_job_ids) < JOBS_TO_SUSPECT:
            return None
        return self._avoid(worker_id, suspect, now, worker_count)

    def record_stall(
        self, worker_id: str, now: float, worker_count: int
    ) -> float | None:
        """A task stands still; return until when to avoid the worker, if at all."""
        suspect = self._by_worker_id.setdefault(worker_id, _Suspect())
        return self._avoid(worker_id, suspect, now, worker_count)

    def forget(self, worker_id: str) -> None:
        """Forget a worker that is gone or was started again."""
        self._by_worker_id.pop(worker_id, None)
        self._avoided_until_by_id.pop(worker_id, None)

    def _avoid(
        self, worker_id: str, suspect: _Suspect, now: float, worker_count: int
    ) -> float | None:
        suspect.failed_job_ids.clear()
        others = 0
        for other_id, until in self._avoided_until_by_id.items():
            if other_id != worker_id and until > now:
                others += 1
        if others + 1 > worker_count * MOST_AVOIDED_SHARE:
            return None
        length_s = FIRST_AVOIDANCE_S * 2**suspect.avoidances
        suspect.avoidances += 1
        until = now + min(length_s, LONGEST_AVOIDANCE_S)
        self._avoided_until_by_id[worker_id] = until
        return until


class _FaultyJobs:
    """Jobs of which one task has failed on two workers, the latest ones."""

    def __init__(self) -> None:
        self._job_ids: OrderedDict[str, None] = OrderedDict()
        self._worker_id_by_task: OrderedDict[tuple[str, TaskKey], str] = OrderedDict()

    def record_failure(self, worker_id: str, ref: TaskRef) -> bool:
        """Take in the failure of a task; return whether the job is to blame."""
        if ref.job_id in self._job_ids:
            return True
        task = (ref.job_id, ref.key)
        if self._worker_id_by_task.setdefault(task, worker_id) != worker_id:
            self._job_ids[ref.job_id] = None
        _shorten(self._worker_id_by_task)
        _shorten(self._job_ids)
        return ref.job_id in self._job_ids


def _shorten(remembered: OrderedDict) -> None:
    while len(remembered) > MOST_REMEMBERED:
        remembered.popitem(last=False)


@dataclass(slots=True, eq=False)
class StallDetector:
    """Progress of one run; ``since`` is when it last rose, in monotonic seconds."""

    percent: int = -1
    since: float = 0.0

    def record_progress(self, percent: int, now: float, estimate_s: float) -> bool:
        """Take in the progress that a worker lists; return whether it stands still.

        :param estimate_s: how long the task was said to take, in seconds.
        """
        if percent != self.percent:
            self.percent = percent
            self.since = now
        patience_s = max(SHORTEST_STALL_S, estimate_s * STALL_SHARE)
        return percent < 100 and now - self.since > min(patience_s, LONGEST_STALL_S)

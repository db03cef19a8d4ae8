"""Workers on which task after task fails or stands still.

Answers the load of a worker that fails all that it starts: its room is free again
at once, so that it would attract more and more work.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["StallWatch", "Suspicion"]

# Failed tasks of so many jobs in a row, with no success between them.
JOBS_TO_SUSPECT = 2
FIRST_AVOIDANCE_S = 3.0
LONGEST_AVOIDANCE_S = 24.0
# Progress is listed in percent; the longest tasks rise by one within this time.
STALL_S = 1.5


@dataclass(slots=True, eq=False)
class _Suspect:
    """What speaks against one worker."""

    failed_job_ids: set[str] = field(default_factory=set)
    avoidances: int = 0


class Suspicion:
    """Says for how long a worker should get no more tasks."""

    def __init__(self) -> None:
        self._by_worker_id: dict[str, _Suspect] = {}

    def note_success(self, worker_id: str) -> None:
        """A task on the worker is done."""
        self._by_worker_id.pop(worker_id, None)

    def note_failure(self, worker_id: str, job_id: str, now: float) -> float | None:
        """A task failed; return until when to avoid the worker, if at all.

        :param now: monotonic time in seconds.
        """
        suspect = self._by_worker_id.setdefault(worker_id, _Suspect())
        suspect.failed_job_ids.add(job_id)
        if len(suspect.failed_job_ids) < JOBS_TO_SUSPECT:
            return None
        return self._avoid(suspect, now)

    def note_stall(self, worker_id: str, now: float) -> float:
        """A task stands still; return until when to avoid the worker."""
        suspect = self._by_worker_id.setdefault(worker_id, _Suspect())
        return self._avoid(suspect, now)

    def forget(self, worker_id: str) -> None:
        """Forget a worker that is gone or was started again."""
        self._by_worker_id.pop(worker_id, None)

    @staticmethod
    def _avoid(suspect: _Suspect, now: float) -> float:
        length_s = FIRST_AVOIDANCE_S * 2**suspect.avoidances
        suspect.avoidances += 1
        suspect.failed_job_ids.clear()
        return now + min(length_s, LONGEST_AVOIDANCE_S)


@dataclass(slots=True, eq=False)
class StallWatch:
    """Progress of one run; ``since`` is when it last rose, in monotonic seconds."""

    percent: int = -1
    since: float = 0.0

    def note(self, percent: int, now: float) -> bool:
        """Take in the progress that a worker lists; return whether it stands still."""
        if percent != self.percent:
            self.percent = percent
            self.since = now
        return percent < 100 and now - self.since > STALL_S

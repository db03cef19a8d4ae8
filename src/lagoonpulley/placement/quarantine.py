"""Quarantine of workers on which tasks of several jobs fail in a row."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.job import Job
    from .workers import Worker, WorkerTable

__all__ = ["Quarantine"]

FAILED_JOBS_TO_QUARANTINE = 3
FIRST_QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 600.0


class Quarantine:
    """Excludes workers on which tasks of several jobs failed without a success.

    After the quarantine a worker gets one repeatable task at a time as a probe,
    until one finishes. Each further failure doubles the quarantine, up to a maximum.
    """

    def __init__(self, worker_table: WorkerTable) -> None:
        self._worker_table = worker_table
        self._ends_by_worker_id: dict[str, float] = {}

    def record_failure(self, worker: Worker, job_id: str, now: float) -> None:
        """Record a failed task, and quarantine the worker after several jobs."""
        worker.failed_job_ids.add(job_id)
        if len(worker.failed_job_ids) < FAILED_JOBS_TO_QUARANTINE:
            return
        worker.suspected = True
        self._worker_table.mark_changed(worker)
        length_s = FIRST_QUARANTINE_S * 2**worker.quarantine_count
        worker.quarantine_count = min(worker.quarantine_count + 1, 10)
        worker.quarantined_until = now + min(length_s, MAX_QUARANTINE_S)
        self._ends_by_worker_id[worker.id] = worker.quarantined_until

    def record_success(self, worker: Worker) -> None:
        """Clear the failures of a worker that finished a task, and its quarantine."""
        if not worker.failed_job_ids:
            return
        worker.failed_job_ids.clear()
        worker.suspected = False
        self._worker_table.mark_changed(worker)
        worker.quarantine_count = 0
        worker.quarantined_until = 0.0
        self._ends_by_worker_id.pop(worker.id, None)
        self._worker_table.mark_freed(worker)

    def admits(self, worker: Worker, job: Job, now: float) -> bool:
        """Return whether a task of the job may be placed on the worker."""
        if len(worker.failed_job_ids) < FAILED_JOBS_TO_QUARANTINE:
            return True
        if worker.quarantined_until > now:
            return False
        return job.repeatable and not worker.task_ids

    def release_ended(self, now: float) -> None:
        """Mark workers whose quarantine ended as freed, so that placement retries."""
        for worker_id, ends_at in list(self._ends_by_worker_id.items()):
            if ends_at > now:
                continue
            del self._ends_by_worker_id[worker_id]
            worker = self._worker_table.by_id.get(worker_id)
            if worker is not None:
                self._worker_table.mark_freed(worker)

    def quarantined(self, now: float) -> list[str]:
        """Return the ids of the workers in quarantine."""
        return [
            worker_id
            for worker_id, ends_at in self._ends_by_worker_id.items()
            if ends_at > now
        ]

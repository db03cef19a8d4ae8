"""Which tasks may have caused the crash of a worker, and how sure that is."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..upstream.tasks import TaskRef
    from .worker_state import TrackedRun

__all__ = ["blame_by_run"]

# A worker that lives this long after it has started a task is not crashed by its start.
SETTLED_AFTER_S = 0.3


def blame_by_run(
    runs: Iterable[TrackedRun], alive_at: float | None
) -> dict[TaskRef, float]:
    """Return the blame of each run that a worker had when it crashed.

    The blame is shared by the jobs with a run that had started shortly before; other
    runs have none.

    :param alive_at: when the worker was last known to live, in monotonic seconds;
        ``None`` if it never answered this owner.
    """
    started = [run for run in runs if run.has_run]
    recent = [run for run in started if not _is_settled(run, alive_at)]
    jobs = len({run.ref.job_id for run in recent})
    blame = {run.ref: 0.0 for run in started}
    for run in recent:
        blame[run.ref] = 1.0 / jobs
    return blame


def _is_settled(run: TrackedRun, alive_at: float | None) -> bool:
    if run.start_resolved_at is None or alive_at is None:
        return False
    return alive_at - run.start_resolved_at >= SETTLED_AFTER_S

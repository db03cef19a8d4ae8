"""Computes how much of a team's limit its pending jobs need."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..limits.allotments import PARTS_PER_LIMIT, parts_needed
from ..model.job import JobKind

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..model.resources import Resources
    from ..placement.core import PlacementCore
    from ..placement.teams import PendingJob
    from ..runtime.role import Now

__all__ = ["AllotmentNeed", "allotment_needs", "team_need"]

MAX_JOBS_EXAMINED = 4


@dataclass(frozen=True, slots=True)
class AllotmentNeed:
    """Total parts that a team needs for a job that has waited since ``since``.

    ``since`` is in wall-clock seconds, because data centres compare it.
    """

    team: str
    parts: int
    since: float


def allotment_needs(
    core: PlacementCore,
    limit_by_team: Mapping[str, Resources],
    parts_of: Callable[[str], int],
    now: Now,
) -> list[AllotmentNeed]:
    """Return the needs of teams whose allotment is too small for a pending job."""
    needs = []
    for name, limit in limit_by_team.items():
        need = team_need(core, name, limit, now)
        if need is not None and need.parts > parts_of(name):
            needs.append(need)
    return needs


def team_need(
    core: PlacementCore, name: str, limit: Resources, now: Now
) -> AllotmentNeed | None:
    """Return the need of a team's oldest pending job, or ``None`` without one.

    Only urgent jobs and the first :data:`MAX_JOBS_EXAMINED` jobs of each queue are
    examined. Jobs larger than the team's limit are left out: the limit may have been
    lowered since their acceptance, and no allotment could let them run.
    """
    team = core.team_by_name.get(name)
    if team is None or not core.waiting_tasks_of(name):
        return None
    waiting = [
        *team.waiting_jobs(MAX_JOBS_EXAMINED),
        *core.waiting_urgent_jobs_of(name),
    ]
    waiting = [item for item in waiting if _request_of(item).fits_in(limit)]
    if not waiting:
        return None
    oldest = min(waiting, key=lambda pending: pending.submitted_at)
    use = team.used.plus(_request_of(oldest))
    parts = parts_needed(use, limit)
    if parts > PARTS_PER_LIMIT:
        # The job does not fit in the limit beside the running tasks; request all
        # parts so that it fits as soon as enough of them end.
        parts = PARTS_PER_LIMIT
    return AllotmentNeed(name, parts, now.wall - (now.mono - oldest.submitted_at))


def _request_of(pending: PendingJob) -> Resources:
    if pending.job.kind is not JobKind.GANG:
        return pending.job.request
    return pending.job.request.times(len(pending.indexes))

"""How much of a team's limit its waiting jobs need."""

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

__all__ = ["Need", "allotment_needs", "needs_of_team"]

JOBS_LOOKED_AT = 4


@dataclass(frozen=True, slots=True)
class Need:
    """Parts that a team needs in all, for a job that waits since ``since``.

    ``since`` is on the wall clock, in seconds, so that data centres can compare.
    """

    team: str
    parts: int
    since: float


def allotment_needs(
    core: PlacementCore,
    limit_by_team: Mapping[str, Resources],
    parts_of: Callable[[str], int],
    now: Now,
) -> list[Need]:
    """Return the needs of all teams that hold too little for a waiting job."""
    needs = []
    for name, limit in limit_by_team.items():
        need = needs_of_team(core, name, limit, now)
        if need is not None and need.parts > parts_of(name):
            needs.append(need)
    return needs


def needs_of_team(
    core: PlacementCore, name: str, limit: Resources, now: Now
) -> Need | None:
    """Return what a team needs for its oldest waiting job, if any waits.

    A job that is larger than the whole limit, which may have been lowered since
    its acceptance, needs nothing: no allotment could let it run.
    """
    team = core.team_by_name.get(name)
    if team is None or not core.waiting_tasks_of(name):
        return None
    waiting = [*team.waiting_jobs(JOBS_LOOKED_AT), *core.waiting_urgent_jobs_of(name)]
    waiting = [item for item in waiting if _request_of(item).fits_in(limit)]
    if not waiting:
        return None
    oldest = min(waiting, key=lambda pending: pending.submitted_at)
    use = team.used.plus(_request_of(oldest))
    parts = parts_needed(use, limit)
    if parts > PARTS_PER_LIMIT:
        # The whole limit does not hold it beside what runs; hold all there is.
        parts = PARTS_PER_LIMIT
    return Need(name, parts, now.wall - (now.mono - oldest.submitted_at))


def _request_of(pending: PendingJob) -> Resources:
    if pending.job.kind is not JobKind.GANG:
        return pending.job.request
    return pending.job.request.times(len(pending.indexes))

"""Applies team shares and limits in one group.

A team's global limit applies to its usage in all data centres together; each data
centre holds an allotment of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..limits.allotments import PARTS_PER_LIMIT, parts_needed
from ..limits.messages import AllotmentNeeded, ReleaseParts
from ..model.resources import Resources
from ..placement.events import TeamsChanged
from .needs import allotment_needs, team_need
from .policies import team_policies

if TYPE_CHECKING:
    from ..configuration.document import ConfigurationDocument
    from ..model.job import Job
    from .context import GroupContext

__all__ = ["GroupLimits"]

RELEASE_PAUSE_S = 5.0


class GroupLimits:
    """Keeps the placement core's team policies up to date.

    The capacity of workers on which a previous owner may still run uncounted tasks
    is subtracted from every limit.
    """

    def __init__(self, group: GroupContext) -> None:
        self._group = group
        self._document: ConfigurationDocument | None = None
        self._parts_by_team: dict[str, int] = {}
        self._default_parts = 0
        self._paused_until_by_team: dict[str, float] = {}

    def refresh(self) -> None:
        """Reapply policies that change with time, and request missing allotments."""
        if self._paused_until_by_team or self._group.has_never_fenced_workers():
            self.apply_policies()
        self.request_allotments()

    def set_configuration(self, document: ConfigurationDocument) -> None:
        """Apply the shares and limits of a configuration."""
        self._document = document
        self.apply_policies()
        self._group.request_decisions()

    def apply_policies(self) -> None:
        """Update the core with the current shares and limits of all teams."""
        if self._document is None:
            return
        policies = team_policies(
            self._document,
            self._parts_by_team,
            self._default_parts,
            self._uncounted_capacities(),
            self._paused_teams(),
        )
        self._group.core.apply(TeamsChanged(policies), self._group.now.mono)

    def _paused_teams(self) -> set[str]:
        for team, until in list(self._paused_until_by_team.items()):
            if self._group.now.mono >= until:
                del self._paused_until_by_team[team]
        return set(self._paused_until_by_team)

    def set_allotments(self, parts_by_team: dict[str, int]) -> None:
        """Apply the allotments of this data centre, in parts of each team's limit."""
        self._parts_by_team = dict(parts_by_team)
        self._default_parts = PARTS_PER_LIMIT // len(self._group.settings.data_centres)
        self.apply_policies()
        self._group.request_decisions()

    def request_allotments(self) -> None:
        """Request the parts of limits that pending jobs need."""
        for need in allotment_needs(
            self._group.core, self._global_limits(), self._parts_of, self._group.now
        ):
            needed = AllotmentNeeded(
                self._group.epoch, need.team, need.parts, need.since
            )
            self._group.emit("limits", needed)

    def release_parts(self, release_request: ReleaseParts) -> int:
        """Release unused parts of a team's limit; return how many.

        Nothing is released while a job has waited here at least as long as the
        requester's. If only younger jobs wait here, the team's placements pause for
        :data:`RELEASE_PAUSE_S`, so that its usage can only fall.
        """
        limit = self._global_limits().get(release_request.team)
        team = self._group.core.team_by_name.get(release_request.team)
        if limit is None or self._group.is_inactive:
            return 0
        used = team.used if team is not None else Resources()
        for capacity in self._uncounted_capacities():
            used = used.plus(capacity)
        own_need = team_need(
            self._group.core, release_request.team, limit, self._group.now
        )
        if own_need is not None and own_need.since <= release_request.since:
            return 0
        if own_need is not None:
            self._paused_until_by_team[release_request.team] = (
                self._group.now.mono + RELEASE_PAUSE_S
            )
        held = self._parts_of(release_request.team)
        released = max(0, min(release_request.parts, held - parts_needed(used, limit)))
        self._parts_by_team[release_request.team] = held - released
        self.apply_policies()
        return released

    def _parts_of(self, team: str) -> int:
        return self._parts_by_team.get(team, self._default_parts)

    def _global_limits(self) -> dict[str, Resources]:
        if self._document is None:
            return {}
        limits = {
            name: entry.limit.to_resources()
            for name, entry in self._document.teams.items()
        }
        return {name: limit for name, limit in limits.items() if limit is not None}

    def _uncounted_capacities(self) -> list[Any]:
        """Return the capacities of workers that may run unknown tasks.

        These workers have not been fenced in this epoch, and leases that a previous
        owner renewed may not have expired.
        """
        if self._group.epoch <= 1:
            return []
        return [
            link.capacity
            for link in self._group.link_by_worker_id.values()
            if not link.ever_fenced
            and self._group.now.mono < self._group.leases_expire_by(link)
        ]

    def global_limit_allows(self, job: Job, tasks: int) -> bool:
        """Return whether tasks of a job fit in the team's global limit."""
        if self._document is None or job.team not in self._document.teams:
            return False
        limit = self._document.teams[job.team].limit.to_resources()
        return limit is None or job.request.times(tasks).fits_in(limit)

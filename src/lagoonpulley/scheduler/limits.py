"""Shares and limits of a group: configuration, allotments and what is uncounted."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..limits.allotments import PARTS_PER_LIMIT, parts_needed
from ..limits.messages import AllotmentNeeded, ReleaseParts
from ..model.resources import Resources
from ..placement.events import TeamsChanged
from .needs import allotment_needs, needs_of_team
from .policies import team_policies

if TYPE_CHECKING:
    from ..configuration.document import ConfigurationDocument
    from ..model.job import Job
    from .context import GroupContext

__all__ = ["GroupLimits"]

PAUSE_FOR_OTHERS_S = 5.0


class GroupLimits:
    """What each team may run in this data centre, as the core is told."""

    def __init__(self, group: GroupContext) -> None:
        self._group = group
        self._document: ConfigurationDocument | None = None
        self._parts_by_team: dict[str, int] = {}
        self._default_parts = 0
        self._paused_until_by_team: dict[str, float] = {}

    def refresh(self) -> None:
        """Look again at what depends on time alone."""
        if self._paused_until_by_team or self._group.has_unknown_workers():
            self.push()
        self.ask_for_allotments()

    def set_configuration(self, document: ConfigurationDocument) -> None:
        """Take in shares and limits."""
        self._document = document
        self.push()
        self._group.wants_decisions()

    def push(self) -> None:
        """Tell the core the shares and limits that hold here now."""
        if self._document is None:
            return
        policies = team_policies(
            self._document,
            self._parts_by_team,
            self._default_parts,
            self._capacity_of_unknown_workers(),
            self._paused_teams(),
        )
        self._group.core.apply(TeamsChanged(policies), self._group.now.mono)

    def _paused_teams(self) -> set[str]:
        for team, until in list(self._paused_until_by_team.items()):
            if self._group.now.mono >= until:
                del self._paused_until_by_team[team]
        return set(self._paused_until_by_team)

    def set_allotments(self, parts_by_team: dict[str, int]) -> None:
        """Take in the parts of limits that this data centre holds."""
        self._parts_by_team = dict(parts_by_team)
        self._default_parts = PARTS_PER_LIMIT // len(self._group.settings.data_centres)
        self.push()
        self._group.wants_decisions()

    def ask_for_allotments(self) -> None:
        """Ask for parts of limits that waiting jobs need."""
        for need in allotment_needs(
            self._group.core, self._whole_limits(), self._parts_of, self._group.now
        ):
            needed = AllotmentNeeded(
                self._group.epoch, need.team, need.parts, need.since
            )
            self._group.emit("limits", needed)

    def give_up(self, wish: ReleaseParts) -> int:
        """Do without parts that are not in use; return how many.

        A job that waits here longer than the asker's keeps what it has; otherwise
        the team gets no new task for a moment, so that its use can only fall.
        """
        limit = self._whole_limits().get(wish.team)
        team = self._group.core.team_by_name.get(wish.team)
        if limit is None or self._group.is_closed:
            return 0
        used = team.used if team is not None else Resources()
        for capacity in self._capacity_of_unknown_workers():
            used = used.plus(capacity)
        own_need = needs_of_team(self._group.core, wish.team, limit, self._group.now)
        if own_need is not None and own_need.since <= wish.since:
            return 0
        if own_need is not None:
            self._paused_until_by_team[wish.team] = (
                self._group.now.mono + PAUSE_FOR_OTHERS_S
            )
        held = self._parts_of(wish.team)
        given = max(0, min(wish.parts, held - parts_needed(used, limit)))
        self._parts_by_team[wish.team] = held - given
        self.push()
        return given

    def _parts_of(self, team: str) -> int:
        return self._parts_by_team.get(team, self._default_parts)

    def _whole_limits(self) -> dict[str, Resources]:
        if self._document is None:
            return {}
        limits = {
            name: entry.limit.to_resources()
            for name, entry in self._document.teams.items()
        }
        return {name: limit for name, limit in limits.items() if limit is not None}

    def _capacity_of_unknown_workers(self) -> list[Any]:
        """Return the capacities on which an earlier owner may still run tasks."""
        if self._group.epoch <= 1:
            return []
        return [
            link.capacity
            for link in self._group.link_by_worker_id.values()
            if not link.ever_fenced
            and self._group.now.mono < self._group.leases_expire_by(link)
        ]

    def whole_limit_allows(self, job: Job, tasks: int) -> bool:
        """Return whether the team's limit over all data centres holds a job."""
        if self._document is None or job.team not in self._document.teams:
            return False
        limit = self._document.teams[job.team].limit.to_resources()
        return limit is None or job.request.times(tasks).fits_in(limit)

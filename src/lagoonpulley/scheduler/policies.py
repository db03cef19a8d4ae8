"""Computes the shares and limits of teams in one data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..limits.allotments import PARTS_PER_LIMIT
from ..model.resources import Resources
from ..placement.events import TeamPolicy

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from ..configuration.document import ConfigurationDocument

__all__ = ["team_policies"]


def team_policies(
    document: ConfigurationDocument,
    parts_by_team: Mapping[str, int],
    default_parts: int,
    uncounted_capacities: Iterable[Resources],
    paused_teams: Collection[str],
) -> dict[str, TeamPolicy]:
    """Return the policy of each team in this data centre.

    :param parts_by_team: the data centre's allotment of each team's limit, in
        parts of :data:`PARTS_PER_LIMIT`.
    :param default_parts: the allotment of teams missing from ``parts_by_team``.
    :param uncounted_capacities: capacities of workers on which a previous owner may
        still run tasks that are not counted; subtracted from every limit.
    :param paused_teams: teams whose placements are paused.
    """
    unknown = Resources()
    for capacity in uncounted_capacities:
        unknown = unknown.plus(capacity)
    policies = {}
    for name, team in document.teams.items():
        parts = parts_by_team.get(name, default_parts)
        limit = _allotted(team.limit.to_resources(), parts, unknown)
        policies[name] = TeamPolicy(
            weight=team.share, limit=limit, paused=name in paused_teams
        )
    return policies


def _allotted(
    limit: Resources | None, parts: int, unknown: Resources
) -> Resources | None:
    if limit is None:
        return None
    return Resources(
        *(
            max(0, amount * parts // PARTS_PER_LIMIT - uncounted)
            for amount, uncounted in zip(limit, unknown)
        )
    )

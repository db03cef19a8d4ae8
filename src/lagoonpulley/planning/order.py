"""Order in which waiting steps are considered when there is not room for all.

The load that it answers: more work than the workers can do, for seconds or hours,
part of it from teams that use more than their share.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..policy.values import TeamLimits
    from .cell import Cell
    from .demand import Demand
    from .team_use import TeamUse

__all__ = ["Punctuality", "SharePolicy", "order_demands", "punctuality"]

# After this many times its objective, a job's caller has no more use for it.
USELESS_AFTER_OBJECTIVES = 3.0
# After this many, a job is considered as if it were in time, so that none waits for
# ever behind those that can still be in time.
AGED_AFTER_OBJECTIVES = 12.0
# Teams are compared by how many of these parts of their share they use beyond it.
EXCESS_STEPS_PER_SHARE = 32
MAX_EXCESS_STEPS = 256
MIN_WEIGHT = 1e-6


class Punctuality(IntEnum):
    """Whether a job can still serve its caller; lower values go first."""

    IN_TIME = 0
    LATE = 1
    USELESS = 2


def punctuality(demand: Demand, now: float) -> Punctuality:
    """Return whether a job can end in time if the step starts now.

    :param now: wall time in seconds.
    """
    objective_s = demand.due_at - demand.scheduled_at
    age_s = now - demand.scheduled_at
    if age_s > AGED_AFTER_OBJECTIVES * objective_s:
        return Punctuality.IN_TIME
    ends_after_s = age_s + demand.remaining_s
    if ends_after_s <= objective_s:
        return Punctuality.IN_TIME
    if ends_after_s <= USELESS_AFTER_OBJECTIVES * objective_s:
        return Punctuality.LATE
    return Punctuality.USELESS


class SharePolicy:
    """Tells by how much teams exceed their weighted share of the cell.

    A team's share is its part of the weights of all teams that have work. Past use
    above the share counts as well, up to ``max_past_excess`` shares: it slows a team
    down while others wait, and never stops it.

    :param max_past_excess: 0 to disregard past use.
    """

    def __init__(
        self,
        use: TeamUse,
        limits_by_team: dict[str, TeamLimits],
        max_past_excess: float,
    ) -> None:
        self._use = use
        self._limits_by_team = limits_by_team
        self._max_past_excess = max_past_excess

    def excess_steps(self, teams: Iterable[str], cell: Cell) -> dict[str, int]:
        """Return by how many parts of its share each team exceeds it.

        :param teams: the teams with waiting steps.
        """
        waiting = set(teams)
        active = waiting | {team for team, used in cell.used_by_team.items() if used[0]}
        total_weight = sum(self._weight(team) for team in active)
        return {
            team: self._excess_of(team, self._weight(team) / total_weight, cell)
            for team in waiting
        }

    def _excess_of(self, team: str, fair_share: float, cell: Cell) -> int:
        present = self._use.share_of(cell.team_usage(team)) / fair_share
        past = self._use.past_share(team) / fair_share - 1.0
        counted = present + min(max(past, 0.0), self._max_past_excess)
        steps = int(max(0.0, counted - 1.0) * EXCESS_STEPS_PER_SHARE)
        return min(steps, MAX_EXCESS_STEPS)

    def _weight(self, team: str) -> float:
        limits = self._limits_by_team.get(team)
        return max(limits.weight, MIN_WEIGHT) if limits is not None else 1.0


def order_demands(
    demands: list[Demand], excess_by_team: dict[str, int], now: float
) -> list[Demand]:
    """Return the demands in the order in which a round considers them.

    By priority; then what is of no more use to its caller goes last; then teams that
    exceed their share least go first; then what can still be in time; then by due time.

    :param now: wall time in seconds.
    """

    def sort_key(demand: Demand) -> tuple:
        lateness = punctuality(demand, now)
        return (
            demand.queue.priority,
            lateness is Punctuality.USELESS,
            excess_by_team.get(demand.record.spec.team, 0),
            lateness,
            demand.order,
        )

    return sorted(demands, key=sort_key)

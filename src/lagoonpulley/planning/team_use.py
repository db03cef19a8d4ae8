"""What each team uses of the cell, now and in the past."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import ZERO

if TYPE_CHECKING:
    from ..model.resources import Resources
    from .cell import Cell

__all__ = ["TeamUse"]

# A past share that is smaller is forgotten.
MIN_PAST_SHARE = 1e-5


class TeamUse:
    """Dominant shares of the teams, and their average over time.

    The average gives a share of the past half the weight after each half-life.

    :param half_life_s: half-life in seconds.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._capacity = ZERO
        self._past_by_team: dict[str, float] = {}
        self._updated_at: float | None = None

    def restore(self, past_by_team: dict[str, float], elapsed_s: float) -> None:
        """Restore averages that were stored a while ago.

        :param elapsed_s: seconds since then, during which nothing is known.
        """
        retained = self._retained(max(0.0, elapsed_s))
        self._past_by_team = {
            team: share * retained for team, share in past_by_team.items()
        }

    def update(self, cell: Cell, now: float) -> None:
        """Add the use since the last update to the averages.

        :param now: monotonic time in seconds.
        """
        self._capacity = cell.capacity()
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        retained = self._retained(elapsed_s)
        teams = self._past_by_team.keys() | cell.used_by_team.keys()
        updated = {}
        for team in teams:
            share = self.share_of(cell.team_usage(team))
            past = self._past_by_team.get(team, 0.0)
            past = past * retained + share * (1.0 - retained)
            if past >= MIN_PAST_SHARE:
                updated[team] = past
        self._past_by_team = updated

    def share_of(self, used: Resources) -> float:
        """Return the dominant share: the largest part of any resource of the cell."""
        share = used.largest_fraction_of(self._capacity)
        return min(share, 1.0)

    def past_share(self, team: str) -> float:
        """Return the average of a team's dominant share."""
        return self._past_by_team.get(team, 0.0)

    def past_by_team(self) -> dict[str, float]:
        """Return the averages of all teams that have used something."""
        return self._past_by_team

    def _retained(self, elapsed_s: float) -> float:
        return 0.5 ** (elapsed_s / self._half_life_s)

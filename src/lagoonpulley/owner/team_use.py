"""Stores how much the teams have used, so that the next owner knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import BaseModel, Field, ValidationError

from ..observability.events import log_event
from ..runtime.flows import Call
from ..runtime.role import STORE, CallFailed
from ..store.messages import Get

if TYPE_CHECKING:
    from ..planning.team_use import TeamUse
    from ..runtime.flows import Flow
    from ..runtime.role import Now
    from .term import OwnerTerm

__all__ = ["TEAM_USE_KEY", "TeamUseStore"]

TEAM_USE_KEY = "lagoonpulley/use"
WRITE_INTERVAL_S = 10.0
READ_TIMEOUT_S = 0.5
LOGGED_TEAMS = 5
SHARE_DIGITS = 5


class TeamUseDocument(BaseModel):
    """Average shares of the teams at a wall-clock time in seconds."""

    at: float
    share_by_team: dict[str, float] = Field(default_factory=dict)


class TeamUseStore:
    """Writes the averages at an interval and reads those of the previous owner.

    Without them a term begins as if no team had used anything: starts do not wait for
    the document.
    """

    def __init__(self) -> None:
        self._next_at = 0.0

    def read(self, term: OwnerTerm) -> Flow:
        """Restore the averages of the previous owner once, if they can be read."""
        result = yield Call(STORE, Get(TEAM_USE_KEY), READ_TIMEOUT_S)
        if isinstance(result, CallFailed) or result.entry is None or term.has_ended:
            return
        try:
            document = TeamUseDocument.model_validate_json(result.entry.value)
        except ValidationError as error:
            log_event("team_use_refused", reason=f"{error.error_count()} faults")
            return
        elapsed_s = term.now.wall - document.at
        term.team_use.restore(document.share_by_team, elapsed_s)
        log_event(
            "team_use_restored",
            teams=len(document.share_by_team),
            elapsed_s=round(elapsed_s, 3),
        )

    def write_if_due(self, term: OwnerTerm, now: Now) -> None:
        """Enqueue the averages if a write is due, and log the largest."""
        if now.mono < self._next_at:
            return
        self._next_at = now.mono + WRITE_INTERVAL_S
        shares = _rounded(term.team_use)
        document = TeamUseDocument(at=now.wall, share_by_team=shares)
        term.journal.enqueue_value(TEAM_USE_KEY, document.model_dump_json())
        largest = sorted(shares.items(), key=lambda item: -item[1])[:LOGGED_TEAMS]
        log_event("team_use", teams=len(shares), largest=dict(largest))


def _rounded(use: TeamUse) -> dict[str, float]:
    return {
        team: round(share, SHARE_DIGITS) for team, share in use.past_by_team().items()
    }

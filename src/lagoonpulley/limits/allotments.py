"""Division of each team's global limit between data centres.

A part is the same fraction, one in :data:`PARTS_PER_LIMIT`, of every resource of
a limit.
"""

from __future__ import annotations

from typing import Annotated, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

__all__ = [
    "ALLOTMENTS_KEY",
    "PARTS_PER_LIMIT",
    "Allotments",
    "parse_allotments",
    "parts_needed",
]

ALLOTMENTS_KEY = "lagoonpulley/allotments"
PARTS_PER_LIMIT = 1000

Parts = Annotated[int, Field(ge=0, le=PARTS_PER_LIMIT)]


class Allotments(BaseModel):
    """Stored parts of each team's limit, by team and data centre.

    The limit of a team without a record is divided evenly. The parts of a team
    never add up to more than :data:`PARTS_PER_LIMIT`; any data centre may acquire
    the free rest. ``epochs`` holds the ownership epoch under which each data
    centre last loaded its parts and works as a fencing token: an owner with an
    earlier epoch can no longer change them.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    version: Literal[1] = 1
    parts: dict[str, dict[str, Parts]] = {}
    epochs: dict[str, int] = {}

    @model_validator(mode="after")
    def _check_within_limits(self) -> Allotments:
        for team, parts in self.parts.items():
            if sum(parts.values()) > PARTS_PER_LIMIT:
                raise ValueError(f"the parts of team {team} exceed its limit")
        return self

    def parts_of(
        self, team: str, data_centre: str, data_centres: tuple[str, ...]
    ) -> int:
        """Return the parts of a team's limit that a data centre holds."""
        return self.parts_by_data_centre(team, data_centres).get(data_centre, 0)

    def parts_by_data_centre(
        self, team: str, data_centres: tuple[str, ...]
    ) -> dict[str, int]:
        """Return the parts of a team's limit by data centre."""
        known = self.parts.get(team)
        if known is not None:
            return dict(known)
        return dict.fromkeys(data_centres, PARTS_PER_LIMIT // len(data_centres))

    def parts_by_team(
        self, data_centre: str, data_centres: tuple[str, ...]
    ) -> dict[str, int]:
        """Return the parts that a data centre holds, for teams with a record."""
        return {
            team: self.parts_of(team, data_centre, data_centres) for team in self.parts
        }

    def free_parts(self, team: str, data_centres: tuple[str, ...]) -> int:
        """Return the parts of a team's limit that no data centre holds."""
        return PARTS_PER_LIMIT - sum(
            self.parts_by_data_centre(team, data_centres).values()
        )

    def with_parts_changed(
        self, team: str, data_centre: str, change: int, data_centres: tuple[str, ...]
    ) -> Allotments:
        """Return a copy in which a data centre's parts differ by ``change``.

        :raises ValueError: if the parts would become negative or exceed the limit.
        """
        parts = self.parts_by_data_centre(team, data_centres)
        parts[data_centre] = parts.get(data_centre, 0) + change
        return Allotments.model_validate(
            {"parts": {**self.parts, team: parts}, "epochs": self.epochs}
        )

    def with_epoch(self, data_centre: str, epoch: int) -> Allotments:
        """Return a copy that records the epoch of a data centre's owner."""
        epochs = {**self.epochs, data_centre: epoch}
        return self.model_copy(update={"epochs": epochs})


def parse_allotments(text: str) -> Result[Allotments, str]:
    """Parse and validate the stored allotments.

    :returns: the allotments, or the validation errors.
    """
    try:
        return Ok(Allotments.model_validate_json(text))
    except ValidationError as error:
        return Error(str(error))


def parts_needed(use: tuple[int, ...], limit: tuple[int, ...]) -> int:
    """Return the smallest number of parts of a limit that covers a usage.

    A result above :data:`PARTS_PER_LIMIT` means that the usage exceeds the limit.
    """
    needed = 0
    for used, allowed in zip(use, limit):
        if used <= 0:
            continue
        if allowed <= 0:
            return PARTS_PER_LIMIT + 1
        needed = max(needed, -(-used * PARTS_PER_LIMIT // allowed))
    return needed

"""How each team's limit is divided between data centres."""

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
    """Parts of each team's limit by data centre, as kept in the store.

    A team that is not named is divided evenly. The parts of a team never add up
    to more than :data:`PARTS_PER_LIMIT`; what is missing may be taken. ``epochs``
    names the ownership epoch under which each data centre last read its parts, so
    that an earlier owner can no longer change them.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    version: Literal[1] = 1
    parts: dict[str, dict[str, Parts]] = {}
    epochs: dict[str, int] = {}

    @model_validator(mode="after")
    def _within_limits(self) -> Allotments:
        for team, parts in self.parts.items():
            if sum(parts.values()) > PARTS_PER_LIMIT:
                raise ValueError(f"the parts of team {team} exceed its limit")
        return self

    def parts_of(
        self, team: str, data_centre: str, data_centres: tuple[str, ...]
    ) -> int:
        """Return the parts that a data centre holds of a team's limit."""
        return self.of_team(team, data_centres).get(data_centre, 0)

    def of_team(self, team: str, data_centres: tuple[str, ...]) -> dict[str, int]:
        """Return the parts of a team's limit by data centre."""
        known = self.parts.get(team)
        if known is not None:
            return dict(known)
        return dict.fromkeys(data_centres, PARTS_PER_LIMIT // len(data_centres))

    def held_in(
        self, data_centre: str, data_centres: tuple[str, ...]
    ) -> dict[str, int]:
        """Return the parts that a data centre holds, by team named here."""
        return {
            team: self.parts_of(team, data_centre, data_centres) for team in self.parts
        }

    def free_of(self, team: str, data_centres: tuple[str, ...]) -> int:
        """Return the parts that nobody holds."""
        return PARTS_PER_LIMIT - sum(self.of_team(team, data_centres).values())

    def moved(
        self, team: str, data_centre: str, change: int, data_centres: tuple[str, ...]
    ) -> Allotments:
        """Return allotments with a data centre's parts changed.

        :raises ValueError: when the parts would become negative or exceed the
            limit.
        """
        parts = self.of_team(team, data_centres)
        parts[data_centre] = parts.get(data_centre, 0) + change
        return Allotments.model_validate(
            {"parts": {**self.parts, team: parts}, "epochs": self.epochs}
        )

    def held_under(self, data_centre: str, epoch: int) -> Allotments:
        """Return allotments that a data centre's owner of this epoch has read."""
        epochs = {**self.epochs, data_centre: epoch}
        return self.model_copy(update={"epochs": epochs})


def parse_allotments(text: str) -> Result[Allotments, str]:
    """Validate the text of the allotments."""
    try:
        return Ok(Allotments.model_validate_json(text))
    except ValidationError as error:
        return Error(str(error))


def parts_needed(use: tuple[int, ...], limit: tuple[int, ...]) -> int:
    """Return the fewest parts of a limit that allow a use.

    More than :data:`PARTS_PER_LIMIT` means that the whole limit does not.
    """
    needed = 0
    for used, most in zip(use, limit):
        if used <= 0:
            continue
        if most <= 0:
            return PARTS_PER_LIMIT + 1
        needed = max(needed, -(-used * PARTS_PER_LIMIT // most))
    return needed

"""The configuration document that operators write to the store."""

from __future__ import annotations

from typing import Annotated, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

from ..model.resources import Resources

__all__ = [
    "CONFIGURATION_KEY",
    "ConfigurationDocument",
    "KeyEntry",
    "LimitEntry",
    "QueueEntry",
    "TeamEntry",
    "parse_document",
]

CONFIGURATION_KEY = "lagoonpulley/configuration"
UNLIMITED = 10**15

Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Amount = Annotated[int, Field(ge=0, le=UNLIMITED)]


class _DocumentModel(BaseModel):
    """Base of all parts of the document; an unknown field is a validation error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class LimitEntry(_DocumentModel):
    """Fleet-wide upper limit of a team; ``None`` means unlimited."""

    processors_milli: Amount | None = None
    memory_mb: Amount | None = None
    accelerators: Amount | None = None
    tasks: Amount | None = None

    def to_resources(self) -> Resources | None:
        """Return the limit as resources, or ``None`` if nothing is limited."""
        amounts = (
            self.processors_milli,
            self.memory_mb,
            self.accelerators,
            self.tasks,
        )
        if all(amount is None for amount in amounts):
            return None
        filled = [UNLIMITED if amount is None else amount for amount in amounts]
        return Resources(*filled, connections=UNLIMITED)


class TeamEntry(_DocumentModel):
    """Share and limit of a team.

    An entry whose configuration is stale refuses new jobs of a ``strict`` team.
    """

    share: Annotated[float, Field(ge=0, le=1_000_000)] = 1.0
    limit: LimitEntry = LimitEntry()
    strict: bool = False


class QueueEntry(_DocumentModel):
    """A queue and the team that its jobs count against.

    An ``open`` queue accepts jobs without a key.
    """

    team: Name
    open: bool = False


class KeyEntry(_DocumentModel):
    """Digest of a granted API key; the key itself is never stored."""

    team: Name
    digest: Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]


class ConfigurationDocument(_DocumentModel):
    """All configuration set by operators, under one increasing revision."""

    version: Literal[1] = 1
    revision: Annotated[int, Field(ge=0)] = 0
    teams: dict[Name, TeamEntry] = {}
    queues: dict[Name, QueueEntry] = {}
    keys: dict[str, KeyEntry] = {}

    def model_post_init(self, _context: object) -> None:
        """Check that all queues and keys belong to known teams.

        :raises ValueError: naming the first queue or key that does not.
        """
        for name, queue in self.queues.items():
            if queue.team not in self.teams:
                raise ValueError(f"queue {name} belongs to unknown team {queue.team}")
        for key_id, key in self.keys.items():
            if key.team not in self.teams:
                raise ValueError(f"key {key_id} belongs to unknown team {key.team}")


def parse_document(text: str) -> Result[ConfigurationDocument, str]:
    """Parse and validate a configuration document.

    :returns: the document, or the validation errors.
    """
    try:
        return Ok(ConfigurationDocument.model_validate_json(text))
    except ValidationError as error:
        return Error(str(error))

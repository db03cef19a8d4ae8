"""Messages between the limits role and the scheduler."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "AllotmentNeeded",
    "AllotmentsChanged",
    "HoldAllotments",
    "PartsReleased",
    "ReleaseParts",
]


@dataclass(frozen=True, slots=True)
class HoldAllotments:
    """Load the allotments for a group that the scheduler serves under an epoch."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class AllotmentsChanged:
    """The parts that this data centre holds, by team.

    The limits of teams that are missing here are divided evenly.
    """

    epoch: int
    parts_by_team: dict[str, int]


@dataclass(frozen=True, slots=True)
class AllotmentNeeded:
    """A waiting job needs its team to hold ``parts`` in total.

    ``since`` is when the job began to wait, in wall-clock seconds.
    """

    epoch: int
    team: str
    parts: int
    since: float


@dataclass(frozen=True, slots=True)
class ReleaseParts:
    """Ask the scheduler to stop using up to ``parts`` of a team's limit.

    ``since`` is when the job of the requesting data centre began to wait, in
    wall-clock seconds.
    """

    team: str
    parts: int
    since: float


@dataclass(frozen=True, slots=True)
class PartsReleased:
    """The number of parts that the scheduler has stopped using."""

    parts: int

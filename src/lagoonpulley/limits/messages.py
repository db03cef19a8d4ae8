"""What the limits role and the scheduler tell each other."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "AllotmentNeeded",
    "AllotmentsChanged",
    "PartsReleased",
    "ReleaseParts",
    "HoldAllotments",
]


@dataclass(frozen=True, slots=True)
class HoldAllotments:
    """The scheduler serves a group under an epoch and needs its allotments."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class AllotmentsChanged:
    """The parts that the data centre holds; others are divided evenly."""

    epoch: int
    parts_by_team: dict[str, int]


@dataclass(frozen=True, slots=True)
class AllotmentNeeded:
    """A job that waits since ``since`` (wall clock) needs ``parts`` in all."""

    epoch: int
    team: str
    parts: int
    since: float


@dataclass(frozen=True, slots=True)
class ReleaseParts:
    """Ask the scheduler to do without up to ``parts`` from now on."""

    team: str
    parts: int
    since: float


@dataclass(frozen=True, slots=True)
class PartsReleased:
    """How many parts the scheduler does without from now on."""

    parts: int

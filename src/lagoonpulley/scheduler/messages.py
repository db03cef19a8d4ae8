"""What the scheduler is told and asked inside a process."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["DecideMore", "GroupStatus", "GroupStatusQuery"]


@dataclass(frozen=True, slots=True)
class DecideMore:
    """The scheduler's note to itself that more placements may be possible."""


@dataclass(frozen=True, slots=True)
class GroupStatusQuery:
    """Ask for the :class:`GroupStatus` of every group owned here."""


@dataclass(frozen=True, slots=True)
class GroupStatus:
    """Figures of one owned group."""

    group: str
    epoch: int
    phase: str
    jobs: int
    running_tasks: int
    waiting_tasks: int
    workers: int
    unreachable_workers: int
    quarantined_workers: int
    fault: str

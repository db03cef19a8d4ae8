"""Messages to the scheduler role within a process, and its answers."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["DecideMore", "GroupStatus", "GroupStatusQuery"]


@dataclass(frozen=True, slots=True)
class DecideMore:
    """Sent by the scheduler to itself to run another decision round."""


@dataclass(frozen=True, slots=True)
class GroupStatusQuery:
    """Request the :class:`GroupStatus` of every group owned by this process."""


@dataclass(frozen=True, slots=True)
class GroupStatus:
    """Status of one owned group; ``fault`` is why it cannot be served, or empty."""

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

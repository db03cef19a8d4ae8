"""Messages about the current policy."""

from __future__ import annotations

from dataclasses import dataclass

from .values import Policy

__all__ = ["PolicyChanged", "PolicyConfirmed"]


@dataclass(frozen=True, slots=True)
class PolicyChanged:
    """A new version of the policy applies from now on."""

    policy: Policy


@dataclass(frozen=True, slots=True)
class PolicyConfirmed:
    """The latest :class:`PolicyChanged` was the newest version at a time.

    ``at`` is in monotonic seconds.
    """

    at: float

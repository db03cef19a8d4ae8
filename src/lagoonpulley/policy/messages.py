"""Messages about the current policy."""

from __future__ import annotations

from dataclasses import dataclass

from ..store.messages import KeyValue
from .values import Policy

__all__ = ["POLICY_ROLE", "PolicyChanged", "PolicyConfirmed", "PolicySeen"]

POLICY_ROLE = "policy"


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


@dataclass(frozen=True, slots=True)
class PolicySeen:
    """A store operation of another role returned the policy document."""

    item: KeyValue

"""Messages about the current policy."""

from __future__ import annotations

from dataclasses import dataclass

from ..store.messages import KeyValue
from .values import Policy

__all__ = ["POLICY_ROLE", "PolicyChanged", "PolicySeen"]

POLICY_ROLE = "policy"


@dataclass(frozen=True, slots=True)
class PolicyChanged:
    """A new version of the policy applies from now on."""

    policy: Policy


@dataclass(frozen=True, slots=True)
class PolicySeen:
    """A store operation of another role returned the policy document."""

    item: KeyValue

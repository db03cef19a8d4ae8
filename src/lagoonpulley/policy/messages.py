"""Messages about the policy in force."""

from __future__ import annotations

from dataclasses import dataclass

from ..store.messages import KeyValue
from .values import Policy

__all__ = ["POLICY_ROLE", "PolicyChanged", "PolicySeen"]

POLICY_ROLE = "policy"


@dataclass(frozen=True, slots=True)
class PolicyChanged:
    """A policy is in force from now on."""

    policy: Policy


@dataclass(frozen=True, slots=True)
class PolicySeen:
    """The store has shown the operators' document beside something else."""

    entry: KeyValue

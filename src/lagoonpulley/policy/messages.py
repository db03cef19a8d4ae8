"""Messages about the policy in force."""

from __future__ import annotations

from dataclasses import dataclass

from .values import Policy

__all__ = ["PolicyChanged"]


@dataclass(frozen=True, slots=True)
class PolicyChanged:
    """A policy is in force from now on."""

    policy: Policy

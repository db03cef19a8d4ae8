"""Messages about the policy in force."""

from __future__ import annotations

from dataclasses import dataclass

from .values import Policy

__all__ = ["AskPolicy", "PolicyAnswer", "PolicyChanged"]


@dataclass(frozen=True, slots=True)
class PolicyChanged:
    """A policy is in force from now on."""

    policy: Policy


@dataclass(frozen=True, slots=True)
class AskPolicy:
    """Ask another entry for the operators' document."""


@dataclass(frozen=True, slots=True)
class PolicyAnswer:
    """The document as an entry read it from the store.

    ``key`` is empty when it has none, or has itself lost the store.
    """

    key: str = ""
    value: str = ""
    revision: int = 0

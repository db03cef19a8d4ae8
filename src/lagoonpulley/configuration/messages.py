"""What the configuration role tells other roles."""

from __future__ import annotations

from dataclasses import dataclass

from .document import ConfigurationDocument

__all__ = ["ConfigurationChanged", "ConfigurationConfirmed"]


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A document with a higher revision is in force."""

    document: ConfigurationDocument


@dataclass(frozen=True, slots=True)
class ConfigurationConfirmed:
    """The store said at ``at`` (monotonic seconds) that nothing newer exists."""

    at: float

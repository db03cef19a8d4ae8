"""Messages that the configuration role sends to other roles."""

from __future__ import annotations

from dataclasses import dataclass

from .document import ConfigurationDocument

__all__ = ["ConfigurationChanged", "ConfigurationConfirmed"]


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A document with a higher revision has been applied."""

    document: ConfigurationDocument


@dataclass(frozen=True, slots=True)
class ConfigurationConfirmed:
    """This entry's configuration was up to date with the store at ``at``.

    ``at`` is in monotonic seconds.
    """

    at: float

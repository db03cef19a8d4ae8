"""Envelope of a call to another entry, and the answer to an advice request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..upstream.tasks import Advice

__all__ = ["AdviceAnswer", "PeerCall"]


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """The advisor's answer to a request of an entry, or why there is none."""

    advice: Advice | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class PeerCall:
    """A message to the entry at ``address`` (``IP:PORT``)."""

    address: str
    message: Any

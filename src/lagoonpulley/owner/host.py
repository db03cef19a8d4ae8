"""What the parts of the owner's role need of it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..runtime.flows import Flow
    from ..runtime.role import Now

__all__ = ["Host"]


class Host(Protocol):
    """The role whose thread runs the flows of its parts."""

    now: Now

    def start(self, flow: Flow) -> None:
        """Run a flow up to its first call."""
        ...

    def act(self) -> None:
        """Plan if anything changed, then write what changed."""
        ...

    def stand_down(self, reason: str) -> None:
        """Stop being the owner, and have one elected anew."""
        ...

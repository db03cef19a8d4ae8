"""Interface of the role that runs the flows of the owner's components."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..runtime.flows import Flow
    from ..runtime.role import Now

__all__ = ["FlowHost"]


class FlowHost(Protocol):
    """Role on whose thread the components' flows run."""

    now: Now

    def start(self, flow: Flow) -> None:
        """Run a flow up to its first call."""
        ...

    def plan_and_commit(self) -> None:
        """Plan if anything changed, then commit changed records to the store."""
        ...

    def step_down(self, reason: str) -> None:
        """End the term of this owner and trigger a new election."""
        ...

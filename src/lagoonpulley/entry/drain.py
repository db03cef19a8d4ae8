"""Polls the store for operators' requests to drain an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..runtime.flows import Call, Flow, FlowRole
from ..runtime.role import STORE, Tick
from ..store.messages import StoreResult, Watch

if TYPE_CHECKING:
    from ..settings.schema import Settings

__all__ = ["LIFECYCLE_PORT", "DrainRequested", "DrainRole", "drain_key"]

LIFECYCLE_PORT = "life"
POLL_INTERVAL_S = 5.0


class DrainRequested:
    """Message: an operator requests that this entry drains and stops."""


def drain_key(entry_id: str) -> str:
    """Return the store key that is written to request the drain of an entry."""
    return f"lagoonpulley/drain/{entry_id}"


class DrainRole(FlowRole):
    """Polls for a drain request that was made after the first successful poll."""

    name = "drain"

    def __init__(self, entry_id: str, settings: Settings) -> None:
        super().__init__(entry_id)
        self._key = drain_key(entry_id)
        self._timeout_s = settings.store.timeout_s
        self._seen_revision: int | None = None
        self._next_poll_at = float("-inf")

    @classmethod
    def from_settings(cls, entry_id: str, settings: Settings) -> DrainRole:
        """Create the role of one entry."""
        return cls(entry_id, settings)

    def receive(self, message: Any) -> None:
        """Poll the store once in each poll interval."""
        if isinstance(message, Tick) and self.now.mono >= self._next_poll_at:
            self._next_poll_at = self.now.mono + POLL_INTERVAL_S
            self.start(self._poll())

    def _poll(self) -> Flow:
        after = self._seen_revision or 0
        result = yield Call(STORE, Watch(self._key, after, 0.0), self._timeout_s)
        if not isinstance(result, StoreResult):
            return
        if self._seen_revision is None:
            # A request that the first poll finds was meant for an earlier process.
            self._seen_revision = result.entry.revision if result.entry else 0
            return
        if result.ok and result.entry is not None:
            self._seen_revision = result.entry.revision
            self.emit(LIFECYCLE_PORT, DrainRequested())

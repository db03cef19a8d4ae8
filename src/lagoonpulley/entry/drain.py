"""Requests of operators that an entry stop, kept in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..runtime.flows import Call, Flow, FlowRole
from ..runtime.role import STORE, Tick
from ..store.messages import StoreResult, Watch

if TYPE_CHECKING:
    from ..settings.schema import Settings

__all__ = ["LIFE", "DrainRequested", "DrainRole", "drain_key"]

LIFE = "life"
ASK_INTERVAL_S = 5.0


class DrainRequested:
    """An operator wants this entry to stop."""


def drain_key(entry_id: str) -> str:
    """Return the store key whose change asks an entry to stop."""
    return f"lagoonpulley/drain/{entry_id}"


class DrainRole(FlowRole):
    """Looks now and then whether a drain was asked for since the start."""

    name = "drain"

    def __init__(self, entry_id: str, settings: Settings) -> None:
        super().__init__(entry_id)
        self._key = drain_key(entry_id)
        self._timeout_s = settings.store.timeout_s
        self._seen_revision: int | None = None
        self._next_ask_at = float("-inf")

    @classmethod
    def from_settings(cls, entry_id: str, settings: Settings) -> DrainRole:
        """Create the role of one entry."""
        return cls(entry_id, settings)

    def receive(self, message: Any) -> None:
        """Ask the store when it is time."""
        if isinstance(message, Tick) and self.now.mono >= self._next_ask_at:
            self._next_ask_at = self.now.mono + ASK_INTERVAL_S
            self.start(self._ask())

    def _ask(self) -> Flow:
        after = self._seen_revision or 0
        result = yield Call(STORE, Watch(self._key, after, 0.0), self._timeout_s)
        if not isinstance(result, StoreResult):
            return
        if self._seen_revision is None:
            # A request from before the start was meant for an earlier process.
            self._seen_revision = result.entry.revision if result.entry else 0
            return
        if result.ok and result.entry is not None:
            self._seen_revision = result.entry.revision
            self.emit(LIFE, DrainRequested())

"""What an entry knows that decides whether it may answer callers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

from ..policy.messages import PolicyChanged

if TYPE_CHECKING:
    from ..policy.values import Policy
    from ..store.health import StoreHealthTracker

__all__ = ["EntryReadiness"]

# Without an answer of the store for this long, callers are better served elsewhere.
MAX_STORE_SILENCE_S = 0.7


class EntryReadiness:
    """The policy in force and the contact with the store.

    A port that callers' threads read; the reference to the policy changes at once.
    """

    def __init__(self, store_health: StoreHealthTracker) -> None:
        self._store_health = store_health
        self._policy: Policy | None = None
        self._stopping = threading.Event()

    @property
    def policy(self) -> Policy | None:
        """The policy in force, or ``None`` before the first one."""
        return self._policy

    @property
    def is_stopping(self) -> bool:
        """Whether this entry is about to stop."""
        return self._stopping.is_set()

    def submit(self, message: Any) -> None:
        """Take a message of a role."""
        if isinstance(message, PolicyChanged):
            self._policy = message.policy

    def stop(self) -> None:
        """Ask for no more callers."""
        self._stopping.set()

    def close(self) -> None:
        """Nothing to release; part of the port interface."""

    def is_ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        if self._stopping.is_set() or self._policy is None:
            return False
        return self._store_health.silence_s() < MAX_STORE_SILENCE_S

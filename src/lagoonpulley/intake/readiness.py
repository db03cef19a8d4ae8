"""Readiness of an entry to answer callers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

from ..policy.messages import PolicyChanged

if TYPE_CHECKING:
    from ..policy.values import Policy
    from ..store.health import StoreHealthTracker

__all__ = ["EntryReadiness"]

# After this long without an answer from the store, the load balancer should send
# callers to other entries.
MAX_STORE_SILENCE_S = 0.7


class EntryReadiness:
    """The current policy and the contact with the store.

    A port that receives policies and that callers' threads read without a lock: the
    reference to the policy is replaced atomically.
    """

    def __init__(self, store_health: StoreHealthTracker) -> None:
        self._store_health = store_health
        self._policy: Policy | None = None
        self._stopping = threading.Event()

    @property
    def policy(self) -> Policy | None:
        """The current policy, or ``None`` before the first one arrives."""
        return self._policy

    @property
    def is_stopping(self) -> bool:
        """Whether this entry is shutting down."""
        return self._stopping.is_set()

    def submit(self, message: Any) -> None:
        """Accept a message from a role."""
        if isinstance(message, PolicyChanged):
            self._policy = message.policy

    def stop(self) -> None:
        """Report this entry as not ready from now on."""
        self._stopping.set()

    def close(self) -> None:
        """Do nothing: there is no resource to release; required of every port."""

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        if self._stopping.is_set() or self._policy is None:
            return False
        return self._store_health.silence_s() < MAX_STORE_SILENCE_S

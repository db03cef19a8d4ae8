"""What an entry knows that decides whether it may answer callers."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..policy.messages import PolicyChanged

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..policy.values import Policy
    from ..runtime.role import Now

__all__ = ["Standing", "StoreSeen"]

# Without an answer of the store for this long, an entry turns callers away.
STORE_SILENCE_S = 2.0


@dataclass(frozen=True, slots=True)
class StoreSeen:
    """The store answered a call at ``at`` (monotonic seconds)."""

    at: float


class Standing:
    """The policy in force and the last sign of life of the store.

    A port that callers' threads read; the reference to the policy changes at once.
    """

    def __init__(self, clocks: Callable[[], Now]) -> None:
        self._clocks = clocks
        self._policy: Policy | None = None
        self._store_seen_at = float("-inf")
        self._stopping = threading.Event()

    @property
    def policy(self) -> Policy | None:
        """The policy in force, or ``None`` before the first one."""
        return self._policy

    def submit(self, message: Any) -> None:
        """Take a message of a role or port."""
        match message:
            case PolicyChanged(policy):
                self._policy = policy
            case StoreSeen(at):
                self._store_seen_at = at

    def stop(self) -> None:
        """Ask for no more callers."""
        self._stopping.set()

    def close(self) -> None:
        """Nothing to release; part of the port interface."""

    def has_store(self) -> bool:
        """Return whether the store answered a short while ago."""
        return self._clocks().mono - self._store_seen_at < STORE_SILENCE_S

    def is_ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        if self._stopping.is_set() or self._policy is None:
            return False
        return self.has_store()

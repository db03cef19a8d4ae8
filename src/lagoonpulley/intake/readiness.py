"""Readiness of an entry to answer callers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

from ..policy.messages import PolicyChanged, PolicyConfirmed

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..policy.values import Policy
    from ..runtime.role import Now
    from ..store.health import StoreHealthTracker

__all__ = ["EntryReadiness"]

# After this long without an answer from the store, the load balancer should send
# callers to other entries.
MAX_STORE_SILENCE_S = 0.7


class EntryReadiness:
    """The current policy and the contact with the store.

    A port that receives policies, and that callers' threads read.

    :param clocks: returns the current monotonic and wall-clock time.
    :param max_policy_age_s: for how many seconds a confirmation allows to answer
        callers by the policy.
    """

    def __init__(
        self,
        store_health: StoreHealthTracker,
        clocks: Callable[[], Now],
        max_policy_age_s: float,
    ) -> None:
        self._store_health = store_health
        self._clocks = clocks
        self._max_policy_age_s = max_policy_age_s
        self._policy: Policy | None = None
        self._confirmed_at = float("-inf")
        self._confirmed = threading.Condition()
        self._stopping = threading.Event()

    def current_policy(self, wait_s: float = 0.0) -> Policy | None:
        """Return the policy, or ``None`` if a newer one may be in force by now.

        :param wait_s: how many seconds to wait for a confirmation, unless the store
            is unreachable.
        """
        if self._store_health.is_unreachable():
            wait_s = 0.0
        with self._confirmed:
            is_current = self._confirmed.wait_for(self._is_policy_current, wait_s)
            return self._policy if is_current else None

    def policy_age_s(self) -> float:
        """Return the seconds since the last confirmation, infinite before the first."""
        return self._clocks().mono - self._confirmed_at

    def _is_policy_current(self) -> bool:
        return self._policy is not None and self.policy_age_s() < self._max_policy_age_s

    @property
    def is_stopping(self) -> bool:
        """Whether this entry is shutting down."""
        return self._stopping.is_set()

    def submit(self, message: Any) -> None:
        """Accept a message from a role."""
        with self._confirmed:
            match message:
                case PolicyChanged(policy):
                    self._policy = policy
                case PolicyConfirmed(at):
                    self._confirmed_at = at
                    self._confirmed.notify_all()

    def stop(self) -> None:
        """Report this entry as not ready from now on."""
        self._stopping.set()

    def close(self) -> None:
        """Do nothing: there is no resource to release; required of every port."""

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        if self._stopping.is_set() or not self._is_policy_current():
            return False
        return self._store_health.silence_s() < MAX_STORE_SILENCE_S

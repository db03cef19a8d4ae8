"""Decides whether accepted jobs can be started soon, from the owner's status."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..owner.status import OwnerStatus

__all__ = ["Admission", "AdmissionRefusal"]

# A takeover takes up to 1.0 s until the session expires and normally 0.3 to 1.5 s
# until all jobs are loaded; the owner's heartbeats are 1.0 s apart.
MAX_OWNER_ABSENCE_S = 3.0
# A heartbeat that is late by this much calls for reads that are not stale.
LATE_HEARTBEAT_S = 1.6
# After a longer time without a read, the owner may have lacked the store as well. One
# lost answer stays below it.
MAX_READ_GAP_S = 2.0
TAKEOVER_S = 1.5


@dataclass(frozen=True, slots=True)
class AdmissionRefusal:
    """Why a submission is refused, and after how many seconds a retry makes sense."""

    reason: str
    retry_after_s: int


class Admission:
    """Refuses submissions while no owner is known to work.

    Absence is proved only by successive successful reads of the store without a new
    heartbeat. An entry that has just started, or could not read for a while, admits
    everything. So does one that finds an owner of a build without heartbeats.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._last_heartbeat = (0, 0)
        self._absent_since: float | None = None
        self._read_at = float("-inf")

    def record_read(self, status: OwnerStatus | None, now: float) -> None:
        """Record the status that a read found, ``None`` if there is none."""
        heartbeat = (status.token, status.number) if status else (0, 0)
        was_interrupted = now - self._read_at > MAX_READ_GAP_S
        # A stale read may return an earlier heartbeat than the one before.
        if heartbeat > self._last_heartbeat or was_interrupted:
            self._absent_since = now
        self._last_heartbeat = max(heartbeat, self._last_heartbeat)
        self._read_at = now

    def record_owner_without_heartbeats(self, now: float) -> None:
        """Record that the owner runs a build that writes no status."""
        self._absent_since = now

    def is_heartbeat_late(self, now: float) -> bool:
        """Return whether the owner may be absent."""
        return self.absence_s(now) >= LATE_HEARTBEAT_S

    def absence_s(self, now: float) -> float:
        """Return for how long no owner is known to have worked."""
        if self._absent_since is None or now - self._read_at > MAX_READ_GAP_S:
            return 0.0
        return now - self._absent_since

    def refusal(self, now: float) -> AdmissionRefusal | None:
        """Return why a submission must be refused now, or ``None`` to admit it."""
        if self.absence_s(now) < MAX_OWNER_ABSENCE_S:
            return None
        return AdmissionRefusal("no owner is working", ceil(TAKEOVER_S))

"""Decides whether accepted jobs can be started soon, from the owner's status."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from ..owner.status import OwnerStatus

__all__ = ["Admission", "Restriction"]

# A takeover takes up to 1.0 s until the session expires and normally 0.3 to 1.5 s
# until all jobs are loaded; the owner's heartbeats are 1.0 s apart.
MAX_OWNER_ABSENCE_S = 3.0
# A heartbeat that is late by this much calls for reads that are not stale.
LATE_HEARTBEAT_S = 1.6
# After a longer time without a read, the owner may have lacked the store as well. One
# lost answer stays below it.
MAX_READ_GAP_S = 2.0
TAKEOVER_S = 1.5
# The share of refused submissions rises from 0 to 1 between these delays of the owner.
MIN_START_DELAY_S = 1.0
MAX_START_DELAY_S = 3.0
# A working owner's heartbeat does not mention a submission sooner than this.
STATUS_AGE_S = 1.5
# Tasks that an owner holds at most; each takes some 0.3 KB, and more once it runs.
MAX_HELD_TASKS = 100_000
# Tasks that one entry admits before the owner's status must tell of them.
MAX_RECENT_TASKS = 20_000
RECENT_S = 3.0


@dataclass(frozen=True, slots=True)
class Restriction:
    """Why a share of all submissions is refused, and when to try again."""

    reason: str
    share: float
    retry_after_s: int


class Admission:
    """Refuses submissions while no owner is known to work, or while it is behind.

    Absence is proved only by successive successful reads of the store without a new
    heartbeat. An entry that has just started, or could not read for a while, admits
    everything. So does one that finds an owner of a build without heartbeats.

    An owner is behind when it is slow to start jobs, or does not yet know jobs that
    this entry stored some time ago. A stale read does not prove the latter.

    All times are monotonic seconds.

    :param rng: chooses the submissions that are refused while the owner is behind.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._last_heartbeat = (0, 0)
        self._absent_since: float | None = None
        self._read_at = float("-inf")
        # A commit that an outage held up delays one heartbeat's jobs, so a delay counts
        # once two successive heartbeats show it.
        self._previous_delay_s = 0.0
        self._suspected_delay_s = 0.0
        self._proved_delay_s = 0.0
        # Revision and time of submissions that the owner is not known to know.
        self._unknown_to_owner: deque[tuple[int, float]] = deque()
        self._held_tasks = 0
        # Tasks and time of submissions that the owner's status may not count yet.
        self._recent_tasks: deque[tuple[int, float]] = deque()

    def record_stored(self, revision: int, now: float, tasks: int = 0) -> None:
        """Record that this entry has stored a submission of so many tasks."""
        self._unknown_to_owner.append((revision, now))
        self._recent_tasks.append((tasks, now))

    def refusal_of_tasks(self, tasks: int, now: float) -> Restriction | None:
        """Return why a job of so many tasks must be refused, or ``None`` to admit it.

        Otherwise the owner, and each one after it, would hold more than it can.
        """
        while self._recent_tasks and self._recent_tasks[0][1] < now - RECENT_S:
            self._recent_tasks.popleft()
        recent = sum(tasks for tasks, _ in self._recent_tasks)
        is_recent_full = recent + tasks > MAX_RECENT_TASKS
        if self._held_tasks + recent + tasks <= MAX_HELD_TASKS and not is_recent_full:
            return None
        return Restriction("the owner holds too many tasks", 1.0, ceil(RECENT_S))

    def record_read(
        self, status: OwnerStatus | None, now: float, is_stale: bool
    ) -> None:
        """Record the status that a read found, ``None`` if there is none."""
        heartbeat = (status.token, status.number) if status else (0, 0)
        was_interrupted = now - self._read_at > MAX_READ_GAP_S
        is_new = status is not None and heartbeat != self._last_heartbeat
        # A stale read may return an earlier heartbeat than the one before.
        if is_stale and heartbeat < self._last_heartbeat:
            is_new = False
        if was_interrupted:
            self._suspected_delay_s = 0.0
        if is_new:
            self._last_heartbeat = heartbeat
            self._previous_delay_s = self._suspected_delay_s
        if is_new or was_interrupted:
            self._absent_since = now
        self._read_at = now
        if status is not None:
            self._held_tasks = status.held_tasks
        if status is None or self.absence_s(now) >= LATE_HEARTBEAT_S:
            # Until the next heartbeat, the owner is presumed to be as far behind.
            return
        self._suspected_delay_s = self._start_delay_s(status, now)
        if not is_stale or self._suspected_delay_s <= MIN_START_DELAY_S:
            self._proved_delay_s = min(self._suspected_delay_s, self._previous_delay_s)

    def record_owner_without_heartbeats(self, now: float) -> None:
        """Record that the owner runs a build that writes no status."""
        self._absent_since = now
        self._unknown_to_owner.clear()

    def needs_consistent_read(self, now: float) -> bool:
        """Return whether a stale read is not enough to decide."""
        if self._suspected_delay_s > MIN_START_DELAY_S:
            return True
        return self.absence_s(now) >= LATE_HEARTBEAT_S

    def absence_s(self, now: float) -> float:
        """Return for how long no owner is known to have worked."""
        if self._absent_since is None or now - self._read_at > MAX_READ_GAP_S:
            return 0.0
        return now - self._absent_since

    def restriction(self, now: float) -> Restriction | None:
        """Return which share of submissions is refused now; ``None`` if none is."""
        if now - self._read_at > MAX_READ_GAP_S:
            return None
        if self.absence_s(now) >= MAX_OWNER_ABSENCE_S:
            return Restriction("no owner is working", 1.0, ceil(TAKEOVER_S))
        delay_s = self._proved_delay_s
        if delay_s <= MIN_START_DELAY_S:
            return None
        share = (delay_s - MIN_START_DELAY_S) / (MAX_START_DELAY_S - MIN_START_DELAY_S)
        retry_after_s = ceil(min(delay_s, MAX_START_DELAY_S))
        return Restriction("the owner is behind", min(share, 1.0), retry_after_s)

    def refusal(self, now: float) -> Restriction | None:
        """Return why this submission must be refused, or ``None`` to admit it."""
        restriction = self.restriction(now)
        if restriction is None or self._rng.random() >= restriction.share:
            return None
        return restriction

    def _start_delay_s(self, status: OwnerStatus, now: float) -> float:
        """Return for how long new jobs wait for the owner, as its status shows."""
        unknown = self._unknown_to_owner
        while unknown and unknown[0][0] <= status.known_revision:
            unknown.popleft()
        if not unknown:
            return status.start_delay_s
        unknown_for_s = now - unknown[0][1] - STATUS_AGE_S
        return max(status.start_delay_s, unknown_for_s)

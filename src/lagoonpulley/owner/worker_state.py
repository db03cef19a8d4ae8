"""State that the owner keeps about one worker: clock, leases and tracked runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..planning.worker_failures import StallDetector

if TYPE_CHECKING:
    from ..upstream.directory import WorkerInfo
    from ..upstream.tasks import TaskRef, WorkerReport

__all__ = ["TrackedRun", "WorkerState"]

MS_PER_S = 1000
# Share by which a worker's clock may run slower than the owner's.
CLOCK_DRIFT_RATIO = 0.02
# Added to the computed end of a lease before the lease counts as expired.
LEASE_MARGIN_S = 0.3
# Consecutive failed syncs after which a worker counts as unresponsive.
UNRESPONSIVE_AFTER_FAILURES = 2


@dataclass(slots=True, eq=False)
class TrackedRun:
    """A run that occupies, or may occupy, capacity on a worker.

    ``placed_at`` is when the task was placed here, or read from the store.
    ``start_sent_at`` is when its start was first sent, ``None`` before that and for a
    run that was read from the store.
    ``start_resolved_at`` is when it became certain that no start command in flight
    can start the run any more, ``None`` before that; a sync sent later shows whether
    the run exists.
    ``has_run`` is set once the worker is known to have carried out the start.
    ``is_blamed`` is set when the run is counted for a crash of its worker.
    ``not_after_ms`` is the time on the worker's clock after which the worker refuses a
    start command in flight. ``listed`` is set once the worker's current incarnation
    has listed the run. Times without a unit are monotonic seconds.
    """

    ref: TaskRef
    placed_at: float
    has_run: bool = False
    is_blamed: bool = False
    not_after_ms: int = 0
    start_sent_at: float | None = None
    start_resolved_at: float | None = None
    listed: bool = False
    stop_requested: bool = False
    stop_sent_at: float = float("-inf")
    progress: StallDetector = field(default_factory=StallDetector)

    def mark_start_unresolved(self) -> None:
        """Request a stop, as the start may still reach another incarnation.

        ``not_after_ms`` is void there, because each incarnation has its own clock.
        """
        self.start_resolved_at = None
        self.not_after_ms = 0
        self.stop_requested = True


@dataclass(slots=True, eq=False)
class WorkerState:
    """One worker as the owner knows it.

    ``fenced`` is set once the worker has accepted this owner's token and listed its
    runs. ``leases_expire_at`` is when every lease on the worker has certainly expired
    if nothing more reaches it, in monotonic seconds. ``processed`` and
    ``acknowledged`` are numbers of ended runs in the worker's own numbering; an end is
    acknowledged only after the commit that records it. ``position`` orders workers by
    when they first became known. ``alive_at`` is when it was last known to live, in
    monotonic seconds. ``closed_at`` is since when it refuses connections or has closed
    them, as after a crash, in monotonic seconds. ``blamed_runs`` are those that were
    blamed for its crash.
    """

    info: WorkerInfo
    max_lease_s: float
    leases_expire_at: float
    position: int = 0
    fenced: bool = False
    clock_ms: int | None = None
    clock_at: float = 0.0
    processed: int = 0
    acknowledged: int = 0
    pending_commits: int = 0
    syncing: bool = False
    next_sync_at: float = 0.0
    failures: int = 0
    missing_since: float | None = None
    alive_at: float | None = None
    closed_at: float | None = None
    blamed_runs: dict[TaskRef, float] = field(default_factory=dict)
    tracked_by_ref: dict[TaskRef, TrackedRun] = field(default_factory=dict)

    @property
    def closed(self) -> bool:
        """Whether the worker refuses connections or has closed them."""
        return self.closed_at is not None

    @property
    def is_available(self) -> bool:
        """Whether the worker has accepted the token and responds."""
        return self.fenced and self.is_responsive

    @property
    def is_responsive(self) -> bool:
        """Whether the latest syncs did not all fail; true before the first sync."""
        return self.failures < UNRESPONSIVE_AFTER_FAILURES

    def min_clock_ms(self, now: float) -> int:
        """Return the lowest time that the worker's clock can show now."""
        elapsed_s = max(0.0, now - self.clock_at) * (1.0 - CLOCK_DRIFT_RATIO)
        return int((self.clock_ms or 0) + elapsed_s * MS_PER_S)

    def grant_lease(self, now: float, lease_s: float) -> int | None:
        """Extend ``leases_expire_at`` by a lease and return its end.

        :param lease_s: length of the lease in seconds, from ``now`` on.
        :returns: the end in milliseconds on the worker's clock, or ``None`` while that
            clock is unknown.
        """
        if self.clock_ms is None:
            return None
        until_ms = self.min_clock_ms(now) + int(lease_s * MS_PER_S)
        left_s = (until_ms - self.clock_ms) / MS_PER_S / (1.0 - CLOCK_DRIFT_RATIO)
        self.leases_expire_at = max(
            self.leases_expire_at, self.clock_at + left_s + LEASE_MARGIN_S
        )
        return until_ms

    def record_report(self, report: WorkerReport, now: float) -> None:
        """Record a report received now: the worker is fenced and responds."""
        self.clock_ms = report.clock_ms
        self.clock_at = now
        self.fenced = True
        self.failures = 0
        self.alive_at = now
        self.closed_at = None

    def record_closed(self, was_sent: bool, now: float) -> None:
        """Record that the worker refused a connection for a call, or closed it.

        :param was_sent: whether the call had been sent, so that the worker lived until
            now.
        """
        if was_sent and not self.closed:
            self.alive_at = now
        self.mark_closed(now)

    def mark_closed(self, now: float) -> None:
        """Record that the worker has closed its connections, unless it had before."""
        if self.closed_at is None:
            self.closed_at = now

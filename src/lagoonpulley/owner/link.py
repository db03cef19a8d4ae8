"""What the owner knows of one worker: clock, lease, acknowledged ends."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..planning.worker_failures import StallDetector

if TYPE_CHECKING:
    from ..upstream.directory import WorkerInfo
    from ..upstream.tasks import TaskRef, WorkerReport

__all__ = ["Hold", "WorkerLink"]

MS_PER_S = 1000
# A worker's clock may run this much slow.
CLOCK_DRIFT = 0.02
LEASE_MARGIN_S = 0.3
MOST_LOST_ANSWERS = 2


@dataclass(slots=True, eq=False)
class Hold:
    """A run that holds room on a worker, as far as the owner knows.

    ``settled_at`` is when it became certain that no order on its way can start it
    any more; a list made after that tells whether it runs. ``not_after_ms`` is the
    worker's clock after which a start on its way is refused. ``listed`` says that the
    worker's present lifetime has listed the run. Times are monotonic seconds.
    """

    ref: TaskRef
    not_after_ms: int = 0
    settled_at: float | None = None
    listed: bool = False
    stop_wanted: bool = False
    stop_sent_at: float = float("-inf")
    progress: StallDetector = field(default_factory=StallDetector)

    def doubt_start(self) -> None:
        """Note that the start may still reach another lifetime of its worker.

        The time after which it is refused does not hold there: each lifetime has a
        clock of its own.
        """
        self.settled_at = None
        self.not_after_ms = 0
        self.stop_wanted = True


@dataclass(slots=True, eq=False)
class WorkerLink:
    """One lifetime of a worker, seen from its owner.

    ``fenced`` says that it has seen this owner's token and told what runs.
    ``dead_at`` is when everything on it has surely ended if nothing more reaches
    it, in monotonic seconds.
    """

    info: WorkerInfo
    longest_lease_s: float
    dead_at: float
    fenced: bool = False
    clock_ms: int | None = None
    clock_at: float = 0.0
    processed: int = 0
    acknowledged: int = 0
    waiting_commits: int = 0
    syncing: bool = False
    next_sync_at: float = 0.0
    failures: int = 0
    missing_since: float | None = None
    hold_by_ref: dict[TaskRef, Hold] = field(default_factory=dict)

    @property
    def is_answering(self) -> bool:
        """Whether the worker has seen the token and is heard."""
        return self.fenced and self.is_heard

    @property
    def is_heard(self) -> bool:
        """Whether one of the last questions was answered."""
        return self.failures < MOST_LOST_ANSWERS

    def clock_now_ms(self, now: float) -> int:
        """Return the least that the worker's clock can show now."""
        elapsed_s = max(0.0, now - self.clock_at) * (1.0 - CLOCK_DRIFT)
        return int((self.clock_ms or 0) + elapsed_s * MS_PER_S)

    def lease_until_ms(self, now: float, lease_s: float) -> int | None:
        """Return the end of a lease that begins now, and count with it.

        :param lease_s: length in seconds.
        :returns: ``None`` when the worker's clock is not known yet.
        """
        if self.clock_ms is None:
            return None
        until_ms = self.clock_now_ms(now) + int(lease_s * MS_PER_S)
        left_s = (until_ms - self.clock_ms) / MS_PER_S / (1.0 - CLOCK_DRIFT)
        self.dead_at = max(self.dead_at, self.clock_at + left_s + LEASE_MARGIN_S)
        return until_ms

    def note_report(self, report: WorkerReport, now: float) -> None:
        """Take in the clock of an answer received now."""
        self.clock_ms = report.clock_ms
        self.clock_at = now
        self.fenced = True
        self.failures = 0

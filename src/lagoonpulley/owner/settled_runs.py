"""Tells the next owner which of the stored runs their workers have survived."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .crashes import is_settled

if TYPE_CHECKING:
    from ..upstream.tasks import TaskRef
    from .journal import Journal
    from .worker_state import TrackedRun, WorkerState

__all__ = ["SettledRuns"]


@dataclass(slots=True, eq=False)
class _Hold:
    """A run that has not settled; documents up to ``revision`` do not contain it."""

    worker: WorkerState
    tracked: TrackedRun
    incarnation: int
    revision: int
    awaits_commit: bool = False

    @property
    def is_current(self) -> bool:
        """Whether the run is where it was started, and no crash is known there."""
        known = self.worker.tracked_by_ref.get(self.tracked.ref)
        is_same_life = self.worker.incarnation == self.incarnation
        return known is self.tracked and is_same_life and not self.tracked.is_blamed

    def has_settled(self, now: float) -> bool:
        """Return whether its worker has survived its start, and no other is on its way.

        :param now: monotonic time in seconds.
        """
        if self.tracked.may_start_late(now):
            return False
        return is_settled(self.tracked, self.worker.alive_at)


class SettledRuns:
    """Keeps the mark: runs in progress documents up to this revision have settled.

    A run holds the mark back until its worker has survived its start and no other start
    of it is on its way, or until what happened instead, its end or a crash, is durable.
    The mark is part of the journal's head, which each commit writes, so it costs no
    call: an owner commits its status once a second.

    :param mark: the mark that the earlier owner has stored.
    """

    def __init__(self, mark: int) -> None:
        self._mark_of_earlier = mark
        self._hold_by_ref: dict[TaskRef, _Hold] = {}

    def restore(self, worker: WorkerState, tracked: TrackedRun, revision: int) -> None:
        """Mark a run that had settled under the earlier owner, or hold it.

        :param revision: revision of its progress document in the store.
        """
        tracked.had_settled = revision <= self._mark_of_earlier
        if not tracked.had_settled:
            self.hold(worker, tracked, revision - 1)

    def hold(self, worker: WorkerState, tracked: TrackedRun, revision: int) -> None:
        """Hold the mark back for a run.

        :param revision: below that of the first document with the run.
        """
        incarnation = worker.incarnation
        hold = _Hold(worker, tracked, incarnation, revision)
        self._hold_by_ref[tracked.ref] = hold

    def refresh(self, journal: Journal, now: float) -> None:
        """Release the runs that have settled, and those that have ended.

        :param now: monotonic time in seconds.
        """
        for hold in list(self._hold_by_ref.values()):
            if not hold.is_current:
                self._release_once_durable(hold, journal)
            elif hold.has_settled(now):
                del self._hold_by_ref[hold.tracked.ref]

    def _release_once_durable(self, hold: _Hold, journal: Journal) -> None:
        if hold.awaits_commit:
            return
        hold.awaits_commit = True
        ref = hold.tracked.ref

        def release() -> None:
            if self._hold_by_ref.get(ref) is hold:
                del self._hold_by_ref[ref]

        if not journal.call_once_durable(ref.job_id, release):
            release()

    def mark(self, head_revision: int) -> int:
        """Return up to which revision the runs in all documents have settled."""
        held = (hold.revision for hold in self._hold_by_ref.values())
        return min(held, default=head_revision)

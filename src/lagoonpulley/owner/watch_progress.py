"""Judges from the owner's own commits whether the watch of the jobs is silent."""

from __future__ import annotations

from collections import deque

__all__ = ["WatchProgress"]

# A working watch reports this owner's own commits within milliseconds, or about as
# late as it did before. One that does not is presumed to miss other changes as well.
MIN_SILENCE_S = 0.1
MAX_SILENCE_S = 1.0
SILENCE_PER_USUAL_LAG = 2.0
# Weight of the latest lag in the usual one, if it is the smaller.
LAG_WEIGHT = 0.25
# After a reread, the pause is at least the first and this multiple of the time during
# which its answers arrived.
MIN_REREAD_PAUSE_S = 0.2
PAUSE_PER_TRANSFER_TIME = 4.0
# The same before a reread without which the watch cannot go on.
RECOVERY_PAUSE_PER_TRANSFER_TIME = 2.0


class WatchProgress:
    """The commits of this owner that the watch has not reported yet.

    Times are monotonic seconds.

    :param load_s: how long answers arrived during the read of all jobs that has just
        ended. It counts like a reread: repeating it soon would keep a slow link busy.
    """

    def __init__(self, now: float, load_s: float = 0.0) -> None:
        self.seen_revision = 0
        self._unseen: deque[tuple[int, float]] = deque()
        self._usual_lag_s = 0.0
        self._is_rereading = False
        self._next_reread_at = now + PAUSE_PER_TRANSFER_TIME * load_s
        self._next_recovery_at = now

    @property
    def committed_revision(self) -> int:
        """The revision of the latest commit."""
        return self._unseen[-1][0] if self._unseen else self.seen_revision

    def record_commit(self, revision: int, now: float) -> None:
        """Record a commit that a working watch will report."""
        if revision > self.committed_revision:
            self._unseen.append((revision, now))

    def record_watch(self, revision: int, has_changes: bool, now: float) -> None:
        """Record an answer of the watch.

        :param revision: the revision that the watch has reached.
        :param has_changes: whether the answer reports changes.
        """
        self.seen_revision = max(self.seen_revision, revision)
        lag_s = 0.0
        while self._unseen and self._unseen[0][0] <= self.seen_revision:
            _, committed_at = self._unseen.popleft()
            lag_s = max(lag_s, now - committed_at)
        if has_changes and lag_s > self._usual_lag_s:
            self._usual_lag_s = lag_s
        elif has_changes:
            self._usual_lag_s += LAG_WEIGHT * (lag_s - self._usual_lag_s)

    def needs_reread(self, now: float) -> bool:
        """Return whether the watch is silent and a reread is due."""
        if not self._unseen or self._is_rereading:
            return False
        silence_s = max(MIN_SILENCE_S, SILENCE_PER_USUAL_LAG * self._usual_lag_s)
        _, committed_at = self._unseen[0]
        if now - committed_at < min(MAX_SILENCE_S, silence_s):
            return False
        return now >= self._next_reread_at

    def may_recover(self, now: float) -> bool:
        """Return whether a reread may begin that the watch needs in order to go on.

        The first one may follow the load of all jobs at once.
        """
        return not self._is_rereading and now >= self._next_recovery_at

    def begin_reread(self) -> None:
        """Record that a reread began; none is due until it has ended."""
        self._is_rereading = True

    def end_reread(self, now: float, transfer_s: float) -> None:
        """Record that the reread ended.

        The pause leaves most of a slow link to other calls. Time that the reread spent
        without answers did not occupy the link.

        :param transfer_s: how long answers of the reread arrived, in seconds.
        """
        pause_s = PAUSE_PER_TRANSFER_TIME * transfer_s
        self._next_reread_at = now + max(MIN_REREAD_PAUSE_S, pause_s)
        pause_s = RECOVERY_PAUSE_PER_TRANSFER_TIME * transfer_s
        self._next_recovery_at = now + max(MIN_REREAD_PAUSE_S, pause_s)
        self._is_rereading = False

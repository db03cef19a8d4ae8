"""Commands that simulated workers carry out late, and permits that expire meanwhile."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from lagoonpulley.upstream.tasks import StartTask, StopTask, SyncWorker

__all__ = ["LateCommand", "Lateness", "Permit", "shift_times"]


@dataclass(frozen=True)
class Lateness:
    """Which commands a worker leaves unanswered and carries out late, each by how much.

    :param share: how many of them, drawn for each.
    :param min_s: least delay of a command; its delay is drawn for each.
    :param spares_polls: whether syncs that extend no lease are answered in time, so
        that the owner sends those that do.
    """

    share: float = 1.0
    kinds: tuple[type, ...] = (StartTask, StopTask, SyncWorker)
    min_s: float = 2.0
    max_s: float = 12.0
    spares_polls: bool = False

    def is_spared(self, command: object) -> bool:
        """Return whether a command is answered in time in any case."""
        is_sync = isinstance(command, SyncWorker)
        if self.spares_polls and is_sync and command.lease_until_ms is None:
            return True
        return not isinstance(command, self.kinds)


@dataclass(frozen=True)
class LateCommand:
    """A command that an incarnation of a worker carried out late, and its result.

    ``sent_to`` is the ``born`` of the incarnation that it was sent to.
    ``was_cut_off`` tells whether no entry reached the worker then, ``began_run``
    whether a run began, ``kept_runs`` whether the lease of runs there was extended.
    """

    command: Any
    worker_id: str
    sent_to: int
    carried_out_by: int
    result: Any
    was_cut_off: bool = False
    began_run: bool = False
    kept_runs: bool = False


@dataclass(frozen=True)
class Permit:
    """What a permit of the advisor allows: the starts of one step, on one incarnation.

    ``step`` is the job's id with the numbers of the occurrence and the step.
    """

    step: tuple[str, int, int]
    worker_id: str
    born: int
    expires_at: float


def shift_times(command: Any, late_s: float) -> Any:
    """Return a command whose times on the worker's clock are later by some seconds."""
    late_ms = int(late_s * 1000)
    if isinstance(command, StartTask):
        return replace(command, not_after_ms=command.not_after_ms + late_ms)
    if isinstance(command, SyncWorker) and command.lease_until_ms is not None:
        return replace(command, lease_until_ms=command.lease_until_ms + late_ms)
    return command

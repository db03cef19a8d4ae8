"""Periodic log line about the load of the owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..observability.events import log_event
from ..runtime.entry_load import call_fields, share_by_role
from ..runtime.load import RoleLoad
from ..runtime.role import STORE
from ..store.messages import GrantLease, RevokeLease, Transaction

if TYPE_CHECKING:
    from ..runtime.load import LoadInterval, LoadSource
    from ..runtime.work_meter import WorkLoad, WorkMeter
    from .settings import OwnerSettings
    from .term import OwnerTerm

__all__ = ["OwnerLoadLog"]

LOG_INTERVAL_S = 2.0
MAX_LOGGED_KINDS = 8
MAX_LOGGED_WORK = 12
OWNER_ROLE = "owner"
NO_ROLE_LOAD = RoleLoad(0, 0.0, 0.0, 0, {})
# The store counts every other operation as a read.
WRITE_OPERATIONS = frozenset(
    operation.__name__ for operation in (Transaction, GrantLease, RevokeLease)
)


class OwnerLoadLog:
    """Writes ``owner_load`` at an interval while this entry is the owner."""

    def __init__(
        self, settings: OwnerSettings, load: LoadSource, work: WorkMeter
    ) -> None:
        self._settings = settings
        self._load = load
        self._work = work
        self._next_at = 0.0
        self._commits = 0
        self._commits_s = 0.0

    def begin(self, at: float) -> None:
        """Begin the first interval of a term.

        :param at: monotonic time in seconds.
        """
        self._load.read(at)
        self._work.take()
        self._next_at = at + LOG_INTERVAL_S
        self._commits = 0
        self._commits_s = 0.0

    def record_commit(self, took_s: float) -> None:
        """Count a commit.

        :param took_s: seconds from its first attempt to the store's answer.
        """
        self._commits += 1
        self._commits_s += took_s

    def write_if_due(self, term: OwnerTerm, at: float) -> None:
        """Write the line if an interval has ended.

        :param at: monotonic time in seconds.
        """
        if at < self._next_at:
            return
        self._next_at = at + LOG_INTERVAL_S
        interval = self._load.read(at)
        work, counts = self._work.take()
        commits, self._commits = self._commits, 0
        commits_s, self._commits_s = self._commits_s, 0.0
        if interval.duration_s <= 0:
            return
        log_event(
            "owner_load",
            token=term.token,
            interval_s=round(interval.duration_s, 3),
            processor_share=round(interval.processor_s / interval.duration_s, 3),
            **_role_fields(interval),
            work=_work_field(work, interval.duration_s),
            planned=counts,
            **call_fields(interval),
            **self._rate_fields(interval),
            store_operations=interval.calls_by_port.get(STORE, {}),
            jobs=len(term.record_by_id),
            workers=len(term.worker_by_id),
            waiting_steps=len(term.backlog.in_order()),
            running_tasks=_count_running(term),
            waiting_records=term.journal.waiting_records,
            commits=commits,
            mean_commit_s=round(commits_s / commits, 4) if commits else None,
        )

    def _rate_fields(self, interval: LoadInterval) -> dict[str, Any]:
        writes = reads = 0
        for operation, load in interval.calls_by_port.get(STORE, {}).items():
            if operation in WRITE_OPERATIONS:
                writes += load.calls
            else:
                reads += load.calls
        settings = self._settings
        return {
            "store_writes_per_s": round(writes / interval.duration_s, 1),
            "store_reads_per_s": round(reads / interval.duration_s, 1),
            "all_entries_max_writes_per_s": settings.store_writes_per_s,
            "all_entries_max_reads_per_s": settings.store_reads_per_s,
            "max_link_bytes_per_s": settings.link_bytes_per_s,
        }


def _role_fields(interval: LoadInterval) -> dict[str, Any]:
    owner = interval.role_by_name.get(OWNER_ROLE, NO_ROLE_LOAD)
    kinds = sorted(owner.by_kind.items(), key=lambda item: item[1].busy_s, reverse=True)
    busiest = {
        kind: [load.messages, round(load.busy_s / interval.duration_s, 3)]
        for kind, load in kinds[:MAX_LOGGED_KINDS]
    }
    return {
        "messages_per_s": round(owner.messages / interval.duration_s, 1),
        "busy_share": round(owner.busy_s / interval.duration_s, 3),
        "max_delay_s": round(owner.max_delay_s, 3),
        "queued": owner.queued,
        "busiest_kinds": busiest,
        "roles_busy_share": share_by_role(interval),
        "roles_max_delay_s": round(interval.max_delay_s(), 3),
    }


def _work_field(
    load_by_kind: dict[str, WorkLoad], duration_s: float
) -> dict[str, list[float]]:
    kinds = sorted(load_by_kind.items(), key=lambda item: item[1].busy_s, reverse=True)
    return {
        kind: [load.times, round(load.busy_s / duration_s, 3)]
        for kind, load in kinds[:MAX_LOGGED_WORK]
    }


def _count_running(term: OwnerTerm) -> int:
    return sum(len(worker.tracked_by_ref) for worker in term.worker_by_id.values())

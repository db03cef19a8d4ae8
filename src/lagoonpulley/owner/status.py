"""Status of the working owner, stored for all entries to read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import BaseModel

from ..workload.documents import JOBS_PREFIX

if TYPE_CHECKING:
    from ..runtime.role import Now
    from .start_backlog import StartBacklog
    from .term import OwnerTerm

__all__ = ["STATUS_KEY", "OwnerStatus", "OwnerStatusWriter"]

# Below the jobs, so that the owner's watch of them reports each heartbeat: an owner
# without other commits notices in this way that the watch is silent.
STATUS_KEY = JOBS_PREFIX + "status"
WRITE_INTERVAL_S = 1.0


class OwnerStatus(BaseModel):
    """Heartbeat of an owner that has loaded all jobs and may start tasks.

    ``number`` rises with each write under one ``token``. The owner knows every job
    stored up to ``known_revision``. ``start_delay_s`` is for how long a new job waits
    because the owner is slow, in seconds. ``held_tasks`` counts the tasks of all jobs
    in its memory.
    """

    token: int
    number: int
    known_revision: int
    start_delay_s: float = 0.0
    held_tasks: int = 0


class OwnerStatusWriter:
    """Writes the status once a second while the owner can start tasks.

    It is written by the journal, so an owner whose commits fail sends no heartbeat.
    """

    def __init__(self) -> None:
        self._next_at = 0.0
        self._number = 0

    def write_if_due(
        self, term: OwnerTerm, backlog: StartBacklog, known_revision: int, now: Now
    ) -> None:
        """Enqueue the next heartbeat if one is due."""
        if now.mono < self._next_at or not term.may_plan():
            return
        self._next_at = now.mono + WRITE_INTERVAL_S
        self._number += 1
        status = OwnerStatus(
            token=term.token,
            number=self._number,
            known_revision=known_revision,
            start_delay_s=round(backlog.measure_delay_s(term, now.mono), 3),
            held_tasks=term.held_tasks(),
        )
        term.journal.enqueue_value(STATUS_KEY, status.model_dump_json())

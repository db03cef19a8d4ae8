"""Log line about a step that waits for workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..observability.events import log_event
from ..planning.advice_requests import find_room

if TYPE_CHECKING:
    from ..planning.demand import Demand
    from .term import OwnerTerm

__all__ = ["log_waiting_step"]


def log_waiting_step(term: OwnerTerm, demand: Demand, waiting_steps: int) -> None:
    """Write ``step_waits``: what a step waits for, and what room there is for it.

    :param waiting_steps: number of all steps that wait.
    """
    spec = demand.record.spec
    now = term.now
    permits = term.permits.for_step(spec.id, demand.key)
    room, unknown = find_room(term.cell, demand, permits, now.mono, {})
    log_event(
        "step_waits",
        job=spec.id,
        step=list(demand.key),
        team=spec.team,
        blocked=demand.block_reason,
        tasks=len(demand.record.waiting_by_step.get(demand.key, ())),
        asking=permits.request_pending,
        postponed=permits.request_postponed,
        asks_again_in_s=round(max(0.0, permits.next_request_at - now.mono), 3),
        allowed=len(permits.allowed_ids),
        room_allowed=room,
        room_unknown=sum(copies for copies, _ in unknown),
        fits_drained=demand.fits_drained_workers,
        waited_s=round(now.wall - spec.submitted_at, 3),
        waiting_steps=waiting_steps,
    )

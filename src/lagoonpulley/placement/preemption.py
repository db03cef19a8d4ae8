"""Chooses the running tasks to preempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.job import JobKind
from .events import Preempt

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from ..model.resources import Resources
    from .events import Decision, PreemptReason
    from .state import PlacedTask
    from .teams import Team
    from .workers import Worker, WorkerTable

__all__ = [
    "choose_victims",
    "choose_victims_over_capacity",
    "choose_victims_over_limit",
    "preempt",
]


MAX_WORKERS_EXAMINED = 48


def choose_victims(
    worker_table: WorkerTable,
    placed_by_task_id: Mapping[str, PlacedTask],
    team_names: Collection[str],
    request: Resources,
) -> list[PlacedTask]:
    """Return the newest batch tasks of one worker that make room for a request.

    The worker is the one on which the fewest tasks have to end. Each call examines
    up to :data:`MAX_WORKERS_EXAMINED` workers, continuing after those of the
    previous call.

    :param team_names: teams whose repeatable batch tasks may be preempted.
    :returns: an empty list when no examined worker can make enough room.
    """
    best: list[PlacedTask] = []
    for worker in worker_table.next_round_robin(MAX_WORKERS_EXAMINED):
        if not request.fits_in(worker.capacity):
            continue
        candidates = [
            placed_by_task_id[task_id]
            for task_id in worker.task_ids
            if _is_preemptible(placed_by_task_id[task_id], team_names)
        ]
        victims = _select_victims(worker, candidates, request)
        if victims and (not best or len(victims) < len(best)):
            best = victims
            if len(best) == 1:
                break
    return best


def _is_preemptible(placed: PlacedTask, team_names: Collection[str]) -> bool:
    if placed.preemption_requested or not placed.job.repeatable:
        return False
    return placed.job.kind is JobKind.BATCH and placed.job.team in team_names


def _select_victims(
    worker: Worker, candidates: list[PlacedTask], request: Resources
) -> list[PlacedTask]:
    free = worker.free
    victims: list[PlacedTask] = []
    candidates.sort(key=lambda placed: -placed.placed_at)
    for placed in candidates:
        if request.fits_in(free):
            break
        victims.append(placed)
        free = free.plus(placed.job.request)
    return victims if request.fits_in(free) else []


def choose_victims_over_limit(
    team: Team, placed: Iterable[PlacedTask]
) -> list[PlacedTask]:
    """Return the newest tasks of a team whose end brings it within its limit.

    Tasks that may not be repeated are not preempted and run to their end.
    """
    limit = team.policy.limit
    used = team.used
    own = [task for task in placed if task.job.team == team.name]
    for task in own:
        if task.preemption_requested:
            used = used.minus(task.job.request)
    victims: list[PlacedTask] = []
    own.sort(key=lambda task: -task.placed_at)
    for task in own:
        if limit is None or used.fits_in(limit):
            break
        if task.preemption_requested or not task.job.repeatable:
            continue
        victims.append(task)
        used = used.minus(task.job.request)
    return victims


def choose_victims_over_capacity(
    worker: Worker, placed: Iterable[PlacedTask]
) -> list[PlacedTask]:
    """Return the newest tasks whose end brings a worker within its capacity.

    Tasks that may not be repeated are not preempted and run to their end.
    """
    free = worker.free
    own = sorted(placed, key=lambda task: -task.placed_at)
    for task in own:
        if task.preemption_requested:
            free = free.plus(task.job.request)
    victims: list[PlacedTask] = []
    for task in own:
        if min(free) >= 0:
            break
        if task.preemption_requested or not task.job.repeatable:
            continue
        victims.append(task)
        free = free.plus(task.job.request)
    return victims


def preempt(
    victims: list[PlacedTask], reason: PreemptReason, decisions: list[Decision]
) -> None:
    """Append a decision for each task whose preemption is not yet requested."""
    for placed in victims:
        if placed.preemption_requested:
            continue
        placed.preemption_requested = True
        decisions.append(Preempt(placed.task_id, placed.worker.id, reason))

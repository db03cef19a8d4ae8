"""Choice of running tasks that give up their room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.job import JobKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..model.resources import Resources
    from .core import PlacedTask
    from .teams import Team
    from .workers import Worker, WorkerTable

__all__ = ["choose_over_capacity", "choose_over_limit", "choose_victims"]

SMALLEST_WEIGHT = 1e-6


def choose_victims(
    table: WorkerTable,
    placed_by_task_id: Mapping[str, PlacedTask],
    team_by_name: Mapping[str, Team],
    urgent_team: Team,
    request: Resources,
) -> list[PlacedTask]:
    """Return the fewest batch tasks of one worker that make room for urgent work.

    Only repeatable batch tasks of teams that stand above the urgent team, by
    share over weight, are taken, so a team that floods the cell with urgent work
    gains nothing by it.

    :returns: an empty list when no worker can be freed this way.
    """
    best: list[PlacedTask] = []
    for worker in table.accepting():
        candidates = [
            placed_by_task_id[task_id]
            for task_id in worker.task_ids
            if _may_yield(placed_by_task_id[task_id], team_by_name, urgent_team)
        ]
        victims = _fewest(worker, candidates, request)
        if victims and (not best or len(victims) < len(best)):
            best = victims
            if len(best) == 1:
                break
    return best


def _may_yield(
    placed: PlacedTask, team_by_name: Mapping[str, Team], urgent_team: Team
) -> bool:
    if placed.preempting or placed.job.kind is not JobKind.BATCH:
        return False
    if not placed.job.repeatable:
        return False
    if placed.job.team == urgent_team.name:
        return True
    return _rank(team_by_name[placed.job.team]) >= _rank(urgent_team)


def _rank(team: Team) -> float:
    return team.share / max(team.policy.weight, SMALLEST_WEIGHT)


def _fewest(
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


def choose_over_limit(team: Team, placed: Iterable[PlacedTask]) -> list[PlacedTask]:
    """Return the newest tasks of a team whose end brings it within its limit.

    Tasks that may not be repeated are left to end by themselves.
    """
    limit = team.policy.limit
    used = team.used
    own = [task for task in placed if task.job.team == team.name]
    for task in own:
        if task.preempting:
            used = used.minus(task.job.request)
    victims: list[PlacedTask] = []
    own.sort(key=lambda task: -task.placed_at)
    for task in own:
        if limit is None or used.fits_in(limit):
            break
        if task.preempting or not task.job.repeatable:
            continue
        victims.append(task)
        used = used.minus(task.job.request)
    return victims


def choose_over_capacity(
    worker: Worker, placed: Iterable[PlacedTask]
) -> list[PlacedTask]:
    """Return the newest tasks whose end brings a worker within its capacity.

    Tasks that may not be repeated are left to end by themselves.
    """
    free = worker.free
    own = sorted(placed, key=lambda task: -task.placed_at)
    for task in own:
        if task.preempting:
            free = free.plus(task.job.request)
    victims: list[PlacedTask] = []
    for task in own:
        if min(free) >= 0:
            break
        if task.preempting or not task.job.repeatable:
            continue
        victims.append(task)
        free = free.plus(task.job.request)
    return victims

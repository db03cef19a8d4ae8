"""Capacity of the workers, and the resources that each team has claimed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model.resources import ZERO, Resources
from .worker_speed import SpeedTier

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..upstream.directory import WorkerInfo
    from ..upstream.tasks import TaskRef
    from ..workload.spec import StepKey, StepSpec
    from .permits import StepPermits

__all__ = ["SLOW_RUN_RATIO", "Cell", "CellWorker", "Changes", "Claim"]

# How much longer than declared a task may take on a slow worker.
SLOW_RUN_RATIO = 2.5


@dataclass(frozen=True, slots=True)
class Claim:
    """Resources that one run uses, or may use, on a worker.

    ``capacity_request`` counts against the worker's capacity, ``request`` against
    the team's limit. A ``long_running`` run ends only with its job; any other should
    have ended at ``expected_end``, in monotonic seconds, also on a slow worker.
    """

    ref: TaskRef
    team: str
    request: Resources
    capacity_request: Resources
    long_running: bool = False
    expected_end: float = float("-inf")

    @classmethod
    def from_step(cls, ref: TaskRef, team: str, step: StepSpec, now: float) -> Claim:
        """Return the claim of a run that begins now, at a monotonic time in seconds."""
        expected_end = now + step.estimate_s * SLOW_RUN_RATIO
        return cls(
            ref,
            team,
            step.request,
            step.capacity_request,
            step.long_running,
            expected_end,
        )


@dataclass(slots=True, eq=False)
class CellWorker:
    """One worker, its capacity and the claims on it.

    ``free`` is the capacity that no run has claimed, ``used_long`` what long-running
    tasks have claimed. ``placed_at`` is when a task was
    last placed here, ``crashed_at`` when the worker at this address last crashed. Times
    are in monotonic seconds.
    """

    info: WorkerInfo
    accepting: bool = False
    avoid_until: float = 0.0
    probation_until: float = 0.0
    placed_at: float = float("-inf")
    crashed_at: float | None = None
    speed_tier: SpeedTier = SpeedTier.USUAL
    used: Resources = ZERO
    used_long: Resources = ZERO
    free: Resources = field(init=False)
    claim_by_ref: dict[TaskRef, Claim] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._refresh_free()

    def set_info(self, info: WorkerInfo) -> None:
        """Replace the description, which may change the capacity."""
        self.info = info
        self._refresh_free()

    def add_claim(self, claim: Claim) -> None:
        """Add the claim of a run."""
        self.claim_by_ref[claim.ref] = claim
        self.used = self.used.plus(claim.capacity_request)
        if claim.long_running:
            self.used_long = self.used_long.plus(claim.capacity_request)
        self._refresh_free()

    def remove_claim(self, claim: Claim) -> None:
        """Remove the claim of a run."""
        del self.claim_by_ref[claim.ref]
        self.used = self.used.minus(claim.capacity_request)
        if claim.long_running:
            self.used_long = self.used_long.minus(claim.capacity_request)
        self._refresh_free()

    def _refresh_free(self) -> None:
        self.free = self.info.capacity.minus(self.used)

    def free_beside(self, reserved_by_worker_id: dict[str, Resources]) -> Resources:
        """Return what is free here and not reserved."""
        reserved = reserved_by_worker_id.get(self.info.id)
        return self.free.minus(reserved) if reserved else self.free

    def count_when_drained(self, step: StepSpec) -> int:
        """Return how many tasks of a step fit once all runs that end have ended."""
        room = self.info.capacity.minus(self.used_long)
        counts = [
            have // want for want, have in zip(step.capacity_request, room) if want
        ]
        if step.most_per_worker:
            counts.append(step.most_per_worker)
        return max(0, min(counts, default=step.count))

    def count_of(self, job_id: str, step_key: StepKey) -> int:
        """Return how many tasks of a step have a claim here."""
        count = 0
        for ref in self.claim_by_ref:
            if ref.job_id == job_id and ref.key.step_key == step_key:
                count += 1
        return count


@dataclass(slots=True, eq=False)
class Changes:
    """Workers with capacity to check again, and teams that released resources.

    Valid for one planning round, in which capacity is claimed but not released.
    """

    freed: tuple[CellWorker, ...]
    teams_with_releases: set[str]
    _misfits: set[Resources] = field(default_factory=set)
    _fits_unreserved: dict[Resources, bool] = field(default_factory=dict)

    def may_fit_unreserved(self, request: Resources) -> bool:
        """Return whether a task of this size fits but for the reservations."""
        fits = self._fits_unreserved.get(request)
        if fits is None:
            fits = any(
                worker.accepting and request.fits_in(worker.free)
                for worker in self.freed
            )
            self._fits_unreserved[request] = fits
        return fits

    def may_fit(
        self,
        request: Resources,
        reserved_by_worker_id: dict[str, Resources],
        permits: StepPermits | None,
    ) -> bool:
        """Return whether a task of this size fits on one of the freed workers.

        A size that fits on none is not checked again: a round only adds claims and
        reservations.

        :param permits: what the step's advisor has said, ``None`` without an advisor.
        """
        if request in self._misfits:
            return False
        fits = False
        for worker in self.freed:
            if not worker.accepting:
                continue
            if not request.fits_in(worker.free_beside(reserved_by_worker_id)):
                continue
            fits = True
            if permits is None or permits.may_run_on(worker.info.id):
                return True
        if not fits:
            self._misfits.add(request)
        return False


class Cell:
    """All workers of one owner.

    It collects the workers that may have gained capacity and the teams that released
    resources since the last call of :meth:`pop_changes`.
    """

    def __init__(self) -> None:
        self.worker_by_id: dict[str, CellWorker] = {}
        self.used_by_team: dict[str, Resources] = {}
        self._freed_by_id: dict[str, CellWorker] = {}
        self._teams_with_releases: set[str] = set()
        self._avoided_by_id: dict[str, CellWorker] = {}
        self._reserved_by_worker_id: dict[str, Resources] = {}

    def pop_changes(self, now: float) -> Changes:
        """Return and clear the changes since the last call.

        :param now: monotonic time in seconds.
        """
        for worker_id, worker in list(self._avoided_by_id.items()):
            if worker.avoid_until <= now:
                del self._avoided_by_id[worker_id]
                self._freed_by_id[worker_id] = worker
        changes = Changes(tuple(self._freed_by_id.values()), self._teams_with_releases)
        self._freed_by_id = {}
        self._teams_with_releases = set()
        return changes

    def mark_freed(self, workers: Iterable[CellWorker]) -> None:
        """Record that room on workers is no longer withheld from other steps."""
        for worker in workers:
            if self.worker_by_id.get(worker.info.id) is worker:
                self._freed_by_id[worker.info.id] = worker

    def record_reservations(self, reserved_by_worker_id: dict[str, Resources]) -> None:
        """Record what a round has withheld; where it is less, room counts as freed."""
        for worker_id, before in self._reserved_by_worker_id.items():
            present = reserved_by_worker_id.get(worker_id, ZERO)
            worker = self.worker_by_id.get(worker_id)
            if worker is not None and not before.fits_in(present):
                self._freed_by_id[worker_id] = worker
        self._reserved_by_worker_id = reserved_by_worker_id

    @property
    def has_changes(self) -> bool:
        """Whether :meth:`pop_changes` has something to return."""
        return bool(self._freed_by_id or self._teams_with_releases)

    def capacity(self) -> Resources:
        """Return the capacity of all workers that accept tasks."""
        total = ZERO
        for worker in self.worker_by_id.values():
            if worker.accepting:
                total = total.plus(worker.info.capacity)
        return total

    def avoid(self, worker_id: str, until: float) -> None:
        """Exclude a worker from placement until a monotonic time in seconds."""
        worker = self.worker_by_id.get(worker_id)
        if worker is not None:
            worker.avoid_until = until
            self._avoided_by_id[worker_id] = worker

    def begin_probation(self, worker: CellWorker, until: float) -> None:
        """Place nothing beside a task that may crash its worker until a time."""
        worker.probation_until = until
        self.avoid(worker.info.id, max(until, worker.avoid_until))

    def on_probation(self, now: float) -> int:
        """Return the number of workers with a task on probation."""
        return sum(w.probation_until > now for w in self.worker_by_id.values())

    def probation_ends_at(self, now: float) -> float:
        """Return when the next worker has no task on probation any more.

        :param now: monotonic time in seconds.
        :returns: monotonic time in seconds, infinity if no worker has such a task.
        """
        ends = [w.probation_until for w in self.worker_by_id.values()]
        return min((end for end in ends if end > now), default=float("inf"))

    def put_worker(self, info: WorkerInfo) -> CellWorker:
        """Add a worker or update its description."""
        worker = self.worker_by_id.get(info.id)
        if worker is None:
            worker = self.worker_by_id[info.id] = CellWorker(info)
        if worker.info != info:
            worker.set_info(info)
            self._freed_by_id[info.id] = worker
        return worker

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker and every claim on it."""
        worker = self.worker_by_id.pop(worker_id, None)
        if worker is None:
            return
        for claim in list(worker.claim_by_ref.values()):
            self._release_from_team(claim)
        self._freed_by_id.pop(worker_id, None)
        self._avoided_by_id.pop(worker_id, None)

    def set_accepting(self, worker_id: str, accepting: bool) -> bool:
        """Set whether tasks may be placed on a worker.

        :returns: whether the value changed.
        """
        worker = self.worker_by_id.get(worker_id)
        if worker is None or worker.accepting == accepting:
            return False
        worker.accepting = accepting
        self._freed_by_id[worker_id] = worker
        return True

    def set_speed_tier(self, worker_id: str, tier: SpeedTier) -> bool:
        """Set the speed of a worker; return whether it changed."""
        worker = self.worker_by_id.get(worker_id)
        if worker is None or worker.speed_tier is tier:
            return False
        worker.speed_tier = tier
        return True

    def is_overcommitted(self, worker_id: str) -> bool:
        """Return whether a worker's runs need more than its present capacity."""
        worker = self.worker_by_id.get(worker_id)
        return worker is not None and min(worker.free) < 0

    def claim(self, worker_id: str, claim: Claim) -> None:
        """Claim resources for a run; a repeated claim of the same run has no effect."""
        worker = self.worker_by_id[worker_id]
        if claim.ref in worker.claim_by_ref:
            return
        worker.add_claim(claim)
        self._add_to_team_usage(claim.team, claim.request)

    def release(self, worker_id: str, ref: TaskRef) -> None:
        """Release the resources of a run."""
        worker = self.worker_by_id.get(worker_id)
        claim = worker.claim_by_ref.get(ref) if worker else None
        if worker is None or claim is None:
            return
        worker.remove_claim(claim)
        self._freed_by_id[worker_id] = worker
        self._release_from_team(claim)

    def team_usage(self, team: str) -> Resources:
        """Return the resources that a team has claimed."""
        return self.used_by_team.get(team, ZERO)

    def _release_from_team(self, claim: Claim) -> None:
        self._add_to_team_usage(claim.team, ZERO.minus(claim.request))
        self._teams_with_releases.add(claim.team)

    def _add_to_team_usage(self, team: str, change: Resources) -> None:
        self.used_by_team[team] = self.team_usage(team).plus(change)

"""Jobs made of steps, as they were submitted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ..model.resources import Resources

__all__ = ["JobSpec", "StepKey", "StepSpec", "TaskKey"]


class StepKey(NamedTuple):
    """One step of one occurrence of a job."""

    occurrence: int
    step: int


class TaskKey(NamedTuple):
    """One task of one occurrence of a job."""

    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> StepKey:
        """The step that the task belongs to."""
        return StepKey(self.occurrence, self.step)


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Equal tasks that may run once all steps in ``after`` are done.

    ``gang`` tasks run only together. ``backfill`` tasks take the processors that
    others leave unused, so theirs do not count against a worker's capacity.
    ``tail_target_s`` bounds the tail of the response times of a serving task;
    ``may_miss`` of a long-running step's tasks may be away at once for reasons of
    the scheduler's own.
    """

    count: int
    request: Resources
    estimate_s: float
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    most_per_worker: int = 0
    saves_progress: bool = False
    speculative: bool = False
    long_running: bool = False
    may_miss: int | None = None
    image: str = ""
    tail_target_s: float = 0.0
    backfill: bool = False

    @property
    def capacity_request(self) -> Resources:
        """What one task counts against a worker's capacity."""
        if not self.backfill:
            return self.request
        return self.request._replace(processors_milli=0)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A submitted job.

    Its steps run once, or ``repeats`` times from ``first_at`` on, every
    ``interval_s`` seconds. Times are seconds of the wall clock.
    """

    id: str
    queue: str
    team: str
    payload: str
    steps: tuple[StepSpec, ...]
    submitted_at: float
    first_at: float = 0.0
    interval_s: float = 0.0
    repeats: int = 0

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.repeats)

    def due_at(self, occurrence: int) -> float:
        """Return when an occurrence may start, in seconds of the wall clock."""
        if not self.repeats:
            return self.submitted_at
        return self.first_at + occurrence * self.interval_s

    def critical_path_s(self) -> float:
        """Return the declared run time in seconds of the longest chain of steps."""
        chain_by_step: list[float] = []
        for step in self.steps:
            before = max((chain_by_step[i] for i in step.after), default=0.0)
            chain_by_step.append(before + step.estimate_s)
        return max(chain_by_step, default=0.0)

"""Specification of multi-step jobs, as submitted."""

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
    """Identical tasks that may run once all steps in ``after`` are done.

    ``after`` holds indexes of steps. ``request`` and ``estimate_s``, the declared run
    time, are those of one task. ``gang`` tasks run only together. ``required_label``
    must be among a worker's labels; ``same_rack`` and ``data_rack`` are preferences.
    ``most_per_worker`` 0 means no limit. ``backfill`` tasks use processors that other
    tasks leave idle, so their processors do not count against a worker's capacity.

    ``tail_target_s`` bounds the tail latency of a serving task. ``may_miss`` is how
    many tasks of a long-running step the scheduler itself may interrupt at a time.
    These two, ``saves_progress``, ``speculative`` and ``image`` do not affect planning.
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
        """Resources that one task counts against a worker's capacity."""
        if not self.backfill:
            return self.request
        return self.request._replace(processors_milli=0)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A submitted job.

    Its steps run once, or ``repeats`` times from ``first_at`` on, every
    ``interval_s`` seconds. Times are wall times in seconds.
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
        """How often the steps run."""
        return max(1, self.repeats)

    def scheduled_at(self, occurrence: int) -> float:
        """Return the scheduled start of an occurrence, as wall time in seconds."""
        if not self.repeats:
            return self.submitted_at
        return self.first_at + occurrence * self.interval_s

    @property
    def tasks_per_occurrence(self) -> int:
        """How many tasks run each time."""
        return sum(step.count for step in self.steps)

    def remaining_paths_s(self) -> list[float]:
        """Return, by step, the declared run time from its begin to the job's end."""
        paths_s = [0.0] * len(self.steps)
        for number in range(len(self.steps) - 1, -1, -1):
            # By now, this is the longest path of the steps that come after it.
            paths_s[number] += self.steps[number].estimate_s
            for earlier in self.steps[number].after:
                paths_s[earlier] = max(paths_s[earlier], paths_s[number])
        return paths_s

    def critical_path_s(self) -> float:
        """Return the declared run time of the longest chain of dependent steps."""
        chain_by_step: list[float] = []
        for step in self.steps:
            before = max((chain_by_step[i] for i in step.after), default=0.0)
            chain_by_step.append(before + step.estimate_s)
        return max(chain_by_step, default=0.0)

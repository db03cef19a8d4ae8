"""Speeds of the workers, learned from how long their tasks run."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum

__all__ = ["SpeedTier", "WorkerSpeeds"]

# Samples after which an older one counts less than a new one.
WORKER_MEMORY = 16
QUEUE_MEMORY = 200
# Counts as if so many tasks had run at the usual speed before the first sample.
PRIOR_SAMPLES = 3
# Single tasks may take many times as long as others of their queue on any worker.
MAX_DEVIATION = math.log(3.0)
SLOW_BELOW = 0.87
FAST_FROM = 1.1


class SpeedTier(IntEnum):
    """Speed of a worker compared to the others; the fastest come first."""

    FAST = 0
    USUAL = 1
    SLOW = 2


@dataclass(slots=True)
class _Average:
    """Average of the latest samples."""

    mean: float = 0.0
    samples: int = 0

    def add(self, value: float, memory: int) -> None:
        """Add a sample; beyond ``memory`` samples, older ones fade."""
        self.samples = min(self.samples + 1, memory)
        self.mean += (value - self.mean) / self.samples


class WorkerSpeeds:
    """Relative speeds of the workers, by their id.

    A sample compares the run time of a task with the declared one. Declared times are
    wrong by a factor that differs by queue, so a sample counts by how far it is from
    the usual one of its queue.
    """

    def __init__(self) -> None:
        self._usual_by_queue: dict[str, _Average] = {}
        self._deviation_by_worker: dict[str, _Average] = {}

    def record_run(
        self, worker_id: str, queue: str, declared_s: float, took_s: float
    ) -> None:
        """Record a task that ran to its end on its own.

        :param declared_s: run time as its submitter declared it, in seconds.
        :param took_s: actual run time in seconds.
        """
        if declared_s <= 0 or took_s <= 0:
            return
        ratio = math.log(took_s / declared_s)
        usual = self._usual_by_queue.setdefault(queue, _Average())
        usual.add(ratio, QUEUE_MEMORY)
        deviation = min(max(ratio - usual.mean, -MAX_DEVIATION), MAX_DEVIATION)
        average = self._deviation_by_worker.setdefault(worker_id, _Average())
        average.add(deviation, WORKER_MEMORY)

    def forget(self, worker_id: str) -> None:
        """Drop what is known of a worker, as another incarnation may differ."""
        self._deviation_by_worker.pop(worker_id, None)

    def speed_of(self, worker_id: str) -> float:
        """Return the speed of a worker; 1 is usual, also for an unknown one."""
        average = self._deviation_by_worker.get(worker_id)
        if average is None:
            return 1.0
        trust = average.samples / (average.samples + PRIOR_SAMPLES)
        return math.exp(-average.mean * trust)

    def tier_of(self, worker_id: str) -> SpeedTier:
        """Return the tier of a worker; an unknown one is in the middle."""
        speed = self.speed_of(worker_id)
        if speed < SLOW_BELOW:
            return SpeedTier.SLOW
        return SpeedTier.FAST if speed >= FAST_FROM else SpeedTier.USUAL

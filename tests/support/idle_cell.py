"""Random cells that come to rest, and the jobs that are left waiting in them.

Plays seeds by hand: python -m tests.support.idle_cell FIRST LAST
"""

from __future__ import annotations

import random
import sys
import zlib
from typing import TYPE_CHECKING

from tests.support.steps import StepWorld

from lagoonpulley.model.resources import Resources
from lagoonpulley.workload.spec import StepSpec

if TYPE_CHECKING:
    from lagoonpulley.upstream.tasks import Advice, AskAdvice
    from lagoonpulley.workload.spec import JobSpec

CAPACITY = Resources(16_000, 65_536)
QUEUES = {
    "slow": {"max_attempts": 4, "target_s": 1.0, "priority": 1},
    "soon": {"max_attempts": 4, "target_s": 0.3, "priority": 0},
    "plain": {"max_attempts": 4, "target_s": 3.0, "priority": 2},
}
ADVICE_BY_QUEUE = {"slow": [0.5, 0.008, 2.0], "soon": [0.01, 0.0002, 2.0]}
BUSY_S = 6.0
# Leases and late commands are over, and refused entries are asked again.
REST_S = 16.0
LONGEST_PLAY_S = 120.0


class AdvisedWorld(StepWorld):
    """A cell in which the advisor allows each step a lasting share of the workers."""

    def __init__(self, allowed_share: float, **more) -> None:
        super().__init__(**more)
        self.allowed_share = allowed_share
        queues = {
            name: queue | {"advice": ADVICE_BY_QUEUE[name]}
            if name in ADVICE_BY_QUEUE
            else queue
            for name, queue in QUEUES.items()
        }
        self.set_policy(2, queues=queues)

    def allows(self, job_id: str, step: int, worker_id: str) -> bool:
        drawn = zlib.crc32(f"{job_id}/{step}/{worker_id}".encode()) / 2**32
        return drawn <= self.allowed_share

    def _advice(self, request: AskAdvice) -> Advice:
        self.forbidden_workers = {
            worker_id
            for worker_id in request.worker_ids
            if not self.allows(request.job_id, request.step, worker_id)
        }
        return super()._advice(request)

    def running(self) -> int:
        """Return how many runs all workers have."""
        return sum(len(w._running_by_ref) for w in self.worker_by_id.values())

    def fits_idle_cell(self, spec: JobSpec) -> bool:
        """Return whether each step fits on the idle workers that may run it."""
        return all(
            self._fits(spec, number, step) for number, step in enumerate(spec.steps)
        )

    def _fits(self, spec: JobSpec, number: int, step: StepSpec) -> bool:
        room = 0
        for worker_id in self.worker_by_id:
            if worker_id in self.crashed_workers:
                continue
            if spec.queue in ADVICE_BY_QUEUE and not self.allows(
                spec.id, number, worker_id
            ):
                continue
            copies = step.request.copies_in(CAPACITY)
            room += min(copies, step.most_per_worker or copies)
        # The users' rule asks for room for it twice over.
        return room >= 2 * (step.count if step.gang else 1)


class RestingCell:
    """One play: jobs and troubles for a while, then nothing more."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world = AdvisedWorld(
            allowed_share=self.rng.choice([0.3, 0.45, 0.7]),
            entries=self.rng.choice([1, 2, 3]),
            workers=self.rng.randint(8, 30),
            seed=seed,
        )
        self.spec_by_id: dict[str, JobSpec] = {}

    def play(self) -> list[str]:
        """Return the jobs that wait for ever though the idle cell has room for them."""
        self.world.run(8.0)
        until = self.world.clock.mono + BUSY_S
        while self.world.clock.mono < until:
            for _ in range(self.rng.randint(0, 4)):
                self._submit()
            if self.rng.random() < 0.4:
                self._trouble()
            self.world.run(self.rng.choice([0.02, 0.1, 0.5]))
        return self._jobs_left_at_rest()

    def _submit(self) -> None:
        rng = self.rng
        gang = rng.random() < 0.35
        most = rng.choice([0, 0, 0, 1, 2])
        request = Resources(rng.choice([1400, 3900, 6000]), rng.choice([2900, 6256]))
        count = rng.randint(2, 8) if gang else rng.randint(1, 4)
        task = StepSpec(count, request, 1.0, gang=gang, most_per_worker=most)
        job_id = f"{len(self.spec_by_id):016x}"
        payload = f"seconds={rng.uniform(0.3, 3):.1f}"
        queue = rng.choice(["slow", "soon", "soon", "plain"])
        self.world.submit(job_id, task, queue=queue, payload=payload)
        self.spec_by_id[job_id] = self.world.last_spec

    def _trouble(self) -> None:
        kind = self.rng.choice(["refuse", "refuse", "crash", "cancel", "drain"])
        worker = self.rng.choice(sorted(self.world.worker_by_id))
        if kind == "refuse":
            self.world.advice_failures += self.rng.randint(1, 3)
        elif kind == "crash":
            self.world.crash_worker(worker)
        elif kind == "cancel" and self.spec_by_id:
            self.world.cancel(self.rng.choice(sorted(self.spec_by_id)))
        elif kind == "drain" and worker not in self.world.crashed_workers:
            self.world.add_worker(worker, draining=True)
            self.world.run(0.3)
            self.world.add_worker(worker)

    def _jobs_left_at_rest(self) -> list[str]:
        """Let time pass until nothing has run for a while; return what is left."""
        world = self.world
        active_at = began = world.clock.mono
        refusals = world.advice_failures
        while world.clock.mono - active_at < REST_S:
            assert world.clock.mono - began < LONGEST_PLAY_S, "the cell never rests"
            if world.running() or world.advice_failures != refusals:
                refusals = world.advice_failures
                active_at = world.clock.mono
            if all(map(world.final_state, self.spec_by_id)):
                return []
            world.run(0.5)
        return [
            f"{job_id}: {self._reason(job_id)}, {spec.steps[0]}"
            for job_id, spec in self.spec_by_id.items()
            if not world.final_state(job_id) and world.fits_idle_cell(spec)
        ]

    def _reason(self, job_id: str) -> str:
        demands = self.world.owner().owner._term.backlog.demands_of(job_id)
        return ", ".join(demand.block_reason.value for demand in demands) or "no demand"


def main() -> None:
    """Play the seeds from the first to the last given one."""
    first, last = map(int, sys.argv[1:])
    broken = 0
    for seed in range(first, last + 1):
        left = RestingCell(seed).play()
        broken += bool(left)
        if left:
            print(seed, *left, sep="\n  ", flush=True)
    print(f"{broken} of {last - first + 1} seeds have jobs left")


if __name__ == "__main__":
    main()

"""Measures what the owner's loop costs for each started and each ended task.

``python -m benchmarks.owner_loop --workers 24 --workers 88 --backlog 500``

One owner role runs over a simulated store and simulated workers in virtual time; only
the role's own processor time is measured. ``in flight`` is the share of the time in
which a commit is in flight, ``p50 ms`` and ``p99 ms`` how long after its placement a
start command is sent.
"""

from __future__ import annotations

import argparse
import cProfile
import heapq
import pstats
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from expression import Ok, Result

from lagoonpulley.model.resources import Resources
from lagoonpulley.owner.messages import Elected, SessionExtended
from lagoonpulley.owner.role import OwnerRole
from lagoonpulley.owner.settings import OwnerSettings
from lagoonpulley.policy.messages import PolicyChanged
from lagoonpulley.policy.values import Policy, Queue, Service, TeamLimits
from lagoonpulley.runtime.role import STORE, UPSTREAM, WAKE, Now, Reply, Request, Tick
from lagoonpulley.standin.store import StoreState
from lagoonpulley.standin.task_worker import TaskWorkerState
from lagoonpulley.store.health import StoreHealthTracker
from lagoonpulley.store.messages import (
    KeyValue,
    StoreResult,
    StoreStatus,
    Transaction,
    WatchPrefix,
    Write,
)
from lagoonpulley.upstream.directory import WorkerInfo
from lagoonpulley.upstream.tasks import StartTask, SyncWorker, TaskRef
from lagoonpulley.workload.documents import JOBS_PREFIX, JobKeys, encode_submission
from lagoonpulley.workload.spec import JobSpec, StepSpec

if TYPE_CHECKING:
    from lagoonpulley.owner.term import OwnerTerm
    from lagoonpulley.planning.planner import Start

SIZES = (24, 88, 176, 350)
BACKLOGS = (0, 500, 2000)
# Number of workers for which the arrival rates below are given.
RATED_WORKERS = 176
WORKERS_PREFIX = "benchmark/workers/"
WORKER_CAPACITY = Resources(16_000, 65_536)
WORKERS_PER_RACK = 12
LEASE_S = 6.0
TICK_S = 0.2
POLL_INTERVAL_S = 0.02
STORE_LATENCY_S = 0.004
LINK_BYTES_PER_S = 1_250_000
# Base64 encoding makes a value this much longer on the link.
ENCODED_RATIO = 4 / 3
WARM_UP_S = 8.0
MEASURED_S = 4.0
# Shortest and longest run time of a task, as a share of its declared run time.
RUN_TIME_RANGE = (0.85, 1.15)
WALL_CLOCK_START_S = 1_000_000_000.0
# How long after the others a job of the backlog is due.
BACKLOG_DUE_S = 1000.0
MS_PER_S = 1000
PROFILED_FUNCTIONS = 16


@dataclass(frozen=True)
class JobKind:
    """A kind of job; ``steps`` holds the possible numbers of its steps."""

    queue: str
    arrivals_per_s: float
    steps: tuple[int, ...]
    tasks: int
    run_time_s: float
    processors_milli: int
    target_s: float


STATUS_QUERY = JobKind("status-query", 50.0, (1,), 3, 0.8, 2500, 0.3)
MEDICAL_CHECK = JobKind("medical-check", 5.6, (1, 2), 25, 2.2, 1700, 3.0)
DOSSIER_REVIEW = JobKind("dossier-review", 1.71, (1, 1, 1, 1, 2), 20, 6.2, 4500, 1.0)
KINDS = (STATUS_QUERY, MEDICAL_CHECK, DOSSIER_REVIEW)


class Directory:
    """Returns the workers of the simulated directory without decoding them."""

    prefix = WORKERS_PREFIX

    def __init__(self, workers: int) -> None:
        self.info_by_id = {}
        for number in range(workers):
            worker_id = f"renewals-{number:04d}"
            rack = f"rack-{number // WORKERS_PER_RACK:02d}"
            self.info_by_id[worker_id] = WorkerInfo(
                id=worker_id,
                service="renewals",
                address=worker_id,
                data_centre="a",
                capacity=WORKER_CAPACITY,
                labels=("kind", rack),
                rack=rack,
                born=1,
            )

    def decode(self, item: KeyValue) -> Result[WorkerInfo, str]:
        """See :class:`~lagoonpulley.upstream.directory.DirectoryDecoder`."""
        return Ok(self.info_by_id[item.key.removeprefix(WORKERS_PREFIX)])


class TimedOwnerRole(OwnerRole):
    """Records when each run was placed, in monotonic seconds."""

    placed_at_by_ref: dict[TaskRef, float]

    def _dispatch(self, term: OwnerTerm, start: Start) -> None:
        for key, _ in start.placements:
            ref = TaskRef(start.record.spec.id, key, start.run)
            self.placed_at_by_ref[ref] = self.now.mono
        super()._dispatch(term, start)


@dataclass
class Counts:
    """What the owner did while it was measured."""

    processor_s: float = 0.0
    in_flight_s: float = 0.0
    commits: int = 0
    committed_bytes: int = 0
    starts: int = 0
    ends: int = 0
    syncs: int = 0
    start_delays_s: list[float] = field(default_factory=list)


class OwnerLoop:
    """One owner role, a store and workers, driven in virtual time."""

    def __init__(self, workers: int, backlog: int, seed: int = 1) -> None:
        self.mono = 0.0
        self.counts = Counts()
        self.is_measuring = False
        self.profile: cProfile.Profile | None = None
        self._random = random.Random(seed)
        self._scale = workers / RATED_WORKERS
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._job_count = 0
        self._store = StoreState()
        self._directory = Directory(workers)
        for worker_id in self._directory.info_by_id:
            self._put(WORKERS_PREFIX + worker_id, "")
        self._worker_by_id = {
            worker_id: TaskWorkerState(worker_id, LEASE_S, 0.0)
            for worker_id in self._directory.info_by_id
        }
        health = StoreHealthTracker(lambda: self.now)
        settings = OwnerSettings("e0", LEASE_S)
        self.role = TimedOwnerRole(settings, self._directory, health)
        self.role.placed_at_by_ref = {}
        for _ in range(backlog):
            self._submit(DOSSIER_REVIEW, BACKLOG_DUE_S)
        for kind in KINDS:
            self._schedule_arrival(kind)

    @property
    def now(self) -> Now:
        """Current virtual time."""
        return Now(self.mono, WALL_CLOCK_START_S + self.mono)

    @property
    def waiting_steps(self) -> int:
        """Number of steps that wait for workers."""
        return len(self.role._term.backlog.in_order())

    def begin(self) -> None:
        """Make the role the owner."""
        self._handle(PolicyChanged(_make_policy()))
        self._handle(Elected(token=1, head_revision=0))
        self._tick()

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        until = self.mono + seconds
        while self._events and self._events[0][0] <= until:
            self.mono, _, action = heapq.heappop(self._events)
            action()
        self.mono = until

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        event = (self.mono + delay_s, self._event_count, action)
        heapq.heappush(self._events, event)

    def _tick(self) -> None:
        self._handle(SessionExtended(self.mono + 1.0))
        self._handle(Tick())
        self._after(TICK_S, self._tick)

    def _schedule_arrival(self, kind: JobKind) -> None:
        rate = kind.arrivals_per_s * self._scale

        def arrive() -> None:
            self._submit(kind)
            self._schedule_arrival(kind)

        self._after(self._random.expovariate(rate), arrive)

    def _submit(self, kind: JobKind, due_s: float = 0.0) -> None:
        self._job_count += 1
        request = Resources(kind.processors_milli, 1024)
        steps = tuple(
            StepSpec(kind.tasks, request, kind.run_time_s, tuple(range(index)))
            for index in range(self._random.choice(kind.steps))
        )
        spec = JobSpec(
            id=f"{self._job_count:016x}",
            queue=kind.queue,
            team=f"team-{self._job_count % 20:02d}",
            payload=f"seconds={kind.run_time_s}",
            steps=steps,
            submitted_at=self.now.wall + due_s,
        )
        self._put(JobKeys(spec.id).submission, encode_submission(spec))

    def _put(self, key: str, value: str) -> None:
        self._store.apply(Transaction(puts=(Write(key, value),)), self.mono)

    def _handle(self, message: Any) -> None:
        profile = self.profile if self.is_measuring else None
        if profile is not None:
            profile.enable()
        began = time.process_time()
        sends = self.role.handle(message, self.now)
        processor_s = time.process_time() - began
        if profile is not None:
            profile.disable()
        if self.is_measuring:
            self.counts.processor_s += processor_s
        for send in sends:
            self._route(send.to, send.message)

    def _route(self, to: str, message: Any) -> None:
        if to == STORE:
            self._call_store(message)
        elif to == UPSTREAM:
            self._after(0.001, lambda: self._call_worker(message))
        elif to == WAKE:
            self._after(message.delay_s, lambda: self._handle(Tick()))

    def _reply(self, request: Request, result: Any, delay_s: float = 0.0) -> None:
        reply = Reply(request.request_id, result)
        self._after(delay_s, lambda: self._handle(reply))

    def _call_store(self, request: Request) -> None:
        operation = request.operation
        if isinstance(operation, WatchPrefix):
            self._watch(request, self.mono + operation.wait_s)
            return
        delay_s = STORE_LATENCY_S
        if isinstance(operation, Transaction):
            delay_s += self._transfer_s(operation)
        result = self._store.apply(operation, self.mono)
        self._reply(request, result, delay_s)

    def _transfer_s(self, change: Transaction) -> float:
        """Count a commit; return how long it occupies the owner's link."""
        size = sum(len(write.key) + len(write.value) for write in change.puts)
        transfer_s = size * ENCODED_RATIO / LINK_BYTES_PER_S
        if self.is_measuring:
            self.counts.commits += 1
            self.counts.committed_bytes += size
            self.counts.in_flight_s += STORE_LATENCY_S + transfer_s
        return transfer_s

    def _watch(self, request: Request, until: float) -> None:
        operation: WatchPrefix = request.operation
        changes = tuple(
            item
            for item in self._store._history
            if item.revision > operation.after and item.key.startswith(JOBS_PREFIX)
        )
        # Only the owner watches, so what it has seen is not needed any more.
        self._store._history = list(changes)
        if not changes and self.mono < until:
            self._after(POLL_INTERVAL_S / 4, lambda: self._watch(request, until))
            return
        revision = self._store.revision
        result = StoreResult(StoreStatus.OK, entries=changes, revision=revision)
        self._reply(request, result, STORE_LATENCY_S)

    def _call_worker(self, request: Request) -> None:
        command = request.operation
        worker = self._worker_by_id[command.to.worker_id]
        if isinstance(command, StartTask):
            command = self._vary_run_time(command)
            if self.is_measuring:
                self.counts.starts += 1
                placed_at = self.role.placed_at_by_ref.pop(command.ref, self.mono)
                self.counts.start_delays_s.append(self.mono - placed_at)
        result = worker.apply(command, self.mono)
        if not isinstance(command, SyncWorker):
            self._reply(request, result, 0.001)
            return
        if self.is_measuring:
            self.counts.syncs += 1
        idle = replace(command, acknowledged=0, lease_until_ms=None)
        self._answer_sync(request, worker, idle, self.mono + command.wait_s)

    def _vary_run_time(self, command: StartTask) -> StartTask:
        base_s = float(command.payload.removeprefix("seconds="))
        run_time_s = base_s * self._random.uniform(*RUN_TIME_RANGE)
        return replace(command, payload=f"seconds={run_time_s}")

    def _answer_sync(
        self,
        request: Request,
        worker: TaskWorkerState,
        command: SyncWorker,
        until: float,
    ) -> None:
        """Answer once a run has ended or the wait is over."""
        worker.advance(self.mono)
        if self.mono < until and not worker.has_ends():
            self._after(
                POLL_INTERVAL_S,
                lambda: self._answer_sync(request, worker, command, until),
            )
            return
        self._reply(request, worker.apply(command, self.mono), 0.001)

    def ended_tasks(self) -> int:
        """Return how many ended runs the owner has processed."""
        workers = self.role._term.worker_by_id.values()
        return sum(worker.processed for worker in workers)


def _make_policy() -> Policy:
    queues = {
        kind.queue: Queue(
            kind.queue, "", f"/{kind.queue}/", "renewals", 0, 3, 1.0, kind.target_s
        )
        for kind in KINDS
    }
    teams = {
        f"team-{number:02d}": TeamLimits(f"team-{number:02d}") for number in range(20)
    }
    services = {"renewals": Service("renewals")}
    return Policy(1, 1, queues, services, teams, {})


def measure(workers: int, backlog: int, profile: cProfile.Profile | None) -> str:
    """Return one row of the table."""
    loop = OwnerLoop(workers, backlog)
    loop.profile = profile
    loop.begin()
    loop.run(WARM_UP_S)
    ended_before = loop.ended_tasks()
    loop.is_measuring = True
    loop.run(MEASURED_S)
    counts = loop.counts
    ends = max(1, loop.ended_tasks() - ended_before)
    starts = max(1, counts.starts)
    delays_ms = sorted(delay * MS_PER_S for delay in counts.start_delays_s) or [0.0]
    median_ms = delays_ms[len(delays_ms) // 2]
    p99_ms = delays_ms[int(len(delays_ms) * 0.99)]
    return (
        f"{workers:8}{loop.waiting_steps:9}"
        f"{counts.starts / MEASURED_S:10.0f}{ends / MEASURED_S:9.0f}"
        f"{counts.processor_s / starts * MS_PER_S:14.2f}"
        f"{counts.processor_s / MEASURED_S:9.2f}"
        f"{counts.committed_bytes / ends:10.0f}"
        f"{counts.commits / MEASURED_S:12.0f}"
        f"{counts.in_flight_s / MEASURED_S:10.2f}"
        f"{counts.syncs / ends:11.2f}"
        f"{median_ms:9.0f}{p99_ms:9.0f}"
    )


def main() -> None:
    """Measure the chosen sizes and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", action="append", type=int)
    parser.add_argument("--backlog", action="append", type=int)
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    print(
        " workers  waiting  starts/s   ends/s  CPU ms/start"
        "    cores  B/ended   commits/s  in flight  syncs/end"
        "   p50 ms   p99 ms"
    )
    for workers in arguments.workers or SIZES:
        for backlog in arguments.backlog or BACKLOGS:
            profile = cProfile.Profile() if arguments.profile else None
            print(measure(workers, backlog, profile), flush=True)
            if profile is not None:
                stats = pstats.Stats(profile).sort_stats("tottime")
                stats.print_stats(PROFILED_FUNCTIONS)


if __name__ == "__main__":
    main()

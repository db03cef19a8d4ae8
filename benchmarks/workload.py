"""Seeded arrivals shaped as the two deployments."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from lagoonpulley.model.job import Job, JobKind
from lagoonpulley.model.resources import Resources

MILLI = 1000
SERVICE_RUN_TIME_S = 1e9


@dataclass(frozen=True)
class TaskClass:
    """One class of work; ``weight`` is its part of the demand for processors.

    Run times are log-normal around ``run_time_s``; declared ones are off by a
    factor of up to ``declared_error``.
    """

    name: str
    kind: JobKind
    processors_milli: tuple[int, ...]
    memory_mb: tuple[int, ...]
    tasks: tuple[int, ...]
    run_time_s: float
    weight: float
    deadline_s: float | None = None
    declared_error: float = 3.0
    repeatable: bool = True


RALAT = (
    TaskClass("review", JobKind.BATCH, (2000, 4000), (4096, 8192), (1, 1, 2), 40, 0.55),
    TaskClass("check", JobKind.BATCH, (1000, 2000), (1024, 2048), (1, 2, 4), 12, 0.3),
    TaskClass("lapse", JobKind.URGENT, (2000,), (4096,), (1,), 15, 0.14, 6.8),
    TaskClass("enquiry", JobKind.URGENT, (250, 500), (256,), (1,), 1.0, 0.01, 6.8),
)
FAENA = (
    TaskClass("packet", JobKind.GANG, (2000, 4000), (4096,), (3, 4, 6), 30, 0.45),
    TaskClass(
        "reconcile",
        JobKind.BATCH,
        (2000, 4000),
        (2048, 8192),
        (1,),
        25,
        0.35,
        repeatable=False,
    ),
    TaskClass("charge", JobKind.BATCH, (1000,), (1024,), (1, 2), 8, 0.19),
    TaskClass("enquiry", JobKind.URGENT, (250, 500), (256,), (1,), 1.0, 0.01, 6.8),
)


@dataclass(frozen=True)
class CellSize:
    """A cell and how long it is driven, in virtual seconds."""

    name: str
    workers: int
    racks: int
    capacity: Resources
    teams: int
    duration_s: float
    demand: float
    services: int = 0
    prefilled: int = 0
    starts_per_s: float | None = None


TODAY = CellSize(
    "24 workers", 24, 3, Resources(16_000, 65_536, 0, 8, 64), 6, 600.0, 1.2
)
ONE_DATA_CENTRE = CellSize(
    "450 workers",
    450,
    45,
    Resources(32_000, 131_072, 0, 24, 128),
    88,
    150.0,
    1.2,
    services=1300,
)
TWO_YEARS = CellSize(
    "2700 workers",
    2700,
    270,
    Resources(32_000, 131_072, 0, 24, 128),
    530,
    20.0,
    1.2,
    services=8000,
    prefilled=32_000,
    starts_per_s=320.0,
)


@dataclass(frozen=True)
class Arrival:
    """A job, its time of arrival and the true run time of each task."""

    at: float
    job: Job
    run_times_s: tuple[float, ...]


@dataclass
class Workload:
    """Teams with their weights, and arrivals in order of time."""

    weight_by_team: dict[str, float]
    arrivals: list[Arrival]
    services: list[Job] = field(default_factory=list)


def make_workload(
    size: CellSize, classes: tuple[TaskClass, ...], seed: int
) -> Workload:
    """Return the arrivals of one run; the same seed gives the same."""
    choice = random.Random(f"{size.name}:{seed}")
    teams = [f"team-{number:03d}" for number in range(size.teams)]
    # Few large and many small: demand falls with the rank, shares less steeply.
    demand = [1.0 / (rank + 1) ** 0.7 for rank in range(size.teams)]
    weights = {team: float(1 + (rank % 4)) for rank, team in enumerate(teams)}
    maker = _Maker(choice, teams, demand)
    arrivals = maker.arrivals(size, classes)
    services = [maker.service(number) for number in range(size.services)]
    return Workload(weights, arrivals, services)


def with_kinds(workload: Workload, kinds: type) -> Workload:
    """Return a workload whose jobs use another revision's enumeration."""
    if kinds is JobKind:
        return workload
    return Workload(
        workload.weight_by_team,
        [
            replace(arrival, job=_with_kind(arrival.job, kinds))
            for arrival in workload.arrivals
        ],
        [_with_kind(job, kinds) for job in workload.services],
    )


def _with_kind(job: Job, kinds: type) -> Job:
    return replace(job, kind=kinds(job.kind.value))


class _Maker:
    """Draws jobs from one source of randomness."""

    def __init__(self, choice: random.Random, teams: list[str], demand: list[float]):
        self._choice = choice
        self._teams = teams
        self._demand = demand
        self._count = 0

    def arrivals(self, size: CellSize, classes: tuple[TaskClass, ...]) -> list[Arrival]:
        arrivals = []
        for item in classes:
            rate = self._jobs_per_s(size, item, classes)
            at = self._choice.expovariate(rate)
            while at < size.duration_s:
                arrivals.append(self._arrival(at, item))
                at += self._choice.expovariate(rate * self._rush(at, size, item))
        arrivals.sort(key=lambda arrival: arrival.at)
        return arrivals

    @staticmethod
    def _rush(at: float, size: CellSize, item: TaskClass) -> float:
        """Return the rise of demand around a lapse date."""
        in_rush = 0.4 * size.duration_s <= at < 0.5 * size.duration_s
        return 3.0 if in_rush and item.name in ("lapse", "enquiry") else 1.0

    def _jobs_per_s(
        self, size: CellSize, item: TaskClass, classes: tuple[TaskClass, ...]
    ) -> float:
        processors = sum(item.processors_milli) / len(item.processors_milli)
        tasks = sum(item.tasks) / len(item.tasks)
        if size.starts_per_s is not None:
            total = sum(
                other.weight / _work(other) * _mean(other.tasks) for other in classes
            )
            part = item.weight / _work(item) * tasks / total
            return size.starts_per_s * part / tasks
        used = size.services * MILLI
        room = size.workers * size.capacity.processors_milli - used
        work = processors * tasks * item.run_time_s
        return size.demand * room * item.weight / work

    def _arrival(self, at: float, item: TaskClass) -> Arrival:
        choice = self._choice
        tasks = choice.choice(item.tasks)
        run_times = tuple(
            item.run_time_s * choice.lognormvariate(-0.125, 0.5) for _ in range(tasks)
        )
        error = item.declared_error ** choice.uniform(-1.0, 1.0)
        request = Resources(
            choice.choice(item.processors_milli), choice.choice(item.memory_mb), 0, 1, 1
        )
        job = self._job(item.kind, tasks, request, item.run_time_s * error, item)
        return Arrival(at, job, run_times)

    def service(self, _number: int) -> Job:
        item = TaskClass("service", JobKind.SERVICE, (1000,), (2048,), (1,), 1, 0)
        request = Resources(1000, 2048, 0, 1, 1)
        return self._job(JobKind.SERVICE, 1, request, SERVICE_RUN_TIME_S, item)

    def _job(
        self,
        kind: JobKind,
        tasks: int,
        request: Resources,
        run_time_s: float,
        item: TaskClass,
    ) -> Job:
        self._count += 1
        team = self._choice.choices(self._teams, self._demand)[0]
        return Job(
            id=f"job-{self._count}",
            team=team,
            queue=team,
            kind=kind,
            tasks=tasks,
            request=request,
            run_time_s=run_time_s,
            deadline_s=item.deadline_s,
            repeatable=item.repeatable,
            exclusive=True,
            durable=True,
            task_class=item.name,
            payload="",
            digest="",
        )


def _mean(values: tuple[int, ...]) -> float:
    return sum(values) / len(values)


def _work(item: TaskClass) -> float:
    return _mean(item.processors_milli) * _mean(item.tasks) * item.run_time_s

"""Generates seeded random workloads like those of the deployments RALAT and FAENA."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from lagoonpulley.model.job import Job, JobKind
from lagoonpulley.model.resources import Resources

SERVICE_PROCESSORS_MILLI = 1000
SERVICE_RUN_TIME_S = 1e9


@dataclass(frozen=True)
class TaskClass:
    """A class of tasks; ``demand_fraction`` is its part of the demand for processors.

    Run times are log-normally distributed with the mean ``run_time_s``. The run
    time that a job declares differs from it by a factor of up to ``declared_error``.
    """

    name: str
    kind: JobKind
    processors_milli: tuple[int, ...]
    memory_mb: tuple[int, ...]
    tasks: tuple[int, ...]
    run_time_s: float
    demand_fraction: float
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
    """A cell and the load and duration of its simulation.

    ``demand`` is relative to the processors that services leave free;
    ``starts_per_s`` replaces it by a rate of task starts. ``services`` and
    ``prefilled`` are numbers of tasks that run from the start.
    """

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
    """A job, its time of arrival and the actual run time of each task."""

    at: float
    job: Job
    run_times_s: tuple[float, ...]


@dataclass
class Workload:
    """Weights of teams, arrivals in order of time, and services that already run."""

    weight_by_team: dict[str, float]
    arrivals: list[Arrival]
    services: list[Job] = field(default_factory=list)


def make_workload(
    size: CellSize, classes: tuple[TaskClass, ...], seed: int
) -> Workload:
    """Return the workload of one run; the same seed gives the same workload."""
    rng = random.Random(f"{size.name}:{seed}")
    teams = [f"team-{number:03d}" for number in range(size.teams)]
    # A few teams are large and many are small: demand falls with the rank of a team.
    # The weights do not follow the demand, so that shares differ less than demands.
    demand = [1.0 / (rank + 1) ** 0.7 for rank in range(size.teams)]
    weights = {team: float(1 + (rank % 4)) for rank, team in enumerate(teams)}
    generator = _JobGenerator(rng, teams, demand)
    arrivals = generator.arrivals(size, classes)
    services = [generator.service(number) for number in range(size.services)]
    return Workload(weights, arrivals, services)


def with_kinds(workload: Workload, job_kinds: type) -> Workload:
    """Return the workload with the job kinds of another revision's enumeration."""
    if job_kinds is JobKind:
        return workload
    return Workload(
        workload.weight_by_team,
        [
            replace(arrival, job=_with_kind(arrival.job, job_kinds))
            for arrival in workload.arrivals
        ],
        [_with_kind(job, job_kinds) for job in workload.services],
    )


def _with_kind(job: Job, job_kinds: type) -> Job:
    return replace(job, kind=job_kinds(job.kind.value))


class _JobGenerator:
    """Generates random jobs."""

    def __init__(self, rng: random.Random, teams: list[str], demand: list[float]):
        self._rng = rng
        self._teams = teams
        self._demand = demand
        self._count = 0

    def arrivals(self, size: CellSize, classes: tuple[TaskClass, ...]) -> list[Arrival]:
        """Return the arrivals of a run in order of time."""
        arrivals = []
        for task_class in classes:
            rate = self._jobs_per_s(size, task_class, classes)
            at = self._rng.expovariate(rate)
            while at < size.duration_s:
                arrivals.append(self._arrival(at, task_class))
                at += self._rng.expovariate(
                    rate * self._demand_factor(at, size, task_class)
                )
        arrivals.sort(key=lambda arrival: arrival.at)
        return arrivals

    @staticmethod
    def _demand_factor(at: float, size: CellSize, task_class: TaskClass) -> float:
        """Return the factor on the arrival rate of a class.

        Lapses and enquiries arrive at three times their rate for a tenth of the run, as
        around a lapse date.
        """
        in_peak = 0.4 * size.duration_s <= at < 0.5 * size.duration_s
        return 3.0 if in_peak and task_class.name in ("lapse", "enquiry") else 1.0

    def _jobs_per_s(
        self, size: CellSize, task_class: TaskClass, classes: tuple[TaskClass, ...]
    ) -> float:
        processors = sum(task_class.processors_milli) / len(task_class.processors_milli)
        tasks = sum(task_class.tasks) / len(task_class.tasks)
        if size.starts_per_s is not None:
            total = sum(
                other_class.demand_fraction
                / _mean_work(other_class)
                * _mean(other_class.tasks)
                for other_class in classes
            )
            fraction = (
                task_class.demand_fraction / _mean_work(task_class) * tasks / total
            )
            return size.starts_per_s * fraction / tasks
        service_milli = size.services * SERVICE_PROCESSORS_MILLI
        free_milli = size.workers * size.capacity.processors_milli - service_milli
        work = processors * tasks * task_class.run_time_s
        return size.demand * free_milli * task_class.demand_fraction / work

    def _arrival(self, at: float, task_class: TaskClass) -> Arrival:
        rng = self._rng
        tasks = rng.choice(task_class.tasks)
        run_times = tuple(
            task_class.run_time_s * rng.lognormvariate(-0.125, 0.5)
            for _ in range(tasks)
        )
        error = task_class.declared_error ** rng.uniform(-1.0, 1.0)
        request = Resources(
            rng.choice(task_class.processors_milli),
            rng.choice(task_class.memory_mb),
            0,
            1,
            1,
        )
        job = self._job(
            task_class.kind, tasks, request, task_class.run_time_s * error, task_class
        )
        return Arrival(at, job, run_times)

    def service(self, _number: int) -> Job:
        """Return a service of one task that outlasts the run."""
        task_class = TaskClass("service", JobKind.SERVICE, (1000,), (2048,), (1,), 1, 0)
        request = Resources(1000, 2048, 0, 1, 1)
        return self._job(JobKind.SERVICE, 1, request, SERVICE_RUN_TIME_S, task_class)

    def _job(
        self,
        kind: JobKind,
        tasks: int,
        request: Resources,
        run_time_s: float,
        task_class: TaskClass,
    ) -> Job:
        self._count += 1
        team = self._rng.choices(self._teams, self._demand)[0]
        return Job(
            id=f"job-{self._count}",
            team=team,
            queue=team,
            kind=kind,
            tasks=tasks,
            request=request,
            run_time_s=run_time_s,
            deadline_s=task_class.deadline_s,
            repeatable=task_class.repeatable,
            exclusive=True,
            durable=True,
            task_class=task_class.name,
            payload="",
            digest="",
        )


def _mean(values: tuple[int, ...]) -> float:
    return sum(values) / len(values)


def _mean_work(task_class: TaskClass) -> float:
    return (
        _mean(task_class.processors_milli)
        * _mean(task_class.tasks)
        * task_class.run_time_s
    )

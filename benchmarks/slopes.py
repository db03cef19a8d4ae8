"""Measures how costs grow with size and updates the tables of docs/CAPACITY.md.

``python -m benchmarks.slopes``
"""

from __future__ import annotations

import gc
import logging
import multiprocessing
import os
import threading
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter
from tests.support.world import World

from lagoonpulley.configuration.document import (
    ConfigurationDocument,
    KeyEntry,
    LimitEntry,
    QueueEntry,
    TeamEntry,
)
from lagoonpulley.configuration.role import pack_document
from lagoonpulley.entry.entry import Entry
from lagoonpulley.limits.allotments import Allotments
from lagoonpulley.model.job import Job, JobKind, TaskState
from lagoonpulley.model.resources import Resources
from lagoonpulley.observability.logs import ROOT_LOGGER
from lagoonpulley.peers.calls import PeerCall
from lagoonpulley.peers.codec import JsonCodec
from lagoonpulley.peers.messages import GroupOwner, Heartbeat, HeartbeatAnswer, PeerInfo
from lagoonpulley.peers.on_demand import open_listener
from lagoonpulley.peers.port import PeersPort
from lagoonpulley.placement.core import PlacementCore
from lagoonpulley.placement.events import (
    JobSubmitted,
    Place,
    TaskEnded,
    TaskOutcome,
    TeamPolicy,
    TeamsChanged,
    WorkerChanged,
)
from lagoonpulley.runtime.role import Reply, Request
from lagoonpulley.scheduler.records import (
    JobRecord,
    decode_documents,
    job_document,
    job_key,
    task_document,
    task_key,
)
from lagoonpulley.settings.schema import Settings
from lagoonpulley.standin.cell import StandinCell, StandinPlan
from lagoonpulley.store.messages import Instance

from .fit import Line, fit

CAPACITY_PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
BEGIN_MARKER, END_MARKER = "<!-- slopes:begin -->", "<!-- slopes:end -->"
US_PER_S = 1_000_000
KB = 1024


@dataclass(frozen=True)
class Slope:
    """A cost measured at several sizes.

    ``figure`` describes the cost, ``varied`` the size; ``points`` are pairs of size and
    cost.
    """

    key: str
    figure: str
    varied: str
    unit: str
    points: tuple[tuple[float, float], ...]

    @property
    def line(self) -> Line:
        """Line fitted to the points."""
        return fit(list(self.points))


def make_job(number: int, team: str = "team-000") -> Job:
    """Return a typical durable job of one task."""
    return Job(
        id=f"timisoara-{number:024d}",
        team=team,
        queue="reviews",
        kind=JobKind.BATCH,
        tasks=1,
        request=Resources(2000, 2048, 0, 1, 1),
        run_time_s=40.0,
        deadline_s=None,
        repeatable=False,
        exclusive=True,
        durable=True,
        task_class="review",
        payload='{"dossier":"RO-2026-000000000"}',
        digest="0" * 64,
    )


def make_configuration(teams: int) -> ConfigurationDocument:
    """Return a configuration with two queues and two keys for each team."""
    names = [f"team-{number:03d}" for number in range(teams)]
    limit = LimitEntry(processors_milli=256_000, memory_mb=1_048_576)
    return ConfigurationDocument(
        revision=1,
        teams={name: TeamEntry(share=2.5, limit=limit) for name in names},
        queues={
            f"{name}.{kind}": QueueEntry(team=name)
            for name in names
            for kind in ("reviews", "checks")
        },
        keys={
            f"{index:012x}": KeyEntry(team=name, digest=os.urandom(32).hex())
            for index, name in enumerate(names * 2)
        },
    )


def placement_time(workers: int) -> float:
    """Return the CPU time to place a task and process its end, in microseconds."""
    core = PlacementCore()
    capacity = Resources(32_000, 131_072, 0, 24, 128)
    for number in range(workers):
        event = WorkerChanged(f"w{number}", f"r{number // 8}", capacity, True)
        core.apply(event, 0.0)
    policies = {f"team-{n:03d}": TeamPolicy(1.0) for n in range(88)}
    core.apply(TeamsChanged(policies), 0.0)
    rounds = 3000
    began = time.process_time()
    placed = []
    for number in range(rounds):
        job = make_job(number, f"team-{number % 88:03d}")
        core.apply(JobSubmitted(job, (0,), 0.0), 0.0)
        for decision in core.decide(0.0):
            if isinstance(decision, Place):
                placed.append(decision.task_id)
        if len(placed) > workers * 4:
            core.apply(TaskEnded(placed.pop(0), TaskOutcome.FINISHED, 1.0), 0.0)
    return (time.process_time() - began) / rounds * US_PER_S


def measure_allocated_bytes(build: Callable[[], Any]) -> float:
    """Return the memory allocated for an object and all that it holds, in bytes."""
    gc.collect()
    tracemalloc.start()
    measured = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del measured
    return float(size)


def core_memory(tasks: int) -> float:
    """Return the memory of the core and the job records of running tasks, in bytes.

    The core also holds a worker for every ten tasks.
    """

    def build() -> Any:
        core = PlacementCore()
        capacity = Resources(32_000, 131_072, 0, 24, 128)
        for number in range(tasks // 10):
            event = WorkerChanged(f"w{number}", f"r{number // 8}", capacity, True)
            core.apply(event, 0.0)
        records = []
        for number in range(tasks):
            job = make_job(number)
            records.append(JobRecord.from_job(job, 0.0))
            core.apply(JobSubmitted(job, (0,), 0.0), 0.0)
        while core.decide(0.0):
            continue
        return core, records

    return measure_allocated_bytes(build)


def make_journal_documents(tasks: int) -> dict[str, str]:
    """Return the documents that the journal holds for running tasks, by key."""
    documents = {}
    for number in range(tasks):
        record = JobRecord.from_job(make_job(number), 1.8e9)
        task = record.tasks[0]
        task.state = TaskState.RUNNING
        task.attempt = 1_048_577
        task.worker_id = "timisoara-w123"
        task.boot_id = "timisoara-w123-boot-1"
        documents[job_key(record.job.id)] = job_document(record)
        documents[task_key(record.task_id(task))] = task_document(record, task)
    return documents


def journal_bytes(tasks: int) -> float:
    """Return the size of the journal's documents of running tasks, in bytes."""
    return float(sum(len(k) + len(v) for k, v in make_journal_documents(tasks).items()))


def replay_time(tasks: int) -> float:
    """Return the CPU time to decode the documents of running tasks, in milliseconds."""
    documents = make_journal_documents(tasks)
    began = time.process_time()
    assert decode_documents(documents).is_ok()
    return (time.process_time() - began) * 1000


def heartbeat_bytes(owners: int) -> float:
    """Return the size of a heartbeat with the owners of that many groups, in bytes."""
    sender = PeerInfo(
        "timisoara-entry-01", 1_796_344_617_449, "timisoara", "10.10.10.10:9080"
    )
    sender = replace(
        sender, http_address="10.10.10.10:8080", configuration_revision=123_456
    )
    owner = GroupOwner("timisoara/0", 1234, "timisoara-entry-01", "10.10.10.10:9080")
    heartbeat = Heartbeat(sender, (owner,) * owners, (), (sender,))
    return float(len(JsonCodec().encode(heartbeat, Heartbeat)))


def heartbeat_time(heartbeats: int) -> float:
    """Return the CPU time of sender and receiver for heartbeats, in milliseconds."""
    waiting = threading.Semaphore(0)
    ports: dict[str, PeersPort] = {}

    def deliver(role: str, message: Any) -> None:
        if isinstance(message, Reply):
            waiting.release()
        else:
            answer = HeartbeatAnswer(message.operation.sender)
            ports["callee"].submit(Reply(message.request_id, answer))

    ports["caller"] = PeersPort(open_listener("127.0.0.1", 0), deliver)
    ports["callee"] = PeersPort(open_listener("127.0.0.1", 0), deliver)
    sender = PeerInfo("a", 1, "timisoara", ports["caller"].address)
    call = PeerCall(ports["callee"].address, Heartbeat(sender, (), (), (sender,)))
    began = time.process_time()
    for number in range(heartbeats):
        ports["caller"].submit(Request(str(number), "membership", call, 5.0))
        waiting.acquire()
    took = time.process_time() - began
    for port in ports.values():
        port.close()
    return took * 1000


def store_calls(entries_per_data_centre: int) -> float:
    """Return the store calls per second of two idle data centres."""
    world = World(1, entries_per_data_centre=entries_per_data_centre)
    world.advance(20.0)
    before = world.network.store_requests
    world.advance(60.0)
    return (world.network.store_requests - before) / 60.0


def store_writes(entries_per_data_centre: int) -> float:
    """Return the store writes per second of two idle data centres."""
    world = World(1, entries_per_data_centre=entries_per_data_centre)
    world.advance(20.0)
    before = world.network.store.writes
    world.advance(60.0)
    return (world.network.store.writes - before) / 60.0


def allotment_bytes(teams: int) -> float:
    """Return the size of the allotments of teams in six data centres, in bytes."""
    parts = {f"dc-{number}": 166 for number in range(6)}
    allotments = Allotments(parts={f"team-{n:03d}": parts for n in range(teams)})
    return float(len(allotments.model_dump_json()))


def instance_list_bytes(workers: int) -> float:
    """Return the size of a data centre's list of instances, in bytes."""
    instance = Instance(
        "timisoara-w123", "worker", "timisoara", "http://10.10.10.10:7001", rack="r12"
    )
    return float(len(TypeAdapter(Instance).dump_json(instance)) * workers)


def _run_standin(pipe: Any, workers: int) -> None:
    cell = StandinCell.from_plan(StandinPlan(("timisoara",), workers))
    pipe.send(cell.store_url)
    pipe.recv()


def measure_idle_entry(workers: int) -> tuple[float, float]:
    """Return the CPU use in per cent of a core and the resident memory in MB.

    The stand-ins run in one process and the entry in another, so that the figures are
    those of the entry alone.
    """
    context = multiprocessing.get_context("spawn")
    standin_pipe, standin_child_pipe = context.Pipe()
    standin = context.Process(target=_run_standin, args=(standin_child_pipe, workers))
    standin.start()
    url = standin_pipe.recv()
    result_pipe, result_child_pipe = context.Pipe()
    entry = context.Process(
        target=_run_and_measure_entry, args=(result_child_pipe, url)
    )
    entry.start()
    figures = result_pipe.recv()
    entry.join()
    standin_pipe.send("stop")
    standin.terminate()
    standin.join()
    return figures


def _run_and_measure_entry(pipe: Any, url: str) -> None:
    logging.getLogger(ROOT_LOGGER).addHandler(logging.NullHandler())
    settings = Settings.model_validate(
        {
            "entry_id": "timisoara-1",
            "data_centre": "timisoara",
            "data_centres": ["timisoara"],
            "store": {"url": url},
        }
    )
    entry = Entry.from_settings(settings)
    entry.start()
    # Startup is not part of the measurement.
    time.sleep(6.0)
    began, cpu = time.monotonic(), time.process_time()
    time.sleep(6.0)
    percent = (time.process_time() - cpu) / (time.monotonic() - began) * 100
    pipe.send((percent, _resident_mb()))
    os._exit(0)


def _resident_mb() -> float:
    status = Path("/proc/self/status").read_text(encoding="ascii")
    line = next(item for item in status.splitlines() if item.startswith("VmRSS"))
    return int(line.split()[1]) / KB


def measure_slopes() -> list[Slope]:
    """Measure all costs at all sizes."""
    slopes = [
        _slope(
            "placement",
            "placement and end of a task, core alone",
            "workers of the group",
            "us",
            placement_time,
            (24, 75, 240, 450),
        ),
        _slope(
            "core_memory",
            "records and core of running tasks",
            "tasks",
            "B",
            core_memory,
            (300, 1000, 3000),
        ),
        _slope(
            "journal_bytes",
            "journal documents of running tasks",
            "tasks",
            "B",
            journal_bytes,
            (300, 1000, 3000),
        ),
        _slope(
            "replay",
            "decoding the journal",
            "tasks",
            "ms",
            replay_time,
            (500, 2000, 6700),
        ),
        _slope(
            "heartbeat_bytes",
            "heartbeat",
            "groups told of",
            "B",
            heartbeat_bytes,
            (1, 3, 10),
        ),
        _slope(
            "heartbeat_time",
            "heartbeats, both ends",
            "heartbeats",
            "ms",
            heartbeat_time,
            (50, 150, 500),
        ),
        _slope(
            "store_calls",
            "store calls a second at rest, two data centres",
            "entries in all",
            "calls/s",
            lambda entries: store_calls(entries // 2),
            (2, 6, 12),
        ),
        _slope(
            "store_writes",
            "of these, writes",
            "entries in all",
            "writes/s",
            lambda entries: store_writes(entries // 2),
            (2, 6, 12),
        ),
        _slope(
            "configuration_bytes",
            "configuration document",
            "teams",
            "B",
            lambda teams: float(len(make_configuration(teams).model_dump_json())),
            (53, 160, 530),
        ),
        _slope(
            "packed_bytes",
            "configuration as relayed",
            "teams",
            "B",
            lambda teams: float(len(pack_document(make_configuration(teams)))),
            (53, 160, 530),
        ),
        _slope(
            "allotment_bytes",
            "allotments, six data centres",
            "teams",
            "B",
            allotment_bytes,
            (53, 160, 530),
        ),
        _slope(
            "list_bytes",
            "list of workers",
            "workers",
            "B",
            instance_list_bytes,
            (45, 150, 450),
        ),
    ]
    idle = [(workers, measure_idle_entry(workers)) for workers in (8, 24, 80)]
    cpu = tuple((float(workers), figures[0]) for workers, figures in idle)
    memory = tuple((float(workers), figures[1]) for workers, figures in idle)
    slopes.append(
        Slope("rest_cpu", "owner at rest, whole process", "workers", "% of a core", cpu)
    )
    slopes.append(
        Slope("rest_memory", "owner at rest, resident", "workers", "MB", memory)
    )
    return slopes


def _slope(
    key: str,
    figure: str,
    varied: str,
    unit: str,
    function: Callable[[int], float],
    sizes: tuple[int, ...],
) -> Slope:
    points = tuple((float(size), function(size)) for size in sizes)
    return Slope(key, figure, varied, unit, points)


def slope_table(slopes: list[Slope]) -> str:
    """Return the Markdown table of measured slopes."""
    rows = [
        "| figure | varied | points | base | slope | unit | largest miss |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for slope in slopes:
        line = slope.line
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
        rows.append(
            f"| {slope.figure} | {slope.varied} | {points} | {line.base:.4g} | "
            f"{line.slope:.4g} | {slope.unit} | {line.residual:.1%} |"
        )
    return "\n".join(rows)


def main() -> None:
    """Measure, print the tables and write them between the markers of the page."""
    from .budget import budget_table

    slopes = measure_slopes()
    by_key = {slope.key: slope.line for slope in slopes}
    text = f"{slope_table(slopes)}\n\n{budget_table(by_key)}"
    print(text)
    page = CAPACITY_PAGE.read_text(encoding="utf-8")
    before, _, rest = page.partition(BEGIN_MARKER)
    after = rest.partition(END_MARKER)[2]
    CAPACITY_PAGE.write_text(
        f"{before}{BEGIN_MARKER}\n\n{text}\n\n{END_MARKER}{after}", encoding="utf-8"
    )


if __name__ == "__main__":
    main()

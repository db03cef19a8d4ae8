"""Measures the waiting times, packing, fairness and speed of placement cores.

``python -m benchmarks.decisions --size 24 --size 450``
"""

from __future__ import annotations

import argparse
import importlib
import io
import json
import statistics
import subprocess
import sys
import tarfile
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lagoonpulley.model.job import JobKind
from lagoonpulley.placement import events as current_events
from lagoonpulley.placement.core import PlacementCore

from .baselines import ExhaustiveBestFit, FirstFit
from .plot import write_plot
from .simulation import Result, run_simulation, share_errors
from .workload import (
    FAENA,
    ONE_DATA_CENTRE,
    RALAT,
    TODAY,
    TWO_YEARS,
    make_workload,
    with_kinds,
)

SIZES = {"24": TODAY, "450": ONE_DATA_CENTRE, "2700": TWO_YEARS}
DEPLOYMENTS = {"ralat": RALAT, "faena": FAENA}
PREVIOUS_PACKAGE = "lagoonpulley_previous"
MS_PER_S = 1000
MAX_WORKERS_FOR_SLOW_BASELINES = 24


@dataclass(frozen=True)
class Candidate:
    """A core to measure, with the event and job classes that it accepts."""

    name: str
    make_core: Any
    events: Any
    job_kinds: Any = JobKind


def main() -> None:
    """Measure the chosen sizes and deployments and print a table for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", action="append", choices=sorted(SIZES))
    parser.add_argument("--deployment", action="append", choices=sorted(DEPLOYMENTS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--previous", default="HEAD~1", help="git revision to compare with"
    )
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument(
        "--plot", metavar="FILE", help="write an SVG plot of the first run"
    )
    options = parser.parse_args()
    previous = load_previous(options.previous)
    reports = []
    for size_name in options.size or sorted(SIZES, key=int):
        for name in options.deployment or DEPLOYMENTS:
            reports += measure_candidates(
                size_name, name, options.seed, previous, options.plot
            )
            options.plot = None
    if options.json:
        Path(options.json).write_text(json.dumps(reports, indent=1) + "\n")


def measure_candidates(
    size_name: str, deployment: str, seed: int, previous: Any, plot: str | None
) -> list[dict[str, Any]]:
    """Measure every candidate with one cell size and one deployment."""
    size = SIZES[size_name]
    workload = make_workload(size, DEPLOYMENTS[deployment], seed)
    print(f"\n{size.name}, {deployment}, {len(workload.arrivals)} jobs, seed {seed}")
    results = []
    for candidate in _candidates(int(size_name), previous):
        core = candidate.make_core()
        own_workload = with_kinds(workload, candidate.job_kinds)
        result = run_simulation(
            candidate.name, core, candidate.events, size, own_workload
        )
        results.append(result)
    reports = [
        make_report(result, size.name, deployment, workload.weight_by_team)
        for result in results
    ]
    print_table(reports)
    if plot:
        write_plot(Path(plot), results, size.name, deployment)
    return reports


def _candidates(size: int, previous: Any) -> list[Candidate]:
    candidates = [Candidate("first fit", FirstFit, current_events)]
    if size <= MAX_WORKERS_FOR_SLOW_BASELINES:
        candidates.append(Candidate("best fit*", ExhaustiveBestFit, current_events))
    if previous is not None:
        candidates.append(previous)
    candidates.append(Candidate("present", PlacementCore, current_events))
    return candidates


def load_previous(revision: str) -> Candidate | None:
    """Import the placement core of another revision under a package name of its own.

    The modules and classes are looked up by name, so that every revision compared must
    have them. Returns ``None`` if git cannot read the revision.
    """
    archived = subprocess.run(
        ["git", "archive", revision, "src/lagoonpulley"],
        capture_output=True,
        check=False,
    )
    if archived.returncode:
        print(f"cannot read revision {revision}; it is left out", file=sys.stderr)
        return None
    root = Path(tempfile.mkdtemp())
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        archive.extractall(root, filter="data")
    (root / "src" / "lagoonpulley").rename(root / PREVIOUS_PACKAGE)
    sys.path.insert(0, str(root))
    core = importlib.import_module(f"{PREVIOUS_PACKAGE}.placement.core")
    events = importlib.import_module(f"{PREVIOUS_PACKAGE}.placement.events")
    job_kinds = importlib.import_module(f"{PREVIOUS_PACKAGE}.model.job").JobKind
    return Candidate("previous", core.PlacementCore, events, job_kinds)


def make_report(
    result: Result, size: str, deployment: str, weight_by_team: dict[str, float]
) -> dict[str, Any]:
    """Return the measurements of one run in the format of ``--json``.

    The first quarter of the samples is left out of the packing as warm-up.
    """
    errors = share_errors(result, weight_by_team)
    steady = result.samples[len(result.samples) // 4 :]
    used_fractions = [sample.used_fraction for sample in steady]
    calls = sorted(result.call_times_s)
    return {
        "size": size,
        "deployment": deployment,
        "core": result.core,
        "waiting": {
            name: {
                "p50_s": round(_quantile(waits, 0.5), 2),
                "p99_s": round(_quantile(waits, 0.99), 2),
                "unplaced": result.unplaced_by_class.get(name, 0),
            }
            for name, waits in sorted(result.waits_by_class.items())
        },
        "packing": round(statistics.fmean(used_fractions), 4)
        if used_fractions
        else None,
        "share_error_max": round(max(errors), 4) if errors else None,
        "share_error_mean": round(statistics.fmean(errors), 5) if errors else None,
        "preemptions": result.preemptions,
        "decisions": result.decisions,
        "decisions_per_s": round(result.decisions / max(1e-9, result.decision_time_s)),
        "call_p99_ms": round(_quantile(calls, 0.99) * MS_PER_S, 3),
        "call_p50_ms": round(_quantile(calls, 0.5) * MS_PER_S, 3),
    }


def _quantile(values: list[float], fraction: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def print_table(reports: list[dict[str, Any]]) -> None:
    """Print a table with one row per core."""
    names = sorted({name for report in reports for name in report["waiting"]})
    head = ["core", *[f"{name} p50/p99" for name in names]]
    head += ["packing", "share max/mean", "preempt", "decisions/s", "p99 ms"]
    rows = [head]
    for report in reports:
        row = [report["core"]]
        for name in names:
            waiting = report["waiting"].get(name, {"p50_s": 0, "p99_s": 0})
            row.append(f"{waiting['p50_s']:.1f}/{waiting['p99_s']:.1f}")
        row.append(str(report["packing"]))
        row.append(f"{report['share_error_max']}/{report['share_error_mean']}")
        row.append(str(report["preemptions"]))
        row.append(str(report["decisions_per_s"]))
        row.append(str(report["call_p99_ms"]))
        rows.append(row)
    widths = [max(len(row[column]) for row in rows) for column in range(len(head))]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths)))


if __name__ == "__main__":
    main()

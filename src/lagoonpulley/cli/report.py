"""``lagoonpulley report``: durations of the phases of jobs, by queue."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..observability.log_lines import read_events
from ..observability.timelines import (
    PHASES,
    JobTimeline,
    quantile,
    timelines_from_events,
)
from .errors import EXIT_SUCCESS, CommandError

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterator

__all__ = ["register"]

BAR_COLUMNS = 40
_BAR_BY_PHASE = {"known": ".", "wait": "w", "run": "#", "final": "f"}


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "report",
        help="show how long each phase of the jobs took",
        description=(
            "Read log files of all entries and print, for each queue, how long its "
            "jobs took: until the owner knew them (known), until their first task was "
            "placed (wait), until their last task ended (run), and until their final "
            "state was recorded (final). Times come from the wall clocks of the "
            "entries, which may differ."
        ),
    )
    parser.add_argument(
        "logs", nargs="+", metavar="LOG", help="log file of one or more entries"
    )
    parser.add_argument(
        "--every",
        type=float,
        metavar="SECONDS",
        help="print one table per time span, by the time at which jobs were accepted",
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the tables of phase durations."""
    events: list[dict[str, Any]] = []
    for path in options.logs:
        with Path(path).open(encoding="utf-8", errors="replace") as lines:
            events.extend(read_events(lines))
    jobs = timelines_from_events(events)
    if not jobs:
        raise CommandError("the logs contain no accepted job")
    for title, span_jobs in _jobs_by_span(jobs, options.every):
        if title:
            print(f"\n{title}")
        for line in _table_lines(span_jobs):
            print(line)
    return EXIT_SUCCESS


def _jobs_by_span(
    jobs: list[JobTimeline], span_s: float | None
) -> Iterator[tuple[str, list[JobTimeline]]]:
    if not span_s:
        yield "", jobs
        return
    first = min(job.submitted_at for job in jobs)
    by_span: dict[int, list[JobTimeline]] = {}
    for job in jobs:
        span = int((job.submitted_at - first) / span_s)
        by_span.setdefault(span, []).append(job)
    for span in sorted(by_span):
        yield f"accepted from {span * span_s:g} s", by_span[span]


def _table_lines(jobs: list[JobTimeline]) -> Iterator[str]:
    names = "".join(f"{phase.name + ' s':>16}" for phase in PHASES)
    yield f"{'queue':<16}{'jobs':>6}{'final':>7}{'again':>7}{names}   median / p95"
    by_queue: dict[str, list[JobTimeline]] = {}
    for job in jobs:
        by_queue.setdefault(job.queue, []).append(job)
    for queue in sorted(by_queue):
        queue_jobs = by_queue[queue]
        final = sum(job.final_at is not None for job in queue_jobs)
        failed_runs = sum(job.failed_runs for job in queue_jobs)
        cells = "".join(f"{cell:>16}" for cell in _cells(queue_jobs))
        yield f"{queue:<16}{len(queue_jobs):>6}{final:>7}{failed_runs:>7}{cells}"
        yield f"{'':<16}{_bar(queue_jobs)}"


def _cells(jobs: list[JobTimeline]) -> Iterator[str]:
    for phase in PHASES:
        durations = sorted(
            duration for job in jobs if (duration := phase.duration_s(job)) is not None
        )
        if not durations:
            yield "-"
            continue
        yield f"{quantile(durations, 0.5):.3f} / {quantile(durations, 0.95):.3f}"


def _bar(jobs: list[JobTimeline]) -> str:
    """Return a bar of each phase's share of the total time of all jobs."""
    total_by_phase = {}
    for phase in PHASES:
        if phase.name in _BAR_BY_PHASE:
            total_by_phase[phase.name] = sum(
                phase.duration_s(job) or 0.0 for job in jobs
            )
    total = sum(total_by_phase.values()) or 1.0
    parts = []
    for name, duration_s in total_by_phase.items():
        parts.append(_BAR_BY_PHASE[name] * round(BAR_COLUMNS * duration_s / total))
    shares = ", ".join(
        f"{name} {duration_s / total:.0%}"
        for name, duration_s in total_by_phase.items()
    )
    return f"[{''.join(parts):<{BAR_COLUMNS}}] {shares}"

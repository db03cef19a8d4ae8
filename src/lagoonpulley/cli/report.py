"""``lagoonpulley report``: where the time of jobs goes."""

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
from .errors import EXIT_DONE, CommandError

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
        help="show where the time of jobs goes",
        description=(
            "Read log files of all entries and print, for each queue, how long its "
            "jobs took: until the owner knew them (known), until their first task was "
            "placed (wait), until their last task ended (run), until the end was "
            "decided (final). Times are the entries' wall clocks, which may differ."
        ),
    )
    parser.add_argument("logs", nargs="+", metavar="LOG", help="log of one or more")
    parser.add_argument(
        "--every",
        type=float,
        metavar="SECONDS",
        help="one table for each span of the time at which jobs were accepted",
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the tables."""
    events: list[dict[str, Any]] = []
    for path in options.logs:
        with Path(path).open(encoding="utf-8", errors="replace") as lines:
            events.extend(read_events(lines))
    jobs = timelines_from_events(events)
    if not jobs:
        raise CommandError("the logs hold no accepted job")
    for title, some in _spans(jobs, options.every):
        if title:
            print(f"\n{title}")
        for line in _table(some):
            print(line)
    return EXIT_DONE


def _spans(
    jobs: list[JobTimeline], every_s: float | None
) -> Iterator[tuple[str, list[JobTimeline]]]:
    if not every_s:
        yield "", jobs
        return
    first = min(job.submitted_at for job in jobs)
    by_span: dict[int, list[JobTimeline]] = {}
    for job in jobs:
        span = int((job.submitted_at - first) / every_s)
        by_span.setdefault(span, []).append(job)
    for span in sorted(by_span):
        yield f"accepted from {span * every_s:g} s", by_span[span]


def _table(jobs: list[JobTimeline]) -> Iterator[str]:
    names = "".join(f"{phase.name + ' s':>16}" for phase in PHASES)
    yield f"{'queue':<16}{'jobs':>6}{'final':>7}{'again':>7}{names}   half / 95 of 100"
    by_queue: dict[str, list[JobTimeline]] = {}
    for job in jobs:
        by_queue.setdefault(job.queue, []).append(job)
    for queue in sorted(by_queue):
        some = by_queue[queue]
        final = sum(job.final_at is not None for job in some)
        again = sum(job.failed_runs for job in some)
        cells = "".join(f"{cell:>16}" for cell in _cells(some))
        yield f"{queue:<16}{len(some):>6}{final:>7}{again:>7}{cells}"
        yield f"{'':<16}{_bar(some)}"


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
    """Draw the shares of the phases in the time of all jobs."""
    sums = {}
    for phase in PHASES:
        if phase.name in _BAR_BY_PHASE:
            sums[phase.name] = sum(phase.duration_s(job) or 0.0 for job in jobs)
    whole = sum(sums.values()) or 1.0
    parts = []
    for name, amount in sums.items():
        parts.append(_BAR_BY_PHASE[name] * round(BAR_COLUMNS * amount / whole))
    shares = ", ".join(f"{name} {amount / whole:.0%}" for name, amount in sums.items())
    return f"[{''.join(parts):<{BAR_COLUMNS}}] {shares}"

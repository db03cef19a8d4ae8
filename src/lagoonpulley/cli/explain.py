"""``lagoonpulley explain``: print what happened to a job and why."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..observability.explain import events_from_lines, explain_events
from .common import add_entry_argument, add_key_argument, call_entry
from .errors import EXIT_SUCCESS, CommandError

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "explain",
        help="print what happened to a job and why",
        description=(
            "Print one sentence per logged decision about a job, from log files, from "
            "the events that an entry has in memory, or from both."
        ),
    )
    parser.add_argument("job", metavar="JOB")
    parser.add_argument(
        "--log",
        action="append",
        default=[],
        metavar="FILE",
        help="log file of an entry",
    )
    add_entry_argument(parser, required=False)
    add_key_argument(parser)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print one sentence per event of the job, in order of time."""
    if not options.log and not options.entry:
        raise CommandError("pass log files with --log or an entry with --entry")
    events: list[dict[str, Any]] = []
    for path in options.log:
        with Path(path).open(encoding="utf-8", errors="replace") as lines:
            events.extend(events_from_lines(lines, options.job))
    if options.entry:
        headers = (f"Authorization: Bearer {options.key}",) if options.key else ()
        path = f"/v1/jobs/{options.job}/decisions"
        value = call_entry(options.entry, "GET", path, headers=headers)
        events.extend(value["events"])
    sentences = explain_events(events)
    if not sentences:
        raise CommandError(f"no events found for job {options.job}")
    print("\n".join(sentences))
    return EXIT_SUCCESS

"""``lagoonpulley job``: submit, inspect, wait for and cancel jobs."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .common import (
    HTTP_TIMEOUT_MARGIN_S,
    add_entry_argument,
    add_key_argument,
    call_entry,
)
from .errors import EXIT_FAILURE, EXIT_SUCCESS, CommandError

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]

DEFAULT_WAIT_S = 30.0


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "job", help="submit, inspect, wait for and cancel jobs"
    )
    commands = parser.add_subparsers(title="commands", required=True, metavar="CMD")
    submit = commands.add_parser("submit", help="submit a job from a JSON file")
    submit.add_argument(
        "file", metavar="FILE", help="JSON file, or - for standard input"
    )
    submit.add_argument("--id", default="", help="Idempotency-Key of the request")
    submit.add_argument("--wait", type=float, default=0.0, metavar="SECONDS")
    submit.set_defaults(run=run_submit)
    status = commands.add_parser("status", help="print a job's state")
    status.set_defaults(run=run_status)
    wait = commands.add_parser("wait", help="wait until a job ends")
    wait.add_argument("--wait", type=float, default=DEFAULT_WAIT_S, metavar="SECONDS")
    wait.set_defaults(run=run_wait)
    cancel = commands.add_parser("cancel", help="cancel a job")
    cancel.set_defaults(run=run_cancel)
    for command in (status, wait, cancel):
        command.add_argument("job", metavar="JOB")
    for command in (submit, status, wait, cancel):
        add_entry_argument(command)
        add_key_argument(command)


def run_submit(options: argparse.Namespace) -> int:
    """Submit a job and print the response."""
    if options.file == "-":
        text = sys.stdin.read()
    else:
        text = Path(options.file).read_text(encoding="utf-8")
    try:
        body = json.loads(text)
    except ValueError as error:
        raise CommandError(f"{options.file} is not JSON: {error}") from None
    headers = _authorization(options)
    if options.id:
        headers += (f"Idempotency-Key: {options.id}",)
    if options.wait:
        headers += (f"Prefer: wait={options.wait:g}",)
    timeout_s = options.wait + HTTP_TIMEOUT_MARGIN_S
    value = call_entry(options.entry, "POST", "/v1/jobs", body, headers, timeout_s)
    return _print(value)


def run_status(options: argparse.Namespace) -> int:
    """Print a job's state."""
    path = f"/v1/jobs/{options.job}"
    headers = _authorization(options)
    return _print(call_entry(options.entry, "GET", path, headers=headers))


def run_wait(options: argparse.Namespace) -> int:
    """Wait until a job ends; exit with 1 unless it finished."""
    path = f"/v1/jobs/{options.job}?wait={options.wait:g}"
    timeout_s = options.wait + HTTP_TIMEOUT_MARGIN_S
    headers = _authorization(options)
    value = call_entry(options.entry, "GET", path, headers=headers, timeout_s=timeout_s)
    _print(value)
    return EXIT_SUCCESS if value["state"] == "finished" else EXIT_FAILURE


def run_cancel(options: argparse.Namespace) -> int:
    """Cancel a job and print its state."""
    path = f"/v1/jobs/{options.job}"
    headers = _authorization(options)
    return _print(call_entry(options.entry, "DELETE", path, headers=headers))


def _authorization(options: argparse.Namespace) -> tuple[str, ...]:
    return (f"Authorization: Bearer {options.key}",) if options.key else ()


def _print(value: Any) -> int:
    print(json.dumps(value, indent=2))
    return EXIT_SUCCESS

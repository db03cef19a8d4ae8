"""Parsing of the command line and choice of the subcommand."""

from __future__ import annotations

import argparse
import sys
import traceback
from typing import TYPE_CHECKING

from . import (
    check,
    config,
    demo,
    drain,
    explain,
    job,
    key,
    platform,
    report,
    serve,
    sheet,
    standin,
    version,
)
from .errors import EXIT_REFUSED, CommandError

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["main"]

_COMMANDS = (
    serve,
    platform,
    check,
    sheet,
    key,
    config,
    job,
    explain,
    report,
    drain,
    demo,
    standin,
    version,
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one subcommand and return the exit code.

    :param arguments: command line without the program's name.
    """
    options = build_parser().parse_args(arguments)
    try:
        return options.run(options)
    except CommandError as error:
        _report(options, str(error))
        return error.code
    except KeyboardInterrupt:
        return EXIT_REFUSED
    except (OSError, ValueError) as error:
        _report(options, f"{type(error).__name__}: {error}")
        return EXIT_REFUSED


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with every subcommand registered."""
    parser = argparse.ArgumentParser(
        prog="lagoonpulley",
        description="Cluster scheduler for services, batch work and all-at-once jobs.",
        epilog="Exit codes: 0 done, 1 refused or failed, 2 wrong usage.",
    )
    parser.add_argument(
        "-v", "--verbose", action="store_true", help="show tracebacks of failures"
    )
    subparsers = parser.add_subparsers(title="commands", required=True, metavar="CMD")
    for command in _COMMANDS:
        command.register(subparsers)
    return parser


def _report(options: argparse.Namespace, message: str) -> None:
    if options.verbose:
        traceback.print_exc()
    print(f"lagoonpulley: {message}", file=sys.stderr)

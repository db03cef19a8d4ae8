"""Parsing of the command line and choice of the subcommand."""

from __future__ import annotations

import argparse
import sys
import traceback
from importlib import import_module
from typing import TYPE_CHECKING

from .errors import EXIT_REFUSED, CommandError

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["main"]

_COMMANDS = (
    "serve",
    "platform",
    "check",
    "sheet",
    "key",
    "config",
    "job",
    "explain",
    "report",
    "drain",
    "demo",
    "standin",
    "version",
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one subcommand and return the exit code.

    :param arguments: command line without the program's name.
    """
    if arguments is None:
        arguments = sys.argv[1:]
    options = build_parser(_named_command(arguments)).parse_args(arguments)
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


def _named_command(arguments: Sequence[str]) -> str | None:
    """Return the subcommand that the arguments name, if it is certain."""
    words = [word for word in arguments if not word.startswith("-")]
    return words[0] if words and words[0] in _COMMANDS else None


def build_parser(only: str | None = None) -> argparse.ArgumentParser:
    """Return the parser with every subcommand registered.

    :param only: register just this one: an entry starts in half the time when it
        does not load what the other commands need.
    """
    parser = argparse.ArgumentParser(
        prog="lagoonpulley",
        description="Cluster scheduler for services, batch work and all-at-once jobs.",
        epilog="Exit codes: 0 done, 1 refused or failed, 2 wrong usage.",
    )
    parser.add_argument(
        "-v", "--verbose", action="store_true", help="show tracebacks of failures"
    )
    subparsers = parser.add_subparsers(title="commands", required=True, metavar="CMD")
    for name in (only,) if only else _COMMANDS:
        import_module(f".{name}", __package__).register(subparsers)
    return parser


def _report(options: argparse.Namespace, message: str) -> None:
    if options.verbose:
        traceback.print_exc()
    print(f"lagoonpulley: {message}", file=sys.stderr)

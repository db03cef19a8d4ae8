"""Command line parser and dispatch to the subcommands."""

from __future__ import annotations

import argparse
import gc
import sys
import traceback
from importlib import import_module
from typing import TYPE_CHECKING

from .errors import EXIT_FAILURE, CommandError

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
        _print_error(options, str(error))
        return error.code
    except KeyboardInterrupt:
        return EXIT_FAILURE
    except (OSError, ValueError) as error:
        _print_error(options, f"{type(error).__name__}: {error}")
        return EXIT_FAILURE


def _named_command(arguments: Sequence[str]) -> str | None:
    """Return the subcommand if the first argument that is no option names one."""
    words = [word for word in arguments if not word.startswith("-")]
    return words[0] if words and words[0] in _COMMANDS else None


def build_parser(only: str | None = None) -> argparse.ArgumentParser:
    """Return the parser with every subcommand registered.

    :param only: register only this subcommand. An entry starts in half the time
        when it does not import the modules of the other subcommands.
    """
    parser = argparse.ArgumentParser(
        prog="lagoonpulley",
        description="Cluster scheduler for services, batch jobs and gang jobs.",
        epilog="Exit codes: 0 success, 1 refused or failed, 2 usage error.",
    )
    parser.add_argument(
        "-v", "--verbose", action="store_true", help="show tracebacks of errors"
    )
    subparsers = parser.add_subparsers(title="commands", required=True, metavar="CMD")
    # Imports create many objects and no garbage: collections would only delay them.
    gc.disable()
    for name in (only,) if only else _COMMANDS:
        import_module(f".{name}", __package__).register(subparsers)
    gc.freeze()
    gc.enable()
    return parser


def _print_error(options: argparse.Namespace, message: str) -> None:
    if options.verbose:
        traceback.print_exc()
    print(f"lagoonpulley: {message}", file=sys.stderr)

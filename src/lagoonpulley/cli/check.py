"""``lagoonpulley check``: validate a settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .common import read_settings
from .errors import EXIT_DONE

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "check",
        help="validate a settings file",
        description="Name each faulty setting by its JSON path.",
    )
    parser.add_argument("file", metavar="FILE", help="settings file")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Validate and say so."""
    settings = read_settings(options.file)
    print(f"{options.file}: valid, entry {settings.entry_id}")
    return EXIT_DONE

"""``lagoonpulley version``: print the version."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .. import __version__
from .errors import EXIT_SUCCESS

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("version", help="print the version")
    parser.set_defaults(run=run)


def run(_options: argparse.Namespace) -> int:
    """Print the version."""
    print(__version__)
    return EXIT_SUCCESS

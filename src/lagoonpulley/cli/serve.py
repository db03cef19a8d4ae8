"""``lagoonpulley serve``: run one entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..entry.entry import Entry
from ..observability.logs import configure_logging
from .common import read_settings
from .errors import EXIT_DONE, EXIT_REFUSED
from .signals import StopSignals

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "serve",
        help="run one entry",
        description=(
            "Run one entry until SIGTERM, which hands its groups over and lets "
            "requests finish; a second SIGTERM ends it at once."
        ),
    )
    parser.add_argument("file", metavar="SETTINGS", help="settings file")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Serve until told to stop."""
    settings = read_settings(options.file)
    configure_logging(settings.log, settings.entry_id)
    entry = Entry.from_settings(settings)
    signals = StopSignals.installed()
    entry.on_drain_requested(signals.stop.set)
    entry.start()
    print(f"http {entry.http_address} peers {entry.peer_address}", flush=True)
    signals.wait()
    entry.drain(settings.stop_deadline_s, signals.stop_at_once)
    if signals.stop_at_once.is_set():
        return EXIT_REFUSED
    entry.close()
    return EXIT_DONE

"""``lagoonpulley serve``: run one entry, a scheduler process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..entry.entry import Entry
from ..observability.logs import configure_logging
from .common import read_settings
from .errors import EXIT_FAILURE, EXIT_SUCCESS
from .signals import StopSignals

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "serve",
        help="run one entry (scheduler process)",
        description=(
            "Run one entry (scheduler process) until SIGTERM. It then hands its groups "
            "over and lets requests finish; a second SIGTERM stops it immediately."
        ),
    )
    parser.add_argument("file", metavar="SETTINGS", help="settings file")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run the entry until a stop signal or a drain request, then drain it."""
    settings = read_settings(options.file)
    configure_logging(settings.log, settings.entry_id)
    entry = Entry.from_settings(settings)
    signals = StopSignals.install()
    entry.on_drain_requested(signals.stop.set)
    entry.start()
    print(f"http {entry.http_address} peers {entry.peer_address}", flush=True)
    signals.wait()
    entry.drain(settings.stop_deadline_s, signals.stop_at_once)
    if signals.stop_at_once.is_set():
        return EXIT_FAILURE
    entry.close()
    return EXIT_SUCCESS

"""``lagoonpulley serve``: run one entry."""

from __future__ import annotations

import signal
import threading
from typing import TYPE_CHECKING, Any

from ..entry.entry import Entry
from ..observability.logs import configure_logging
from .common import read_settings
from .errors import EXIT_DONE, EXIT_REFUSED

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
    stop = threading.Event()
    stop_at_once = threading.Event()

    def on_signal(_number: int, _frame: Any) -> None:
        if stop.is_set():
            stop_at_once.set()
        stop.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    entry.on_drain_wanted(stop.set)
    entry.start()
    print(f"http {entry.http_address} peers {entry.peer_address}", flush=True)
    stop.wait()
    entry.drain(settings.stop_deadline_s, stop_at_once)
    if stop_at_once.is_set():
        return EXIT_REFUSED
    entry.close()
    return EXIT_DONE

"""``lagoonpulley platform``: run one entry on the users' platform."""

from __future__ import annotations

import signal
import threading
from typing import TYPE_CHECKING, Any

from ..observability.events import log_event
from ..observability.logs import configure_stdout_logging
from ..platform.entry import PlatformEntry
from ..platform.reload import CHECK_EVERY_S, SettingsFollower
from ..platform.settings import read_settings
from .errors import EXIT_DONE, EXIT_REFUSED, EXIT_USAGE, CommandError

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "platform",
        help="run one entry on the users' platform",
        description=(
            "Run one entry until SIGTERM, with the settings that the platform lays "
            "out; a second SIGTERM ends it at once."
        ),
    )
    parser.add_argument(
        "file",
        metavar="SETTINGS",
        nargs="?",
        help="settings file, if not the one that the environment names",
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Serve until told to stop."""
    settings = read_settings(options.file)
    if settings.is_error():
        raise CommandError(settings.error, EXIT_USAGE)
    configure_stdout_logging(settings.ok.entry_id)
    stop = threading.Event()
    stop_at_once = threading.Event()

    def on_signal(_number: int, _frame: Any) -> None:
        if stop.is_set():
            stop_at_once.set()
        stop.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    entry = PlatformEntry.from_settings(settings.ok)
    follower = SettingsFollower(options.file, settings.ok, entry.apply_settings)
    signal.signal(signal.SIGHUP, lambda _number, _frame: follower.ask())
    entry.start()
    log_event("started", entry_id=settings.ok.entry_id)
    # A bounded wait, so that a signal that comes just before it is not missed.
    while not stop.wait(CHECK_EVERY_S):
        follower.check()
    log_event("stopping")
    entry.drain(settings.ok.stop_deadline_s, stop_at_once)
    if stop_at_once.is_set():
        return EXIT_REFUSED
    entry.close()
    log_event("stopped")
    return EXIT_DONE

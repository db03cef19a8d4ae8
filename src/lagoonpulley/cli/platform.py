"""``lagoonpulley platform``: run one entry on the users' platform."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Any

from ..observability.events import log_event
from ..observability.logs import configure_stdout_logging
from ..platform.entry import PlatformEntry
from ..platform.reload import SettingsReloader
from ..platform.settings import read_settings
from .errors import EXIT_DONE, EXIT_REFUSED, EXIT_USAGE, CommandError
from .signals import StopSignals

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
    signals = StopSignals.installed()
    entry = PlatformEntry.from_settings(settings.ok)
    reloader = SettingsReloader(options.file, settings.ok, entry.apply_settings)
    signal.signal(signal.SIGHUP, lambda _number, _frame: reloader.request_reload())
    entry.start()
    log_event("started", entry_id=settings.ok.entry_id)
    signals.wait(reloader.reload_if_changed)
    log_event("stopping")
    entry.drain(settings.ok.stop_deadline_s, signals.stop_at_once)
    if signals.stop_at_once.is_set():
        return EXIT_REFUSED
    entry.close()
    log_event("stopped")
    return EXIT_DONE

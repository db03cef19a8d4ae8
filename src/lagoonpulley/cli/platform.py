"""``lagoonpulley platform``: run one scheduler process on the users' platform."""

from __future__ import annotations

import gc
import signal
from typing import TYPE_CHECKING, Any

from ..observability.events import log_event
from ..observability.logs import configure_stdout_logging
from ..platform.entry import PlatformEntry
from ..platform.reload import SettingsReloader
from ..platform.settings import read_settings
from .errors import EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE, CommandError
from .signals import StopSignals

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]

# Allocations before the collector looks at the youngest objects. A busy owner keeps
# many long-lived records, and hardly any of its objects are part of a cycle.
GC_THRESHOLD = 20_000


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "platform",
        help="run one entry (scheduler process) on the platform",
        description=(
            "Run one entry (scheduler process) with the platform's settings file until "
            "SIGTERM. SIGHUP reloads the settings; a second SIGTERM stops the entry "
            "immediately."
        ),
    )
    parser.add_argument(
        "file",
        metavar="SETTINGS",
        nargs="?",
        help="settings file; default: $LAGOONPULLEY_SETTINGS",
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run the entry until a stop signal, then drain it."""
    settings = read_settings(options.file)
    if settings.is_error():
        raise CommandError(settings.error, EXIT_USAGE)
    configure_stdout_logging(settings.ok.entry_id)
    signals = StopSignals.install()
    entry = PlatformEntry.from_settings(settings.ok)
    reloader = SettingsReloader(options.file, settings.ok, entry.apply_settings)
    signal.signal(signal.SIGHUP, lambda _number, _frame: reloader.request_reload())
    gc.set_threshold(GC_THRESHOLD)
    entry.start()
    log_event(
        "started",
        entry_id=settings.ok.entry_id,
        callers=entry.callers_address,
        ready=entry.ready_address,
    )
    signals.wait(reloader.reload_if_changed)
    log_event("stopping")
    entry.drain(settings.ok.stop_deadline_s, signals.stop_at_once)
    if signals.stop_at_once.is_set():
        return EXIT_FAILURE
    entry.close()
    log_event("stopped")
    return EXIT_SUCCESS

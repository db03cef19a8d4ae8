"""``lagoonpulley config``: show the configuration and which entries have applied it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..configuration.editor import ConfigurationEditor
from .common import (
    add_entry_argument,
    add_settings_argument,
    call_entry,
    open_store,
    read_settings,
)
from .errors import EXIT_SUCCESS, CommandError
from .rollout import print_rollout

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("config", help="show the configuration")
    commands = parser.add_subparsers(title="commands", required=True, metavar="CMD")
    show = commands.add_parser("show", help="print the configuration in the store")
    add_settings_argument(show)
    show.set_defaults(run=run_show)
    status = commands.add_parser(
        "status", help="print applied revisions, group owners and groups"
    )
    add_entry_argument(status)
    status.set_defaults(run=run_status)


def run_show(options: argparse.Namespace) -> int:
    """Print the configuration document."""
    settings = read_settings(options.settings)
    with open_store(settings) as store:
        loaded = ConfigurationEditor(store).load()
    if loaded.is_error():
        raise CommandError(loaded.error.message)
    print(loaded.ok.document.model_dump_json(indent=2))
    return EXIT_SUCCESS


def run_status(options: argparse.Namespace) -> int:
    """Print the revision that each entry has applied, and the owner of each group."""
    status = call_entry(options.entry, "GET", "/v1/status")
    print_rollout(status, status["revision"])
    for owner in status["owners"]:
        print(f"group {owner['group']}: {owner['entry_id']}, epoch {owner['epoch']}")
    for group in status["groups"]:
        line = " ".join(f"{name}={value}" for name, value in group.items())
        print(f"owned here: {line}")
    return EXIT_SUCCESS

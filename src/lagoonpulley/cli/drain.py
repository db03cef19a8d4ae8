"""``lagoonpulley drain``: request a graceful stop of an entry through the store."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Any

from ..entry.drain import drain_key
from ..runtime.role import CallFailed
from ..store.messages import ABSENT, Get, Put
from .common import add_settings_argument, open_store, read_settings
from .errors import EXIT_SUCCESS, CommandError

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "drain",
        help="stop an entry gracefully",
        description=(
            "Write a drain request for an entry to the store. The entry hands its "
            "groups over, lets requests finish and stops."
        ),
    )
    parser.add_argument("entry_id", metavar="ENTRY")
    add_settings_argument(parser)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Write the drain request to the store."""
    settings = read_settings(options.settings)
    key = drain_key(options.entry_id)
    with open_store(settings) as store:
        found = store.call(Get(key))
        if isinstance(found, CallFailed):
            raise CommandError(f"the store cannot be read: {found.reason}")
        expected = found.entry.revision if found.entry is not None else ABSENT
        result = store.call(Put(key, uuid.uuid4().hex, expected, uuid.uuid4().hex))
    if isinstance(result, CallFailed) or not result.ok:
        raise CommandError("the store did not confirm the drain request; try again")
    print(f"drain requested for entry {options.entry_id}")
    return EXIT_SUCCESS

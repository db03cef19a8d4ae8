"""``lagoonpulley key``: grant, withdraw and list keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..configuration.editor import ConfigurationEditor, LoadedConfiguration
from ..configuration.keys import create_key, key_id_of
from .common import add_entry_argument, add_settings_argument, open_store, read_settings
from .errors import EXIT_DONE, CommandError
from .inforce import wait_until_in_force

if TYPE_CHECKING:
    import argparse

    from ..configuration.document import ConfigurationDocument

__all__ = ["register"]

TRIES = 5


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("key", help="grant, withdraw and list keys")
    commands = parser.add_subparsers(title="commands", required=True, metavar="CMD")
    grant = commands.add_parser("grant", help="create a key and print it once")
    grant.add_argument("team", metavar="TEAM")
    grant.set_defaults(run=run_grant)
    withdraw = commands.add_parser("withdraw", help="withdraw a key by identifier")
    withdraw.add_argument("key", metavar="KEY", help="the key or its identifier")
    withdraw.set_defaults(run=run_withdraw)
    listing = commands.add_parser("list", help="list identifiers and teams")
    listing.set_defaults(run=run_list)
    for command in (grant, withdraw, listing):
        add_settings_argument(command)
    for command in (grant, withdraw):
        add_entry_argument(command, required=False)


def run_grant(options: argparse.Namespace) -> int:
    """Create a key for a team."""
    new = create_key(options.team)

    def change(document: ConfigurationDocument) -> ConfigurationDocument:
        if options.team not in document.teams:
            raise CommandError(f"there is no team {options.team}")
        keys = {**document.keys, new.id: new.entry}
        return _next(document, keys)

    saved = _edit(options, change)
    print(new.text)
    _report(options, saved)
    return EXIT_DONE


def run_withdraw(options: argparse.Namespace) -> int:
    """Withdraw a key and tell where that is in force."""
    key_id = key_id_of(options.key) or options.key

    def change(document: ConfigurationDocument) -> ConfigurationDocument:
        if key_id not in document.keys:
            raise CommandError(f"there is no key {key_id}")
        keys = {name: key for name, key in document.keys.items() if name != key_id}
        return _next(document, keys)

    saved = _edit(options, change)
    print(f"withdrawn {key_id} in revision {saved.document.revision}")
    _report(options, saved)
    return EXIT_DONE


def run_list(options: argparse.Namespace) -> int:
    """List keys without their secrets."""
    settings = read_settings(options.settings)
    with open_store(settings) as store:
        loaded = ConfigurationEditor(store).load()
    if loaded.is_error():
        raise CommandError(loaded.error.message)
    for key_id, key in sorted(loaded.ok.document.keys.items()):
        print(f"{key_id} {key.team}")
    return EXIT_DONE


def _next(document: ConfigurationDocument, keys: Any) -> ConfigurationDocument:
    update = {"revision": document.revision + 1, "keys": keys}
    return document.model_copy(update=update)


def _edit(options: argparse.Namespace, change: Any) -> LoadedConfiguration:
    """Make a change on the newest configuration, again after a conflict."""
    settings = read_settings(options.settings)
    with open_store(settings) as store:
        editor = ConfigurationEditor(store)
        for _ in range(TRIES):
            loaded = editor.load()
            if loaded.is_error():
                raise CommandError(loaded.error.message)
            saved = editor.save(loaded.ok, change(loaded.ok.document))
            if saved.is_ok():
                return saved.ok
            if not saved.error.is_conflict:
                raise CommandError(saved.error.message)
    raise CommandError("other operators keep changing the configuration; try again")


def _report(options: argparse.Namespace, saved: LoadedConfiguration) -> None:
    if options.entry:
        wait_until_in_force(options.entry, saved.document.revision)

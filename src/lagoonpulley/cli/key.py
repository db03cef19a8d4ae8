"""``lagoonpulley key``: grant, withdraw and list API keys of teams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..configuration.editor import ConfigurationEditor, LoadedConfiguration
from ..configuration.keys import create_key, key_id_of
from .common import add_entry_argument, add_settings_argument, open_store, read_settings
from .errors import EXIT_SUCCESS, CommandError
from .rollout import wait_for_rollout

if TYPE_CHECKING:
    import argparse

    from ..configuration.document import ConfigurationDocument

__all__ = ["register"]

MAX_SAVE_ATTEMPTS = 5


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("key", help="grant, withdraw and list API keys")
    commands = parser.add_subparsers(title="commands", required=True, metavar="CMD")
    grant = commands.add_parser(
        "grant", help="create a key and print it; it cannot be shown again"
    )
    grant.add_argument("team", metavar="TEAM")
    grant.set_defaults(run=run_grant)
    withdraw = commands.add_parser("withdraw", help="withdraw a key")
    withdraw.add_argument("key", metavar="KEY", help="the key or its identifier")
    withdraw.set_defaults(run=run_withdraw)
    listing = commands.add_parser("list", help="list key identifiers and teams")
    listing.set_defaults(run=run_list)
    for command in (grant, withdraw, listing):
        add_settings_argument(command)
    for command in (grant, withdraw):
        add_entry_argument(command, required=False)


def run_grant(options: argparse.Namespace) -> int:
    """Create a key for a team and print it; the store keeps only its digest."""
    new_key = create_key(options.team)

    def change(document: ConfigurationDocument) -> ConfigurationDocument:
        if options.team not in document.teams:
            raise CommandError(f"there is no team {options.team}")
        keys = {**document.keys, new_key.id: new_key.entry}
        return _next_revision(document, keys)

    saved = _edit_configuration(options, change)
    print(new_key.text)
    _report_rollout(options, saved)
    return EXIT_SUCCESS


def run_withdraw(options: argparse.Namespace) -> int:
    """Withdraw a key and print which entries have applied the withdrawal."""
    key_id = key_id_of(options.key) or options.key

    def change(document: ConfigurationDocument) -> ConfigurationDocument:
        if key_id not in document.keys:
            raise CommandError(f"there is no key {key_id}")
        keys = {name: key for name, key in document.keys.items() if name != key_id}
        return _next_revision(document, keys)

    saved = _edit_configuration(options, change)
    print(f"key {key_id} withdrawn in revision {saved.document.revision}")
    _report_rollout(options, saved)
    return EXIT_SUCCESS


def run_list(options: argparse.Namespace) -> int:
    """Print the identifier and team of each key, without its secret."""
    settings = read_settings(options.settings)
    with open_store(settings) as store:
        loaded = ConfigurationEditor(store).load()
    if loaded.is_error():
        raise CommandError(loaded.error.message)
    for key_id, key in sorted(loaded.ok.document.keys.items()):
        print(f"{key_id} {key.team}")
    return EXIT_SUCCESS


def _next_revision(document: ConfigurationDocument, keys: Any) -> ConfigurationDocument:
    update = {"revision": document.revision + 1, "keys": keys}
    return document.model_copy(update=update)


def _edit_configuration(
    options: argparse.Namespace, change: Any
) -> LoadedConfiguration:
    """Apply a change to the newest configuration; retry after a write conflict."""
    settings = read_settings(options.settings)
    with open_store(settings) as store:
        editor = ConfigurationEditor(store)
        for _ in range(MAX_SAVE_ATTEMPTS):
            loaded = editor.load()
            if loaded.is_error():
                raise CommandError(loaded.error.message)
            saved = editor.save(loaded.ok, change(loaded.ok.document))
            if saved.is_ok():
                return saved.ok
            if not saved.error.is_conflict:
                raise CommandError(saved.error.message)
    raise CommandError("other operators keep changing the configuration; try again")


def _report_rollout(options: argparse.Namespace, saved: LoadedConfiguration) -> None:
    if options.entry:
        wait_for_rollout(options.entry, saved.document.revision)

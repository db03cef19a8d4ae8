"""``lagoonpulley sheet``: check, compare and apply a sheet of teams and queues."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..configuration.editor import ConfigurationEditor, LoadedConfiguration
from ..sheet.diff import SheetDiff, apply_content, diff_sheet
from ..sheet.parse import SheetContent, parse_sheet
from .common import add_entry_argument, add_settings_argument, open_store, read_settings
from .errors import EXIT_SUCCESS, CommandError
from .rollout import wait_for_rollout

if TYPE_CHECKING:
    import argparse

    from ..store.client import StoreClient

__all__ = ["register"]

MAX_REMOVED_FRACTION = 0.2


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("sheet", help="check, compare and apply a sheet")
    commands = parser.add_subparsers(title="commands", required=True, metavar="CMD")
    check = commands.add_parser("check", help="list every error in a sheet")
    check.set_defaults(run=run_check)
    diff = commands.add_parser("diff", help="show what a sheet would change")
    diff.set_defaults(run=run_diff)
    apply = commands.add_parser("apply", help="apply a sheet to the configuration")
    apply.set_defaults(run=run_apply)
    apply.add_argument(
        "--base",
        type=int,
        metavar="REVISION",
        help="revision shown by diff; apply only if it is still current",
    )
    apply.add_argument(
        "--allow-removals",
        action="store_true",
        help="apply even if the sheet removes many teams or queues",
    )
    add_entry_argument(apply, required=False)
    for command in (check, diff, apply):
        command.add_argument("file", metavar="FILE", help="CSV file")
        command.add_argument("--encoding", help="code page, such as cp1250")
    for command in (diff, apply):
        add_settings_argument(command)


def run_check(options: argparse.Namespace) -> int:
    """Report every error, or count the teams and queues of a valid sheet."""
    content = _read_sheet(options)
    print(f"{len(content.teams)} teams, {len(content.queues)} queues, no errors")
    return EXIT_SUCCESS


def run_diff(options: argparse.Namespace) -> int:
    """Print what applying the sheet would change."""
    content = _read_sheet(options)
    settings = read_settings(options.settings)
    with open_store(settings) as store:
        loaded = _load_configuration(store)
    _print_diff(diff_sheet(loaded.document, content))
    return EXIT_SUCCESS


def run_apply(options: argparse.Namespace) -> int:
    """Apply the sheet, provided that the configuration has not changed meanwhile."""
    content = _read_sheet(options)
    settings = read_settings(options.settings)
    with open_store(settings) as store:
        loaded = _load_configuration(store)
        diff = diff_sheet(loaded.document, content)
        if diff.is_empty:
            print(f"nothing to change, revision {diff.base_revision} is current")
            _report_rollout(options, loaded)
            return EXIT_SUCCESS
        _check_base(options, diff)
        _check_removals(options, diff)
        saved = ConfigurationEditor(store).save(
            loaded, apply_content(loaded.document, content)
        )
        if saved.is_error():
            if saved.error.is_conflict:
                _print_diff(diff_sheet(_load_configuration(store).document, content))
            raise CommandError(saved.error.message)
    _print_diff(diff)
    print(f"applied as revision {saved.ok.document.revision}")
    _report_rollout(options, saved.ok)
    return EXIT_SUCCESS


def _read_sheet(options: argparse.Namespace) -> SheetContent:
    raw = Path(options.file).read_bytes()
    parsed = parse_sheet(raw, options.encoding)
    if parsed.is_error():
        lines = [f"{options.file}: {sheet_error}" for sheet_error in parsed.error]
        raise CommandError("\n".join(lines))
    return parsed.ok


def _load_configuration(store: StoreClient) -> LoadedConfiguration:
    loaded = ConfigurationEditor(store).load()
    if loaded.is_error():
        raise CommandError(loaded.error.message)
    return loaded.ok


def _check_base(options: argparse.Namespace, diff: SheetDiff) -> None:
    if options.base is None or options.base == diff.base_revision:
        return
    _print_diff(diff)
    raise CommandError(
        f"the sheet was compared with revision {options.base}, but revision "
        f"{diff.base_revision} is current; the diff above shows the changes against it"
    )


def _check_removals(options: argparse.Namespace, diff: SheetDiff) -> None:
    if options.allow_removals or diff.removed_fraction <= MAX_REMOVED_FRACTION:
        return
    _print_diff(diff)
    raise CommandError(
        f"the sheet removes {diff.removed_fraction:.0%} of all teams and queues; "
        "use --allow-removals to apply it anyway"
    )


def _print_diff(diff: SheetDiff) -> None:
    print(f"changes against revision {diff.base_revision}:")
    for change in diff.changes:
        print(f"  {change}")
    if diff.is_empty:
        print("  no changes")


def _report_rollout(options: argparse.Namespace, loaded: LoadedConfiguration) -> None:
    if options.entry:
        wait_for_rollout(options.entry, loaded.document.revision)

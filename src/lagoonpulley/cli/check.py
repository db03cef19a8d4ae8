"""``lagoonpulley check``: validate a settings or deploy file."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..platform import deploy
from ..platform import settings as platform_settings
from .common import read_settings
from .errors import EXIT_SUCCESS, CommandError

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "check",
        help="validate a settings or deploy file",
        description=(
            "Validate a file and name each invalid field by its path. The suffix "
            "selects the kind of file: .toml is a deploy file with its templates, "
            ".yaml or .yml platform settings, anything else settings for serve."
        ),
    )
    parser.add_argument("file", metavar="FILE", help="file to validate")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Validate the file and print what it describes."""
    path = Path(options.file)
    if path.suffix == ".toml":
        found = _check_deploy_file(path)
    elif path.suffix in (".yaml", ".yml"):
        found = _check_platform_settings(path)
    else:
        found = f"entry {read_settings(options.file).entry_id}"
    print(f"{options.file}: valid, {found}")
    return EXIT_SUCCESS


def _check_platform_settings(path: Path) -> str:
    result = platform_settings.read_settings(str(path))
    if result.is_error():
        raise CommandError(result.error)
    return f"entry {result.ok.entry_id}"


def _check_deploy_file(path: Path) -> str:
    result = deploy.read_deploy_file(path)
    if result.is_error():
        raise CommandError(result.error)
    for name, role in result.ok.roles.items():
        if role.arguments() is None:
            raise CommandError(f"{path}: roles.{name}: runs another program")
    return "roles " + ", ".join(result.ok.roles)

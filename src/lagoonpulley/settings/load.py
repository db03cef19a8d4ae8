"""Reading of the settings file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from expression import Error, Ok, Result
from pydantic import ValidationError

from .schema import Settings

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["SettingsFault", "load_settings", "parse_settings"]


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One faulty setting, named by its JSON path."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


def load_settings(path: str) -> Result[Settings, list[SettingsFault]]:
    """Read and validate a settings file.

    :param path: path of the JSON file.
    :returns: the settings, or every fault found.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error([SettingsFault("$", f"cannot read {path}: {error}")])
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, list[SettingsFault]]:
    """Validate the text of a settings file."""
    try:
        return Ok(Settings.model_validate_json(text))
    except ValidationError as error:
        faults = [
            SettingsFault(_json_path(item["loc"]), _plain_message(item["msg"]))
            for item in error.errors(include_url=False)
        ]
        return Error(faults)


def _json_path(location: Iterable[str | int]) -> str:
    path = "$"
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path


def _plain_message(message: str) -> str:
    return message.removeprefix("Value error, ")

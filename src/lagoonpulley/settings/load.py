"""Reads and validates the settings file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from expression import Error, Ok, Result
from pydantic import ValidationError

from .schema import Settings

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["InvalidSetting", "load_settings", "parse_settings"]


@dataclass(frozen=True, slots=True)
class InvalidSetting:
    """One invalid setting, with its JSON path."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


def load_settings(path: str) -> Result[Settings, list[InvalidSetting]]:
    """Read and validate a settings file.

    :param path: path of the JSON file.
    :returns: the settings, or all invalid settings that were found.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error([InvalidSetting("$", f"cannot read {path}: {error}")])
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, list[InvalidSetting]]:
    """Validate the text of a settings file."""
    try:
        return Ok(Settings.model_validate_json(text))
    except ValidationError as error:
        invalid_settings = [
            InvalidSetting(_json_path(item["loc"]), _plain_message(item["msg"]))
            for item in error.errors(include_url=False)
        ]
        return Error(invalid_settings)


def _json_path(location: Iterable[str | int]) -> str:
    path = "$"
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path


def _plain_message(message: str) -> str:
    return message.removeprefix("Value error, ")

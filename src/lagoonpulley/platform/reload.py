"""Applies changes of the settings file, which is read again at each check."""

from __future__ import annotations

import os
import threading
from dataclasses import fields
from pathlib import Path
from typing import TYPE_CHECKING

from ..observability.events import log_event
from .settings import SETTINGS_VARIABLE, PlatformSettings, read_settings

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["SettingsReloader"]


class SettingsReloader:
    """Applies changes of the settings file; an invalid file changes nothing.

    :param apply: called with the new settings when they differ.
    """

    def __init__(
        self,
        path: str | None,
        settings: PlatformSettings,
        apply: Callable[[PlatformSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._last_error = ""
        self._last_content: bytes | None = None
        self._reload_requested = threading.Event()

    def request_reload(self) -> None:
        """Log the result of the next check in any case; safe in a signal handler."""
        self._reload_requested.set()

    def reload_if_changed(self) -> None:
        """Read the file and apply its settings if they differ from the current ones.

        An error is logged when it first occurs, and again when a reload was requested.
        """
        requested = self._reload_requested.is_set()
        self._reload_requested.clear()
        content = self._read_content()
        if content is not None and content == self._last_content and not requested:
            return
        self._last_content = content
        read = read_settings(self._path)
        if read.is_error():
            if requested or read.error != self._last_error:
                log_event("settings_refused", reason=read.error, asked=requested)
            self._last_error = read.error
            return
        self._last_error = ""
        changed = _changed_fields(self._settings, read.ok)
        if requested or changed:
            log_event("settings_reloaded", changed=changed, asked=requested)
        if changed:
            self._settings = read.ok
            self._apply(read.ok)

    def _read_content(self) -> bytes | None:
        """Return the unparsed file, or ``None`` if it cannot be read."""
        path = self._path or os.environ.get(SETTINGS_VARIABLE, "")
        try:
            return Path(path).read_bytes()
        except OSError:
            return None


def _changed_fields(old: PlatformSettings, new: PlatformSettings) -> list[str]:
    return [
        field.name
        for field in fields(PlatformSettings)
        if getattr(old, field.name) != getattr(new, field.name)
    ]

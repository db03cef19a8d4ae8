"""Reading the settings file again, on a signal and whenever it has changed."""

from __future__ import annotations

import threading
from dataclasses import fields
from typing import TYPE_CHECKING

from ..observability.events import log_event
from .settings import PlatformSettings, read_settings

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["SettingsReloader"]


class SettingsReloader:
    """Compares the file with what is in force; faulty files change nothing.

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
        self._last_fault = ""
        self._wanted = threading.Event()

    def request_reload(self) -> None:
        """Have the file read at the next reload; safe in a signal handler."""
        self._wanted.set()

    def reload_if_changed(self) -> None:
        """Read the file and apply what changed."""
        asked = self._wanted.is_set()
        self._wanted.clear()
        read = read_settings(self._path)
        if read.is_error():
            if asked or read.error != self._last_fault:
                log_event("settings_refused", reason=read.error, asked=asked)
            self._last_fault = read.error
            return
        self._last_fault = ""
        changed = _changed_fields(self._settings, read.ok)
        if asked or changed:
            log_event("settings_reloaded", changed=changed, asked=asked)
        if changed:
            self._settings = read.ok
            self._apply(read.ok)


def _changed_fields(old: PlatformSettings, new: PlatformSettings) -> list[str]:
    return [
        field.name
        for field in fields(PlatformSettings)
        if getattr(old, field.name) != getattr(new, field.name)
    ]

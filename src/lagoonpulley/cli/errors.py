"""Errors that end a command."""

from __future__ import annotations

__all__ = ["EXIT_DONE", "EXIT_REFUSED", "EXIT_USAGE", "CommandError"]

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2


class CommandError(Exception):
    """Ends a command with a plain message and an exit code.

    :param message: one or more lines for the user.
    """

    def __init__(self, message: str, code: int = EXIT_REFUSED) -> None:
        super().__init__(message)
        self.code = code

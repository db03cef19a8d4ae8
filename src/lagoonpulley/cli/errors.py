"""Exit codes, and the error that ends a command."""

from __future__ import annotations

__all__ = ["EXIT_FAILURE", "EXIT_SUCCESS", "EXIT_USAGE", "CommandError"]

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2


class CommandError(Exception):
    """Ends a command with an error message and an exit code.

    :param message: one or more lines for the user.
    """

    def __init__(self, message: str, code: int = EXIT_FAILURE) -> None:
        super().__init__(message)
        self.code = code

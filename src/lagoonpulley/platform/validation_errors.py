"""Formats pydantic validation errors for log lines and messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pydantic import ValidationError

__all__ = ["format_validation_error"]


def format_validation_error(error: ValidationError) -> str:
    """Return one line with the path and the error of each invalid field."""
    return "; ".join(
        f"{'.'.join(map(str, item['loc']))}: {item['msg']}" for item in error.errors()
    )

"""Formats pydantic validation errors as one line of text."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pydantic import ValidationError

__all__ = ["format_validation_error"]


def format_validation_error(error: ValidationError) -> str:
    """Return the path and the error of each invalid field, separated by semicolons."""
    return "; ".join(
        f"{'.'.join(map(str, item['loc']))}: {item['msg']}" for item in error.errors()
    )

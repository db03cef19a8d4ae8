"""What is wrong with a document, in one line."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pydantic import ValidationError

__all__ = ["format_validation_error"]


def format_validation_error(error: ValidationError) -> str:
    """Return each faulty field by its path, with what is wrong with it."""
    return "; ".join(
        f"{'.'.join(map(str, fault['loc']))}: {fault['msg']}"
        for fault in error.errors()
    )

"""Validation errors of a sheet."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["SheetError"]


@dataclass(frozen=True, slots=True, order=True)
class SheetError:
    """One validation error at a line and column, both counted from 1.

    Column 0 stands for the whole line, line 0 for the whole sheet.
    """

    line: int
    column: int
    message: str

    def __str__(self) -> str:
        if not self.line:
            return self.message
        if not self.column:
            return f"line {self.line}: {self.message}"
        return f"line {self.line}, column {self.column}: {self.message}"

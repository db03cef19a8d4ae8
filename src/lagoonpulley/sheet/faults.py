"""Faults of a sheet."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["SheetFault"]


@dataclass(frozen=True, slots=True, order=True)
class SheetFault:
    """One fault at a line and column, both counted from 1; 0 means the whole."""

    line: int
    column: int
    message: str

    def __str__(self) -> str:
        if not self.line:
            return self.message
        if not self.column:
            return f"line {self.line}: {self.message}"
        return f"line {self.line}, column {self.column}: {self.message}"

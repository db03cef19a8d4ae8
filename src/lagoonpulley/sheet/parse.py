"""Parser of the sheet in which planners list teams and queues.

Headings may be English, Romanian or Spanish. All errors are reported at once.
"""

from __future__ import annotations

import re
import unicodedata
from dataclasses import dataclass, field

from expression import Error, Ok, Result
from pydantic import ValidationError

from ..configuration.document import LimitEntry, QueueEntry, TeamEntry
from .errors import SheetError
from .numbers import parse_number
from .text import Row, decode_sheet, split_rows

__all__ = ["SheetContent", "parse_sheet"]

MB_PER_GB = 1024
MILLI_PER_PROCESSOR = 1000

_HEADINGS_BY_COLUMN = {
    "team": ("team", "echipa", "equipo"),
    "queue": ("queue", "coada", "cola"),
    "share": ("share", "cota", "cuota"),
    "limit_processors": ("limitprocessors", "limitaprocesoare", "limiteprocesadores"),
    "limit_memory_gb": ("limitmemorygb", "limitamemoriegb", "limitememoriagb"),
    "limit_accelerators": (
        "limitaccelerators",
        "limitaacceleratoare",
        "limiteaceleradores",
    ),
    "limit_tasks": ("limittasks", "limitasarcini", "limitetareas"),
    "open": ("open", "deschisa", "abierta"),
    "strict": ("strict", "stricta", "estricto"),
}
_REQUIRED_COLUMNS = ("team", "queue", "share")
_COLUMN_BY_HEADING = {
    heading: column
    for column, headings in _HEADINGS_BY_COLUMN.items()
    for heading in headings
}
_TRUE_WORDS = frozenset(("yes", "y", "true", "1", "x", "da", "si"))
_FALSE_WORDS = frozenset(("", "no", "n", "false", "0", "nu"))


@dataclass(slots=True)
class SheetContent:
    """Teams and queues defined by a sheet."""

    teams: dict[str, TeamEntry] = field(default_factory=dict)
    queues: dict[str, QueueEntry] = field(default_factory=dict)


@dataclass(slots=True)
class _ParserState:
    """Column positions, errors and content collected while parsing."""

    position_by_column: dict[str, int] = field(default_factory=dict)
    errors: list[SheetError] = field(default_factory=list)
    content: SheetContent = field(default_factory=SheetContent)
    line_by_team: dict[str, int] = field(default_factory=dict)
    line_by_queue: dict[str, int] = field(default_factory=dict)

    def add_error(self, row: Row, column: str | None, message: str) -> None:
        """Record an error in a cell, or in the whole row without a column."""
        position = 0
        if column is not None:
            position = self.position_by_column.get(column, -1) + 1
        self.errors.append(SheetError(row.line, position, message))

    def cell(self, row: Row, column: str) -> str:
        """Return the text of a cell, or an empty string if it is missing."""
        position = self.position_by_column.get(column)
        if position is None or position >= len(row.cells):
            return ""
        return row.cells[position]


def parse_sheet(
    raw: bytes, encoding: str | None = None
) -> Result[SheetContent, list[SheetError]]:
    """Return the teams and queues of a sheet, or every error in it.

    :param raw: content of the exported file.
    :param encoding: code page set by the operator; detected if ``None``.
    """
    text = decode_sheet(raw, encoding)
    if text.is_error():
        return Error([text.error])
    rows = split_rows(text.ok)
    if rows.is_error():
        return Error([rows.error])
    if not rows.ok:
        return Error([SheetError(0, 0, "the sheet is empty")])
    parser = _ParserState()
    _read_header(parser, rows.ok[0])
    if parser.errors:
        return Error(parser.errors)
    if len(rows.ok) == 1:
        return Error([SheetError(0, 0, "the sheet has a header but no rows")])
    for row in rows.ok[1:]:
        _read_row(parser, row)
    if parser.errors:
        return Error(sorted(parser.errors))
    return Ok(parser.content)


def _read_header(parser: _ParserState, row: Row) -> None:
    for position, cell in enumerate(row.cells):
        if not cell:
            continue
        column = _COLUMN_BY_HEADING.get(_normalise_heading(cell))
        if column is None:
            message = f"unknown heading {cell!r}"
            parser.errors.append(SheetError(row.line, position + 1, message))
        elif column in parser.position_by_column:
            message = f"heading {cell!r} appears twice"
            parser.errors.append(SheetError(row.line, position + 1, message))
        else:
            parser.position_by_column[column] = position
    for column in _REQUIRED_COLUMNS:
        if column not in parser.position_by_column:
            parser.add_error(row, None, f"heading {column!r} is missing")


def _normalise_heading(heading: str) -> str:
    decomposed = unicodedata.normalize("NFKD", heading.casefold())
    return re.sub(r"[^a-z]", "", decomposed)


def _read_row(parser: _ParserState, row: Row) -> None:
    error_count = len(parser.errors)
    width = max(parser.position_by_column.values()) + 1
    if len(row.cells) > width:
        message = "value beyond the last heading"
        parser.errors.append(SheetError(row.line, width + 1, message))
    team_name = _read_name(parser, row, "team")
    queue_name = _read_name(parser, row, "queue")
    team = _read_team(parser, row)
    is_open = _read_flag(parser, row, "open")
    if len(parser.errors) > error_count or team is None:
        return
    _add_team(parser, row, team_name, team)
    _add_queue(parser, row, queue_name, QueueEntry(team=team_name, open=is_open))


def _read_name(parser: _ParserState, row: Row, column: str) -> str:
    text = parser.cell(row, column)
    if not text:
        parser.add_error(row, column, f"{column} is missing")
    elif not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", text):
        parser.add_error(
            row, column, f"{text!r} is not a name: use letters, digits and . _ -"
        )
    return text


def _read_team(parser: _ParserState, row: Row) -> TeamEntry | None:
    share = _read_number(parser, row, "share", is_required=True)
    limit_fields = {
        "processors_milli": _read_scaled(
            parser, row, "limit_processors", MILLI_PER_PROCESSOR
        ),
        "memory_mb": _read_scaled(parser, row, "limit_memory_gb", MB_PER_GB),
        "accelerators": _read_scaled(parser, row, "limit_accelerators", 1),
        "tasks": _read_scaled(parser, row, "limit_tasks", 1),
    }
    strict = _read_flag(parser, row, "strict")
    if share is None:
        return None
    try:
        limit = LimitEntry(**limit_fields)
        return TeamEntry(share=share, limit=limit, strict=strict)
    except ValidationError as error:
        for item in error.errors():
            parser.add_error(row, None, f"{item['loc'][0]}: {item['msg']}")
        return None


def _read_scaled(
    parser: _ParserState, row: Row, column: str, factor: int
) -> int | None:
    """Return a number times a factor, rounded; ``None`` if it is blank or invalid.

    With a factor of 1 the number must be a whole number.
    """
    number = _read_number(parser, row, column, is_required=False)
    if number is None:
        return None
    scaled = number * factor
    if scaled != int(scaled) and factor == 1:
        parser.add_error(row, column, f"{column} is not a whole number")
        return None
    return round(scaled)


def _read_number(
    parser: _ParserState, row: Row, column: str, is_required: bool
) -> float | None:
    text = parser.cell(row, column)
    if not text and not is_required:
        return None
    parsed = parse_number(text)
    if parsed.is_error():
        parser.add_error(row, column, f"{column}: {parsed.error}")
        return None
    return parsed.ok


def _read_flag(parser: _ParserState, row: Row, column: str) -> bool:
    text = parser.cell(row, column)
    word = unicodedata.normalize("NFKD", text.casefold())
    word = word.encode("ascii", "ignore").decode()
    if word in _TRUE_WORDS:
        return True
    if word not in _FALSE_WORDS:
        parser.add_error(row, column, f"{column}: {text!r} is neither yes nor no")
    return False


def _add_team(parser: _ParserState, row: Row, name: str, team: TeamEntry) -> None:
    existing = parser.content.teams.get(name)
    if existing is not None and existing != team:
        first_line = parser.line_by_team[name]
        message = f"team {name} has other values than on line {first_line}"
        parser.add_error(row, "team", message)
        return
    parser.content.teams[name] = team
    parser.line_by_team.setdefault(name, row.line)


def _add_queue(parser: _ParserState, row: Row, name: str, queue: QueueEntry) -> None:
    if name in parser.content.queues:
        first_line = parser.line_by_queue[name]
        parser.add_error(
            row, "queue", f"queue {name} is already defined on line {first_line}"
        )
        return
    parser.content.queues[name] = queue
    parser.line_by_queue[name] = row.line

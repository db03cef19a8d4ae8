"""From the rows of a sheet to teams and queues, or to all of its faults."""

from __future__ import annotations

import re
import unicodedata
from dataclasses import dataclass, field

from expression import Error, Ok, Result
from pydantic import ValidationError

from ..configuration.document import LimitEntry, QueueEntry, TeamEntry
from .faults import SheetFault
from .numbers import parse_number
from .text import Row, decode_sheet, split_rows

__all__ = ["SheetContent", "parse_sheet"]

MB_PER_GB = 1024
MILLI = 1000

_HEADINGS = {
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
_REQUIRED = ("team", "queue", "share")
_COLUMN_BY_HEADING = {
    heading: column for column, headings in _HEADINGS.items() for heading in headings
}
_TRUE_WORDS = frozenset(("yes", "y", "true", "1", "x", "da", "si"))
_FALSE_WORDS = frozenset(("", "no", "n", "false", "0", "nu"))


@dataclass(slots=True)
class SheetContent:
    """What a sheet wants in force."""

    teams: dict[str, TeamEntry] = field(default_factory=dict)
    queues: dict[str, QueueEntry] = field(default_factory=dict)


@dataclass(slots=True)
class _Parser:
    """Faults found so far and the place of each column."""

    position_by_column: dict[str, int] = field(default_factory=dict)
    faults: list[SheetFault] = field(default_factory=list)
    content: SheetContent = field(default_factory=SheetContent)
    line_by_team: dict[str, int] = field(default_factory=dict)
    line_by_queue: dict[str, int] = field(default_factory=dict)

    def fault(self, row: Row, column: str | None, message: str) -> None:
        """Note a fault in a cell, or in the whole row."""
        position = 0
        if column is not None:
            position = self.position_by_column.get(column, -1) + 1
        self.faults.append(SheetFault(row.line, position, message))

    def cell(self, row: Row, column: str) -> str:
        """Return the text of a cell, empty when it is missing."""
        position = self.position_by_column.get(column)
        if position is None or position >= len(row.cells):
            return ""
        return row.cells[position]


def parse_sheet(
    raw: bytes, encoding: str | None = None
) -> Result[SheetContent, list[SheetFault]]:
    """Return what a sheet wants in force, or every fault in it.

    :param raw: the exported file.
    :param encoding: code page named by the operator, if any.
    """
    text = decode_sheet(raw, encoding)
    if text.is_error():
        return Error([text.error])
    rows = split_rows(text.ok)
    if rows.is_error():
        return Error([rows.error])
    if not rows.ok:
        return Error([SheetFault(0, 0, "the sheet is empty")])
    parser = _Parser()
    _read_header(parser, rows.ok[0])
    if parser.faults:
        return Error(parser.faults)
    if len(rows.ok) == 1:
        return Error([SheetFault(0, 0, "the sheet has a header and no rows")])
    for row in rows.ok[1:]:
        _read_row(parser, row)
    if parser.faults:
        return Error(sorted(parser.faults))
    return Ok(parser.content)


def _read_header(parser: _Parser, row: Row) -> None:
    for position, cell in enumerate(row.cells):
        if not cell:
            continue
        column = _COLUMN_BY_HEADING.get(_normalise(cell))
        if column is None:
            message = f"unknown heading {cell!r}"
            parser.faults.append(SheetFault(row.line, position + 1, message))
        elif column in parser.position_by_column:
            message = f"heading {cell!r} appears twice"
            parser.faults.append(SheetFault(row.line, position + 1, message))
        else:
            parser.position_by_column[column] = position
    for column in _REQUIRED:
        if column not in parser.position_by_column:
            parser.fault(row, None, f"heading {column!r} is missing")


def _normalise(heading: str) -> str:
    decomposed = unicodedata.normalize("NFKD", heading.casefold())
    return re.sub(r"[^a-z]", "", decomposed)


def _read_row(parser: _Parser, row: Row) -> None:
    before = len(parser.faults)
    width = max(parser.position_by_column.values()) + 1
    if len(row.cells) > width:
        message = "a value stands beyond the last heading"
        parser.faults.append(SheetFault(row.line, width + 1, message))
    team_name = _read_name(parser, row, "team")
    queue_name = _read_name(parser, row, "queue")
    team = _read_team(parser, row)
    is_open = _read_flag(parser, row, "open")
    if len(parser.faults) > before or team is None:
        return
    _add_team(parser, row, team_name, team)
    _add_queue(parser, row, queue_name, QueueEntry(team=team_name, open=is_open))


def _read_name(parser: _Parser, row: Row, column: str) -> str:
    text = parser.cell(row, column)
    if not text:
        parser.fault(row, column, f"{column} is missing")
    elif not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", text):
        parser.fault(
            row, column, f"{text!r} is not a name: use letters, digits and . _ -"
        )
    return text


def _read_team(parser: _Parser, row: Row) -> TeamEntry | None:
    share = _read_number(parser, row, "share", is_required=True)
    limit_fields = {
        "processors_milli": _scaled(parser, row, "limit_processors", MILLI),
        "memory_mb": _scaled(parser, row, "limit_memory_gb", MB_PER_GB),
        "accelerators": _scaled(parser, row, "limit_accelerators", 1),
        "tasks": _scaled(parser, row, "limit_tasks", 1),
    }
    strict = _read_flag(parser, row, "strict")
    if share is None:
        return None
    try:
        limit = LimitEntry(**limit_fields)
        return TeamEntry(share=share, limit=limit, strict=strict)
    except ValidationError as error:
        for item in error.errors():
            parser.fault(row, None, f"{item['loc'][0]}: {item['msg']}")
        return None


def _scaled(parser: _Parser, row: Row, column: str, factor: int) -> int | None:
    number = _read_number(parser, row, column, is_required=False)
    if number is None:
        return None
    scaled = number * factor
    if scaled != int(scaled) and factor == 1:
        parser.fault(row, column, f"{column} is not a whole number")
        return None
    return round(scaled)


def _read_number(
    parser: _Parser, row: Row, column: str, is_required: bool
) -> float | None:
    text = parser.cell(row, column)
    if not text and not is_required:
        return None
    parsed = parse_number(text)
    if parsed.is_error():
        parser.fault(row, column, f"{column}: {parsed.error}")
        return None
    return parsed.ok


def _read_flag(parser: _Parser, row: Row, column: str) -> bool:
    text = parser.cell(row, column)
    word = unicodedata.normalize("NFKD", text.casefold())
    word = word.encode("ascii", "ignore").decode()
    if word in _TRUE_WORDS:
        return True
    if word not in _FALSE_WORDS:
        parser.fault(row, column, f"{column}: {text!r} is neither yes nor no")
    return False


def _add_team(parser: _Parser, row: Row, name: str, team: TeamEntry) -> None:
    known = parser.content.teams.get(name)
    if known is not None and known != team:
        first = parser.line_by_team[name]
        message = f"team {name} has other values than on line {first}"
        parser.fault(row, "team", message)
        return
    parser.content.teams[name] = team
    parser.line_by_team.setdefault(name, row.line)


def _add_queue(parser: _Parser, row: Row, name: str, queue: QueueEntry) -> None:
    if name in parser.content.queues:
        first = parser.line_by_queue[name]
        parser.fault(row, "queue", f"queue {name} stands on line {first} already")
        return
    parser.content.queues[name] = queue
    parser.line_by_queue[name] = row.line

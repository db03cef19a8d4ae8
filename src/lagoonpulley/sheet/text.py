"""Encoding and delimiter of an exported sheet."""

from __future__ import annotations

import codecs
import csv
import io
from dataclasses import dataclass

from expression import Error, Ok, Result

from .faults import SheetFault

__all__ = ["Row", "decode_sheet", "split_rows"]

DELIMITERS = ";\t,"
MAX_SHEET_BYTES = 10_000_000

# Letters that only one of the two languages uses, by their byte in either code page.
_ROMANIAN_BYTES = frozenset(b"\xe3\xc3\xba\xaa\xfe\xde")
_SPANISH_BYTES = frozenset(b"\xf1\xd1\xbf\xa1")


@dataclass(frozen=True, slots=True)
class Row:
    """One record and the line on which it begins."""

    line: int
    cells: tuple[str, ...]


def decode_sheet(raw: bytes, encoding: str | None = None) -> Result[str, SheetFault]:
    """Return the text of a sheet.

    :param encoding: a code page that the operator names; otherwise UTF-8 is
        tried, then Windows-1250 or 1252, told apart by their languages' letters.
    """
    if len(raw) > MAX_SHEET_BYTES:
        return Error(SheetFault(0, 0, f"the sheet is over {MAX_SHEET_BYTES} bytes"))
    if b"\0" in raw:
        return Error(SheetFault(0, 0, "the sheet holds NUL bytes; export it as CSV"))
    if raw.startswith(codecs.BOM_UTF8):
        encoding = "utf-8-sig"
    guessed = encoding or _guess_encoding(raw)
    if guessed is None:
        message = "cannot tell Windows-1250 from 1252: name it with --encoding"
        return Error(SheetFault(0, 0, message))
    try:
        return Ok(raw.decode(guessed))
    except UnicodeDecodeError as error:
        line = raw.count(b"\n", 0, error.start) + 1
        message = f"byte {raw[error.start]:#04x} is not valid in {guessed}"
        return Error(SheetFault(line, 0, message))
    except LookupError:
        return Error(SheetFault(0, 0, f"unknown encoding {guessed}"))


def _guess_encoding(raw: bytes) -> str | None:
    try:
        raw.decode("utf-8")
    except UnicodeDecodeError:
        pass
    else:
        return "utf-8"
    present = set(raw)
    is_romanian = bool(present & _ROMANIAN_BYTES)
    is_spanish = bool(present & _SPANISH_BYTES)
    if is_romanian and is_spanish:
        return None
    return "cp1250" if is_romanian else "cp1252"


def split_rows(text: str) -> Result[list[Row], SheetFault]:
    """Return the records that are not blank, without trailing blank cells."""
    delimiter = _guess_delimiter(text)
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    rows = []
    line = 1
    try:
        for record in reader:
            cells = [cell.strip() for cell in record]
            while cells and not cells[-1]:
                cells.pop()
            if cells:
                rows.append(Row(line, tuple(cells)))
            line = reader.line_num + 1
    except csv.Error as error:
        return Error(SheetFault(line, 0, f"cannot be read as CSV: {error}"))
    return Ok(rows)


def _guess_delimiter(text: str) -> str:
    header = next((line for line in text.splitlines() if line.strip(" ;,\t")), "")
    in_quotes = False
    count_by_delimiter = dict.fromkeys(DELIMITERS, 0)
    for character in header:
        if character == '"':
            in_quotes = not in_quotes
        elif not in_quotes and character in count_by_delimiter:
            count_by_delimiter[character] += 1
    return max(DELIMITERS, key=count_by_delimiter.__getitem__)

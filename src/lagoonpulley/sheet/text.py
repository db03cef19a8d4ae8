"""Detection of the encoding and the delimiter of an exported sheet."""

from __future__ import annotations

import codecs
import csv
import io
from dataclasses import dataclass

from expression import Error, Ok, Result

from .errors import SheetError

__all__ = ["Row", "decode_sheet", "split_rows"]

DELIMITERS = ";\t,"
MAX_SHEET_BYTES = 10_000_000

# Bytes of letters that only one of the two languages uses: Romanian letters in
# Windows-1250, Spanish letters and signs in Windows-1252.
_ROMANIAN_BYTES = frozenset(b"\xe3\xc3\xba\xaa\xfe\xde")
_SPANISH_BYTES = frozenset(b"\xf1\xd1\xbf\xa1")


@dataclass(frozen=True, slots=True)
class Row:
    """One CSV record and the number of the line on which it begins."""

    line: int
    cells: tuple[str, ...]


def decode_sheet(raw: bytes, encoding: str | None = None) -> Result[str, SheetError]:
    """Return the text of a sheet.

    :param encoding: code page set by the operator; ignored if the sheet starts with
        the byte order mark of UTF-8. Without one, UTF-8 is tried first, then
        Windows-1250 (Romanian) or Windows-1252 (Spanish), distinguished by the
        letters that only one of the languages uses.
    """
    if len(raw) > MAX_SHEET_BYTES:
        return Error(SheetError(0, 0, f"the sheet is over {MAX_SHEET_BYTES} bytes"))
    if b"\0" in raw:
        return Error(SheetError(0, 0, "the sheet contains NUL bytes; export it as CSV"))
    if raw.startswith(codecs.BOM_UTF8):
        encoding = "utf-8-sig"
    chosen_encoding = encoding or _guess_encoding(raw)
    if chosen_encoding is None:
        message = "cannot tell Windows-1250 from Windows-1252; pass --encoding"
        return Error(SheetError(0, 0, message))
    try:
        return Ok(raw.decode(chosen_encoding))
    except UnicodeDecodeError as error:
        line = raw.count(b"\n", 0, error.start) + 1
        message = f"byte {raw[error.start]:#04x} is not valid in {chosen_encoding}"
        return Error(SheetError(line, 0, message))
    except LookupError:
        return Error(SheetError(0, 0, f"unknown encoding {chosen_encoding}"))


def _guess_encoding(raw: bytes) -> str | None:
    try:
        raw.decode("utf-8")
    except UnicodeDecodeError:
        pass
    else:
        return "utf-8"
    byte_values = set(raw)
    is_romanian = bool(byte_values & _ROMANIAN_BYTES)
    is_spanish = bool(byte_values & _SPANISH_BYTES)
    if is_romanian and is_spanish:
        return None
    return "cp1250" if is_romanian else "cp1252"


def split_rows(text: str) -> Result[list[Row], SheetError]:
    """Return the non-blank records with trailing blank cells removed."""
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
        return Error(SheetError(line, 0, f"not valid CSV: {error}"))
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

"""Tests of the sheet parser with the encodings, delimiters and headings in use."""

from __future__ import annotations

import pytest

from lagoonpulley.sheet.numbers import parse_number
from lagoonpulley.sheet.parse import parse_sheet

PLAIN = "Team;Queue;Share;Limit processors;Open\nnorth;reviews;2,5;64;no\n"


def content_of(raw, encoding=None):
    raw = raw if isinstance(raw, bytes) else raw.encode()
    parsed = parse_sheet(raw, encoding)
    assert parsed.is_ok(), parsed
    return parsed.ok


def errors_of(text):
    return [str(error) for error in parse_sheet(text.encode()).error]


@pytest.mark.parametrize(
    "raw",
    [
        PLAIN,
        PLAIN.replace("\n", "\r\n"),
        PLAIN.replace(";", "\t"),
        PLAIN.replace("2,5", "2.5").replace(";", ","),
        PLAIN.replace("2,5", '"2,5"').replace(";", ","),
        "\ufeff" + PLAIN,
        PLAIN + ";;;;\n\n",
        PLAIN.replace("Open", "Open;;;").replace(";no\n", ";no;;;\n"),
        PLAIN.upper().replace("NORTH", "north").replace("REVIEWS", "reviews"),
        "open;SHARE;limit_processors;Queue;TEAM\nno;2,5;64;reviews;north\n",
    ],
)
def test_sheet_format_does_not_change_the_content(raw):
    content = content_of(raw)
    assert content.teams["north"].share == 2.5
    assert content.teams["north"].limit.processors_milli == 64_000
    assert content.queues["reviews"].team == "north"


def test_sheet_in_windows_1250_and_1252():
    romanian = "Echipă;Coadă;Cotă\nnorth;reviews;1\n".encode("cp1250")
    spanish = "Equipo;Cola;Cuota;Límite tareas;Estricto\nnorth;reviews;1;5;sí\n"
    assert "north" in content_of(romanian).teams
    content = content_of(spanish.encode("cp1252"))
    assert content.teams["north"].strict
    assert content.teams["north"].limit.tasks == 5


def test_sheet_reports_every_error_with_line_and_column():
    text = (
        "Team;Queue;Share;Open\n"
        "north;reviews;x;no\n"
        "no rth;checks;1;perhaps\n"
        "north;reviews;-1;no\n"
        "south;;1;no\n"
    )
    assert errors_of(text) == [
        "line 2, column 3: share: 'x' is not a number",
        "line 3, column 1: 'no rth' is not a name: use letters, digits and . _ -",
        "line 3, column 4: open: 'perhaps' is neither yes nor no",
        "line 4, column 3: share: -1 is negative",
        "line 5, column 2: queue is missing",
    ]


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("", "the sheet is empty"),
        ("Team;Queue\nnorth;reviews\n", "line 1: heading 'share' is missing"),
        ("Team;Queue;Share;Colour\n", "line 1, column 4: unknown heading 'Colour'"),
        ("Team;Queue;Share;team\n", "line 1, column 4: heading 'team' appears twice"),
        ("Team;Queue;Share\n", "the sheet has a header but no rows"),
        (
            "Team;Queue;Share\nnorth;a;1\nnorth;b;2\n",
            "line 3, column 1: team north has other values than on line 2",
        ),
        (
            "Team;Queue;Share\nnorth;a;1\nsouth;a;2\n",
            "line 3, column 2: queue a is already defined on line 2",
        ),
    ],
)
def test_sheet_error(text, error):
    assert errors_of(text) == [error]


@pytest.mark.parametrize(
    ("text", "number"),
    [
        ("7", 7),
        ("0,125", 0.125),
        ("1234,5", 1234.5),
        ("1.234,5", 1234.5),
        ("1,234.5", 1234.5),
        ("1 234 567", 1234567),
    ],
)
def test_number_forms(text, number):
    assert parse_number(text).ok == number


@pytest.mark.parametrize("text", ["1.234", "1,234", "-1", "", "1e5", "nan", "1.2.3"])
def test_number_that_is_ambiguous_or_malformed_is_rejected(text):
    assert parse_number(text).is_error()

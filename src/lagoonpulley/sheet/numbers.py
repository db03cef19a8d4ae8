"""Numbers as spreadsheets in Romania and Chile export them."""

from __future__ import annotations

import re

from expression import Error, Ok, Result

__all__ = ["parse_number"]

_PLAIN = re.compile(r"\d+")
_ONE_SEPARATOR = re.compile(r"(\d+)[.,](\d+)")
_GROUPED = re.compile(r"\d{1,3}(?:([., \u00a0])\d{3})(?:\1\d{3})*(?:([.,])(\d+))?")


def parse_number(text: str) -> Result[float, str]:
    """Return a number written with a decimal comma or point.

    Thousands separators are accepted where they are unambiguous; ``1.234`` may be a
    fraction or thousands and is rejected.
    """
    text = text.strip()
    if not text:
        return Error("a number is missing")
    if text.startswith("-"):
        return Error(f"{text} is negative")
    if _PLAIN.fullmatch(text):
        return _to_float(text)
    separated = _ONE_SEPARATOR.fullmatch(text)
    if separated is not None:
        whole, fraction = separated.groups()
        if len(fraction) == 3 and len(whole) <= 3 and whole.strip("0"):
            return Error(
                f"{text} may be a fraction or thousands: remove the separator, or add "
                "a zero to the fraction"
            )
        return _to_float(f"{whole}.{fraction}")
    return _parse_grouped(text)


def _parse_grouped(text: str) -> Result[float, str]:
    match = _GROUPED.fullmatch(text)
    if match is None or match.group(1) == match.group(2):
        return Error(f"{text!r} is not a number")
    whole = text
    fraction = match.group(3) or "0"
    if match.group(2):
        whole = text.rpartition(match.group(2))[0]
    return _to_float(f"{re.sub(r'[^0-9]', '', whole)}.{fraction}")


def _to_float(text: str) -> Result[float, str]:
    if len(text) > 18:
        return Error(f"{text} is too large")
    return Ok(float(text))

"""Ranges of the numbers that others send; larger ones are no measurements."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

__all__ = [
    "MAX_WHOLE",
    "Amount",
    "BoundedInteger",
    "BoundedNumber",
    "Incarnation",
    "Milliseconds",
    "Revision",
    "Whole",
]

# Whole numbers up to this are exact as floating-point numbers.
MAX_WHOLE = 2**53
# A million processors in thousandths, or a petabyte in megabytes.
MAX_AMOUNT = 10**9

# An amount of a resource.
Amount = Annotated[int, Field(ge=0, le=MAX_AMOUNT)]
# A time, a count or a number that only grows.
Whole = Annotated[int, Field(ge=0, le=MAX_WHOLE)]
# When a worker started; 0 would mean that it is not known.
Incarnation = Annotated[int, Field(gt=0, le=MAX_WHOLE)]
Milliseconds = Annotated[float, Field(ge=0, le=MAX_WHOLE, allow_inf_nan=False)]
# A revision or a lease of the store, which counts in 64 bits.
Revision = Annotated[int, Field(ge=0, lt=2**64)]
# Numbers of the operators, who may use a large or a negative one for "no limit".
BoundedInteger = Annotated[int, Field(ge=-(2**63), le=2**63)]
BoundedNumber = Annotated[float, Field(ge=-(2.0**63), le=2.0**63, allow_inf_nan=False)]

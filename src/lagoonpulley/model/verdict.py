"""Verdict on whether a request may have run."""

from __future__ import annotations

from enum import Enum

__all__ = ["Ran"]


class Ran(Enum):
    """Whether a request had an effect at the place it was sent to."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"

    def combine(self, other: Ran) -> Ran:
        """Return the verdict over two attempts of one request.

        :param other: verdict of the other attempt.
        """
        if Ran.YES in (self, other):
            return Ran.YES
        if Ran.MAYBE in (self, other):
            return Ran.MAYBE
        return Ran.NO

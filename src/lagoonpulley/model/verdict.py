"""Whether a request was executed, as far as its sender knows."""

from __future__ import annotations

from enum import Enum

__all__ = ["Ran"]


class Ran(Enum):
    """Whether a request took effect; ``MAYBE`` when its answer was lost."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"

    def combine(self, other: Ran) -> Ran:
        """Return the verdict on two attempts of one request.

        :param other: verdict of the other attempt.
        """
        if Ran.YES in (self, other):
            return Ran.YES
        if Ran.MAYBE in (self, other):
            return Ran.MAYBE
        return Ran.NO

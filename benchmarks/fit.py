"""Linear least-squares fit of measured points."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Line:
    """A fitted line.

    ``residual`` is the largest absolute error of a point, relative to the largest
    absolute measured value.
    """

    base: float
    slope: float
    residual: float

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.base + self.slope * x


def fit(points: list[tuple[float, float]]) -> Line:
    """Return the least-squares line of at least two points with different ``x``."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    largest = max(abs(y) for _, y in points) or 1.0
    residual = max(abs(base + slope * x - y) for x, y in points) / largest
    return Line(base, slope, residual)

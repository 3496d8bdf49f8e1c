"""A straight line through measured points, with the 95% interval of its slope."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

# Student's t, two-sided 95%, by degrees of freedom from 1 to 30; beyond that the normal distribution's value.
STUDENT = (
    *(12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228),
    *(2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086),
    *(2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042),
)
NORMAL = 1.960


def student(freedom: int) -> float:
    """The 97.5% quantile of Student's t; infinite where there is no degree of freedom."""
    if freedom < 1:
        return math.inf
    return STUDENT[freedom - 1] if freedom <= len(STUDENT) else NORMAL


@dataclass(frozen=True, slots=True)
class Line:
    """``y = intercept + slope * x``, fitted by least squares."""

    slope: float
    interval: float
    """Half the width of the slope's 95% interval."""
    intercept: float
    intercept_interval: float
    points: int
    least_x: float
    most_x: float

    def at(self, x: float) -> float:
        """The line's value at ``x``, also outside of what was measured."""
        return self.intercept + self.slope * x

    def error_at(self, x: float) -> float:
        """An upper bound of the 95% interval's half width at ``x``: both errors added, as if they never cancelled."""
        return self.intercept_interval + self.interval * abs(x)


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """The line through points ``(x, y)``. ValueError where fewer than three points or a single x is given."""
    if len(points) < 3 or len({x for x, _ in points}) < 2:
        raise ValueError("a line with an error needs three points, at two places")
    xs, ys = [x for x, _ in points], [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    middle = statistics.fmean(xs)
    spread = sum((x - middle) ** 2 for x in xs)
    freedom = len(points) - 2
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points) / freedom
    error = math.sqrt(residual / spread)
    intercept_error = math.sqrt(residual * (1 / len(points) + middle**2 / spread))
    t = student(freedom)
    return Line(slope, t * error, intercept, t * intercept_error, len(points), min(xs), max(xs))

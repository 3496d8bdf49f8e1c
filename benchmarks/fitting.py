"""Least-squares lines through measured points, with 95% confidence intervals."""

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
    """Returns the 97.5% quantile of Student's t distribution; infinite without a degree of freedom."""
    if freedom < 1:
        return math.inf
    return STUDENT[freedom - 1] if freedom <= len(STUDENT) else NORMAL


@dataclass(frozen=True, slots=True)
class Line:
    """``y = intercept + slope * x``, fitted by least squares."""

    slope: float
    interval: float
    """Half the width of the slope's 95% confidence interval."""
    intercept: float
    intercept_interval: float
    points: int
    least_x: float
    most_x: float

    def at(self, x: float) -> float:
        """Returns the value at ``x``, which may lie outside the measured range."""
        return self.intercept + self.slope * x

    def error_at(self, x: float) -> float:
        """Returns an upper bound of the half width of the 95% interval at ``x``: the sum of both errors."""
        return self.intercept_interval + self.interval * abs(x)


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Fits a line to points ``(x, y)``. Raises ValueError for fewer than three points or a single x."""
    if len(points) < 3 or len({x for x, _ in points}) < 2:
        raise ValueError("fitting a line with an error needs at least three points at two different x")
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

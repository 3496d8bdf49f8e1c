"""Mean and rate with exponential decay over time."""

from __future__ import annotations

import math

DECAY_TIME = 2500.0  # ms: time constant of most statistics; faults come and go within seconds
NEVER = math.inf


class DecayingMean:
    """A weighted mean and a rate that decay with a time constant (``tau``, ms), not with the number of samples."""

    __slots__ = ("tau", "total", "updated_at", "weight")

    def __init__(self, tau: float) -> None:
        self.tau, self.total, self.weight, self.updated_at = tau, 0.0, 0.0, -NEVER

    def add(self, now: float, value: float, weight: float = 1.0, count: float = 1.0) -> None:
        """Add a sample. ``count`` scales its weight in the divisor of the mean, but not its value."""
        if now > self.updated_at:
            decay = math.exp((self.updated_at - now) / self.tau)
            self.total, self.weight, self.updated_at = self.total * decay, self.weight * decay, now
        self.total += value * weight
        self.weight += weight * count

    def decay(self, now: float) -> float:
        """Return the factor by which the sums have decayed since the last sample."""
        return math.exp((self.updated_at - now) / self.tau) if now > self.updated_at else 1.0

    def mean(self, now: float, prior: float, strength: float) -> float:
        """Return the mean, with a prior that weighs as much as ``strength`` samples."""
        decay = self.decay(now)
        return (self.total * decay + prior * strength) / (self.weight * decay + strength)

    def rate(self, now: float) -> float:
        """Return the total weight of samples per ms."""
        return self.weight * self.decay(now) / self.tau

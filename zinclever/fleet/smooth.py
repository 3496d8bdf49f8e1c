"""A mean and a rate that forget by time."""

from __future__ import annotations

import math

MEMORY = 2500.0  # ms: how fast payoffs forget; troubles come and go in seconds
NEVER = math.inf


class Smooth:
    """A mean and a rate that forget by time, not by count."""

    __slots__ = ("at", "tau", "total", "weight")

    def __init__(self, tau: float) -> None:
        self.tau, self.total, self.weight, self.at = tau, 0.0, 0.0, -NEVER

    def add(self, now: float, value: float, weight: float = 1.0, count: float = 1.0) -> None:
        if now > self.at:
            kept = math.exp((self.at - now) / self.tau)
            self.total, self.weight, self.at = self.total * kept, self.weight * kept, now
        self.total += value * weight
        self.weight += weight * count

    def kept(self, now: float) -> float:
        return math.exp((self.at - now) / self.tau) if now > self.at else 1.0

    def mean(self, now: float, prior: float, strength: float) -> float:
        kept = self.kept(now)
        return (self.total * kept + prior * strength) / (self.weight * kept + strength)

    def rate(self, now: float) -> float:
        """Weight a millisecond."""
        return self.weight * self.kept(now) / self.tau

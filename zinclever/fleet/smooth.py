"""A mean and a rate that forget by time."""

from __future__ import annotations

import math

DECAY_TIME = 2500.0  # ms: how fast payoffs forget; troubles come and go in seconds
NEVER = math.inf


class DecayingMean:
    """A mean and a rate that forget by time, not by count."""

    __slots__ = ("tau", "total", "updated_at", "weight")

    def __init__(self, tau: float) -> None:
        self.tau, self.total, self.weight, self.updated_at = tau, 0.0, 0.0, -NEVER

    def add(self, now: float, value: float, weight: float = 1.0, count: float = 1.0) -> None:
        if now > self.updated_at:
            decay = math.exp((self.updated_at - now) / self.tau)
            self.total, self.weight, self.updated_at = self.total * decay, self.weight * decay, now
        self.total += value * weight
        self.weight += weight * count

    def decay(self, now: float) -> float:
        return math.exp((self.updated_at - now) / self.tau) if now > self.updated_at else 1.0

    def mean(self, now: float, prior: float, strength: float) -> float:
        decay = self.decay(now)
        return (self.total * decay + prior * strength) / (self.weight * decay + strength)

    def rate(self, now: float) -> float:
        """Weight a millisecond."""
        return self.weight * self.decay(now) / self.tau

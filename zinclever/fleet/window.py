"""How much one side of a fleet is sent at once by one instance: a window that follows its best rate of service."""

from __future__ import annotations

import math

from .smooth import NEVER, DecayingMean

MIN_RATE_SPAN = 100.0  # ms: the shortest record that a rate is told from
RATE_SPAN = 1000.0  # ms over which the rate of service is taken
UNLOADED_RATIO = 1.15  # times the uncrowded time for an answer below which a full window may grow
GROWTH = 0.02  # by which it then grows with each answer, to half as much again at most
SHRINK = 0.95  # factor by which that is taken back with each answer when it takes longer
PEAK_SPAN = 15000.0  # ms for which the best rate of service is remembered
DEVIATIONS = 3.0  # deviations: room for chance above the fleet's mean number in flight
START_INFLIGHT = 10.0  # requests in flight an endpoint, of all balancers, that are sent before rates are known
START_PERIOD = 2000.0  # ms for which a start is taken to last


class InflightWindow:
    """What its best rate of service needs in flight at the uncrowded latency, and room for chance.

    What goes out beyond that only waits at the endpoints, where it does harm. Aimed at a latency instead, the window
    would starve a fleet that is slow for other reasons than a queue.
    """

    __slots__ = ("first_answer_at", "peak_rate", "probing_extra", "relative_latency", "served", "size", "updated_at")

    def __init__(self) -> None:
        self.served, self.relative_latency = DecayingMean(RATE_SPAN), DecayingMean(RATE_SPAN)
        self.peak_rate = self.probing_extra = self.updated_at = self.size = 0.0
        self.first_answer_at = NEVER  # first answer

    def start(self, endpoints: int, sharing: float) -> None:
        """There is a list: before anything is answered it says how much may go out."""
        if self.first_answer_at == NEVER:
            self.size = START_INFLIGHT * endpoints / sharing

    def update(self, now: float, requests_waiting: bool, endpoints: int, sharing: float, min_size: float) -> None:
        """After an answer. ``requests_waiting``: requests wait; ``sharing``: balancers to each endpoint; ``min_size``: least room."""
        self.first_answer_at = min(self.first_answer_at, now)
        age = max(now - self.first_answer_at, MIN_RATE_SPAN)
        needed = self.served.rate(now) / (1.0 - math.exp(-age / RATE_SPAN))
        if age >= RATE_SPAN:
            self.peak_rate = needed = max(needed, self.peak_rate * math.exp((self.updated_at - now) / PEAK_SPAN))
        if self.relative_latency.mean(now, 1.0, 3.0) >= UNLOADED_RATIO:
            self.probing_extra *= SHRINK
        elif requests_waiting:
            self.probing_extra = min(self.probing_extra + GROWTH, 0.5 * needed)
        self.updated_at = now
        # The room for chance is one for all balancers together: each takes a part as if loads were even.
        self.size = needed + self.probing_extra + DEVIATIONS * math.sqrt(needed / sharing) + min_size
        if age < START_PERIOD:
            # A short record tells little; without any bound a fleet in overload is full within a second.
            self.size = max(self.size, START_INFLIGHT * endpoints / sharing)

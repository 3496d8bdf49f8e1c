"""How much one side of a fleet is sent at once by one instance: a window that follows its best rate of service."""

from __future__ import annotations

import math

from .smooth import NEVER, Smooth

RATE_FIRST = 100.0  # ms: the shortest record that a rate is told from
RATE_SPAN = 1000.0  # ms over which the rate of service is taken
CALM = 1.15  # times the uncrowded time for an answer below which a full window may grow
GROWTH = 0.02  # by which it then grows with each answer, to half as much again at most
SHRINK = 0.95  # factor by which that is taken back with each answer when it takes longer
PEAK_SPAN = 15000.0  # ms for which the best rate of service is remembered
SPREAD = 3.0  # deviations: room for chance above the fleet's mean number in flight
START_EACH = 10.0  # requests in flight an endpoint, of all balancers, that are sent before rates are known
START_SPAN = 2000.0  # ms for which a start is taken to last


class Window:
    """What its best rate of service needs in flight at the uncrowded latency, and room for chance.

    What goes out beyond that only waits at the endpoints, where it does harm. Aimed at a latency instead, the window
    would starve a fleet that is slow for other reasons than a queue.
    """

    __slots__ = ("began", "extra", "load", "peak", "served", "size", "steered_at")

    def __init__(self) -> None:
        self.served, self.load = Smooth(RATE_SPAN), Smooth(RATE_SPAN)
        self.peak = self.extra = self.steered_at = self.size = 0.0
        self.began = NEVER  # first answer

    def start(self, endpoints: int, balancers_per_endpoint: float) -> None:
        """There is a list: before anything is answered it says how much may go out."""
        if self.began == NEVER:
            self.size = START_EACH * endpoints / balancers_per_endpoint

    def steer(self, now: float, crowd: bool, endpoints: int, balancers_per_endpoint: float, own: float) -> None:
        """After an answer. ``crowd``: requests wait; ``balancers_per_endpoint``: balancers to each endpoint; ``own``: least room."""
        self.began = min(self.began, now)
        age = max(now - self.began, RATE_FIRST)
        busy = self.served.rate(now) / (1.0 - math.exp(-age / RATE_SPAN))
        if age >= RATE_SPAN:
            self.peak = busy = max(busy, self.peak * math.exp((self.steered_at - now) / PEAK_SPAN))
        if self.load.mean(now, 1.0, 3.0) >= CALM:
            self.extra *= SHRINK
        elif crowd:
            self.extra = min(self.extra + GROWTH, 0.5 * busy)
        self.steered_at = now
        # The room for chance is one for all balancers together: each takes a part as if loads were even.
        self.size = busy + self.extra + SPREAD * math.sqrt(busy / balancers_per_endpoint) + own
        if age < START_SPAN:
            # A short record tells little; without any bound a fleet in overload is full within a second.
            self.size = max(self.size, START_EACH * endpoints / balancers_per_endpoint)

"""Concurrency limit of one instance towards one side of the fleet, which follows its best rate of service."""

from __future__ import annotations

import math

from .decaying_mean import NEVER, DecayingMean

MIN_RATE_SPAN = 100.0  # ms: shortest record from which a rate is computed
RATE_SPAN = 1000.0  # ms over which the rate of service is averaged
UNLOADED_RATIO = 1.15  # ratio of latency to unloaded latency below which a full window may grow
GROWTH = 0.02  # requests by which a full window grows with each answer, up to half of what the rate of service needs
SHRINK = 0.95  # factor on the total growth with each answer while latency is higher
PEAK_SPAN = 15000.0  # ms: time constant with which the best rate of service decays
DEVIATIONS = 3.0  # standard deviations of headroom above the fleet's mean number in flight
START_INFLIGHT = 10.0  # requests in flight for each endpoint, of all balancers, until rates are known
START_PERIOD = 2000.0  # ms after the first answer during which the window is at least as large as at the start


class InflightWindow:
    """A window of in-flight requests: what the best rate of service needs at the unloaded latency, plus headroom.

    More requests would only queue at the endpoints. A window that targets a latency instead would starve a fleet that
    is slow for other reasons than queueing.
    """

    __slots__ = ("first_answer_at", "peak_rate", "probing_extra", "relative_latency", "served", "size", "updated_at")

    def __init__(self) -> None:
        self.served, self.relative_latency = DecayingMean(RATE_SPAN), DecayingMean(RATE_SPAN)
        self.peak_rate = self.probing_extra = self.updated_at = self.size = 0.0
        self.first_answer_at = NEVER  # instant of the first answer

    def start(self, endpoints: int, balancers_per_endpoint: float) -> None:
        """Set the initial size from the number of endpoints, until there is an answer."""
        if self.first_answer_at == NEVER:
            self.size = START_INFLIGHT * endpoints / balancers_per_endpoint

    def update(
        self, now: float, requests_waiting: bool, endpoints: int, balancers_per_endpoint: float, min_size: float
    ) -> None:
        """Update the size after an answer.

        Args:
            now: current instant, in ms.
            requests_waiting: whether requests are held for lack of capacity.
            endpoints: number of endpoints on this side.
            balancers_per_endpoint: number of balancers that share each endpoint.
            min_size: number of requests that is always added to the size.
        """
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
        # The headroom is meant for all balancers together; each takes its part, as if loads were even.
        self.size = needed + self.probing_extra + DEVIATIONS * math.sqrt(needed / balancers_per_endpoint) + min_size
        if age < START_PERIOD:
            # A short record is unreliable, but without a limit an overloaded fleet would be full within a second.
            self.size = max(self.size, START_INFLIGHT * endpoints / balancers_per_endpoint)

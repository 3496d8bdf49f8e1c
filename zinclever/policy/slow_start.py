"""Slow start: limits what each balancer sends to endpoints that have just started."""

from __future__ import annotations

import itertools

from .. import interface
from ..fleet.decaying_mean import DECAY_TIME, NEVER, DecayingMean
from ..fleet.zone_reachability import is_presumed_cold
from .endpoint_list import EndpointList
from .endpoints import Endpoint

CAPACITY_FACTOR = 1.25  # on the presumed capacity of a cold endpoint; limited to half of ``overload_factor``
MAX_MEASURED = 256  # maximum number of warm endpoints whose answers are measured
HELD_CHECK_INTERVAL = 10.0  # ms between two checks of the held requests


class SlowStart:
    """Limits the requests that this balancer sends to cold endpoints."""

    def __init__(self, settings: interface.Settings, endpoint_list: EndpointList) -> None:
        self.rules, self.endpoint_list = settings.rules, endpoint_list
        self.demand = DecayingMean(DECAY_TIME)
        self.warm_rate = 0.0  # answers per ms and unit of size of a warm endpoint
        self.measured_at = -NEVER

    def is_cold(self, now: float, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has started recently or is presumed to have."""
        if is_presumed_cold(
            now - self.rules.cold_for, endpoint.presumed_cold_at, endpoint.failures, self.endpoint_list.refusals
        ):
            return True
        # 0 stands for a start long ago: with a clock near 0 all endpoints would be cold otherwise.
        return endpoint.started_at != 0.0 and endpoint.started_at + self.rules.cold_for > now

    def capacity_share(self, now: float, endpoint: Endpoint) -> float:
        """Return the minimum share of its capacity that a cold endpoint has."""
        age = max(0.0, now - max(endpoint.started_at, endpoint.presumed_cold_at))
        return self.rules.cold_share + (1.0 - self.rules.cold_share) * age / self.rules.cold_for

    def admits(self, now: float, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may be sent a request: a warm one always, a cold one within its token bucket.

        The bucket is filled at CAPACITY_FACTOR times the endpoint's share of its capacity, times the rate at which a
        warm endpoint of its size answers this balancer. Warm endpoints answer what they are sent, which is less than
        their capacity. Answers are measured rather than sends, which grow with retries in overload. A bucket starts
        with a random part of one token, as one attempt from each of hundreds of balancers at once would be a burst.
        """
        if not self.is_cold(now, endpoint):
            return True
        if now - self.measured_at > HELD_CHECK_INTERVAL:
            self.measure_warm(now)
        rate = (
            min(CAPACITY_FACTOR, self.rules.overload_factor / 2)
            * self.capacity_share(now, endpoint)
            * endpoint.size
            * self.warm_rate
        )
        burst = max(1.0, rate * self.rules.overload_for / 8)
        endpoint.tokens = min(burst, endpoint.tokens + rate * (now - endpoint.tokens_at))
        endpoint.tokens_at = now
        return endpoint.tokens >= 1.0

    def presume_cold(self, now: float, zone: int, since: float) -> None:
        """Treat the endpoints of a zone that have not answered since an instant as cold from now on."""
        for endpoint in self.endpoint_list.ready:
            if endpoint.zone == zone and endpoint.served_at <= since:
                self.mark_cold(now, endpoint, now)

    def mark_cold(self, now: float, endpoint: Endpoint, since: float) -> None:
        """Treat an endpoint as cold since an instant, whatever the list says.

        NEVER stands for an unreachable endpoint: attempts are limited as for a cold one until it answers. This
        keeps an endpoint that returns unnoticed from getting a first attempt from every balancer at once.
        """
        endpoint.presumed_cold_at, endpoint.tokens, endpoint.tokens_at = since, self.endpoint_list.rng.random(), now
        if since > -NEVER:
            self.endpoint_list.partition_of(endpoint).cold.add(now + self.rules.cold_for, endpoint.rank, endpoint)

    def withdraw_presumption(self, now: float, zone: int, since: float) -> None:
        """End the presumption that a zone is cold since its return at ``since``."""
        for endpoint in self.endpoint_list.ready:
            if endpoint.zone == zone and endpoint.presumed_cold_at == since:
                endpoint.presumed_cold_at = -NEVER
                if not self.is_cold(now, endpoint):
                    self.endpoint_list.partition_of(endpoint).cold.members.discard(endpoint)

    def measure_warm(self, now: float) -> None:
        """Measure the answer rate of warm endpoints per unit of size. With few warm endpoints the last rate is kept.

        If all endpoints of a zone are cold, the rate of the other zones is used for it. Its own demand would include
        the retries of its clients after an outage.
        """
        self.measured_at = now
        limit = int(min(self.endpoint_list.pool_size(), MAX_MEASURED))
        rates: list[float] = []
        for side in (self.endpoint_list.near, self.endpoint_list.far):
            if 3 * side.warm_count(now) >= len(side.ready) > 0:
                warm = list(
                    itertools.islice((endpoint for endpoint in side.ready if not self.is_cold(now, endpoint)), limit)
                )
                served = sum((endpoint.served.rate(now) for endpoint in warm), 0.0)
                rates.append(served / sum((endpoint.size for endpoint in warm), 0.0))
        if rates:
            self.warm_rate = max(rates)
        elif self.endpoint_list.ready and self.warm_rate == 0.0:  # all are cold: start with an even share of the demand
            self.warm_rate = self.demand.rate(now) / sum(
                (endpoint.size for endpoint in self.endpoint_list.ready[:limit]), 0.0
            )

    def on_sent(self, now: float, endpoint: Endpoint) -> None:
        """Take a token for an attempt at a cold endpoint."""
        if self.is_cold(now, endpoint):
            endpoint.tokens -= 1.0

"""Cold endpoints: each balancer sends them a part that adds up to what they can do."""

from __future__ import annotations

import itertools

from .. import interface
from ..fleet.returns import is_presumed_cold
from ..fleet.smooth import DECAY_TIME, NEVER, DecayingMean
from .endpoint_list import EndpointList
from .endpoints import Endpoint

CAPACITY_FACTOR = 1.25  # times the share that answers tell, and half of what pushes a cold endpoint over at the most
MAX_MEASURED = 256  # warm endpoints by whose answers the cold ones are measured at the most
HELD_CHECK_INTERVAL = 10.0  # ms between two looks at the held requests


class SlowStart:
    """How much of its capacity a cold endpoint may be sent by this balancer."""

    def __init__(self, settings: interface.Settings, endpoint_list: EndpointList) -> None:
        self.rules, self.endpoint_list = settings.rules, endpoint_list
        self.demand = DecayingMean(DECAY_TIME)
        self.warm_rate = 0.0  # answers a millisecond and size of a warm endpoint
        self.measured_at = -NEVER

    def is_cold(self, now: float, endpoint: Endpoint) -> bool:
        """Whether an endpoint has started lately, or is presumed to have."""
        # A start at 0 is long past: guards against a clock near 0, by which all would be cold.
        if is_presumed_cold(
            now - self.rules.cold_for, endpoint.presumed_cold_at, endpoint.failures, self.endpoint_list.refusals
        ):
            return True
        return endpoint.started_at != 0.0 and endpoint.started_at + self.rules.cold_for > now

    def capacity_share(self, now: float, endpoint: Endpoint) -> float:
        """Share of its capacity that a cold endpoint has at least."""
        age = max(0.0, now - max(endpoint.started_at, endpoint.presumed_cold_at))
        return self.rules.cold_share + (1.0 - self.rules.cold_share) * age / self.rules.cold_for

    def admits(self, now: float, endpoint: Endpoint) -> bool:
        """A cold endpoint gets LEAD times its ramp's share of what a warm one of its size answers to this balancer.

        Warm ones answer what is asked, which is less than they could.

        Answers, not sends: guards against a crowd whose many attempts would set the measure. What is saved
        up starts at a random part of one send, as one each from hundreds of balancers is a burst.
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
        """What a zone has not been heard of since an instant is cold from now on, whatever the list says."""
        for endpoint in self.endpoint_list.ready:
            if endpoint.zone == zone and endpoint.served_at <= since:
                self.mark_cold(now, endpoint, now)

    def mark_cold(self, now: float, endpoint: Endpoint, since: float) -> None:
        """One is cold since an instant, whatever the list says. NEVER: it may be when it answers, and its tries until
        then are sent as to a cold one: guards one that comes back unseen against a first try from each balancer."""
        endpoint.presumed_cold_at, endpoint.tokens, endpoint.tokens_at = since, self.endpoint_list.rng.random(), now
        if since > -NEVER:
            self.endpoint_list.partition_of(endpoint).cold.add(now + self.rules.cold_for, endpoint.rank, endpoint)

    def withdraw_presumption(self, now: float, zone: int, since: float) -> None:
        """A zone that was presumed to be cold since its return was not."""
        for endpoint in self.endpoint_list.ready:
            if endpoint.zone == zone and endpoint.presumed_cold_at == since:
                endpoint.presumed_cold_at = -NEVER
                if not self.is_cold(now, endpoint):
                    self.endpoint_list.partition_of(endpoint).cold.members.discard(endpoint)

    def measure_warm(self, now: float) -> None:
        """Answers of the warm endpoints in use, by size. Where few are warm the last figure stands.

        A zone that is all cold is measured by the others: guards against taking the demand for what it can
        do, when it comes back from an outage to clients that repeat all they ask.
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
        elif (
            self.endpoint_list.ready and self.warm_rate == 0.0
        ):  # all is cold: it starts with an even part of the demand
            self.warm_rate = self.demand.rate(now) / sum(
                (endpoint.size for endpoint in self.endpoint_list.ready[:limit]), 0.0
            )

    def on_sent(self, now: float, endpoint: Endpoint) -> None:
        """One more goes there."""
        if self.is_cold(now, endpoint):
            endpoint.tokens -= 1.0

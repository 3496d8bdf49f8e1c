"""Endpoint selection: power of two choices, by payoff divided by (1 + own in-flight requests)."""

from __future__ import annotations

import bisect
import itertools
import random
import zlib
from collections import deque

from .. import interface
from ..fleet.zone_reachability import ZoneReachability
from .endpoint_list import EndpointList
from .endpoints import Endpoint
from .partition import ZonePartition
from .requests import ClassState, Request
from .slow_start import SlowStart
from .zone_crossing import ZoneCrossing

SILENCE_TOLERANCE = 1.5  # mean latencies for which an endpoint may be silent before its payoff is reduced
PRIOR_ANSWERS = 1.0  # weight, in answers, of the prior of an endpoint's payoff, which is the fleet's mean
FULL_ZONE_GAIN = 0.6  # probability of an answer in time that a request gains by leaving a full home zone
SMALL_PARTITION = 4  # endpoints up to which a partition is scanned: random draws would mostly hit used ones
MAX_DRAWS = 8  # draws of ineligible endpoints before a partition is scanned
MAX_SCANNED = 64  # maximum number of endpoints that are scanned; larger partitions are sampled, or scanned in part
RECENT_KEYS = 32  # latest requests by which hot keys are detected
WARM_KEY_GAIN = 1.4  # factor on the score of an endpoint that probably has the key cached


class EndpointSelector:
    """Selects the endpoint for each attempt."""

    def __init__(
        self,
        settings: interface.Settings,
        classes: list[ClassState],
        endpoint_list: EndpointList,
        slow_start: SlowStart,
        zone_crossing: ZoneCrossing,
        reachability: ZoneReachability,
        rng: random.Random,
    ) -> None:
        self.settings, self.classes, self.rng, self.reachability = settings, classes, rng, reachability
        self.endpoint_list, self.slow_start, self.zone_crossing = endpoint_list, slow_start, zone_crossing
        self.recent_keys: deque[str] = deque(maxlen=RECENT_KEYS)

    def select(self, now: float, request: Request) -> Endpoint | None:
        """Return the better of two random ready endpoints that the request has not used, drawn by size.

        Drawing by size protects small endpoints from an even share of the load: a balancer with little traffic gets too
        few answers from each endpoint to detect them by their payoff. If there is no unused endpoint, a used one is
        returned if it is eligible, else None.
        """
        drawn: tuple[Endpoint, Endpoint, float] | None = None
        for partition in self.partitions(now, request):
            if partition.has_capacity():
                drawn = self.draw_two(now, request, partition)
                if drawn is not None:
                    break
        drawn = drawn or self.choose_two(now, request, self.reusable(now, request))
        if drawn is None:
            return None
        first, second, gain = drawn
        return first if gain * self.score(now, first) >= self.score(now, second) else second

    def choose_two(self, now: float, request: Request, pool: list[Endpoint]) -> tuple[Endpoint, Endpoint, float] | None:
        """Draw two endpoints of a pool by size, with the factor on the first one's score. None if the pool is empty."""
        if not pool:
            return None
        shares = [endpoint.size for endpoint in pool]
        first = self.key_owner(now, request, pool[0].is_near)
        gain = WARM_KEY_GAIN if first else 1.0
        first = first or self.weighted_choice(pool, shares)
        if first in pool:
            shares[pool.index(first)] = 0.0
        return first, self.weighted_choice(pool, shares) if any(shares) else first, gain

    def weighted_choice(self, pool: list[Endpoint], shares: list[float]) -> Endpoint:
        """Draw as ``random.choices`` does, with fewer calls of Python code."""
        sums = list(itertools.accumulate(shares))
        return pool[bisect.bisect(sums, self.rng.random() * sums[-1], 0, len(pool) - 1)]

    def draw_two(
        self, now: float, request: Request, partition: ZonePartition
    ) -> tuple[Endpoint, Endpoint, float] | None:
        """Draw two endpoints of a partition, by sampling, or by scanning at most MAX_SCANNED endpoints."""
        count = len(partition.ready)
        pool_count = int(min(self.endpoint_list.pool_size(), count))
        if count <= MAX_SCANNED:
            drawn = None
            if pool_count == count > SMALL_PARTITION and not partition.is_mostly_down(now):
                drawn = self.sample_two(now, request, partition, count)
            return drawn or self.choose_two(now, request, self.eligible(now, request, partition.ready))
        if self.is_bound_to_cell(request):
            assert request.first_possible_run is not None
            near = partition is self.endpoint_list.near
            cell = [
                endpoint
                for endpoint in self.sample_run(
                    self.endpoint_list.cells.get(request.first_possible_run.endpoint.cell, [])
                )
                if endpoint.is_near is near
            ]
            return self.choose_two(now, request, self.eligible(now, request, cell))
        if partition.is_mostly_down(now):
            return self.try_all(now, request, partition)
        if pool_count > MAX_SCANNED:
            drawn = self.sample_two(now, request, partition, pool_count)
            return drawn or self.choose_two(now, request, self.eligible(now, request, self.sample_run(partition.ready)))
        drawn = self.choose_two(now, request, self.eligible(now, request, partition.ready[:MAX_SCANNED]))
        return drawn or self.sample_two(now, request, partition, count)

    def sample_run(self, listed: list[Endpoint]) -> list[Endpoint]:
        """Return up to MAX_SCANNED consecutive endpoints from a random position on."""
        start = int(self.rng.random() * len(listed)) if len(listed) > MAX_SCANNED else 0
        return listed[start : start + MAX_SCANNED] + listed[: max(0, min(start, start + MAX_SCANNED - len(listed)))]

    def is_bound_to_cell(self, request: Request) -> bool:
        """Return whether only endpoints of the first attempt's cell discard a repeat."""
        return (
            request.first_possible_run is not None
            and not request.klass.idempotent
            and request.klass.settings.group == "cell"
        )

    def try_all(
        self, now: float, request: Request, partition: ZonePartition
    ) -> tuple[Endpoint, Endpoint, float] | None:
        """Draw from a large partition that is mostly down: any endpoint, and one that is not marked as down.

        The fault may then be on this balancer's side, so endpoints marked as down are tried too. The second draw finds
        a single endpoint that answers at once.
        """
        other = self.first_eligible(
            now, request, [partition.sample_by_size(self.rng, len(partition.ready)) for _ in range(MAX_DRAWS)]
        )
        up = self.first_eligible(
            now,
            request,
            [partition.up[int(self.rng.random() * len(partition.up))] for _ in range(MAX_DRAWS)]
            if partition.up
            else [],
        )
        first, second = up or other, other or up
        return (first, second, 1.0) if first is not None and second is not None else None

    def first_eligible(self, now: float, request: Request, drawn: list[Endpoint]) -> Endpoint | None:
        """Return the first of the drawn endpoints that the request may go to, or None."""
        used = [attempt.endpoint for attempt in request.attempts]
        for endpoint in drawn:
            if (
                endpoint not in used
                and self.endpoint_list.is_same_group(request, endpoint)
                and self.slow_start.admits(now, endpoint)
            ):
                return endpoint
        return None

    def sample_two(
        self, now: float, request: Request, partition: ZonePartition, count: int
    ) -> tuple[Endpoint, Endpoint, float] | None:
        """Draw two of the first ``count`` endpoints of a partition, at a cost that doesn't grow with it.

        Draws by size are repeated while they hit ineligible endpoints, which gives the eligible ones the same shares as
        a pool of only these. Returns None if two are not found within MAX_DRAWS draws each.
        """
        first = self.key_owner(now, request, partition is self.endpoint_list.near)
        gain = WARM_KEY_GAIN if first else 1.0
        first = first or self.sample(now, request, partition, count, None)
        second = self.sample(now, request, partition, count, first) if first is not None else None
        return (first, second, gain) if first is not None and second is not None else None

    def sample(
        self, now: float, request: Request, partition: ZonePartition, count: int, other: Endpoint | None
    ) -> Endpoint | None:
        """Draw an eligible endpoint other than ``other``, or None after MAX_DRAWS draws."""
        used = [attempt.endpoint for attempt in request.attempts]
        for _ in range(MAX_DRAWS):
            endpoint = partition.sample_by_size(self.rng, count)
            if endpoint is other or endpoint.down_until > now or endpoint in used:
                continue
            if self.endpoint_list.is_same_group(request, endpoint) and self.slow_start.admits(now, endpoint):
                return endpoint
        return None

    def key_owner(self, now: float, request: Request, near: bool) -> Endpoint | None:
        """Return the endpoint that all balancers prefer for a key, so that the key is warm there; None if ineligible.

        The more of this balancer's latest requests have the key, the more endpoints take turns, so that a hot key does
        not overload one of them.
        """
        if not request.key or not self.settings.warm_keys:
            return None
        turn = int(self.rng.random() * self.recent_keys.count(request.key))
        seed = zlib.crc32(f"{request.key} {turn}".encode())
        partition = self.endpoint_list.near if near else self.endpoint_list.far
        endpoint = (
            partition.key_owner(seed)
            if len(partition.ready) > MAX_SCANNED
            else max(
                partition.ready,
                key=lambda endpoint: (((endpoint.hash ^ seed) * 0x9E3779B1 % 2**32) / 2**32) ** (1.0 / endpoint.size),
            )
        )
        used = any(attempt.endpoint is endpoint for attempt in request.attempts)
        fit = (
            not used
            and endpoint.down_until <= now
            and self.endpoint_list.is_same_group(request, endpoint)
            and self.slow_start.admits(now, endpoint)
        )
        return endpoint if fit else None

    def partitions(self, now: float, request: Request) -> list[ZonePartition]:
        """Return the partitions to try, in order: the home zone, and the other zones if home is full or they are better
        by more than the price of crossing.
        """
        only = self.reachability.reachable_side(self.settings.zone, self.rng)
        if only != "either" and self.endpoint_list.near.ready and self.endpoint_list.far.ready:
            return [self.endpoint_list.near if only == "home" else self.endpoint_list.far]
        candidates = [self.endpoint_list.near]
        if (
            not self.endpoint_list.near.ready
            or FULL_ZONE_GAIN * self.zone_crossing.relative_value(now, request) >= self.settings.prices.cross_zone
        ):
            candidates.append(self.endpoint_list.far)
            if self.endpoint_list.far.ready and self.zone_crossing.crosses(now, request):
                candidates.reverse()
        return candidates

    def reusable(self, now: float, request: Request) -> list[Endpoint]:
        """Return the used endpoints that a retry may go to again, as there can be fewer endpoints than attempts."""
        if request.open_attempts:
            return []
        used = [attempt.endpoint for attempt in request.attempts]
        return [
            endpoint
            for endpoint in used
            if endpoint.phase == "ready"
            and self.endpoint_list.partition_of(endpoint).has_capacity()
            and self.slow_start.admits(now, endpoint)
            and self.endpoint_list.is_same_group(request, endpoint)
        ]

    def eligible(self, now: float, request: Request, partition: list[Endpoint]) -> list[Endpoint]:
        """Return the first eligible endpoints in this balancer's own order, as many as ``pool_size`` allows.

        The limit keeps hundreds of balancers from connecting to the whole fleet and learning little about each
        endpoint. The next ones in order replace those that are not eligible.
        """
        used = [attempt.endpoint for attempt in request.attempts]
        enough = self.endpoint_list.pool_size()
        up: list[Endpoint] = []
        down: list[Endpoint] = []
        for endpoint in partition:
            if (
                endpoint in used
                or not self.endpoint_list.is_same_group(request, endpoint)
                or not self.slow_start.admits(now, endpoint)
            ):
                continue
            if endpoint.down_until > now:
                down.append(endpoint)
            else:
                up.append(endpoint)
                if len(up) >= enough:
                    break
        # If most look down, the fault may be on this balancer's side, so those marked as down are tried too.
        return up if len(up) >= len(down) else up + down

    def score(self, now: float, endpoint: Endpoint) -> float:
        """Return payoff / (1 + own in-flight requests). Payoff is the share of good answers over relative latency."""
        payoff = endpoint.success.mean(now, 1.0, PRIOR_ANSWERS) / endpoint.latency.mean(now, 1.0, PRIOR_ANSWERS)
        silence = endpoint.silence(now)
        if silence > 0.0:
            # An endpoint that loses requests looks idle. Its silence counts before the first attempt times out.
            excess = silence / (SILENCE_TOLERANCE * max(klass.mean_latency for klass in self.classes))
            if excess > 1.0:
                payoff /= excess * excess
        return payoff / (1 + endpoint.inflight)

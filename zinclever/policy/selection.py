"""Draws: the better of two random unused ready endpoints by payoff over (1 + own in-flight)."""

from __future__ import annotations

import bisect
import itertools
import random
import zlib
from collections import deque

from .. import interface
from ..fleet.returns import ZoneReachability
from .endpoint_list import EndpointList
from .endpoints import Endpoint
from .partition import ZonePartition
from .requests import ClassState, Request
from .slow_start import SlowStart
from .zone_crossing import ZoneCrossing

SILENCE_TOLERANCE = 1.5  # mean latencies an endpoint may be silent before its payoff drops
PRIOR_ANSWERS = 1.0  # answers: how many a server's payoff takes to outweigh the fleet's mean
FULL_ZONE_GAIN = 0.6  # chance of an answer in time that a request gains by leaving a home zone that is full
SMALL_PARTITION = 4  # endpoints up to which a side is looked through: draws there hit what has been used too often
MAX_DRAWS = 8  # draws that may hit what is not fit before a side is looked through
MAX_SCANNED = 64  # endpoints of a side that are looked through at the most: of more a part is, or they are drawn from
RECENT_KEYS = 32  # latest requests that a hot key is told from
WARM_KEY_GAIN = 1.4  # by how much better an endpoint counts for a key it is likely to have met


class EndpointSelector:
    """Which endpoint an attempt goes to."""

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
        """The better of two random unused ready endpoints, drawn by told size.

        Guards against small endpoints drowning in an even share: a quiet balancer hears too little of each
        to tell it by the payoff.
        """
        drawn: tuple[Endpoint, Endpoint, float] | None = None
        for partition in self.partitions(now, request):
            if partition.has_room():
                drawn = self.draw_two(now, request, partition)
                if drawn is not None:
                    break
        drawn = drawn or self.choose_two(now, request, self.reusable(now, request))
        if drawn is None:
            return None
        first, second, gain = drawn
        return first if gain * self.score(now, first) >= self.score(now, second) else second

    def choose_two(self, now: float, request: Request, pool: list[Endpoint]) -> tuple[Endpoint, Endpoint, float] | None:
        """Two of a pool, by size, and by how much the first counts for more; None where it is empty."""
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
        """As ``random.choices`` draws one, without its calls in Python."""
        sums = list(itertools.accumulate(shares))
        return pool[bisect.bisect(sums, self.rng.random() * sums[-1], 0, len(pool) - 1)]

    def draw_two(
        self, now: float, request: Request, partition: ZonePartition
    ) -> tuple[Endpoint, Endpoint, float] | None:
        """Two of a side at a cost that doesn't grow with it: by draws, or by a look at LOOK or ``enough`` of it."""
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
        """As many as are looked through, from a random place on."""
        start = int(self.rng.random() * len(listed)) if len(listed) > MAX_SCANNED else 0
        return listed[start : start + MAX_SCANNED] + listed[: max(0, min(start, start + MAX_SCANNED - len(listed)))]

    def is_bound_to_cell(self, request: Request) -> bool:
        """Whether only endpoints of the first attempt's cell discard a repeat."""
        return (
            request.first_possible_run is not None
            and not request.klass.idempotent
            and request.klass.settings.group == "cell"
        )

    def try_all(
        self, now: float, request: Request, partition: ZonePartition
    ) -> tuple[Endpoint, Endpoint, float] | None:
        """Where most of a large side looks down the fault is as likely on this side: any one, and one of those that
        don't, so that a single one that answers is found at once."""
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
        """The first of some endpoints that a request may go to; None where there is none."""
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
        """The same draw from so many first ones of a side, at a cost that doesn't grow with it.

        Endpoints are drawn by size from the list, and again while they are not fit: what remains has the shares
        that it would have in a pool of the fit ones. None where few are fit.
        """
        first = self.key_owner(now, request, partition is self.endpoint_list.near)
        gain = WARM_KEY_GAIN if first else 1.0
        first = first or self.sample(now, request, partition, count, None)
        second = self.sample(now, request, partition, count, first) if first is not None else None
        return (first, second, gain) if first is not None and second is not None else None

    def sample(
        self, now: float, request: Request, partition: ZonePartition, count: int, other: Endpoint | None
    ) -> Endpoint | None:
        """One that is fit and not the other; None after a few tries."""
        used = [attempt.endpoint for attempt in request.attempts]
        for _ in range(MAX_DRAWS):
            endpoint = partition.sample_by_size(self.rng, count)
            if endpoint is other or endpoint.down_until > now or endpoint in used:
                continue
            if self.endpoint_list.is_same_group(request, endpoint) and self.slow_start.admits(now, endpoint):
                return endpoint
        return None

    def key_owner(self, now: float, request: Request, near: bool) -> Endpoint | None:
        """The endpoint that all balancers send a key to, so that it is warm there: one of the two drawn.

        The more of this balancer's latest requests bear the key, the more endpoints take turns: guards
        against a hot key that all send to one.
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
        """What to draw from: the home zone, or the others where it is full or they are better by more than
        the crossing."""
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
        """Where a retry may go back to: a fleet may be smaller than the attempts allowed."""
        if request.open_attempts:
            return []
        used = [attempt.endpoint for attempt in request.attempts]
        return [
            endpoint
            for endpoint in used
            if endpoint.phase == "ready"
            and self.endpoint_list.partition_of(endpoint).has_room()
            and self.slow_start.admits(now, endpoint)
            and self.endpoint_list.is_same_group(request, endpoint)
        ]

    def eligible(self, now: float, request: Request, partition: list[Endpoint]) -> list[Endpoint]:
        """The first of this balancer's own order that are unused by the request, not down, not cold and full.

        Guards against hundreds of balancers that each connect to the whole fleet and learn little of each
        endpoint. Those that drop out are made up for by the next in order; with more in flight it grows.
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
        # Where most of the fleet looks down the fault is as likely on this side: everything is tried.
        return up if len(up) >= len(down) else up + down

    def score(self, now: float, endpoint: Endpoint) -> float:
        """Payoff over (1 + own in-flight). The payoff: share of good answers over relative latency."""
        payoff = endpoint.success.mean(now, 1.0, PRIOR_ANSWERS) / endpoint.latency.mean(now, 1.0, PRIOR_ANSWERS)
        silence = endpoint.silence(now)
        if silence > 0.0:
            # A server that swallows requests looks idle: its silence counts before any attempt times out.
            excess = silence / (SILENCE_TOLERANCE * max(klass.mean_latency for klass in self.classes))
            if excess > 1.0:
                payoff /= excess * excess
        return payoff / (1 + endpoint.inflight)

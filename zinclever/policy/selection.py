"""Draws: the better of two random unused ready endpoints by payoff over (1 + own in-flight)."""

from __future__ import annotations

import bisect
import itertools
import random
import zlib
from collections import deque

from .. import interface
from ..fleet.returns import Returns
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
        members: EndpointList,
        cold: SlowStart,
        crossing: ZoneCrossing,
        returns: Returns,
        rng: random.Random,
    ) -> None:
        self.settings, self.classes, self.rng, self.returns = settings, classes, rng, returns
        self.endpoint_list, self.slow_start, self.zone_crossing = members, cold, crossing
        self.recent_keys: deque[str] = deque(maxlen=RECENT_KEYS)

    def select(self, now: float, r: Request) -> Endpoint | None:
        """The better of two random unused ready endpoints, drawn by told size.

        Guards against small endpoints drowning in an even share: a quiet balancer hears too little of each
        to tell it by the payoff.
        """
        drawn: tuple[Endpoint, Endpoint, float] | None = None
        for side in self.partitions(now, r):
            if side.has_capacity():
                drawn = self.draw_two(now, r, side)
                if drawn is not None:
                    break
        drawn = drawn or self.choose_two(now, r, self.reusable(now, r))
        if drawn is None:
            return None
        first, second, gain = drawn
        return first if gain * self.score(now, first) >= self.score(now, second) else second

    def choose_two(self, now: float, r: Request, pool: list[Endpoint]) -> tuple[Endpoint, Endpoint, float] | None:
        """Two of a pool, by size, and by how much the first counts for more; None where it is empty."""
        if not pool:
            return None
        shares = [e.size for e in pool]
        first = self.key_owner(now, r, pool[0].is_near)
        gain = WARM_KEY_GAIN if first else 1.0
        first = first or self.weighted(pool, shares)
        if first in pool:
            shares[pool.index(first)] = 0.0
        return first, self.weighted(pool, shares) if any(shares) else first, gain

    def weighted(self, pool: list[Endpoint], shares: list[float]) -> Endpoint:
        """As ``random.choices`` draws one, without its calls in Python."""
        sums = list(itertools.accumulate(shares))
        return pool[bisect.bisect(sums, self.rng.random() * sums[-1], 0, len(pool) - 1)]

    def draw_two(self, now: float, r: Request, side: ZonePartition) -> tuple[Endpoint, Endpoint, float] | None:
        """Two of a side at a cost that doesn't grow with it: by draws, or by a look at LOOK or ``enough`` of it."""
        count = len(side.ready)
        part = int(min(self.endpoint_list.pool_size(), count))
        if count <= MAX_SCANNED:
            drawn = None
            if part == count > SMALL_PARTITION and not side.is_mostly_down(now):
                drawn = self.sample_two(now, r, side, count)
            return drawn or self.choose_two(now, r, self.eligible(now, r, side.ready))
        if self.is_bound_to_cell(r):
            assert r.first_possible_run is not None
            near = side is self.endpoint_list.near
            cell = [
                e
                for e in self.sample_run(self.endpoint_list.cells.get(r.first_possible_run.endpoint.cell, []))
                if e.is_near is near
            ]
            return self.choose_two(now, r, self.eligible(now, r, cell))
        if side.is_mostly_down(now):
            return self.try_all(now, r, side)
        if part > MAX_SCANNED:
            drawn = self.sample_two(now, r, side, part)
            return drawn or self.choose_two(now, r, self.eligible(now, r, self.sample_run(side.ready)))
        drawn = self.choose_two(now, r, self.eligible(now, r, side.ready[:MAX_SCANNED]))
        return drawn or self.sample_two(now, r, side, count)

    def sample_run(self, listed: list[Endpoint]) -> list[Endpoint]:
        """As many as are looked through, from a random place on."""
        at = int(self.rng.random() * len(listed)) if len(listed) > MAX_SCANNED else 0
        return listed[at : at + MAX_SCANNED] + listed[: max(0, min(at, at + MAX_SCANNED - len(listed)))]

    def is_bound_to_cell(self, r: Request) -> bool:
        """Whether only endpoints of the first attempt's cell discard a repeat."""
        return r.first_possible_run is not None and not r.klass.idempotent and r.klass.settings.group == "cell"

    def try_all(self, now: float, r: Request, side: ZonePartition) -> tuple[Endpoint, Endpoint, float] | None:
        """Where most of a large side looks down the fault is as likely on this side: any one, and one of those that
        don't, so that a single one that answers is found at once."""
        other = self.first_eligible(now, r, [side.draw_by_size(self.rng, len(side.ready)) for _ in range(MAX_DRAWS)])
        up = self.first_eligible(
            now, r, [side.up[int(self.rng.random() * len(side.up))] for _ in range(MAX_DRAWS)] if side.up else []
        )
        first, second = up or other, other or up
        return (first, second, 1.0) if first is not None and second is not None else None

    def first_eligible(self, now: float, r: Request, drawn: list[Endpoint]) -> Endpoint | None:
        """The first of some endpoints that a request may go to; None where there is none."""
        used = [a.endpoint for a in r.attempts]
        for e in drawn:
            if e not in used and self.endpoint_list.is_same_group(r, e) and self.slow_start.admits(now, e):
                return e
        return None

    def sample_two(
        self, now: float, r: Request, side: ZonePartition, among: int
    ) -> tuple[Endpoint, Endpoint, float] | None:
        """The same draw from so many first ones of a side, at a cost that doesn't grow with it.

        Endpoints are drawn by size from the list, and again while they are not fit: what remains has the shares
        that it would have in a pool of the fit ones. None where few are fit.
        """
        first = self.key_owner(now, r, side is self.endpoint_list.near)
        gain = WARM_KEY_GAIN if first else 1.0
        first = first or self.sample(now, r, side, among, None)
        second = self.sample(now, r, side, among, first) if first is not None else None
        return (first, second, gain) if first is not None and second is not None else None

    def sample(
        self, now: float, r: Request, side: ZonePartition, among: int, other: Endpoint | None
    ) -> Endpoint | None:
        """One that is fit and not the other; None after a few tries."""
        used = [a.endpoint for a in r.attempts]
        for _ in range(MAX_DRAWS):
            e = side.draw_by_size(self.rng, among)
            if e is other or e.down_until > now or e in used:
                continue
            if self.endpoint_list.is_same_group(r, e) and self.slow_start.admits(now, e):
                return e
        return None

    def key_owner(self, now: float, r: Request, near: bool) -> Endpoint | None:
        """The endpoint that all balancers send a key to, so that it is warm there: one of the two drawn.

        The more of this balancer's latest requests bear the key, the more endpoints take turns: guards
        against a hot key that all send to one.
        """
        if not r.key or not self.settings.warm_keys:
            return None
        turn = int(self.rng.random() * self.recent_keys.count(r.key))
        seed = zlib.crc32(f"{r.key} {turn}".encode())
        side = self.endpoint_list.near if near else self.endpoint_list.far
        e = (
            side.key_owner(seed)
            if len(side.ready) > MAX_SCANNED
            else max(side.ready, key=lambda e: (((e.hash ^ seed) * 0x9E3779B1 % 2**32) / 2**32) ** (1.0 / e.size))
        )
        used = any(a.endpoint is e for a in r.attempts)
        fit = (
            not used
            and e.down_until <= now
            and self.endpoint_list.is_same_group(r, e)
            and self.slow_start.admits(now, e)
        )
        return e if fit else None

    def partitions(self, now: float, r: Request) -> list[ZonePartition]:
        """What to draw from: the home zone, or the others where it is full or they are better by more than
        the crossing."""
        only = self.returns.only(self.settings.zone, self.rng)
        if only != "either" and self.endpoint_list.near.ready and self.endpoint_list.far.ready:
            return [self.endpoint_list.near if only == "home" else self.endpoint_list.far]
        sides = [self.endpoint_list.near]
        if (
            not self.endpoint_list.near.ready
            or FULL_ZONE_GAIN * self.zone_crossing.relative_worth(now, r) >= self.settings.prices.cross_zone
        ):
            sides.append(self.endpoint_list.far)
            if self.endpoint_list.far.ready and self.zone_crossing.crosses(now, r):
                sides.reverse()
        return sides

    def reusable(self, now: float, r: Request) -> list[Endpoint]:
        """Where a retry may go back to: a fleet may be smaller than the attempts allowed."""
        if r.open_attempts:
            return []
        used = [a.endpoint for a in r.attempts]
        return [
            e
            for e in used
            if e.phase == "ready"
            and self.endpoint_list.partition_of(e).has_capacity()
            and self.slow_start.admits(now, e)
            and self.endpoint_list.is_same_group(r, e)
        ]

    def eligible(self, now: float, r: Request, side: list[Endpoint]) -> list[Endpoint]:
        """The first of this balancer's own order that are unused by the request, not down, not cold and full.

        Guards against hundreds of balancers that each connect to the whole fleet and learn little of each
        endpoint. Those that drop out are made up for by the next in order; with more in flight it grows.
        """
        used = [a.endpoint for a in r.attempts]
        enough = self.endpoint_list.pool_size()
        up: list[Endpoint] = []
        down: list[Endpoint] = []
        for e in side:
            if e in used or not self.endpoint_list.is_same_group(r, e) or not self.slow_start.admits(now, e):
                continue
            if e.down_until > now:
                down.append(e)
            else:
                up.append(e)
                if len(up) >= enough:
                    break
        # Where most of the fleet looks down the fault is as likely on this side: everything is tried.
        return up if len(up) >= len(down) else up + down

    def score(self, now: float, e: Endpoint) -> float:
        """Payoff over (1 + own in-flight). The payoff: share of good answers over relative latency."""
        payoff = e.success.mean(now, 1.0, PRIOR_ANSWERS) / e.latency.mean(now, 1.0, PRIOR_ANSWERS)
        silence = e.silence(now)
        if silence > 0.0:
            # A server that swallows requests looks idle: its silence counts before any attempt times out.
            over = silence / (SILENCE_TOLERANCE * max(k.mean_latency for k in self.classes))
            if over > 1.0:
                payoff /= over * over
        return payoff / (1 + e.inflight)

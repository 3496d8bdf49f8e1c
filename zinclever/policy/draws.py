"""Draws: the better of two random unused ready endpoints by payoff over (1 + own in-flight)."""

from __future__ import annotations

import bisect
import itertools
import random
import zlib
from collections import deque

from .. import interface as i
from ..fleet.returns import Returns
from .cold import Cold
from .crossing import Crossing
from .endpoints import Endpoint
from .membership import Membership
from .requests import Klass, Request
from .sides import Side

PATIENCE = 1.5  # mean latencies an endpoint may be silent before its payoff drops
PRIOR = 1.0  # answers: how many a server's payoff takes to outweigh the fleet's mean
FULL_GAIN = 0.6  # chance of an answer in time that a request gains by leaving a home zone that is full
SMALL = 4  # endpoints up to which a side is looked through: draws there hit what has been used too often
TRIES = 8  # draws that may hit what is not fit before a side is looked through
LOOK = 64  # endpoints of a side that are looked through at the most: of more a part is, or they are drawn from
KEYS = 32  # latest requests that a hot key is told from
WARM_GAIN = 1.4  # by how much better an endpoint counts for a key it is likely to have met


class Draws:
    """Which endpoint an attempt goes to."""

    def __init__(
        self,
        settings: i.Settings,
        classes: list[Klass],
        members: Membership,
        cold: Cold,
        crossing: Crossing,
        returns: Returns,
        rng: random.Random,
    ) -> None:
        self.settings, self.classes, self.rng, self.returns = settings, classes, rng, returns
        self.list, self.cold, self.crossing = members, cold, crossing
        self.recent: deque[str] = deque(maxlen=KEYS)

    def draw(self, now: float, r: Request) -> Endpoint | None:
        """The better of two random unused ready endpoints, drawn by told size.

        Guards against small endpoints drowning in an even share: a quiet balancer hears too little of each
        to tell it by the payoff.
        """
        drawn: tuple[Endpoint, Endpoint, float] | None = None
        for side in self.sides(now, r):
            if side.room():
                drawn = self.draw_two(now, r, side)
                if drawn is not None:
                    break
        drawn = drawn or self.choose_two(now, r, self.used_again(now, r))
        if drawn is None:
            return None
        first, second, gain = drawn
        return first if gain * self.standing(now, first) >= self.standing(now, second) else second

    def choose_two(self, now: float, r: Request, pool: list[Endpoint]) -> tuple[Endpoint, Endpoint, float] | None:
        """Two of a pool, by size, and by how much the first counts for more; None where it is empty."""
        if not pool:
            return None
        shares = [e.size for e in pool]
        first = self.keeper(now, r, pool[0].near)
        gain = WARM_GAIN if first else 1.0
        first = first or self.weighted(pool, shares)
        if first in pool:
            shares[pool.index(first)] = 0.0
        return first, self.weighted(pool, shares) if any(shares) else first, gain

    def weighted(self, pool: list[Endpoint], shares: list[float]) -> Endpoint:
        """As ``random.choices`` draws one, without its calls in Python."""
        sums = list(itertools.accumulate(shares))
        return pool[bisect.bisect(sums, self.rng.random() * sums[-1], 0, len(pool) - 1)]

    def draw_two(self, now: float, r: Request, side: Side) -> tuple[Endpoint, Endpoint, float] | None:
        """Two of a side at a cost that doesn't grow with it: by draws, or by a look at LOOK or ``enough`` of it."""
        count = len(side.ready)
        part = int(min(self.list.enough(), count))
        if count <= LOOK:
            drawn = None
            if part == count > SMALL and not side.mostly_down(now):
                drawn = self.sample_two(now, r, side, count)
            return drawn or self.choose_two(now, r, self.fit(now, r, side.ready))
        if self.bound_to_cell(r):
            assert r.bound is not None
            near = side is self.list.near
            cell = [e for e in self.look(self.list.cells.get(r.bound.endpoint.cell, [])) if e.near is near]
            return self.choose_two(now, r, self.fit(now, r, cell))
        if side.mostly_down(now):
            return self.try_all(now, r, side)
        if part > LOOK:
            drawn = self.sample_two(now, r, side, part)
            return drawn or self.choose_two(now, r, self.fit(now, r, self.look(side.ready)))
        drawn = self.choose_two(now, r, self.fit(now, r, side.ready[:LOOK]))
        return drawn or self.sample_two(now, r, side, count)

    def look(self, listed: list[Endpoint]) -> list[Endpoint]:
        """As many as are looked through, from a random place on."""
        at = int(self.rng.random() * len(listed)) if len(listed) > LOOK else 0
        return listed[at : at + LOOK] + listed[: max(0, min(at, at + LOOK - len(listed)))]

    def bound_to_cell(self, r: Request) -> bool:
        return r.bound is not None and not r.klass.idempotent and r.klass.told.group == "cell"

    def try_all(self, now: float, r: Request, side: Side) -> tuple[Endpoint, Endpoint, float] | None:
        """Where most of a large side looks down the fault is as likely on this side: any one, and one of those that
        don't, so that a single one that answers is found at once."""
        other = self.fit_one(now, r, [side.one(self.rng, len(side.ready)) for _ in range(TRIES)])
        up = self.fit_one(
            now, r, [side.up[int(self.rng.random() * len(side.up))] for _ in range(TRIES)] if side.up else []
        )
        first, second = up or other, other or up
        return (first, second, 1.0) if first is not None and second is not None else None

    def fit_one(self, now: float, r: Request, drawn: list[Endpoint]) -> Endpoint | None:
        used = [a.endpoint for a in r.attempts]
        for e in drawn:
            if e not in used and self.list.same_group(r, e) and self.cold.warm_enough(now, e):
                return e
        return None

    def sample_two(self, now: float, r: Request, side: Side, among: int) -> tuple[Endpoint, Endpoint, float] | None:
        """The same draw from so many first ones of a side, at a cost that doesn't grow with it.

        Endpoints are drawn by size from the list, and again while they are not fit: what remains has the shares
        that it would have in a pool of the fit ones. None where few are fit.
        """
        first = self.keeper(now, r, side is self.list.near)
        gain = WARM_GAIN if first else 1.0
        first = first or self.sample(now, r, side, among, None)
        second = self.sample(now, r, side, among, first) if first is not None else None
        return (first, second, gain) if first is not None and second is not None else None

    def sample(self, now: float, r: Request, side: Side, among: int, other: Endpoint | None) -> Endpoint | None:
        """One that is fit and not the other; None after a few tries."""
        used = [a.endpoint for a in r.attempts]
        for _ in range(TRIES):
            e = side.one(self.rng, among)
            if e is other or e.down_until > now or e in used:
                continue
            if self.list.same_group(r, e) and self.cold.warm_enough(now, e):
                return e
        return None

    def keeper(self, now: float, r: Request, near: bool) -> Endpoint | None:
        """The endpoint that all balancers send a key to, so that it is warm there: one of the two drawn.

        The more of this balancer's latest requests bear the key, the more endpoints take turns: guards
        against a hot key that all send to one.
        """
        if not r.key or not self.settings.warm_keys:
            return None
        turn = int(self.rng.random() * self.recent.count(r.key))
        seed = zlib.crc32(f"{r.key} {turn}".encode())
        side = self.list.near if near else self.list.far
        e = (
            side.keeper(seed)
            if len(side.ready) > LOOK
            else max(side.ready, key=lambda e: (((e.hash ^ seed) * 0x9E3779B1 % 2**32) / 2**32) ** (1.0 / e.size))
        )
        used = any(a.endpoint is e for a in r.attempts)
        fit = not used and e.down_until <= now and self.list.same_group(r, e) and self.cold.warm_enough(now, e)
        return e if fit else None

    def sides(self, now: float, r: Request) -> list[Side]:
        """What to draw from: the home zone, or the others where it is full or they are better by more than
        the crossing."""
        only = self.returns.only(self.settings.zone, self.rng)
        if only != "either" and self.list.near.ready and self.list.far.ready:
            return [self.list.near if only == "home" else self.list.far]
        sides = [self.list.near]
        if not self.list.near.ready or FULL_GAIN * self.crossing.weighs(now, r) >= self.settings.prices.cross_zone:
            sides.append(self.list.far)
            if self.list.far.ready and self.crossing.spills(now, r):
                sides.reverse()
        return sides

    def used_again(self, now: float, r: Request) -> list[Endpoint]:
        """Where a retry may go back to: a fleet may be smaller than the attempts allowed."""
        if r.live:
            return []
        used = [a.endpoint for a in r.attempts]
        return [
            e
            for e in used
            if e.phase == "ready"
            and self.list.side(e).room()
            and self.cold.warm_enough(now, e)
            and self.list.same_group(r, e)
        ]

    def fit(self, now: float, r: Request, side: list[Endpoint]) -> list[Endpoint]:
        """The first of this balancer's own order that are unused by the request, not down, not cold and full.

        Guards against hundreds of balancers that each connect to the whole fleet and learn little of each
        endpoint. Those that drop out are made up for by the next in order; with more in flight it grows.
        """
        used = [a.endpoint for a in r.attempts]
        enough = self.list.enough()
        up: list[Endpoint] = []
        down: list[Endpoint] = []
        for e in side:
            if e in used or not self.list.same_group(r, e) or not self.cold.warm_enough(now, e):
                continue
            if e.down_until > now:
                down.append(e)
            else:
                up.append(e)
                if len(up) >= enough:
                    break
        # Where most of the fleet looks down the fault is as likely on this side: everything is tried.
        return up if len(up) >= len(down) else up + down

    def standing(self, now: float, e: Endpoint) -> float:
        """Payoff over (1 + own in-flight). The payoff: share of good answers over relative latency."""
        payoff = e.good.mean(now, 1.0, PRIOR) / e.latency.mean(now, 1.0, PRIOR)
        silence = e.silence(now)
        if silence > 0.0:
            # A server that swallows requests looks idle: its silence counts before any attempt times out.
            over = silence / (PATIENCE * max(k.mean for k in self.classes))
            if over > 1.0:
                payoff /= over * over
        return payoff / (1 + e.inflight)

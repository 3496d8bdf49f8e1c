"""The ready endpoints of the home zone, or of the others, and how much each side can carry."""

from __future__ import annotations

import bisect
import itertools
import random

from ..fleet.ranked import cut, rank_of
from ..fleet.ring import Ring
from ..fleet.timed import Timed
from ..fleet.window import Window
from .endpoints import Endpoint

FORGIVEN = 0.5  # of a window: as many overdue attempts at the most leave their place in it to others


class Side:
    """The ready endpoints of the home zone, or of the others: each can carry so much.

    Guards against a home zone that is full, and requests that wait for it, while others have room: what one
    zone answers tells nothing of what the others could.
    """

    __slots__ = (
        "cold",
        "down",
        "inflight",
        "overdue",
        "ready",
        "ring",
        "sums",
        "up",
        "window",
    )

    def __init__(self) -> None:
        self.ready: list[Endpoint] = []  # in this balancer's own random order
        self.sums: list[float] = []  # of their sizes, one after another; empty: not made yet
        self.down, self.cold = Timed[Endpoint](), Timed[Endpoint]()  # of these, those taken to be down, or cold
        self.up: list[Endpoint] = []  # the others than those down, in no order
        self.ring: Ring[Endpoint] | None = None  # of all, where keys have keepers; None: not made yet
        self.inflight = 0
        self.overdue = 0  # of these, where attempts are being swallowed
        self.window = Window()

    def take(self, now: float, ready: list[Endpoint], cold_for: float) -> None:
        """Take another list. Costs its length; draws between two lists don't."""
        self.ready, self.sums, self.ring, self.up = ready, [], None, []
        self.down, self.cold = Timed[Endpoint](), Timed[Endpoint]()
        for e in ready:
            self.enter(now, e, cold_for)

    def insert(self, now: float, e: Endpoint, cold_for: float) -> None:
        bisect.insort(self.ready, e, key=rank_of)
        self.sums = []
        if self.ring is not None:
            self.ring.insert(e.mark, e.size, e)
        self.enter(now, e, cold_for)

    def enter(self, now: float, e: Endpoint, cold_for: float) -> None:
        e.up_at = len(self.up)
        self.up.append(e)
        if e.down_until > now:
            self.fell(now, e)
        if e.started_at + cold_for > now:
            self.cold.add(e.started_at + cold_for, e.rank, e)

    def remove(self, e: Endpoint) -> None:
        cut(self.ready, e)
        self.sums = []
        if self.ring is not None:
            self.ring.remove(e.mark, e)
        self.down.members.discard(e)
        self.cold.members.discard(e)
        self.leave_up(e)

    def leave_up(self, e: Endpoint) -> None:
        """Out of those that are up: the last one takes its place."""
        if e.up_at >= 0:
            last = self.up.pop()
            if last is not e:
                self.up[e.up_at] = last
                last.up_at = e.up_at
            e.up_at = -1

    def one(self, rng: random.Random, among: int) -> Endpoint:
        """Any one of so many first ones, by size. The running sums are made once after each change of the list."""
        if not self.sums:
            self.sums = list(itertools.accumulate(e.size for e in self.ready))
        return self.ready[bisect.bisect(self.sums, rng.random() * self.sums[among - 1], 0, among - 1)]

    def fell(self, now: float, e: Endpoint) -> None:
        """An endpoint is taken to be down."""
        self.revive(now)
        self.down.add(e.down_until, e.rank, e)
        self.leave_up(e)

    def rise(self, e: Endpoint) -> None:
        """It has answered, or it has been left alone for long enough."""
        if e in self.down.members:
            self.down.members.discard(e)
            e.up_at = len(self.up)
            self.up.append(e)

    def mostly_down(self, now: float) -> bool:
        self.revive(now)
        return 2 * len(self.down.members) > len(self.ready)

    def revive(self, now: float) -> None:
        """Those whose time has passed count as up again."""
        for e in self.down.over(now):
            if e.down_until <= now:
                self.rise(e)

    def warm(self, now: float) -> int:
        """How many are not cold."""
        for e in self.cold.over(now):
            self.cold.members.discard(e)
        return len(self.ready) - len(self.cold.members)

    def keeper(self, seed: int) -> Endpoint:
        if self.ring is None:
            self.ring = Ring((e.mark, e.size, e) for e in self.ready)
        return self.ring.keeper(seed)

    def room(self) -> bool:
        """Whether one more may go out."""
        forgiven = min(self.overdue, FORGIVEN * self.window.size)
        return bool(self.ready) and self.inflight - forgiven < self.window.size

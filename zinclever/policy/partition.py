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

MAX_STALLED_SHARE = 0.5  # of a window: as many overdue attempts at the most leave their place in it to others


class ZonePartition:
    """The ready endpoints of the home zone, or of the others: each can carry so much.

    Guards against a home zone that is full, and requests that wait for it, while others have room: what one
    zone answers tells nothing of what the others could.
    """

    __slots__ = (
        "cold",
        "cumulative_sizes",
        "down",
        "inflight",
        "ready",
        "ring",
        "stalled",
        "up",
        "window",
    )

    def __init__(self) -> None:
        self.ready: list[Endpoint] = []  # in this balancer's own random order
        self.cumulative_sizes: list[float] = []  # of their sizes, one after another; empty: not made yet
        self.down, self.cold = Timed[Endpoint](), Timed[Endpoint]()  # of these, those taken to be down, or cold
        self.up: list[Endpoint] = []  # the others than those down, in no order
        self.ring: Ring[Endpoint] | None = None  # of all, where keys have keepers; None: not made yet
        self.inflight = 0
        self.stalled = 0  # of these, where attempts are being swallowed
        self.window = Window()

    def replace_all(self, now: float, ready: list[Endpoint], cold_for: float) -> None:
        """Take another list. Costs its length; draws between two lists don't."""
        self.ready, self.cumulative_sizes, self.ring, self.up = ready, [], None, []
        self.down, self.cold = Timed[Endpoint](), Timed[Endpoint]()
        for e in ready:
            self.index(now, e, cold_for)

    def insert(self, now: float, e: Endpoint, cold_for: float) -> None:
        """Add an endpoint."""
        bisect.insort(self.ready, e, key=rank_of)
        self.cumulative_sizes = []
        if self.ring is not None:
            self.ring.insert(e.ring_position, e.size, e)
        self.index(now, e, cold_for)

    def index(self, now: float, e: Endpoint, cold_for: float) -> None:
        """Sort an endpoint in among those that are up, down or cold."""
        e.up_index = len(self.up)
        self.up.append(e)
        if e.down_until > now:
            self.mark_down(now, e)
        if e.started_at + cold_for > now:
            self.cold.add(e.started_at + cold_for, e.rank, e)

    def remove(self, e: Endpoint) -> None:
        """Remove an endpoint."""
        cut(self.ready, e)
        self.cumulative_sizes = []
        if self.ring is not None:
            self.ring.remove(e.ring_position, e)
        self.down.members.discard(e)
        self.cold.members.discard(e)
        self.leave_up(e)

    def leave_up(self, e: Endpoint) -> None:
        """Out of those that are up: the last one takes its place."""
        if e.up_index >= 0:
            last = self.up.pop()
            if last is not e:
                self.up[e.up_index] = last
                last.up_index = e.up_index
            e.up_index = -1

    def draw_by_size(self, rng: random.Random, among: int) -> Endpoint:
        """Any one of so many first ones, by size. The running sums are made once after each change of the list."""
        if not self.cumulative_sizes:
            self.cumulative_sizes = list(itertools.accumulate(e.size for e in self.ready))
        return self.ready[
            bisect.bisect(self.cumulative_sizes, rng.random() * self.cumulative_sizes[among - 1], 0, among - 1)
        ]

    def mark_down(self, now: float, e: Endpoint) -> None:
        """An endpoint is taken to be down."""
        self.expire_down(now)
        self.down.add(e.down_until, e.rank, e)
        self.leave_up(e)

    def mark_up(self, e: Endpoint) -> None:
        """It has answered, or it has been left alone for long enough."""
        if e in self.down.members:
            self.down.members.discard(e)
            e.up_index = len(self.up)
            self.up.append(e)

    def is_mostly_down(self, now: float) -> bool:
        """Whether more than half of the endpoints are down."""
        self.expire_down(now)
        return 2 * len(self.down.members) > len(self.ready)

    def expire_down(self, now: float) -> None:
        """Those whose time has passed count as up again."""
        for e in self.down.over(now):
            if e.down_until <= now:
                self.mark_up(e)

    def warm_count(self, now: float) -> int:
        """How many are not cold."""
        for e in self.cold.over(now):
            self.cold.members.discard(e)
        return len(self.ready) - len(self.cold.members)

    def key_owner(self, seed: int) -> Endpoint:
        """The endpoint that owns a key, by consistent hashing."""
        if self.ring is None:
            self.ring = Ring((e.ring_position, e.size, e) for e in self.ready)
        return self.ring.keeper(seed)

    def has_capacity(self) -> bool:
        """Whether one more may go out."""
        forgiven = min(self.stalled, MAX_STALLED_SHARE * self.window.size)
        return bool(self.ready) and self.inflight - forgiven < self.window.size

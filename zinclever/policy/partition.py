"""The ready endpoints of the home zone or of the other zones, with an in-flight window of their own."""

from __future__ import annotations

import bisect
import itertools
import random

from ..fleet.expiring_set import ExpiringSet
from ..fleet.ranked import rank_of, remove_ranked
from ..fleet.ring import Ring
from ..fleet.window import InflightWindow
from .endpoints import Endpoint

MAX_STALLED_SHARE = 0.5  # of a window: overdue attempts up to this share no longer count against it


class ZonePartition:
    """The ready endpoints of the home zone, or of all other zones.

    Each partition has its own in-flight window, so that requests don't wait for a full home zone while others have
    capacity: the answers of one zone say nothing about the capacity of another.
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
        self.ready: list[Endpoint] = []  # in this balancer's random order
        self.cumulative_sizes: list[float] = []  # running sums of the sizes; empty: not computed yet
        self.down, self.cold = ExpiringSet[Endpoint](), ExpiringSet[Endpoint]()
        self.up: list[Endpoint] = []  # ready endpoints that are not down, in no order
        self.ring: Ring[Endpoint] | None = None  # consistent hashing of keys; None: not built yet
        self.inflight = 0
        self.stalled = 0  # overdue attempts among those in flight
        self.window = InflightWindow()

    def replace_all(self, now: float, ready: list[Endpoint], cold_for: float) -> None:
        """Replace the list. The cost grows with the length of the list; the cost of a draw does not."""
        self.ready, self.cumulative_sizes, self.ring, self.up = ready, [], None, []
        self.down, self.cold = ExpiringSet[Endpoint](), ExpiringSet[Endpoint]()
        for endpoint in ready:
            self.index(now, endpoint, cold_for)

    def insert(self, now: float, endpoint: Endpoint, cold_for: float) -> None:
        """Add an endpoint."""
        bisect.insort(self.ready, endpoint, key=rank_of)
        self.cumulative_sizes = []
        if self.ring is not None:
            self.ring.insert(endpoint.ring_position, endpoint.size, endpoint)
        self.index(now, endpoint, cold_for)

    def index(self, now: float, endpoint: Endpoint, cold_for: float) -> None:
        """Add an endpoint to those that are up, down or cold."""
        endpoint.up_index = len(self.up)
        self.up.append(endpoint)
        if endpoint.down_until > now:
            self.mark_down(now, endpoint)
        if endpoint.started_at + cold_for > now:
            self.cold.add(endpoint.started_at + cold_for, endpoint.rank, endpoint)

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint."""
        remove_ranked(self.ready, endpoint)
        self.cumulative_sizes = []
        if self.ring is not None:
            self.ring.remove(endpoint.ring_position, endpoint)
        self.down.members.discard(endpoint)
        self.cold.members.discard(endpoint)
        self.remove_from_up(endpoint)

    def remove_from_up(self, endpoint: Endpoint) -> None:
        """Remove an endpoint from those that are up, by moving the last one into its place."""
        if endpoint.up_index >= 0:
            last = self.up.pop()
            if last is not endpoint:
                self.up[endpoint.up_index] = last
                last.up_index = endpoint.up_index
            endpoint.up_index = -1

    def sample_by_size(self, rng: random.Random, count: int) -> Endpoint:
        """Draw one of the first ``count`` endpoints, weighted by size. The sums are computed once after each change."""
        if not self.cumulative_sizes:
            self.cumulative_sizes = list(itertools.accumulate(endpoint.size for endpoint in self.ready))
        return self.ready[
            bisect.bisect(self.cumulative_sizes, rng.random() * self.cumulative_sizes[count - 1], 0, count - 1)
        ]

    def mark_down(self, now: float, endpoint: Endpoint) -> None:
        """Mark an endpoint as down until its ``down_until``."""
        self.expire_down(now)
        self.down.add(endpoint.down_until, endpoint.rank, endpoint)
        self.remove_from_up(endpoint)

    def mark_up(self, endpoint: Endpoint) -> None:
        """Mark an endpoint as up: it has answered, or its time as down has passed."""
        if endpoint in self.down.members:
            self.down.members.discard(endpoint)
            endpoint.up_index = len(self.up)
            self.up.append(endpoint)

    def is_mostly_down(self, now: float) -> bool:
        """Return whether more than half of the endpoints are down."""
        self.expire_down(now)
        return 2 * len(self.down.members) > len(self.ready)

    def expire_down(self, now: float) -> None:
        """Mark the endpoints as up whose time as down has passed."""
        for endpoint in self.down.pop_due(now):
            if endpoint.down_until <= now:
                self.mark_up(endpoint)

    def warm_count(self, now: float) -> int:
        """Return the number of endpoints that are not cold."""
        for endpoint in self.cold.pop_due(now):
            self.cold.members.discard(endpoint)
        return len(self.ready) - len(self.cold.members)

    def key_owner(self, seed: int) -> Endpoint:
        """Return the endpoint that owns a key, by consistent hashing."""
        if self.ring is None:
            self.ring = Ring((endpoint.ring_position, endpoint.size, endpoint) for endpoint in self.ready)
        return self.ring.owner_of(seed)

    def has_capacity(self) -> bool:
        """Return whether the window has capacity for one more attempt."""
        discounted = min(self.stalled, MAX_STALLED_SHARE * self.window.size)
        return bool(self.ready) and self.inflight - discounted < self.window.size

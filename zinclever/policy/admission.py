"""Admission: windows, what is shed, and who waits when the fleet is full."""

from __future__ import annotations

import heapq
import random
from collections import deque

from .. import interface
from ..fleet.smooth import DECAY_TIME, DecayingMean
from .endpoint_list import EndpointList
from .partition import ZonePartition
from .requests import ClassState, Request, TenantState
from .slow_start import HELD_CHECK_INTERVAL
from .zone_crossing import ZoneCrossing

MIN_FAR_WINDOW = 1.0  # in flight to the other zones at least: with many balancers each, it adds up there
LATEST_START = 1.5  # mean latencies before its aim by which a held request has to start


class Admission:
    """Which requests may go out, which are held, and how much each side is sent at once."""

    def __init__(
        self,
        settings: interface.Settings,
        classes: list[ClassState],
        tenants: list[TenantState],
        endpoint_list: EndpointList,
        zone_crossing: ZoneCrossing,
        rng: random.Random,
    ) -> None:
        self.settings, self.classes, self.tenants, self.rng = settings, classes, tenants, rng
        self.endpoint_list, self.zone_crossing = endpoint_list, zone_crossing
        self.quota = sum((t.quota for t in tenants), 0.0)
        self.usage = DecayingMean(DECAY_TIME)
        self.held_count = 0
        self.hold_deadlines: list[tuple[float, int, Request]] = []  # held requests by when waiting stops to help
        self.sequence = 0

    def has_room(self) -> bool:
        """Whether one more may go out somewhere."""
        return self.endpoint_list.near.has_room() or self.endpoint_list.far.has_room()

    def is_crowded(self) -> bool:
        """Whether requests are held, or no window has room."""
        return self.held_count > 0 or not self.has_room()

    def admits(self, now: float, r: Request) -> bool:
        """Whether a request may go out: there is room, and its worth ranks above what is to be shed."""
        return self.has_room() and r.value_rank >= self.zone_crossing.shed_share(now)

    def value_rate(self, k: ClassState) -> float:
        """The worth of a class's request by the time that it occupies, or by its work where that is what counts."""
        return k.settings.value / (1.0 if self.settings.value_by == "work" else k.mean_latency)

    def value_rank(self, now: float, r: Request) -> float:
        """Where a request's worth ranks in the demand, from 0 to 1; at random within its class."""
        even_usage = 1.2 * self.usage.rate(now) / self.quota
        share_factor = self.settings.over_share_worth if r.tenant.usage.rate(now) / r.tenant.quota > even_usage else 1.0
        value_rate = share_factor * self.value_rate(r.klass)
        lower = same_class = total = 1e-9
        for k in self.classes:
            demand = k.demand.rate(now)
            total += demand
            if k is r.klass:
                same_class = demand * share_factor
            elif self.value_rate(k) < value_rate:
                lower += demand
        return (lower + same_class * self.rng.random()) / total

    def adapt_window(self, now: float, partition: ZonePartition) -> None:
        """Adapt a partition's window to the answers of late."""
        min_size = 2.0 if partition is self.endpoint_list.near else MIN_FAR_WINDOW
        partition.window.update(now, self.held_count > 0, len(partition.ready), self.endpoint_list.sharing, min_size)

    def start(self) -> None:
        """There is a list."""
        for partition in (self.endpoint_list.near, self.endpoint_list.far):
            partition.window.start(len(partition.ready), self.endpoint_list.sharing)

    def hold(self, r: Request) -> None:
        """Keep a request until there is room, or until it could no longer be served in time."""
        r.is_held = True
        self.held_count += 1
        self.sequence += 1
        r.tenant.queues[self.classes.index(r.klass)].append(r)
        heapq.heappush(self.hold_deadlines, (r.target_at - LATEST_START * r.klass.mean_latency, self.sequence, r))

    def release(self, r: Request) -> None:
        """A request is held no more."""
        r.is_held = False
        self.held_count -= 1

    def expire_held(self, now: float) -> list[Request]:
        """Held requests that can no longer be served in time: they are held no more."""
        ended: list[Request] = []
        while self.hold_deadlines and (self.hold_deadlines[0][0] <= now or not self.hold_deadlines[0][2].is_held):
            r = heapq.heappop(self.hold_deadlines)[2]
            if r.is_held:
                self.release(r)
                ended.append(r)
        return ended

    def held_queues(self, now: float) -> list[deque[Request]]:
        """The queues of held requests, what is worth most first; the newest of each is at its end."""
        even_usage = 1.2 * self.usage.rate(now) / self.quota
        order: list[tuple[float, float, deque[Request]]] = []
        for t in self.tenants:
            usage = t.usage.rate(now) / t.quota
            for k, queue in zip(self.classes, t.queues, strict=True):
                while queue and not queue[0].is_held:
                    queue.popleft()
                while queue and not queue[-1].is_held:
                    queue.pop()
                if queue:
                    share_factor = self.settings.over_share_worth if usage > even_usage else 1.0
                    order.append((-share_factor * self.value_rate(k), usage, queue))
        order.sort(key=lambda x: x[:2])
        return [queue for _, _, queue in order]

    def next_due(self, now: float) -> float:
        """When held requests are to be looked at again."""
        return min(now + HELD_CHECK_INTERVAL, max(now, self.hold_deadlines[0][0]))

    def on_sent(self, now: float, r: Request) -> None:
        """The first attempt of a request goes out."""
        r.tenant.usage.add(now, 0.0)
        self.usage.add(now, 0.0)

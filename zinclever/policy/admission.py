"""Admission: windows, what is shed, and who waits when the fleet is full."""

from __future__ import annotations

import heapq
import random
from collections import deque

from .. import interface
from ..fleet.smooth import MEMORY, Smooth
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
        members: EndpointList,
        crossing: ZoneCrossing,
        rng: random.Random,
    ) -> None:
        self.settings, self.classes, self.tenants, self.rng = settings, classes, tenants, rng
        self.endpoint_list, self.zone_crossing = members, crossing
        self.quota = sum((t.quota for t in tenants), 0.0)
        self.used = Smooth(MEMORY)
        self.held_count = 0
        self.hold_deadlines: list[tuple[float, int, Request]] = []  # held requests by when waiting stops to help
        self.sequence = 0

    def has_capacity(self) -> bool:
        """Whether one more may go out somewhere."""
        return self.endpoint_list.near.has_capacity() or self.endpoint_list.far.has_capacity()

    def is_saturated(self) -> bool:
        """Whether requests are held, or no window has room."""
        return self.held_count > 0 or not self.has_capacity()

    def admits(self, now: float, r: Request) -> bool:
        """Whether a request may go out: there is room, and its worth ranks above what is to be shed."""
        return self.has_capacity() and r.worth_rank >= self.zone_crossing.shed_share(now)

    def worth(self, k: ClassState) -> float:
        """The worth of a class's request by the time that it occupies, or by its work where that is what counts."""
        return k.settings.value / (1.0 if self.settings.value_by == "work" else k.mean_latency)

    def worth_rank(self, now: float, r: Request) -> float:
        """Where a request's worth ranks in the demand, from 0 to 1; at random within its class."""
        level = 1.2 * self.used.rate(now) / self.quota
        over = self.settings.over_share_worth if r.tenant.used.rate(now) / r.tenant.quota > level else 1.0
        worth = over * self.worth(r.klass)
        below = own = whole = 1e-9
        for k in self.classes:
            part = k.demand.rate(now)
            whole += part
            if k is r.klass:
                own = part * over
            elif self.worth(k) < worth:
                below += part
        return (below + own * self.rng.random()) / whole

    def adapt_window(self, now: float, side: ZonePartition) -> None:
        """Adapt a partition's window to the answers of late."""
        own = 2.0 if side is self.endpoint_list.near else MIN_FAR_WINDOW
        side.window.steer(now, self.held_count > 0, len(side.ready), self.endpoint_list.balancers_per_endpoint, own)

    def start(self) -> None:
        """There is a list."""
        for side in (self.endpoint_list.near, self.endpoint_list.far):
            side.window.start(len(side.ready), self.endpoint_list.balancers_per_endpoint)

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
        level = 1.2 * self.used.rate(now) / self.quota
        order: list[tuple[float, float, deque[Request]]] = []
        for t in self.tenants:
            use = t.used.rate(now) / t.quota
            for k, queue in zip(self.classes, t.queues, strict=True):
                while queue and not queue[0].is_held:
                    queue.popleft()
                while queue and not queue[-1].is_held:
                    queue.pop()
                if queue:
                    over = self.settings.over_share_worth if use > level else 1.0
                    order.append((-over * self.worth(k), use, queue))
        order.sort(key=lambda x: x[:2])
        return [queue for _, _, queue in order]

    def next_due(self, now: float) -> float:
        """When held requests are to be looked at again."""
        return min(now + HELD_CHECK_INTERVAL, max(now, self.hold_deadlines[0][0]))

    def on_sent(self, now: float, r: Request) -> None:
        """The first attempt of a request goes out."""
        r.tenant.used.add(now, 0.0)
        self.used.add(now, 0.0)

"""Admission control: which requests are sent, held or shed while the fleet is at capacity."""

from __future__ import annotations

import heapq
import random
from collections import deque

from .. import interface
from ..fleet.decaying_mean import DECAY_TIME, DecayingMean
from .endpoint_list import EndpointList
from .partition import ZonePartition
from .requests import ClassState, Request, TenantState
from .slow_start import HELD_CHECK_INTERVAL
from .zone_crossing import ZoneCrossing

MIN_FAR_WINDOW = 1.0  # part of the window for other zones that is always added; small, as those of all balancers add up
LATEST_START = 1.5  # mean latencies before its target by which a held request has to be sent


class Admission:
    """Decides which requests are sent and which are held, and adapts the in-flight windows.

    A request is sent if a window has capacity and the request's value ranks above the share of the demand that is shed.
    All others are held until there is capacity or until they can no longer be answered in time.
    """

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
        self.quota = sum((tenant.quota for tenant in tenants), 0.0)
        self.usage = DecayingMean(DECAY_TIME)
        self.held_count = 0
        self.hold_deadlines: list[tuple[float, int, Request]] = []  # heap by the latest instant for a send
        self.sequence = 0

    def has_capacity(self) -> bool:
        """Return whether a window has capacity for one more request."""
        return self.endpoint_list.near.has_capacity() or self.endpoint_list.far.has_capacity()

    def is_saturated(self) -> bool:
        """Return whether requests are held or no window has capacity."""
        return self.held_count > 0 or not self.has_capacity()

    def admits(self, now: float, request: Request) -> bool:
        """Return whether a request may be sent: there is capacity, and its value ranks above the share that is shed."""
        return self.has_capacity() and request.value_rank >= self.zone_crossing.shed_share(now)

    def value_rate(self, klass: ClassState) -> float:
        """Return the value of a class's requests per time in flight, or per work if ``value_by`` is ``work``."""
        return klass.settings.value / (1.0 if self.settings.value_by == "work" else klass.mean_latency)

    def value_rank(self, now: float, request: Request) -> float:
        """Return the rank of a request's value in the current demand, from 0 to 1, at random within its class."""
        even_usage = 1.2 * self.usage.rate(now) / self.quota
        quota_weight = (
            self.settings.over_share_worth
            if request.tenant.usage.rate(now) / request.tenant.quota > even_usage
            else 1.0
        )
        value_rate = quota_weight * self.value_rate(request.klass)
        lower = same_class = total = 1e-9
        for klass in self.classes:
            demand = klass.demand.rate(now)
            total += demand
            if klass is request.klass:
                same_class = demand * quota_weight
            elif self.value_rate(klass) < value_rate:
                lower += demand
        return (lower + same_class * self.rng.random()) / total

    def adapt_window(self, now: float, partition: ZonePartition) -> None:
        """Adapt a partition's in-flight window to recent answers."""
        min_size = 2.0 if partition is self.endpoint_list.near else MIN_FAR_WINDOW
        partition.window.update(
            now, self.held_count > 0, len(partition.ready), self.endpoint_list.balancers_per_endpoint, min_size
        )

    def start(self) -> None:
        """Set the initial windows once there is an endpoint list."""
        for partition in (self.endpoint_list.near, self.endpoint_list.far):
            partition.window.start(len(partition.ready), self.endpoint_list.balancers_per_endpoint)

    def hold(self, request: Request) -> None:
        """Hold a request until there is capacity, or until it could no longer be answered in time."""
        request.is_held = True
        self.held_count += 1
        self.sequence += 1
        request.tenant.queues[self.classes.index(request.klass)].append(request)
        heapq.heappush(
            self.hold_deadlines, (request.target_at - LATEST_START * request.klass.mean_latency, self.sequence, request)
        )

    def release(self, request: Request) -> None:
        """Stop holding a request."""
        request.is_held = False
        self.held_count -= 1

    def expire_held(self, now: float) -> list[Request]:
        """Release the held requests that can no longer be answered in time, and return them."""
        ended: list[Request] = []
        while self.hold_deadlines and (self.hold_deadlines[0][0] <= now or not self.hold_deadlines[0][2].is_held):
            request = heapq.heappop(self.hold_deadlines)[2]
            if request.is_held:
                self.release(request)
                ended.append(request)
        return ended

    def held_queues(self, now: float) -> list[deque[Request]]:
        """Return the queues of held requests, the most valuable ones first; in each the newest request is last."""
        even_usage = 1.2 * self.usage.rate(now) / self.quota
        order: list[tuple[float, float, deque[Request]]] = []
        for tenant in self.tenants:
            usage = tenant.usage.rate(now) / tenant.quota
            for klass, queue in zip(self.classes, tenant.queues, strict=True):
                while queue and not queue[0].is_held:
                    queue.popleft()
                while queue and not queue[-1].is_held:
                    queue.pop()
                if queue:
                    quota_weight = self.settings.over_share_worth if usage > even_usage else 1.0
                    order.append((-quota_weight * self.value_rate(klass), usage, queue))
        order.sort(key=lambda x: x[:2])
        return [queue for _, _, queue in order]

    def next_due(self, now: float) -> float:
        """Return the instant at which held requests have to be checked again."""
        return min(now + HELD_CHECK_INTERVAL, max(now, self.hold_deadlines[0][0]))

    def on_sent(self, now: float, request: Request) -> None:
        """Count the first attempt of a request towards its tenant's usage."""
        request.tenant.usage.add(now, 0.0)
        self.usage.add(now, 0.0)

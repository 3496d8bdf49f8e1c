"""Admission: windows, what is shed, and who waits when the fleet is full."""

from __future__ import annotations

import heapq
import random
from collections import deque

from .. import interface as i
from ..fleet.smooth import MEMORY, Smooth
from .cold import HOLD_STEP
from .crossing import Crossing
from .membership import Membership
from .requests import Klass, Request, Share
from .sides import Side

FAR_OWN = 1.0  # in flight to the other zones at least: with many balancers each, it adds up there
START_BY = 1.5  # mean latencies before its aim by which a held request has to start


class Admission:
    """Which requests may go out, which are held, and how much each side is sent at once."""

    def __init__(
        self,
        settings: i.Settings,
        classes: list[Klass],
        tenants: list[Share],
        members: Membership,
        crossing: Crossing,
        rng: random.Random,
    ) -> None:
        self.settings, self.classes, self.tenants, self.rng = settings, classes, tenants, rng
        self.list, self.crossing = members, crossing
        self.quota = sum((t.quota for t in tenants), 0.0)
        self.used = Smooth(MEMORY)
        self.held = 0
        self.patience: list[tuple[float, int, Request]] = []  # held requests by when waiting stops to help
        self.count = 0

    def room(self) -> bool:
        """Whether one more may go out somewhere."""
        return self.list.near.room() or self.list.far.room()

    def crowded(self) -> bool:
        return self.held > 0 or not self.room()

    def admits(self, now: float, r: Request) -> bool:
        """Whether a request may go out: there is room, and its worth ranks above what is to be shed."""
        return self.room() and r.place >= self.crossing.shed(now)

    def worth(self, k: Klass) -> float:
        return k.told.value / (1.0 if self.settings.value_by == "work" else k.mean)

    def place(self, now: float, r: Request) -> float:
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

    def steer(self, now: float, side: Side) -> None:
        own = 2.0 if side is self.list.near else FAR_OWN
        side.window.steer(now, self.held > 0, len(side.ready), self.list.sharing, own)

    def start(self) -> None:
        """There is a list."""
        for side in (self.list.near, self.list.far):
            side.window.start(len(side.ready), self.list.sharing)

    def hold(self, r: Request) -> None:
        """Keep a request until there is room, or until it could no longer be served in time."""
        r.held = True
        self.held += 1
        self.count += 1
        r.tenant.queues[self.classes.index(r.klass)].append(r)
        heapq.heappush(self.patience, (r.aim_at - START_BY * r.klass.mean, self.count, r))

    def release(self, r: Request) -> None:
        r.held = False
        self.held -= 1

    def over(self, now: float) -> list[Request]:
        """Held requests that can no longer be served in time: they are held no more."""
        ended: list[Request] = []
        while self.patience and (self.patience[0][0] <= now or not self.patience[0][2].held):
            r = heapq.heappop(self.patience)[2]
            if r.held:
                self.release(r)
                ended.append(r)
        return ended

    def waiting(self, now: float) -> list[deque[Request]]:
        """The queues of held requests, what is worth most first; the newest of each is at its end."""
        level = 1.2 * self.used.rate(now) / self.quota
        order: list[tuple[float, float, deque[Request]]] = []
        for t in self.tenants:
            use = t.used.rate(now) / t.quota
            for k, queue in zip(self.classes, t.queues, strict=True):
                while queue and not queue[0].held:
                    queue.popleft()
                while queue and not queue[-1].held:
                    queue.pop()
                if queue:
                    over = self.settings.over_share_worth if use > level else 1.0
                    order.append((-over * self.worth(k), use, queue))
        order.sort(key=lambda x: x[:2])
        return [queue for _, _, queue in order]

    def due(self, now: float) -> float:
        """When held requests are to be looked at again."""
        return min(now + HOLD_STEP, max(now, self.patience[0][0]))

    def sent(self, now: float, r: Request) -> None:
        """The first attempt of a request goes out."""
        r.tenant.used.add(now, 0.0)
        self.used.add(now, 0.0)

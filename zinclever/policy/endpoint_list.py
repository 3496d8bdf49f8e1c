"""The list of endpoints as it was last told, in the order that draws need it in."""

from __future__ import annotations

import bisect
import random

from .. import interface
from ..fleet.limits import DiscoveryCallPacer
from ..fleet.ranked import cut, rank_of
from ..fleet.smooth import NEVER
from .endpoints import Endpoint
from .partition import ZonePartition
from .requests import Request

INITIAL_RETRY_DELAY = 300.0  # ms before discovery is asked again, doubled each time
MIN_POOL = 3.0  # unused endpoints to draw two from, where hundreds of balancers share them
MIN_SHARING = 10.0  # balancers to draw on each endpoint at least, so that their uneven loads even out
HOME_PREFERRED_PRICE = (
    0.05  # price of crossing zones from which on home is preferred; below, the wider draw is worth more
)
INCREMENTAL_SHARE = 0.1  # share of the list up to which changes are taken one by one


class EndpointList:
    """The list of endpoints as it was last told, by side and by cell; when discovery is asked."""

    def __init__(self, settings: interface.Settings, rng: random.Random, part: random.Random) -> None:
        self.settings, self.rules, self.rng = settings, settings.rules, rng
        self.endpoints: dict[str, Endpoint] = {}
        self.ready: list[Endpoint] = []
        self.leaving: set[Endpoint] = set()  # gone, and with attempts out
        self.by_cell = any(c.group == "cell" for c in settings.classes)
        self.cells: dict[int, list[Endpoint]] = {}  # those ready, where a class is bound to cells
        self.near, self.far = ZonePartition(), ZonePartition()  # far: those that are dear to cross to
        self.fetch_at = -NEVER if settings.discovery == "on_request" else NEVER
        self.refusals = 0
        self.balancers_per_endpoint = float(
            settings.group_size
        )  # balancers that share each endpoint: fewer than all, of a subset
        self.calls = DiscoveryCallPacer(
            settings.shares.list_calls_per_s, settings.group_size, self.rules.ask_within, part
        )

    def apply(self, now: float, news: interface.MembershipUpdate) -> bool:
        """Whether there is a list to go by: discovery may have refused."""
        if news.kind == "refused":
            self.refusals += 1
            pause = min(INITIAL_RETRY_DELAY * 2.0**self.refusals, self.rules.ask_within / 3)
            pause *= 0.5 + 0.5 * self.rng.random()
            self.fetch_at = now + (self.calls.retry_delay(self.refusals) if self.calls.span else pause)
            return False
        if news.kind != "remembered":
            self.refusals, self.fetch_at = 0, NEVER
        elif news.entries and self.fetch_at == -NEVER and self.calls.span:
            # Guards discovery against all that start at once: each begins with the list that it remembers.
            self.fetch_at = now + self.calls.start()
        if news.kind == "changes" and len(news.entries) < INCREMENTAL_SHARE * len(self.endpoints):
            for x in news.entries:
                self.apply_change(now, x)
        else:
            self.rebuild(now, news)
        self.leaving = {e for e in self.leaving if e.phase == "gone" and e.inflight}
        part = min(1.0, len(self.ready) / news.of) if news.of else 1.0
        self.balancers_per_endpoint = max(1.0, part * self.settings.group_size)
        return True

    def rebuild(self, now: float, news: interface.MembershipUpdate) -> None:
        """A whole list, or changes to much of it: everything is put in order anew."""
        if news.kind != "changes":
            present = {x.endpoint for x in news.entries}
            for name, e in self.endpoints.items():
                if name not in present:
                    e.phase = "gone"
        for x in news.entries:
            self.update_endpoint(now, x)
        self.endpoints = {n: e for n, e in self.endpoints.items() if e.phase != "gone" or e.inflight}
        self.leaving = {e for e in self.endpoints.values() if e.phase == "gone"}
        self.ready = [e for e in self.endpoints.values() if e.phase == "ready"]
        self.ready.sort(key=rank_of)
        for e in self.ready:
            e.is_near = self.is_near(e)
        self.near.replace_all(now, [e for e in self.ready if e.is_near], self.rules.cold_for)
        self.far.replace_all(now, [e for e in self.ready if not e.is_near], self.rules.cold_for)
        self.cells.clear()
        if self.by_cell:
            for e in self.ready:
                self.cells.setdefault(e.cell, []).append(e)

    def apply_change(self, now: float, x: interface.ListedEndpoint) -> None:
        """One endpoint's news, at a cost that doesn't grow with the list but for moving its tail."""
        known = self.endpoints.get(x.endpoint)
        if known is not None and known.phase == "ready":
            cut(self.ready, known)
            self.partition_of(known).remove(known)
            if self.by_cell:
                cut(self.cells[known.cell], known)
        e = self.update_endpoint(now, x)
        if e.phase == "ready":
            e.is_near = self.is_near(e)
            bisect.insort(self.ready, e, key=rank_of)
            self.partition_of(e).insert(now, e, self.rules.cold_for)
            if self.by_cell:
                bisect.insort(self.cells.setdefault(e.cell, []), e, key=rank_of)
        elif e.phase == "gone":
            self.leaving.add(e)
        for left in [e for e in self.leaving if e.phase == "gone" and not e.inflight]:
            self.leaving.discard(left)
            self.endpoints.pop(left.name, None)

    def update_endpoint(self, now: float, x: interface.ListedEndpoint) -> Endpoint:
        """The endpoint of an entry, made or updated; a new start resets what was learnt of it."""
        known = self.endpoints.get(x.endpoint)
        if known is None:
            known = self.endpoints[x.endpoint] = Endpoint(x, now, self.rng)
        elif known.started_at != x.started_at:
            known.reset(x, now, self.rng)
        else:
            known.update(x)
        return known

    def is_near(self, e: Endpoint) -> bool:
        """Whether an endpoint is in the home zone, or crossing costs too little to matter."""
        return self.settings.prices.cross_zone < HOME_PREFERRED_PRICE or e.zone == self.settings.zone

    def on_fetched(self, now: float) -> None:
        """Discovery is being asked: it will be again if no answer comes within half the time that the rules give."""
        self.fetch_at = now + self.rules.ask_within / 2

    def partition_of(self, e: Endpoint) -> ZonePartition:
        """The partition of an endpoint."""
        return self.near if e.is_near else self.far

    def inflight(self) -> int:
        """Attempts, at all endpoints."""
        return self.near.inflight + self.far.inflight

    def pool_size(self) -> float:
        """How many unused endpoints to draw from: few, each shared with others, more with more in flight."""
        shared = MIN_SHARING * len(self.ready) / self.balancers_per_endpoint
        return max(MIN_POOL, shared) + self.inflight()

    def is_same_group(self, r: Request, e: Endpoint) -> bool:
        """Whether ``e`` discards a repeat of what may have run."""
        if r.first_possible_run is None or r.klass.idempotent or r.klass.settings.group == "all":
            return True
        home = r.first_possible_run.endpoint
        return e.zone == home.zone if r.klass.settings.group == "zone" else e.cell == home.cell

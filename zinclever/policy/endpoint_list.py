"""The endpoint list as last received, indexed for selection."""

from __future__ import annotations

import bisect
import random

from .. import interface
from ..fleet.decaying_mean import NEVER
from ..fleet.limits import DiscoveryCallPacer
from ..fleet.ranked import rank_of, remove_ranked
from .endpoints import Endpoint
from .partition import ZonePartition
from .requests import Request

INITIAL_RETRY_DELAY = 300.0  # ms: base of the delay until discovery is called again, doubled by each refusal
MIN_POOL = 3.0  # minimum size of the pool from which two endpoints are drawn, however many balancers share them
MIN_BALANCERS_PER_ENDPOINT = (
    10.0  # minimum number of balancers that use each endpoint, so that their uneven loads average out
)
HOME_PREFERRED_PRICE = 0.05  # price of crossing zones from which the home zone is preferred over a wider choice
INCREMENTAL_SHARE = 0.1  # share of the list below which changes are applied one by one


class EndpointList:
    """The endpoints as last received, partitioned by zone and by cell, and the schedule of discovery calls."""

    def __init__(self, settings: interface.Settings, rng: random.Random, limits_rng: random.Random) -> None:
        self.settings, self.rules, self.rng = settings, settings.rules, rng
        self.endpoints: dict[str, Endpoint] = {}
        self.ready: list[Endpoint] = []
        self.gone_in_flight: set[Endpoint] = set()  # removed from the list with attempts in flight
        self.by_cell = any(c.group == "cell" for c in settings.classes)
        self.cells: dict[int, list[Endpoint]] = {}  # ready endpoints by cell, kept only if a class is bound to cells
        self.near, self.far = ZonePartition(), ZonePartition()  # far: zones that are costly to cross to
        self.fetch_at = -NEVER if settings.discovery == "on_request" else NEVER
        self.refusals = 0
        self.balancers_per_endpoint = float(settings.group_size)  # fewer than all with a subset
        self.calls = DiscoveryCallPacer(
            settings.shares.list_calls_per_s, settings.group_size, self.rules.ask_within, limits_rng
        )

    def apply(self, now: float, update: interface.MembershipUpdate) -> bool:
        """Apply an update of the list. Returns False if discovery refused and there is nothing to apply."""
        if update.kind == "refused":
            self.refusals += 1
            pause = min(INITIAL_RETRY_DELAY * 2.0**self.refusals, self.rules.ask_within / 3)
            pause *= 0.5 + 0.5 * self.rng.random()
            self.fetch_at = now + (self.calls.retry_delay(self.refusals) if self.calls.span else pause)
            return False
        if update.kind != "remembered":
            self.refusals, self.fetch_at = 0, NEVER
        elif update.entries and self.fetch_at == -NEVER and self.calls.span:
            # Spreads the first calls of balancers that start at the same time, each with the list it remembers.
            self.fetch_at = now + self.calls.initial_delay()
        if update.kind == "changes" and len(update.entries) < INCREMENTAL_SHARE * len(self.endpoints):
            for entry in update.entries:
                self.apply_change(now, entry)
        else:
            self.rebuild(now, update)
        self.gone_in_flight = {
            endpoint for endpoint in self.gone_in_flight if endpoint.phase == "gone" and endpoint.inflight
        }
        known_share = min(1.0, len(self.ready) / update.total) if update.total else 1.0
        self.balancers_per_endpoint = max(1.0, known_share * self.settings.group_size)
        return True

    def rebuild(self, now: float, update: interface.MembershipUpdate) -> None:
        """Rebuild all indexes from a full list, or after changes to a large part of it."""
        if update.kind != "changes":
            present = {entry.endpoint for entry in update.entries}
            for name, endpoint in self.endpoints.items():
                if name not in present:
                    endpoint.phase = "gone"
        for entry in update.entries:
            self.update_endpoint(now, entry)
        self.endpoints = {
            n: endpoint for n, endpoint in self.endpoints.items() if endpoint.phase != "gone" or endpoint.inflight
        }
        self.gone_in_flight = {endpoint for endpoint in self.endpoints.values() if endpoint.phase == "gone"}
        self.ready = [endpoint for endpoint in self.endpoints.values() if endpoint.phase == "ready"]
        self.ready.sort(key=rank_of)
        for endpoint in self.ready:
            endpoint.is_near = self.is_near(endpoint)
        self.near.replace_all(now, [endpoint for endpoint in self.ready if endpoint.is_near], self.rules.cold_for)
        self.far.replace_all(now, [endpoint for endpoint in self.ready if not endpoint.is_near], self.rules.cold_for)
        self.cells.clear()
        if self.by_cell:
            for endpoint in self.ready:
                self.cells.setdefault(endpoint.cell, []).append(endpoint)

    def apply_change(self, now: float, entry: interface.ListedEndpoint) -> None:
        """Apply the change of one endpoint. Apart from shifting list items, the cost does not grow with the list."""
        known = self.endpoints.get(entry.endpoint)
        if known is not None and known.phase == "ready":
            remove_ranked(self.ready, known)
            self.partition_of(known).remove(known)
            if self.by_cell:
                remove_ranked(self.cells[known.cell], known)
        endpoint = self.update_endpoint(now, entry)
        if endpoint.phase == "ready":
            endpoint.is_near = self.is_near(endpoint)
            bisect.insort(self.ready, endpoint, key=rank_of)
            self.partition_of(endpoint).insert(now, endpoint, self.rules.cold_for)
            if self.by_cell:
                bisect.insort(self.cells.setdefault(endpoint.cell, []), endpoint, key=rank_of)
        elif endpoint.phase == "gone":
            self.gone_in_flight.add(endpoint)
        for finished in [
            endpoint for endpoint in self.gone_in_flight if endpoint.phase == "gone" and not endpoint.inflight
        ]:
            self.gone_in_flight.discard(finished)
            self.endpoints.pop(finished.name, None)

    def update_endpoint(self, now: float, entry: interface.ListedEndpoint) -> Endpoint:
        """Create or update the endpoint of an entry. A new start of the process discards what was learned about it."""
        known = self.endpoints.get(entry.endpoint)
        if known is None:
            known = self.endpoints[entry.endpoint] = Endpoint(entry, now, self.rng)
        elif known.started_at != entry.started_at:
            known.reset(entry, now, self.rng)
        else:
            known.update(entry)
        return known

    def is_near(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is in the home zone, or crossing zones costs too little to matter."""
        return self.settings.prices.cross_zone < HOME_PREFERRED_PRICE or endpoint.zone == self.settings.zone

    def on_fetched(self, now: float) -> None:
        """Schedule another call in case discovery does not answer within half of the allowed interval."""
        self.fetch_at = now + self.rules.ask_within / 2

    def partition_of(self, endpoint: Endpoint) -> ZonePartition:
        """Return the partition that an endpoint belongs to."""
        return self.near if endpoint.is_near else self.far

    def inflight(self) -> int:
        """Return the number of attempts in flight at all endpoints."""
        return self.near.inflight + self.far.inflight

    def pool_size(self) -> float:
        """Return the size of the pool to draw from: small if many balancers share it, larger with more in flight."""
        shared = MIN_BALANCERS_PER_ENDPOINT * len(self.ready) / self.balancers_per_endpoint
        return max(MIN_POOL, shared) + self.inflight()

    def is_same_group(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether ``endpoint`` would discard a repeat of the attempt that may have run."""
        if request.first_possible_run is None or request.klass.idempotent or request.klass.settings.group == "all":
            return True
        home = request.first_possible_run.endpoint
        return endpoint.zone == home.zone if request.klass.settings.group == "zone" else endpoint.cell == home.cell

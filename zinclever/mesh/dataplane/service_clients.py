"""The ways out, one for each service: a ledger with the sidecar's own decisions, fed with what the mesh knows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from ... import interface as i
from ...core.descriptors import Descriptors
from ...core.host import Host
from ...core.ledger import Ledger
from ...core.protocol import Address, Entry, OnList
from ...policy import Balancer
from ...policy.requests import Klass
from ..configuration.document import Route
from .admission import delegate_to_ingress
from .forwarding import Forwarder
from .retry_budget import RetryBudget

MAX_ATTEMPTS = 8  # attempts of a request that reach a keeper: those that reach an endpoint are the route's
CONNECT_TIMEOUT_MS = 400.0  # ms: of it a keeper that can't be reached is left alone a multiple
ZONE_CROSSING_PRICE = (
    0.3  # what leaving the zone weighs in the module: home is preferred unless it leaves far less of the aim
)
HEDGE_DELAY_SHARE = 0.55  # of the aim: above what is usual, and early enough that most copies still win in aim
LATE_WORTH = 0.3  # of its worth that an answer between aim and deadline is taken to have


class MeshEndpointSource:
    """The endpoints of one service as the mesh tells of them: a :class:`~zinclever.core.protocol.Source`."""

    def __init__(self, on_list: OnList) -> None:
        self.on_list = on_list
        self.entries: Sequence[Entry] = ()

    def start(self) -> None:
        self.on_list("whole", self.entries)

    def remembered(self) -> Sequence[Entry]:
        return self.entries

    def watch(self, on: bool) -> None:
        """News come by themselves."""

    def fetch(self) -> None:
        """There is nobody to ask."""

    def stop(self) -> None:
        """Nothing is held."""

    def set_endpoints(self, entries: Sequence[Entry]) -> None:
        """The list from now on."""
        if list(entries) != list(self.entries):
            self.entries = entries
            self.on_list("whole", entries)


class MeshLedger(Ledger):
    """A ledger whose balancers all leave admission to the keepers, also one that begins anew after a standstill."""

    def adopt(self, balancer: Balancer) -> None:
        prepare_balancer(balancer)
        super().adopt(balancer)


class ServiceClient:
    """The way to one service."""

    def __init__(
        self,
        service: str,
        zone: int,
        sidecars: int,
        wire: Forwarder,
        retry_budget: RetryBudget,
        descriptors: Descriptors,
        host: Host,
    ) -> None:
        self.service, self.forwarder, self.retry_budget = service, wire, retry_budget
        self.class_indexes: dict[tuple[bool, float, float, float], int] = {}
        self.classes: list[i.RequestClass] = [i.RequestClass(aim=1000.0, deadline=1000.0, name="none")]
        settings = i.Settings(
            classes=self.classes,
            limits=i.Limits(
                max_attempts=MAX_ATTEMPTS, cancel=True, second_copies=True, connect_timeout=CONNECT_TIMEOUT_MS
            ),
            zone=zone,
            group_size=max(1, sidecars),
            prices=i.Prices(cross_zone=ZONE_CROSSING_PRICE),
        )
        self.source: MeshEndpointSource | None = None
        balancer = Balancer(settings, host.random().getrandbits(64))
        prepare_balancer(balancer)
        self.ledger = MeshLedger(balancer, wire, self.make_source, descriptors, host)

    def make_source(self, on_list: OnList) -> MeshEndpointSource:
        self.source = MeshEndpointSource(on_list)
        return self.source

    def set_endpoints(self, entries: Sequence[Entry]) -> None:
        assert self.source is not None
        self.source.set_endpoints(entries)

    def class_index(self, route: Route, deadline: float) -> int:
        """The class of a route's requests: routes that ask for the same are one, so that what is learnt stays through
        changes of names and places."""
        kind = (route.safe, deadline, route.latency_target, route.priority)
        found = self.class_indexes.get(kind)
        if found is None:
            found = self.class_indexes[kind] = len(self.classes)
            told = i.RequestClass(
                aim=1000.0 * min(route.latency_target, deadline),
                deadline=1000.0 * deadline,
                repeat="idempotent" if route.safe else "at_most_once",
                late_worth=LATE_WORTH,
                name=f"{'safe' if route.safe else 'unsafe'} {route.latency_target:g}",
            )
            self.classes.append(told)
            add_class(self.ledger.balancer, told)
        return found


def prepare_balancer(balancer: Balancer) -> None:
    """Make a balancer that has served nothing yet one of the mesh."""
    delegate_to_ingress(balancer)
    for klass in balancer.classes:
        klass.delay = HEDGE_DELAY_SHARE * klass.told.aim


def add_class(balancer: Balancer, told: i.RequestClass) -> None:
    """One more class for a balancer that runs: what it has learnt stays."""
    if len(balancer.classes) < len(balancer.settings.classes):
        balancer.classes.append(Klass(told))
        balancer.classes[-1].delay = HEDGE_DELAY_SHARE * told.aim
        for tenant in balancer.tenants:
            tenant.queues.append(type(tenant.queues[0])())


class ServiceClients:
    """All ways out of this sidecar. Made when a service is first asked for or known of."""

    def __init__(self, make: Callable[[str], ServiceClient]) -> None:
        self.make = make
        self.clients: dict[str, ServiceClient] = {}
        self.loop = asyncio.get_running_loop()

    def to(self, service: str) -> ServiceClient:
        flight = self.clients.get(service)
        if flight is None:
            flight = self.clients[service] = self.make(service)
            flight.ledger.start()
        return flight

    def set_endpoints(self, service: str, entries: Sequence[tuple[i.Listed, Address]]) -> None:
        self.to(service).set_endpoints(entries)

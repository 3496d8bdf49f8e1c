"""The client side of each service: a ledger with the sidecar's own decisions, fed with what the mesh knows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from ... import interface
from ...core.descriptors import Descriptors
from ...core.dispatcher import Dispatcher
from ...core.host import Host
from ...core.protocol import Entry, OnList
from ...policy import Balancer
from ...policy.requests import ClassState
from ..configuration.document import Route
from .admission import delegate_to_ingress
from .forwarding import Forwarder
from .retry_budget import RetryBudget

MAX_ATTEMPTS = 8  # of a request that reach an ingress: those that reach an endpoint are the route's
CONNECT_TIMEOUT_MS = 400.0  # a multiple of it is how long a sidecar that can't be reached is left alone
ZONE_CROSSING_PRICE = 0.3  # of leaving the zone: it is preferred unless it leaves far less of the latency target
HEDGE_DELAY_SHARE = 0.55  # of the latency target: above what is usual, and early enough that most hedges meet it
LATE_WORTH = 0.3  # of its worth that an answer between latency target and deadline is taken to have
NO_ROUTE_MS = 1000.0  # of the class that stands for no route


class ClassKey(NamedTuple):
    """What the requests of a route ask for. Spans in s."""

    safe: bool
    deadline: float
    latency_target: float
    priority: float


class MeshEndpointSource:
    """The endpoints of one service as the mesh tells of them: a :class:`~zinclever.core.protocol.Source`."""

    def __init__(self, on_list: OnList) -> None:
        self.on_list = on_list
        self.entries: Sequence[Entry] = ()

    def start(self) -> None:
        """Report the endpoints that are known."""
        self.on_list("whole", self.entries)

    def remembered(self) -> Sequence[Entry]:
        """The endpoints that are known."""
        return self.entries

    def watch(self, on: bool) -> None:
        """Changes come by themselves."""

    def fetch(self) -> None:
        """There is nobody to ask."""

    def stop(self) -> None:
        """Nothing is held."""

    def set_endpoints(self, entries: Sequence[Entry]) -> None:
        """These are the endpoints from now on."""
        if list(entries) != list(self.entries):
            self.entries = entries
            self.on_list("whole", entries)


class MeshDispatcher(Dispatcher):
    """A ledger whose balancers all leave admission to the ingress, also one that begins anew after a stall."""

    def reconfigure(self, balancer: Balancer) -> None:
        """Use a balancer from now on."""
        prepare_balancer(balancer)
        super().reconfigure(balancer)


class ServiceClient:
    """The client side of one service."""

    def __init__(
        self,
        service: str,
        zone: int,
        sidecars: int,
        forwarder: Forwarder,
        retry_budget: RetryBudget,
        descriptors: Descriptors,
        host: Host,
    ) -> None:
        """``zone``: the index of this machine's; ``sidecars``: how many send requests to the service."""
        self.service, self.forwarder, self.retry_budget = service, forwarder, retry_budget
        self.class_indexes: dict[ClassKey, int] = {}
        self.classes: list[interface.RequestClass] = [
            interface.RequestClass(aim=NO_ROUTE_MS, deadline=NO_ROUTE_MS, name="none")
        ]
        settings = interface.Settings(
            classes=self.classes,
            limits=interface.Limits(
                max_attempts=MAX_ATTEMPTS, cancel=True, second_copies=True, connect_timeout=CONNECT_TIMEOUT_MS
            ),
            zone=zone,
            group_size=max(1, sidecars),
            prices=interface.Prices(cross_zone=ZONE_CROSSING_PRICE),
        )
        self.source: MeshEndpointSource | None = None
        balancer = Balancer(settings, host.random().getrandbits(64))
        prepare_balancer(balancer)
        self.dispatcher = MeshDispatcher(balancer, forwarder, self.make_source, descriptors, host)

    def make_source(self, on_list: OnList) -> MeshEndpointSource:
        """The source of the ledger's endpoints."""
        self.source = MeshEndpointSource(on_list)
        return self.source

    def set_endpoints(self, entries: Sequence[Entry]) -> None:
        """These are the endpoints of the service from now on."""
        assert self.source is not None  # the ledger has made it
        self.source.set_endpoints(entries)

    def class_index(self, route: Route, deadline: float) -> int:
        """The request class of a route, made when it is first asked for.

        Routes that ask for the same share one, so that what is learnt stays through changes of names and places.
        """
        key = ClassKey(route.is_idempotent, deadline, route.latency_target, route.priority)
        index = self.class_indexes.get(key)
        if index is None:
            index = self.class_indexes[key] = len(self.classes)
            request_class = interface.RequestClass(
                aim=1000.0 * min(route.latency_target, deadline),
                deadline=1000.0 * deadline,
                repeat="idempotent" if route.is_idempotent else "at_most_once",
                late_worth=LATE_WORTH,
                name=f"{'safe' if route.is_idempotent else 'unsafe'} {route.latency_target:g}",
            )
            self.classes.append(request_class)
            add_class(self.dispatcher.balancer, request_class)
        return index


def prepare_balancer(balancer: Balancer) -> None:
    """Make a balancer that has served nothing yet one of the mesh."""
    delegate_to_ingress(balancer)
    for klass in balancer.classes:
        klass.hedge_delay = HEDGE_DELAY_SHARE * klass.settings.aim


def add_class(balancer: Balancer, request_class: interface.RequestClass) -> None:
    """Add a class to a balancer that runs: what it has learnt stays."""
    if len(balancer.classes) < len(balancer.settings.classes):
        balancer.classes.append(ClassState(request_class))
        balancer.classes[-1].hedge_delay = HEDGE_DELAY_SHARE * request_class.aim
        for tenant in balancer.tenants:
            tenant.queues.append(type(tenant.queues[0])())


class ServiceClients:
    """The clients of all services. Each is made when the service is first asked for or known of."""

    def __init__(self, make_client: Callable[[str], ServiceClient]) -> None:
        self.make_client = make_client
        self.clients: dict[str, ServiceClient] = {}
        self.loop = asyncio.get_running_loop()

    def to(self, service: str) -> ServiceClient:
        """The client of a service."""
        client = self.clients.get(service)
        if client is None:
            client = self.clients[service] = self.make_client(service)
            client.dispatcher.start()
        return client

"""The client side of each service: a dispatcher with the standalone balancer, which gets its endpoints from gossip."""

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

MAX_ATTEMPTS = 8  # attempts of a request that may reach an ingress; the route limits those that reach an endpoint
CONNECT_TIMEOUT_MS = 400.0  # an unreachable sidecar is avoided for a multiple of this time
ZONE_CROSSING_PRICE = 0.3  # another zone is preferred only if it leaves far more of the latency target
HEDGE_DELAY_SHARE = 0.55  # of the latency target: above the standalone default, but most hedges still meet the target
LATE_WORTH = 0.3  # value of an answer between latency target and deadline, relative to one within the target
NO_ROUTE_MS = 1000.0  # latency target and deadline of the class for requests without a route


class ClassKey(NamedTuple):
    """The properties of a route that distinguish request classes. Durations in s."""

    is_idempotent: bool
    deadline: float
    latency_target: float
    priority: float


class MeshEndpointSource:
    """The endpoints of one service as known from gossip: a :class:`~zinclever.core.protocol.Source`."""

    def __init__(self, on_list: OnList) -> None:
        self.on_list = on_list
        self.entries: Sequence[Entry] = ()

    def start(self) -> None:
        """Report the known endpoints."""
        self.on_list("whole", self.entries)

    def remembered(self) -> Sequence[Entry]:
        """Return the known endpoints."""
        return self.entries

    def watch(self, on: bool) -> None:
        """Do nothing: changes are always reported."""

    def fetch(self) -> None:
        """Do nothing: there is no server to fetch a list from."""

    def stop(self) -> None:
        """Do nothing: the source holds no resources."""

    def set_endpoints(self, entries: Sequence[Entry]) -> None:
        """Replace the endpoints, and report them if they have changed."""
        if list(entries) != list(self.entries):
            self.entries = entries
            self.on_list("whole", entries)


class MeshDispatcher(Dispatcher):
    """A dispatcher whose balancers leave admission to the ingress, also a balancer that is recreated after a stall."""

    def reconfigure(self, balancer: Balancer) -> None:
        """Prepare a balancer for the mesh, and use it from now on."""
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
        """Create the client of a service.

        ``zone``: the index of this machine's zone; ``sidecars``: the number of sidecars that send requests to the
        service.
        """
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
        """Create the source of the dispatcher's endpoints."""
        self.source = MeshEndpointSource(on_list)
        return self.source

    def set_endpoints(self, entries: Sequence[Entry]) -> None:
        """Replace the endpoints of the service."""
        assert self.source is not None  # created by the dispatcher
        self.source.set_endpoints(entries)

    def class_index(self, route: Route, deadline: float) -> int:
        """Return the index of a route's request class, which is created at its first use.

        Routes with the same properties share a class, so that learnt estimates survive changes of route names and
        paths.
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
    """Make an unused balancer leave admission to the ingress, and set its hedge delays."""
    delegate_to_ingress(balancer)
    for class_state in balancer.classes:
        class_state.hedge_delay = HEDGE_DELAY_SHARE * class_state.settings.aim


def add_class(balancer: Balancer, request_class: interface.RequestClass) -> None:
    """Add a class to a running balancer, which keeps its learnt estimates."""
    if len(balancer.classes) < len(balancer.settings.classes):
        balancer.classes.append(ClassState(request_class))
        balancer.classes[-1].hedge_delay = HEDGE_DELAY_SHARE * request_class.aim
        for tenant in balancer.tenants:
            tenant.queues.append(type(tenant.queues[0])())


class ServiceClients:
    """The clients of all services. Each is created at the first use of its service."""

    def __init__(self, make_client: Callable[[str], ServiceClient]) -> None:
        self.make_client = make_client
        self.clients: dict[str, ServiceClient] = {}
        self.loop = asyncio.get_running_loop()

    def to(self, service: str) -> ServiceClient:
        """Return the client of a service."""
        client = self.clients.get(service)
        if client is None:
            client = self.clients[service] = self.make_client(service)
            client.dispatcher.start()
        return client

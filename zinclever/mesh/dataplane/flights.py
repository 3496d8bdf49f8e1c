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
from .admission import open_up
from .hop import HopWire
from .retry_budget import RetryBudget

MOST_TRIES = 8  # attempts of a request that reach a keeper: those that reach an endpoint are the route's
CONNECT_FOR = 400.0  # ms: of it a keeper that can't be reached is left alone a multiple
CROSSING = 0.3  # what leaving the zone weighs in the module: home is preferred unless it leaves far less of the aim
COPY_DELAY = 0.55  # of the aim: above what is usual, and early enough that most copies still win in aim
LATE_WORTH = 0.3  # of its worth that an answer between aim and deadline is taken to have


class Known:
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

    def take(self, entries: Sequence[Entry]) -> None:
        """The list from now on."""
        if list(entries) != list(self.entries):
            self.entries = entries
            self.on_list("whole", entries)


class Way(Ledger):
    """A ledger whose balancers all leave admission to the keepers, also one that begins anew after a standstill."""

    def adopt(self, balancer: Balancer) -> None:
        prepare(balancer)
        super().adopt(balancer)


class Flight:
    """The way to one service."""

    def __init__(
        self,
        service: str,
        zone: int,
        sidecars: int,
        wire: HopWire,
        retry_budget: RetryBudget,
        descriptors: Descriptors,
        host: Host,
    ) -> None:
        self.service, self.wire, self.retry_budget = service, wire, retry_budget
        self.kinds: dict[tuple[bool, float, float, float], int] = {}
        self.classes: list[i.RequestClass] = [i.RequestClass(aim=1000.0, deadline=1000.0, name="none")]
        settings = i.Settings(
            classes=self.classes,
            limits=i.Limits(max_attempts=MOST_TRIES, cancel=True, second_copies=True, connect_timeout=CONNECT_FOR),
            zone=zone,
            group_size=max(1, sidecars),
            prices=i.Prices(cross_zone=CROSSING),
        )
        self.known: Known | None = None
        balancer = Balancer(settings, host.random().getrandbits(64))
        prepare(balancer)
        self.ledger = Way(balancer, wire, self.make_source, descriptors, host)

    def make_source(self, on_list: OnList) -> Known:
        self.known = Known(on_list)
        return self.known

    def take(self, entries: Sequence[Entry]) -> None:
        assert self.known is not None
        self.known.take(entries)

    def klass(self, route: Route, deadline: float) -> int:
        """The class of a route's requests: routes that ask for the same are one, so that what is learnt stays through
        changes of names and places."""
        kind = (route.safe, deadline, route.latency_target, route.priority)
        found = self.kinds.get(kind)
        if found is None:
            found = self.kinds[kind] = len(self.classes)
            told = i.RequestClass(
                aim=1000.0 * min(route.latency_target, deadline),
                deadline=1000.0 * deadline,
                repeat="idempotent" if route.safe else "at_most_once",
                late_worth=LATE_WORTH,
                name=f"{'safe' if route.safe else 'unsafe'} {route.latency_target:g}",
            )
            self.classes.append(told)
            extend(self.ledger.balancer, told)
        return found


def prepare(balancer: Balancer) -> None:
    """Make a balancer that has served nothing yet one of the mesh."""
    open_up(balancer)
    for klass in balancer.classes:
        klass.delay = COPY_DELAY * klass.told.aim


def extend(balancer: Balancer, told: i.RequestClass) -> None:
    """One more class for a balancer that runs: what it has learnt stays."""
    if len(balancer.classes) < len(balancer.settings.classes):
        balancer.classes.append(Klass(told))
        balancer.classes[-1].delay = COPY_DELAY * told.aim
        for tenant in balancer.tenants:
            tenant.queues.append(type(tenant.queues[0])())


class Flights:
    """All ways out of this sidecar. Made when a service is first asked for or known of."""

    def __init__(self, make: Callable[[str], Flight]) -> None:
        self.make = make
        self.flights: dict[str, Flight] = {}
        self.loop = asyncio.get_running_loop()

    def to(self, service: str) -> Flight:
        flight = self.flights.get(service)
        if flight is None:
            flight = self.flights[service] = self.make(service)
            flight.ledger.start()
        return flight

    def take(self, service: str, entries: Sequence[tuple[i.Listed, Address]]) -> None:
        self.to(service).take(entries)

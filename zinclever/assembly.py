"""Which protocol, source of endpoints and balancer make up each service."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import TYPE_CHECKING

from .admin.figures import Levels, avoided, text
from .admin.server import Page, Pages
from .configuration.platform import Config
from .core.descriptors import Descriptors
from .core.dispatcher import EARLY, Dispatcher
from .core.host import Host
from .core.protocol import OnList, Source
from .core.service import Service
from .discovery.catalog import Discovery
from .discovery.fixed import StaticEndpoints
from .http1.bodies import body_memory_limit
from .http1.front import Frontend
from .http1.wire import HttpWire
from .policy import Balancer

if TYPE_CHECKING:  # loaded where there is an operator file: the platform's sidecar lives in little memory
    from .configuration.operator import JsonRpcService, Operator

log = logging.getLogger(__name__)

PLATFORM = "platform"


class Platform:
    """The platform's HTTP service, as its configuration words it."""

    def __init__(self, config: Config, descriptors: Descriptors, host: Host) -> None:
        self.config, self.descriptors = config, descriptors
        balancer = Balancer(config.settings, config.seed)
        self.dispatcher = Dispatcher(
            balancer,
            HttpWire(descriptors, host),
            lambda on_list: Discovery(config.discovery, config.settings, config.zones, config.known, on_list, host),
            descriptors,
            host,
        )
        assert isinstance(self.dispatcher.source, Discovery)
        self.discovery = self.dispatcher.source
        self.front = Frontend(self.dispatcher)
        self.processes = 1
        """Of this sidecar, that share what it may hold: more than one while one takes over from another."""
        self.divide()
        self.service = Service(PLATFORM, config.listen, self.dispatcher, self.front)

    def reconfigure(self, config: Config) -> None:
        """Put into service what differs from the configuration before."""
        before, self.config = self.config, config
        if config.listen != before.listen:
            log.warning("configuration: listen takes effect at the next start only")
        kept = (before.settings, before.zones, before.sockets, before.memory)
        if (config.settings, config.zones, config.sockets, config.memory) != kept:
            self.divide()
            self.discovery.configure(config.settings, config.zones)
            self.dispatcher.reconfigure(Balancer(config.settings, config.seed))
            self.front.configure()
        if config.discovery != self.discovery.address:
            self.discovery.move(config.discovery)

    def share_with(self, others: int) -> None:
        """So many other processes of this sidecar are alive: descriptors are divided evenly among all."""
        self.processes = 1 + others
        self.divide()
        while self.descriptors.full() and self.descriptors.evict():
            pass

    def divide(self) -> None:
        self.descriptors.configure(self.config.sockets // self.processes)
        memory = self.config.memory
        self.front.room.limit = body_memory_limit(memory / self.processes if memory is not None else None)
        self.front.configure()

    def levels(self) -> Levels:
        """What operators are told of this moment."""
        dispatcher, wire = self.dispatcher, self.dispatcher.wire
        assert isinstance(wire, HttpWire)
        return Levels(
            wire.dispatches,
            dispatcher.counts.concurrent,
            len(self.discovery.hosts),
            avoided(dispatcher.balancer, dispatcher.clock()),
        )

    def pages(self) -> Pages:
        """Where operators call."""
        return {
            "/status": lambda: Page(200 if self.service.takes() else 503),
            "/status/metrics": lambda: Page(200, text(self.dispatcher.counts, self.front.classes, self.levels())),
        }


class JsonRpc:
    """A JSON-RPC service, as the operator file words it."""

    def __init__(self, told: JsonRpcService, seed: int, descriptors: Descriptors, host: Host) -> None:
        from .jsonrpc.front import Frontend as JsonRpcFrontend
        from .jsonrpc.wire import JsonRpcWire

        self.spec, self.seed, self.host = told, seed, host
        self.wire = JsonRpcWire(told.rules.framing, told.error_codes, descriptors, host)
        self.dispatcher = Dispatcher(Balancer(told.settings, seed), self.wire, self.source, descriptors, host)
        self.front = JsonRpcFrontend(self.dispatcher, told.rules)
        longest = max(c.deadline for c in told.settings.classes)
        self.service = Service(told.name, told.listen, self.dispatcher, self.front, (longest + EARLY) / 1000.0)

    def source(self, on_list: OnList) -> Source:
        told = self.spec
        if told.discovery is None:
            return StaticEndpoints(told.endpoints, on_list)
        return Discovery(told.discovery, told.settings, told.zones, {}, on_list, self.host)

    def reconfigure(self, told: JsonRpcService) -> None:
        """Put into service what differs from the file before, but for what a connection is made with."""
        before, self.spec = self.spec, told
        moved = (told.discovery is None) != (before.discovery is None)
        if moved or (told.listen, told.rules.framing) != (before.listen, before.rules.framing):
            log.warning(
                "services.%s: listen, framing, and a change between endpoints and discovery take "
                "effect at the next start only",
                told.name,
            )
        self.wire.error_codes = told.error_codes
        source = self.dispatcher.source
        if isinstance(source, Discovery):
            source.configure(told.settings, told.zones)
        if told.settings != before.settings:
            self.dispatcher.reconfigure(Balancer(told.settings, self.seed))
        self.front.reconfigure(told.rules._replace(framing=self.wire.framing))
        if isinstance(source, StaticEndpoints) and told.endpoints != before.endpoints:
            source.replace(told.endpoints)
        elif isinstance(source, Discovery) and told.discovery not in (None, source.address):
            source.move(told.discovery)


def sockets(config: Config | None, operator: Operator | None) -> int:
    """Descriptors that the process may hold: the platform's figure comes first."""
    if config is not None:
        return config.sockets
    assert operator is not None
    return operator.sockets


def told_services(operator: Operator | None) -> Mapping[str, JsonRpcService]:
    return operator.services if operator is not None else {}


class Assembly:
    """Every service of the process."""

    def __init__(self, config: Config | None, operator: Operator | None, host: Host) -> None:
        self.descriptors = Descriptors(sockets(config, operator))
        seed = config.seed if config is not None else host.random().getrandbits(64)
        self.platform = Platform(config, self.descriptors, host) if config is not None else None
        self.others = {
            name: JsonRpc(told, seed + n, self.descriptors, host)
            for n, (name, told) in enumerate(told_services(operator).items(), 1)
        }

    def services(self) -> list[Service]:
        first = [self.platform.service] if self.platform is not None else []
        return first + [other.service for other in self.others.values()]

    def reconfigure(self, config: Config | None, operator: Operator | None) -> None:
        """Put into service what differs from before. Services come and go at the next start only."""
        if config is not None and self.platform is not None:
            self.platform.reconfigure(config)
        services = told_services(operator)
        for name, told in services.items():
            if name in self.others:
                self.others[name].reconfigure(told)
        if services.keys() != self.others.keys():
            log.warning("services that are new or left out take effect at the next start only")

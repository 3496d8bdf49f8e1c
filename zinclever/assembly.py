"""Builds each service from its protocol, endpoint source and balancer, and applies new configurations."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import TYPE_CHECKING

from .admin.figures import Gauges, count_disabled, render
from .admin.server import Page, Pages
from .configuration.platform import Config
from .core.descriptors import Descriptors
from .core.dispatcher import DEADLINE_MARGIN, Dispatcher
from .core.host import Host
from .core.protocol import OnList, Source
from .core.service import Service
from .discovery.catalog import Discovery
from .discovery.fixed import StaticEndpoints
from .http1.bodies import body_memory_limit
from .http1.frontend import Frontend
from .http1.wire import HttpWire
from .policy import Balancer

if TYPE_CHECKING:  # imported at runtime only if there is an operator file, to save memory
    from .configuration.operator import JsonRpcService, OperatorConfig

log = logging.getLogger(__name__)

PLATFORM = "platform"


class Platform:
    """The platform's HTTP service, built from the platform configuration."""

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
        """Processes of this sidecar that share its limits: more than one during a takeover."""
        self.apply_limits()
        self.service = Service(PLATFORM, config.listen, self.dispatcher, self.front)

    def reconfigure(self, config: Config) -> None:
        """Applies the differences between a new configuration and the current one."""
        previous, self.config = self.config, config
        if config.listen != previous.listen:
            log.warning("configuration: a change of listen takes effect only after a restart")
        previous_values = (previous.settings, previous.zones, previous.sockets, previous.memory)
        if (config.settings, config.zones, config.sockets, config.memory) != previous_values:
            self.apply_limits()
            self.discovery.configure(config.settings, config.zones)
            self.dispatcher.reconfigure(Balancer(config.settings, config.seed))
            self.front.configure()
        if config.discovery != self.discovery.address:
            self.discovery.change_address(config.discovery)

    def share_limits(self, others: int) -> None:
        """Divides descriptors and memory evenly with ``others``, the number of other live processes of this sidecar."""
        self.processes = 1 + others
        self.apply_limits()
        while self.descriptors.full() and self.descriptors.evict():
            pass

    def apply_limits(self) -> None:
        """Sets this process's equal part of the descriptors and of the memory."""
        self.descriptors.configure(self.config.sockets // self.processes)
        memory = self.config.memory
        self.front.room.limit = body_memory_limit(memory / self.processes if memory is not None else None)
        self.front.configure()

    def gauges(self) -> Gauges:
        """Returns the current gauges for operators."""
        dispatcher, wire = self.dispatcher, self.dispatcher.wire
        assert isinstance(wire, HttpWire)
        return Gauges(
            wire.dispatches,
            dispatcher.counts.concurrent,
            len(self.discovery.hosts),
            count_disabled(dispatcher.balancer, dispatcher.clock()),
        )

    def pages(self) -> Pages:
        """Returns the pages of the admin server."""
        return {
            "/status": lambda: Page(200 if self.service.is_ready() else 503),
            "/status/metrics": lambda: Page(200, render(self.dispatcher.counts, self.front.classes, self.gauges())),
        }


class JsonRpc:
    """A JSON-RPC service, built from the operator file."""

    def __init__(self, spec: JsonRpcService, seed: int, descriptors: Descriptors, host: Host) -> None:
        from .jsonrpc.frontend import Frontend as JsonRpcFrontend
        from .jsonrpc.wire import JsonRpcWire

        self.spec, self.seed, self.host = spec, seed, host
        self.wire = JsonRpcWire(spec.rules.framing, spec.error_codes, descriptors, host)
        self.dispatcher = Dispatcher(Balancer(spec.settings, seed), self.wire, self.make_source, descriptors, host)
        self.front = JsonRpcFrontend(self.dispatcher, spec.rules)
        max_deadline = max(c.deadline for c in spec.settings.classes)
        self.service = Service(
            spec.name, spec.listen, self.dispatcher, self.front, (max_deadline + DEADLINE_MARGIN) / 1000.0
        )

    def make_source(self, on_list: OnList) -> Source:
        """Creates the endpoint source: discovery, or the fixed list of the operator file."""
        spec = self.spec
        if spec.discovery is None:
            return StaticEndpoints(spec.endpoints, on_list)
        return Discovery(spec.discovery, spec.settings, spec.zones, {}, on_list, self.host)

    def reconfigure(self, spec: JsonRpcService) -> None:
        """Applies the differences between a new service definition and the current one.

        The address, the framing and the kind of endpoint source change only after a restart.
        """
        previous, self.spec = self.spec, spec
        source_changed = (spec.discovery is None) != (previous.discovery is None)
        if source_changed or (spec.listen, spec.rules.framing) != (previous.listen, previous.rules.framing):
            log.warning(
                "services.%s: changes of listen and framing, or between endpoints and discovery, take "
                "effect only after a restart",
                spec.name,
            )
        self.wire.error_codes = spec.error_codes
        source = self.dispatcher.source
        if isinstance(source, Discovery):
            source.configure(spec.settings, spec.zones)
        if spec.settings != previous.settings:
            self.dispatcher.reconfigure(Balancer(spec.settings, self.seed))
        self.front.reconfigure(spec.rules._replace(framing=self.wire.framing))
        if isinstance(source, StaticEndpoints) and spec.endpoints != previous.endpoints:
            source.replace(spec.endpoints)
        elif isinstance(source, Discovery) and spec.discovery not in (None, source.address):
            source.change_address(spec.discovery)


def descriptor_limit(config: Config | None, operator: OperatorConfig | None) -> int:
    """Returns the descriptor limit of the process: the platform's, else the operator file's."""
    if config is not None:
        return config.sockets
    assert operator is not None
    return operator.sockets


def service_specs(operator: OperatorConfig | None) -> Mapping[str, JsonRpcService]:
    """Returns the services of the operator file, by name."""
    return operator.services if operator is not None else {}


class Assembly:
    """All services of the process."""

    def __init__(self, config: Config | None, operator: OperatorConfig | None, host: Host) -> None:
        self.descriptors = Descriptors(descriptor_limit(config, operator))
        seed = config.seed if config is not None else host.random().getrandbits(64)
        self.platform = Platform(config, self.descriptors, host) if config is not None else None
        self.json_rpc_services = {
            name: JsonRpc(spec, seed + n, self.descriptors, host)
            for n, (name, spec) in enumerate(service_specs(operator).items(), 1)
        }

    def services(self) -> list[Service]:
        """Returns all services, the platform's first."""
        first = [self.platform.service] if self.platform is not None else []
        return first + [service.service for service in self.json_rpc_services.values()]

    def reconfigure(self, config: Config | None, operator: OperatorConfig | None) -> None:
        """Applies a new configuration. Services are added and removed only by a restart."""
        if config is not None and self.platform is not None:
            self.platform.reconfigure(config)
        specs = service_specs(operator)
        for name, spec in specs.items():
            if name in self.json_rpc_services:
                self.json_rpc_services[name].reconfigure(spec)
        if specs.keys() != self.json_rpc_services.keys():
            log.warning("added or removed services take effect only after a restart")

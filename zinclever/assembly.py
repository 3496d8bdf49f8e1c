"""Which protocol, source of endpoints and balancer make up each service."""

from __future__ import annotations

from .config import Config
from .core.descriptors import Descriptors
from .core.ledger import Ledger
from .core.service import Service
from .discovery.catalog import Discovery
from .http1.front import Front
from .http1.wire import HttpWire
from .policy import Balancer

PLATFORM = "platform"


class Platform:
    """The platform's HTTP service, as its configuration words it."""

    def __init__(self, config: Config, descriptors: Descriptors) -> None:
        self.config, self.descriptors = config, descriptors
        balancer = Balancer(config.settings, config.seed)
        self.ledger = Ledger(
            balancer, HttpWire(descriptors),
            lambda on_list: Discovery(config.discovery, config.settings, config.zones, config.known, on_list),
            descriptors,
        )
        assert isinstance(self.ledger.source, Discovery)
        self.discovery = self.ledger.source
        self.front = Front(self.ledger)
        self.service = Service(PLATFORM, config.listen, self.ledger, self.front)

    def adopt(self, config: Config) -> None:
        """Put into service what differs from the configuration before."""
        before, self.config = self.config, config
        kept = (before.settings, before.zones, before.sockets)
        if (config.settings, config.zones, config.sockets) != kept:
            self.descriptors.configure(config.sockets)
            self.discovery.configure(config.settings, config.zones)
            self.ledger.adopt(Balancer(config.settings, config.seed))
            self.front.configure()
        if config.discovery != self.discovery.address:
            self.discovery.move(config.discovery)

"""The sidecar of the mesh: the egress of this machine, and the ingress of the endpoint beside it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable

import orjson

from ... import interface
from ...core.protocol import Entry
from ...http1.heads import HttpResponse
from ...http1.request_handler import RequestHandler
from ..configuration.document import Configuration
from ..control_api.listener import Call, ControlApi, Handler, json_answer
from ..control_api.router import Router
from ..dataplane.egress import Egress
from ..dataplane.forwarding import Forwarder
from ..dataplane.ingress import Ingress
from ..dataplane.retry_budget import RetryBudget
from ..dataplane.service_clients import ServiceClient, ServiceClients
from ..dataplane.shutdown_admission import ShutdownAdmission, exit_margin
from ..membership.records import SIDECAR, EndpointPhase, MemberState, RecordKind
from ..transport.framed_connection import FramedConnection
from ..transport.mesh_pb2 import ControlReply, EndpointInfo, Frame, Record
from .forward_server import ForwardServer
from .listening import Listener, listen
from .local_endpoint import LocalEndpoint
from .node import Node
from .node_settings import NodeSettings

log = logging.getLogger(__name__)

COUNTERS_INTERVAL = 10.0  # s between two log lines of counters
MIN_DRAIN_PERIOD = 2.4  # s after SIGTERM; clients connect until two readiness checks, 1 s apart, have failed
LAST_REQUESTS_POLL_INTERVAL = 0.01  # s
POLL_INTERVAL = 0.05  # s between two checks whether this process may exit
LAST_REQUESTS_PERIOD = 0.2  # s at the exit in which clients that have connected before send their request
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_WINDOW = 10.0  # s


class Sidecar:
    """Owns the node, the three listeners, the egress and the ingress."""

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.memory = settings.memory_mb << 20
        self.node = Node(settings, SIDECAR)
        self.loop, self.host = self.node.loop, self.node.host
        self.ingress = Ingress(self.host, self.node.descriptors)
        self.local_endpoint = LocalEndpoint(settings, self.node, self.ingress)
        self.clients = ServiceClients(self.make_client)
        self.egress = Egress(
            self.node.descriptors,
            self.host,
            self.node.active,
            self.clients,
            settings.service,
            self.ingress.is_running,
            self.ingress.is_running_retry,
        )
        self.forward_server = ForwardServer(self.ingress, self.memory)
        self.handlers: list[tuple[RequestHandler, str]] = [(self.egress, "Egress")]
        """Each with the purpose of the address that it listens on."""
        self.control_apis: list[ControlApi] = []
        self.listeners: list[Listener] = []
        self.is_stopping = False
        self.logged_readiness = False
        self.stale_services: set[str] = set()
        """Services whose endpoints may have changed."""
        self.refresh_scheduled = False
        self.node.frame_handlers.update(
            control_call=self.on_control_call,
            forward_request=self.forward_server.on_request,
            body_chunk=self.forward_server.on_body_chunk,
            cancel=self.forward_server.on_cancel,
        )
        self.node.connection_listeners.append(self.forward_server.on_connection_closed)
        self.node.record_listeners.append(self.on_record)
        self.node.active.listeners.append(self.on_configuration)

    async def start(self) -> None:
        """Start listening. Raises OSError if an address can't be bound."""
        readiness: Router[Handler] = Router()
        readiness.add("GET /v1/ready", self.on_ready)
        calls: Router[Handler] = Router()
        calls.add("POST /v1/endpoints/{id}/heartbeat", self.local_endpoint.on_heartbeat)
        calls.add("POST /v1/endpoints/{id}/departure", self.local_endpoint.on_departure)
        calls.add("GET /v1/ready", self.on_ready)
        for purpose, router in (("Readiness", readiness), ("ControlPlane", calls)):
            self.control_apis.append(ControlApi(self.node.descriptors, self.host, router))
            self.handlers.append((self.control_apis[-1], purpose))
        await self.node.start()
        for handler, purpose in self.handlers:
            if purpose in self.settings.bind:
                self.listeners.append(await listen(handler, self.settings.bind[purpose]))
        self.local_endpoint.check_heartbeats()
        self.loop.call_later(COUNTERS_INTERVAL, self.log_counters)

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings."""
        self.node.reload(settings)

    # --- readiness and shutdown ---

    def ready(self) -> bool:
        """Return whether this sidecar can serve requests.

        A configuration has to be active, gossip has to have joined the mesh, and a service has to have endpoints.
        """
        return bool(
            not self.is_stopping
            and self.node.active.configuration is not None
            and self.node.gossip.anti_entropy.joined
            and any(client.dispatcher.ready for client in self.clients.clients.values())
        )

    def on_ready(self, call: Call) -> HttpResponse:
        """Answer 200 if this sidecar is ready, else 503."""
        ready = self.ready()
        if ready is not self.logged_readiness:
            self.logged_readiness = ready
            log.info(
                "ready" if ready else "not ready",
                extra={
                    "code": "READY",
                    "met": self.node.gossip.anti_entropy.joined,
                    "number": self.node.active.index,
                },
            )
        return json_answer(200 if ready else 503)

    async def stop(self, grace: float) -> None:
        """Shut down gracefully, within ``grace`` s.

        New requests are accepted until clients have noticed the drain, then refused; open requests are completed.
        """
        started_at = self.loop.time()
        self.is_stopping = True
        shutdown = self.egress.shutdown = self.forward_server.shutdown = ShutdownAdmission(started_at, grace)
        self.node.gossip.leave(started_at)
        self.node.gossip_socket.flush()
        for handler, _ in self.handlers:
            handler.begin_drain()
        while (now := self.loop.time()) < shutdown.exits_at:
            if self.is_idle() and now > started_at + MIN_DRAIN_PERIOD:
                break
            await asyncio.sleep(POLL_INTERVAL)
        shutdown.refuse_all(self.loop.time())
        for listener in self.listeners:
            await listener.close()
        await asyncio.gather(*(api.complete_calls(shutdown.exits_at) for api in self.control_apis))
        await self.refuse_last_requests(min(LAST_REQUESTS_PERIOD, exit_margin(grace) / 2))
        self.egress.close_idle()
        for handler, _ in self.handlers:
            handler.stop()
        self.node.stop()

    async def refuse_last_requests(self, timeout: float) -> None:
        """Wait up to ``timeout`` s until the connected clients have sent their last request and read its refusal."""
        deadline = self.loop.time() + timeout
        while self.egress.count() and self.loop.time() < deadline:
            await asyncio.sleep(LAST_REQUESTS_POLL_INTERVAL)

    def is_idle(self) -> bool:
        """Return whether all requests, of this machine and forwarded to it, are completed and their answers written."""
        return not (
            self.egress.open_requests
            or self.ingress.requests
            or self.forward_server.open
            or self.egress.has_unwritten_responses()
            or self.node.has_unwritten_frames()
        )

    def log_counters(self) -> None:
        """Log the counters every :data:`COUNTERS_INTERVAL`, instead of one line for each request."""
        self.loop.call_later(COUNTERS_INTERVAL, self.log_counters)
        log.info(
            "counts",
            extra={
                "code": "COUNTS",
                "egress": self.egress.counts,
                "ingress": self.ingress.counts,
                "services": {name: dict(client.forwarder.counts) for name, client in self.clients.clients.items()},
                "gossip": self.node.gossip.counters.as_dict(),
                "configuration": self.node.distributor.as_dict(),
            },
        )

    # --- frames from other processes ---

    def on_control_call(self, connection: FramedConnection, frame: Frame) -> None:
        """Answer a control node that asks, for an operator, why a request failed."""
        failure = self.egress.failure_log.find(frame.control_call.text.decode("utf-8", "replace"))
        reply = ControlReply(status=404)
        if failure is not None:
            reply = ControlReply(status=200, text=orjson.dumps({"By": self.node.name, **failure.as_json()}))
        connection.send(Frame(stream=frame.stream, control_reply=reply))

    # --- services and their endpoints ---

    def make_client(self, service: str) -> ServiceClient:
        """Create the client of a service."""
        bounds = self.settings.bounds
        retry_budget = RetryBudget(
            bounds.get("RetryRatio", DEFAULT_RETRY_RATIO),
            bounds.get("RetryWindowS", DEFAULT_RETRY_WINDOW),
            bounds.get("RetrySlack", 0.0),
        )
        retry_budget.sidecars = self.sidecar_count()
        forwarder = Forwarder(
            (self.settings.ip, self.node.port),
            self.ingress,
            self.node.channel_to,
            retry_budget,
            self.node.protocol_versions,
        )
        zones = self.settings.zones
        zone = zones.index(self.settings.zone) if self.settings.zone in zones else 0
        return ServiceClient(
            service, zone, self.sidecar_count(), forwarder, retry_budget, self.node.descriptors, self.host
        )

    def sidecar_count(self) -> int:
        """Return the number of sidecars known to be alive."""
        return sum(info.role == SIDECAR for _, info in self.node.gossip.records.nodes())

    def on_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration that has become active."""
        self.egress.configure(configuration, self.memory)
        for service in configuration.services:
            self.clients.to(service)
            self.stale_services.add(service)
        self.schedule_refresh()

    def on_record(self, record: Record) -> None:
        """Handle a new record: it may change the endpoints of services."""
        if record.kind == RecordKind.ENDPOINT:
            info = EndpointInfo.FromString(record.body)
            if info.service:
                self.stale_services.add(info.service)
            self.local_endpoint.on_record(record, info)
            self.schedule_refresh()
        elif record.kind == RecordKind.NODE:
            self.stale_services.update(self.clients.clients)
            self.schedule_refresh()

    def schedule_refresh(self) -> None:
        """Refresh stale services once, after all records that have arrived together."""
        if not self.refresh_scheduled:
            self.refresh_scheduled = True
            self.loop.call_soon(self.refresh_endpoints)

    def refresh_endpoints(self) -> None:
        """Update the endpoints of all stale services."""
        self.refresh_scheduled = False
        stale, self.stale_services = self.stale_services, set()
        sidecars = self.sidecar_count()
        for service, entries in self.endpoints_of(stale).items():
            client = self.clients.to(service)
            client.retry_budget.sidecars = sidecars
            client.set_endpoints(entries)

    def endpoints_of(self, services: Iterable[str]) -> dict[str, list[Entry]]:
        """Return, by service, the endpoints that are not GONE and whose sidecar is known and neither dead nor left."""
        by_service: dict[str, list[Entry]] = {service: [] for service in services}
        members = self.node.gossip.members
        zone_indexes = {zone: index for index, zone in enumerate(self.settings.zones)}
        for record in self.node.gossip.records.of_kind(RecordKind.ENDPOINT):
            if record.rank >= EndpointPhase.GONE:
                continue
            endpoint = EndpointInfo.FromString(record.body)
            if endpoint.service not in by_service:
                continue
            node = members.node_info(endpoint.sidecar)
            if node is None or (members.state_of(endpoint.sidecar) or MemberState.ALIVE) >= MemberState.DEAD:
                continue
            phase: interface.Phase = "ready" if record.rank == EndpointPhase.READY else "draining"
            listed = interface.ListedEndpoint(record.id, phase, float(endpoint.slots), zone_indexes.get(node.zone, 0))
            by_service[endpoint.service].append((listed, (node.ip, node.port)))
        return by_service

"""The sidecar of the mesh: the way out for this machine, and the keeper of the endpoint beside it."""

from __future__ import annotations

import asyncio
import logging
from functools import partial

import orjson

from ... import interface as i
from ...core.protocol import Entry
from ...http1.desk import Desk
from ...http1.heads import Answer
from ..attempt_outcome import AttemptOutcome
from ..configuration.document import Configuration
from ..control_api.listener import Call, ControlApi, Handler, json_answer
from ..control_api.router import Router
from ..dataplane.egress import Egress
from ..dataplane.forwarding import CHUNK_BYTES, Forwarder
from ..dataplane.ingress import InboundRequest, Ingress
from ..dataplane.retry_budget import RetryBudget
from ..dataplane.service_clients import ServiceClient, ServiceClients
from ..membership.records import EndpointPhase, MemberState, RecordKind
from ..transport.framed_connection import FramedConnection
from ..transport.mesh_pb2 import (
    BodyChunk,
    ControlReply,
    EndpointInfo,
    ForwardReply,
    ForwardRequest,
    Frame,
    NodeInfo,
    Record,
)
from .local_endpoint import LocalEndpoint
from .node import SIDECAR, Node
from .node_settings import NodeSettings

log = logging.getLogger(__name__)

COUNTERS_INTERVAL = 10.0  # s between two lines of counters
MAX_BODY_BYTES = 80 << 20  # bytes of a load
MAX_INCOMING_MEMORY_SHARE = 0.25  # of the memory: bodies that are on their way in over links
MIN_DRAIN_PERIOD = (
    2.4  # s after SIGTERM for which clients still come: the platform asks once a second, and wants two misses
)
REFUSAL_PERIOD = 2.0  # s before that for which no new request is taken: those that are open are answered
GRACE_MARGIN = 0.6  # s before the grace is over at which the process ends whatever runs
BACKLOG = 2048


def refuses_after(grace: float) -> float:
    """s after SIGTERM from which on new requests are refused, where clients still come: what is open has its time
    until the process ends."""
    return max(grace / 2, grace - GRACE_MARGIN - REFUSAL_PERIOD)


class InboundForward:
    """A load that comes over a link, until its answer has gone back."""

    __slots__ = ("chunks", "connection", "forward", "missing_bytes", "received_at", "request")

    def __init__(self, link: FramedConnection, load: ForwardRequest, since: float) -> None:
        self.connection, self.forward, self.received_at = link, load, since
        self.chunks = [load.body]
        self.missing_bytes = load.length - len(load.body)
        self.request: InboundRequest | None = None


class Sidecar:
    """Owns the node, the three listeners and the keeper."""

    def __init__(self, boot: NodeSettings) -> None:
        self.settings = boot
        self.node = Node(boot, SIDECAR)
        self.loop, self.host = self.node.loop, self.node.host
        self.ingress = Ingress(self.host, self.node.descriptors)
        self.local_endpoint = LocalEndpoint(boot, self.node, self.ingress)
        self.clients = ServiceClients(self.make_client)
        self.egress = Egress(
            self.node.descriptors,
            self.host,
            self.node.active,
            self.clients,
            boot.service,
            self.ingress.is_running,
            self.ingress.is_running_retry,
        )
        self.listeners: list[tuple[Desk, str]] = [(self.egress, "Egress")]
        self.servers: list[asyncio.Server] = []
        self.inbound: dict[tuple[FramedConnection, int], InboundForward] = {}
        self.ending = False
        self.logged_ready = False
        self.stale_services: set[str] = set()
        self.refresh_scheduled = False
        self.node.frame_handlers.update(
            control_call=self.on_control_call,
            forward_request=self.on_forward_request,
            body_chunk=self.on_body_chunk,
            cancel=self.on_cancel,
        )
        self.node.connection_listeners.append(self.on_connection_closed)
        self.node.record_listeners.append(self.on_record)
        self.node.active.listeners.append(self.on_configuration)

    async def start(self) -> None:
        boot = self.settings
        ready: Router[Handler] = Router()
        ready.add("GET /v1/ready", self.on_ready)
        calls: Router[Handler] = Router()
        calls.add("POST /v1/endpoints/{id}/heartbeat", self.local_endpoint.on_heartbeat)
        calls.add("POST /v1/endpoints/{id}/departure", self.local_endpoint.on_departure)
        calls.add("GET /v1/ready", self.on_ready)
        for name, tree in (("Readiness", ready), ("ControlPlane", calls)):
            self.listeners.append((ControlApi(self.node.descriptors, self.host, tree), name))
        await self.node.start()
        for desk, name in self.listeners:
            if name in boot.bind:
                server = await self.loop.create_server(desk.connection, *boot.bind[name], backlog=BACKLOG)
                self.servers.append(server)
        self.local_endpoint.check_heartbeats()
        self.loop.call_later(COUNTERS_INTERVAL, self.log_counters)

    # --- the platform ---

    def ready(self) -> bool:
        """It serves: a configuration is in force, some endpoint is known, and others have told what they know."""
        return bool(
            not self.ending
            and self.node.active.configuration is not None
            and self.node.gossip.anti_entropy.joined
            and any(f.ledger.ready for f in self.clients.clients.values())
        )

    def on_ready(self, call: Call) -> Answer:
        ready = self.ready()
        if ready is not self.logged_ready:
            self.logged_ready = ready
            log.info(
                "ready" if ready else "not ready",
                extra={"code": "READY", "met": self.node.gossip.anti_entropy.joined, "number": self.node.active.index},
            )
        return json_answer(200 if ready else 503)

    def reload(self, boot: NodeSettings) -> None:
        self.node.reload(boot)

    async def stop(self, grace: float) -> None:
        """End in order: others stop coming first, what runs is finished."""
        began = self.loop.time()
        self.ending = True
        self.node.gossip.leave(began)
        self.node.gossip_socket.flush()
        for desk, _ in self.listeners:
            desk.begin_drain()
        while self.loop.time() - began < grace - GRACE_MARGIN:
            await asyncio.sleep(0.05)
            elapsed = self.loop.time() - began
            if elapsed > refuses_after(grace):
                self.egress.is_refusing = True
            quiet = not self.egress.open_requests and not self.ingress.requests and not self.inbound
            if quiet and elapsed > MIN_DRAIN_PERIOD:
                break
        self.egress.is_refusing = True
        for server in self.servers:
            server.close()
        self.egress.close_idle()
        for desk, _ in self.listeners:
            desk.stop()
        self.node.stop()

    def log_counters(self) -> None:
        """A line of counters now and then: they say more than a line for each thing that happens."""
        self.loop.call_later(COUNTERS_INTERVAL, self.log_counters)
        hops = {s: dict(f.forwarder.counts) for s, f in self.clients.clients.items()}
        log.info(
            "counts",
            extra={
                "code": "COUNTS",
                "egress": self.egress.counts,
                "keeper": self.ingress.counts,
                "hops": hops,
                "gossip": self.node.gossip.counters.as_dict(),
            },
        )

    # --- loads from other sidecars ---

    def on_forward_request(self, link: FramedConnection, frame: Frame) -> None:
        """A load; the body of one that knocks is let come where there is room, at the endpoint and here."""
        load = ForwardRequest()
        load.CopyFrom(frame.forward_request)
        incoming = InboundForward(link, load, self.loop.time())
        if load.length > MAX_BODY_BYTES:
            link.abort()
            return
        if self.egress.is_refusing:
            link.send(
                Frame(
                    stream=frame.stream,
                    forward_reply=ForwardReply(outcome=AttemptOutcome.NOT_EXECUTED, reason="ending"),
                )
            )
            return
        if incoming.missing_bytes > 0:
            refused = self.ingress.refusal(load) if load.reserve_first else None
            coming = sum(i.missing_bytes for i in self.inbound.values() if i.missing_bytes > 0)
            if coming and coming + load.length > MAX_INCOMING_MEMORY_SHARE * (self.settings.memory_mb << 20):
                refused = ForwardReply(outcome=AttemptOutcome.NO_CAPACITY, reason="memory")
            if refused is not None:
                link.send(Frame(stream=frame.stream, forward_reply=refused))
                return
            if load.reserve_first:
                link.send(Frame(stream=frame.stream, reservation_granted=True))
        self.inbound[(link, frame.stream)] = incoming
        if incoming.missing_bytes <= 0:
            self.submit(frame.stream, incoming)

    def on_control_call(self, link: FramedConnection, frame: Frame) -> None:
        """A member of the core asks for an operator."""
        found = self.egress.failure_log.find(frame.control_call.text.decode("utf-8", "replace"))
        text = orjson.dumps({"By": self.node.name, **found}) if found is not None else b""
        link.send(
            Frame(stream=frame.stream, control_reply=ControlReply(status=200 if found is not None else 404, text=text))
        )

    def on_body_chunk(self, link: FramedConnection, frame: Frame) -> None:
        incoming = self.inbound.get((link, frame.stream))
        if incoming is not None and incoming.missing_bytes > 0:
            incoming.chunks.append(frame.body_chunk.data)
            incoming.missing_bytes -= len(frame.body_chunk.data)
            if incoming.missing_bytes <= 0:
                self.submit(frame.stream, incoming)

    def submit(self, stream: int, incoming: InboundForward) -> None:
        body = incoming.chunks[0] if len(incoming.chunks) == 1 else b"".join(incoming.chunks)
        incoming.request = self.ingress.submit(
            incoming.forward, body, partial(self.send_reply, stream, incoming), incoming.received_at
        )

    def send_reply(self, stream: int, incoming: InboundForward, made: ForwardReply) -> None:
        """A keeper's verdict, over the link; a long body in pieces."""
        self.inbound.pop((incoming.connection, stream), None)
        body = made.body
        made.length = len(body)
        if len(body) > CHUNK_BYTES:
            made.body = body[:CHUNK_BYTES]
        incoming.connection.send(Frame(stream=stream, forward_reply=made))
        for at in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
            incoming.connection.send(Frame(stream=stream, body_chunk=BodyChunk(data=body[at : at + CHUNK_BYTES])))

    def on_cancel(self, link: FramedConnection, frame: Frame) -> None:
        incoming = self.inbound.pop((link, frame.stream), None)
        if incoming is not None and incoming.request is not None:
            self.ingress.cancel(incoming.request)

    def on_connection_closed(self, link: FramedConnection) -> None:
        """Whoever asked gets no answer any more: what it asked is given up."""
        for key in [k for k in self.inbound if k[0] is link]:
            incoming = self.inbound.pop(key)
            if incoming.request is not None:
                self.ingress.cancel(incoming.request)

    # --- what is known of the others ---

    def make_client(self, service: str) -> ServiceClient:
        bounds = self.settings.bounds
        retry_budget = RetryBudget(
            bounds.get("RetryRatio", 0.2), bounds.get("RetryWindowS", 10.0), bounds.get("RetrySlack", 0.0)
        )
        retry_budget.sidecars = self.sidecar_count()
        wire = Forwarder(
            (self.settings.ip, self.node.port),
            self.ingress,
            self.node.channel_to,
            retry_budget,
            self.node.protocol_versions,
        )
        zones = self.settings.zones
        zone = zones.index(self.settings.zone) if self.settings.zone in zones else 0
        return ServiceClient(service, zone, self.sidecar_count(), wire, retry_budget, self.node.descriptors, self.host)

    def sidecar_count(self) -> int:
        return sum(
            r.rank < 2 and NodeInfo.FromString(r.body).role == SIDECAR
            for r in self.node.gossip.records.of_kind(RecordKind.NODE)
        )

    def on_configuration(self, configuration: Configuration) -> None:
        self.egress.configure(configuration, self.settings.memory_mb << 20)
        for service in configuration.services:
            self.clients.to(service)
            self.stale_services.add(service)
        self.schedule_refresh()

    def on_record(self, record: Record) -> None:
        if record.kind == RecordKind.ENDPOINT:
            endpoint_info = EndpointInfo.FromString(record.body)
            if endpoint_info.service:
                self.stale_services.add(endpoint_info.service)
            self.local_endpoint.on_record(record, endpoint_info)
            self.schedule_refresh()
        elif record.kind == RecordKind.NODE:
            self.stale_services.update(self.clients.clients)
            self.schedule_refresh()

    def schedule_refresh(self) -> None:
        if not self.refresh_scheduled:
            self.refresh_scheduled = True
            self.loop.call_soon(self.refresh_endpoints)

    def refresh_endpoints(self) -> None:
        """Tell the ways out what has changed of their endpoints."""
        self.refresh_scheduled = False
        stale, self.stale_services = self.stale_services, set()
        by_service: dict[str, list[Entry]] = {s: [] for s in stale}
        gossip = self.node.gossip
        zones = {z: n for n, z in enumerate(self.settings.zones)}
        for record in gossip.records.of_kind(RecordKind.ENDPOINT):
            if record.rank >= EndpointPhase.GONE:
                continue
            endpoint_info = EndpointInfo.FromString(record.body)
            if endpoint_info.service not in by_service:
                continue
            info = gossip.members.node_info(endpoint_info.sidecar)
            if info is None or (gossip.members.state_of(endpoint_info.sidecar) or 0) >= MemberState.DEAD:
                continue
            phase: i.Phase = "ready" if record.rank == EndpointPhase.READY else "draining"
            listed = i.Listed(record.id, phase, float(endpoint_info.slots), zones.get(info.zone, 0))
            by_service[endpoint_info.service].append((listed, (info.ip, info.port)))
        sidecars = self.sidecar_count()
        for service, entries in by_service.items():
            flight = self.clients.to(service)
            flight.retry_budget.sidecars = sidecars
            flight.set_endpoints(entries)

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
from ..configuration.document import Configuration
from ..control_api.desk import Call, ControlApi, Handler, json_answer
from ..control_api.matchers import Router
from ..dataplane.egress import Egress
from ..dataplane.flights import Flight, Flights
from ..dataplane.hop import WHOLE, HopWire
from ..dataplane.keeper import Job, Keeper
from ..dataplane.retry_budget import RetryBudget
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
from ..verdict import Verdict
from .boot import Boot
from .node import SIDECAR, Node
from .own_endpoint import OwnEndpoint

log = logging.getLogger(__name__)

COUNT_EACH = 10.0  # s between two lines of counters
MOST_BODY = 80 << 20  # bytes of a load
MOST_COMING = 0.25  # of the memory: bodies that are on their way in over links
SERVES_ON = 2.4  # s after SIGTERM for which clients still come: the platform asks once a second, and wants two misses
LAST_REQUESTS = 2.0  # s before that for which no new request is taken: those that are open are answered
ENDS_BEFORE = 0.6  # s before the grace is over at which the process ends whatever runs
BACKLOG = 2048


def refuses_after(grace: float) -> float:
    """s after SIGTERM from which on new requests are refused, where clients still come: what is open has its time
    until the process ends."""
    return max(grace / 2, grace - ENDS_BEFORE - LAST_REQUESTS)


class Incoming:
    """A load that comes over a link, until its answer has gone back."""

    __slots__ = ("job", "link", "load", "parts", "since", "wanted")

    def __init__(self, link: FramedConnection, load: ForwardRequest, since: float) -> None:
        self.link, self.load, self.since = link, load, since
        self.parts = [load.body]
        self.wanted = load.length - len(load.body)
        self.job: Job | None = None


class Sidecar:
    """Owns the node, the three listeners and the keeper."""

    def __init__(self, boot: Boot) -> None:
        self.boot = boot
        self.node = Node(boot, SIDECAR)
        self.loop, self.host = self.node.loop, self.node.host
        self.keeper = Keeper(self.host, self.node.descriptors)
        self.endpoint = OwnEndpoint(boot, self.node, self.keeper)
        self.flights = Flights(self.make_flight)
        self.egress = Egress(
            self.node.descriptors,
            self.host,
            self.node.active,
            self.flights,
            boot.service,
            self.keeper.runs,
            self.keeper.repeats,
        )
        self.desks: list[tuple[Desk, str]] = [(self.egress, "Egress")]
        self.servers: list[asyncio.Server] = []
        self.incoming: dict[tuple[FramedConnection, int], Incoming] = {}
        self.ending = False
        self.told_ready = False
        self.stale: set[str] = set()
        self.refreshing = False
        self.node.frames.update(
            control_call=self.on_ask, forward_request=self.on_load, body_chunk=self.on_piece, cancel=self.on_cancel
        )
        self.node.link_lost.append(self.on_link_lost)
        self.node.news.append(self.on_news)
        self.node.active.listeners.append(self.on_configuration)

    async def start(self) -> None:
        boot = self.boot
        ready: Router[Handler] = Router()
        ready.add("GET /v1/ready", self.on_ready)
        calls: Router[Handler] = Router()
        calls.add("POST /v1/endpoints/{id}/heartbeat", self.endpoint.on_beat)
        calls.add("POST /v1/endpoints/{id}/departure", self.endpoint.on_departure)
        calls.add("GET /v1/ready", self.on_ready)
        for name, tree in (("Readiness", ready), ("ControlPlane", calls)):
            self.desks.append((ControlApi(self.node.descriptors, self.host, tree), name))
        await self.node.start()
        for desk, name in self.desks:
            if name in boot.bind:
                server = await self.loop.create_server(desk.connection, *boot.bind[name], backlog=BACKLOG)
                self.servers.append(server)
        self.endpoint.look()
        self.loop.call_later(COUNT_EACH, self.count)

    # --- the platform ---

    def ready(self) -> bool:
        """It serves: a configuration is in force, some endpoint is known, and others have told what they know."""
        return bool(
            not self.ending
            and self.node.active.configuration is not None
            and self.node.gossip.anti_entropy.joined
            and any(f.ledger.ready for f in self.flights.flights.values())
        )

    def on_ready(self, call: Call) -> Answer:
        ready = self.ready()
        if ready is not self.told_ready:
            self.told_ready = ready
            log.info(
                "ready" if ready else "not ready",
                extra={"code": "READY", "met": self.node.gossip.anti_entropy.joined, "number": self.node.active.index},
            )
        return json_answer(200 if ready else 503)

    def reload(self, boot: Boot) -> None:
        self.node.reload(boot)

    async def stop(self, grace: float) -> None:
        """End in order: others stop coming first, what runs is finished."""
        began = self.loop.time()
        self.ending = True
        self.node.gossip.leave(began)
        self.node.gossip_socket.flush()
        for desk, _ in self.desks:
            desk.begin_drain()
        while self.loop.time() - began < grace - ENDS_BEFORE:
            await asyncio.sleep(0.05)
            elapsed = self.loop.time() - began
            if elapsed > refuses_after(grace):
                self.egress.refusing = True
            quiet = not self.egress.open and not self.keeper.jobs and not self.incoming
            if quiet and elapsed > SERVES_ON:
                break
        self.egress.refusing = True
        for server in self.servers:
            server.close()
        self.egress.close_idle()
        for desk, _ in self.desks:
            desk.stop()
        self.node.stop()

    def count(self) -> None:
        """A line of counters now and then: they say more than a line for each thing that happens."""
        self.loop.call_later(COUNT_EACH, self.count)
        hops = {s: dict(f.wire.counts) for s, f in self.flights.flights.items()}
        log.info(
            "counts",
            extra={
                "code": "COUNTS",
                "egress": self.egress.counts,
                "keeper": self.keeper.counts,
                "hops": hops,
                "gossip": self.node.gossip.counters.as_dict(),
            },
        )

    # --- loads from other sidecars ---

    def on_load(self, link: FramedConnection, frame: Frame) -> None:
        """A load; the body of one that knocks is let come where there is room, at the endpoint and here."""
        load = ForwardRequest()
        load.CopyFrom(frame.forward_request)
        incoming = Incoming(link, load, self.loop.time())
        if load.length > MOST_BODY:
            link.abort()
            return
        if self.egress.refusing:
            link.send(Frame(stream=frame.stream, forward_reply=ForwardReply(outcome=Verdict.NEVER, reason="ending")))
            return
        if incoming.wanted > 0:
            refused = self.keeper.has_room(load) if load.reserve_first else None
            coming = sum(i.wanted for i in self.incoming.values() if i.wanted > 0)
            if coming and coming + load.length > MOST_COMING * (self.boot.memory << 20):
                refused = ForwardReply(outcome=Verdict.FULL, reason="memory")
            if refused is not None:
                link.send(Frame(stream=frame.stream, forward_reply=refused))
                return
            if load.reserve_first:
                link.send(Frame(stream=frame.stream, reservation_granted=True))
        self.incoming[(link, frame.stream)] = incoming
        if incoming.wanted <= 0:
            self.hand_in(frame.stream, incoming)

    def on_ask(self, link: FramedConnection, frame: Frame) -> None:
        """A member of the core asks for an operator."""
        found = self.egress.remembered.find(frame.control_call.text.decode("utf-8", "replace"))
        text = orjson.dumps({"By": self.node.name, **found}) if found is not None else b""
        link.send(
            Frame(stream=frame.stream, control_reply=ControlReply(status=200 if found is not None else 404, text=text))
        )

    def on_piece(self, link: FramedConnection, frame: Frame) -> None:
        incoming = self.incoming.get((link, frame.stream))
        if incoming is not None and incoming.wanted > 0:
            incoming.parts.append(frame.body_chunk.data)
            incoming.wanted -= len(frame.body_chunk.data)
            if incoming.wanted <= 0:
                self.hand_in(frame.stream, incoming)

    def hand_in(self, stream: int, incoming: Incoming) -> None:
        body = incoming.parts[0] if len(incoming.parts) == 1 else b"".join(incoming.parts)
        incoming.job = self.keeper.offer(incoming.load, body, partial(self.send_back, stream, incoming), incoming.since)

    def send_back(self, stream: int, incoming: Incoming, made: ForwardReply) -> None:
        """A keeper's verdict, over the link; a long body in pieces."""
        self.incoming.pop((incoming.link, stream), None)
        body = made.body
        made.length = len(body)
        if len(body) > WHOLE:
            made.body = body[:WHOLE]
        incoming.link.send(Frame(stream=stream, forward_reply=made))
        for at in range(WHOLE, len(body), WHOLE):
            incoming.link.send(Frame(stream=stream, body_chunk=BodyChunk(data=body[at : at + WHOLE])))

    def on_cancel(self, link: FramedConnection, frame: Frame) -> None:
        incoming = self.incoming.pop((link, frame.stream), None)
        if incoming is not None and incoming.job is not None:
            self.keeper.cancel(incoming.job)

    def on_link_lost(self, link: FramedConnection) -> None:
        """Whoever asked gets no answer any more: what it asked is given up."""
        for key in [k for k in self.incoming if k[0] is link]:
            incoming = self.incoming.pop(key)
            if incoming.job is not None:
                self.keeper.cancel(incoming.job)

    # --- what is known of the others ---

    def make_flight(self, service: str) -> Flight:
        bounds = self.boot.bounds
        retry_budget = RetryBudget(
            bounds.get("RetryRatio", 0.2), bounds.get("RetryWindowS", 10.0), bounds.get("RetrySlack", 0.0)
        )
        retry_budget.sidecars = self.sidecars()
        wire = HopWire((self.boot.ip, self.node.port), self.keeper, self.node.line, retry_budget, self.node.speaks)
        zones = self.boot.zones
        zone = zones.index(self.boot.zone) if self.boot.zone in zones else 0
        return Flight(service, zone, self.sidecars(), wire, retry_budget, self.node.descriptors, self.host)

    def sidecars(self) -> int:
        return sum(
            r.rank < 2 and NodeInfo.FromString(r.body).role == SIDECAR
            for r in self.node.gossip.records.of_kind(RecordKind.NODE)
        )

    def on_configuration(self, configuration: Configuration) -> None:
        self.egress.configure(configuration, self.boot.memory << 20)
        for service in configuration.services:
            self.flights.to(service)
            self.stale.add(service)
        self.refresh_soon()

    def on_news(self, record: Record) -> None:
        if record.kind == RecordKind.ENDPOINT:
            endpoint_info = EndpointInfo.FromString(record.body)
            if endpoint_info.service:
                self.stale.add(endpoint_info.service)
            self.endpoint.on_news(record, endpoint_info)
            self.refresh_soon()
        elif record.kind == RecordKind.NODE:
            self.stale.update(self.flights.flights)
            self.refresh_soon()

    def refresh_soon(self) -> None:
        if not self.refreshing:
            self.refreshing = True
            self.loop.call_soon(self.refresh)

    def refresh(self) -> None:
        """Tell the ways out what has changed of their endpoints."""
        self.refreshing = False
        stale, self.stale = self.stale, set()
        by_service: dict[str, list[Entry]] = {s: [] for s in stale}
        gossip = self.node.gossip
        zones = {z: n for n, z in enumerate(self.boot.zones)}
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
        sidecars = self.sidecars()
        for service, entries in by_service.items():
            flight = self.flights.to(service)
            flight.retry_budget.sidecars = sidecars
            flight.take(entries)

"""The endpoint beside a sidecar: its heartbeats, what others say of it, and when it is taken for gone."""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable

from ...http1.heads import HttpResponse
from ..control_api.listener import Call, json_answer
from ..dataplane.ingress import Ingress
from ..membership.records import DEPARTED_SEQ, EndpointPhase, RecordKind
from ..transport.mesh_pb2 import EndpointInfo, Record
from .endpoint_api import EndpointAnnouncer
from .heartbeats import (
    departure_record,
    gone_record,
    is_final,
    is_news,
    parse_heartbeat,
    set_sidecar,
    superseding_record,
)
from .node import Node
from .node_settings import NodeSettings

log = logging.getLogger(__name__)

MISSED_HEARTBEATS = 3.4  # intervals of silence after which an endpoint is taken for gone
CHECK_INTERVAL = 0.5  # s between two checks of its heartbeats
STALL_THRESHOLD = 0.5  # s by which a check is late when this process stood still


class LocalEndpoint:
    """Owns what is known of the endpoint on this machine, and opens and closes the ingress by it."""

    def __init__(self, settings: NodeSettings, node: Node, ingress: Ingress) -> None:
        self.settings, self.node, self.ingress, self.loop = settings, node, ingress, node.loop
        self.announcer = EndpointAnnouncer(node, settings.fault_model.hosts)
        self.heartbeat_at = -math.inf
        """When the endpoint was last heard."""
        self.heartbeat_seq = 0
        """Of its heartbeats that came here, the highest number."""
        self.claimed_since: dict[str, float] = {}
        """Endpoints that others take to be on this machine and that don't beat here, and since when."""
        self.checked_at = self.loop.time()
        ingress.on_refused = self.on_refused

    # --- what it says ---

    def on_heartbeat(self, call: Call) -> HttpResponse | Awaitable[HttpResponse]:
        """Take a heartbeat; a drain is acknowledged once enough others hold it."""
        record = parse_heartbeat(call)
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, record.id)
        set_sidecar(record, self.node.name)
        if record.rank != EndpointPhase.READY:
            record = superseding_record(known, record)
            self.record_heartbeat(record)
            return self.announcer.acknowledge(record)
        if known is not None and (is_final(known) or known.seq > record.seq):
            return json_answer(200)  # it leaves, or the heartbeat is a late one
        if known is not None and known.rank >= EndpointPhase.GONE and max(known.seq, self.heartbeat_seq) >= record.seq:
            return json_answer(200)  # said before it was taken for gone
        if is_news(known, record):
            self.node.broadcast(record)
        self.record_heartbeat(record)
        return json_answer(200)

    def record_heartbeat(self, record: Record) -> None:
        """An endpoint on this machine is alive."""
        if record.rank == EndpointPhase.READY and record.id != self.ingress.endpoint:
            self.heartbeat_seq = record.seq
        self.update_ingress(record.id, record.rank, EndpointInfo.FromString(record.body))
        if record.id == self.ingress.endpoint or self.heartbeat_at < 0:
            self.heartbeat_at = self.loop.time()
            self.heartbeat_seq = max(self.heartbeat_seq, record.seq)

    def update_ingress(self, endpoint: str, rank: int, info: EndpointInfo) -> None:
        """Open or close the ingress by what is known of an endpoint here."""
        if rank == EndpointPhase.READY:
            previous = self.ingress.endpoint
            if previous and previous != endpoint:
                self.declare_gone(previous)
            host, _, port = info.address.rpartition(":")
            address = self.settings.application_address or (host, int(port))
            if endpoint != previous or not self.ingress.is_open:
                log.info("endpoint admitted", extra={"code": "ENDPOINT_READY", "endpoint": endpoint})
            self.ingress.admit(endpoint, address, info.slots)
        elif endpoint == self.ingress.endpoint:
            if self.ingress.is_open:
                log.info("endpoint drains", extra={"code": "ENDPOINT_DRAINS", "endpoint": endpoint})
            self.ingress.close()

    async def on_departure(self, call: Call) -> HttpResponse:
        """Take a departure, acknowledged once enough others hold it."""
        endpoint = call.path_parameters[0]
        if endpoint == self.ingress.endpoint:
            self.ingress.forget()
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, endpoint)
        return await self.announcer.acknowledge(superseding_record(known, departure_record(endpoint)))

    def declare_gone(self, endpoint: str) -> None:
        """Take an endpoint for gone.

        A heartbeat that it sends after its last one shows that it is alive, unless it has said before that it leaves.
        """
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, endpoint)
        heard_seq = self.heartbeat_seq if endpoint == self.ingress.endpoint else 0
        if endpoint == self.ingress.endpoint:
            self.ingress.forget()
        if known is not None and known.rank < EndpointPhase.GONE:
            seq = DEPARTED_SEQ if is_final(known) else max(known.seq, heard_seq)
            self.node.broadcast(gone_record(known, seq))

    # --- what shows that it is gone ---

    def check_heartbeats(self) -> None:
        """Take the endpoint for gone when it falls silent; runs every :data:`CHECK_INTERVAL`."""
        self.loop.call_later(CHECK_INTERVAL, self.check_heartbeats)
        stalled_for = self.loop.time() - self.checked_at - CHECK_INTERVAL
        self.checked_at = self.loop.time()
        if stalled_for > STALL_THRESHOLD:
            # What the endpoint said in that time is not read yet.
            self.heartbeat_at = min(self.checked_at, self.heartbeat_at + stalled_for)
            self.claimed_since = {
                endpoint: min(self.checked_at, since + stalled_for) for endpoint, since in self.claimed_since.items()
            }
        timeout = MISSED_HEARTBEATS * self.settings.heartbeat_interval
        if self.ingress.endpoint and self.loop.time() - self.heartbeat_at > timeout:
            log.info("endpoint fell silent", extra={"code": "ENDPOINT_SILENT", "endpoint": self.ingress.endpoint})
            self.declare_gone(self.ingress.endpoint)
        for endpoint, since in list(self.claimed_since.items()):
            if endpoint == self.ingress.endpoint:
                del self.claimed_since[endpoint]
            elif self.loop.time() - since > timeout:
                del self.claimed_since[endpoint]
                self.declare_gone(endpoint)

    def on_refused(self) -> None:
        """Nobody listens at the endpoint's address: it has crashed, or is not up yet."""
        if self.ingress.endpoint:
            log.info("endpoint refuses connections", extra={"code": "ENDPOINT_REFUSES"})
            self.declare_gone(self.ingress.endpoint)

    # --- what others say ---

    def on_record(self, record: Record, info: EndpointInfo) -> None:
        """A record is new of an endpoint that is on this machine, or is said to be."""
        is_here = record.id == self.ingress.endpoint
        if info.sidecar != self.node.name and not is_here:
            return
        if not is_here:
            self.on_claim(record, info)
        elif self.was_taken_for_gone(record) and self.ingress.is_open:
            # Others didn't hear from here; its heartbeats show that it is alive.
            self.node.broadcast(
                Record(
                    kind=RecordKind.ENDPOINT,
                    id=record.id,
                    incarnation=record.incarnation,
                    seq=self.heartbeat_seq,
                    body=info.SerializeToString(),
                )
            )
        elif record.rank >= EndpointPhase.DRAINING:
            self.ingress.close()

    def on_claim(self, record: Record, info: EndpointInfo) -> None:
        """Others say that an endpoint is on this machine that hasn't sent heartbeats here."""
        if record.rank == EndpointPhase.READY and not self.ingress.endpoint and self.heartbeat_at < 0:
            # This process has started anew, and has no memory of it.
            self.heartbeat_at, self.heartbeat_seq = self.loop.time(), record.seq
            self.update_ingress(record.id, record.rank, info)
        elif record.rank < EndpointPhase.GONE:
            self.claimed_since.setdefault(record.id, self.loop.time())

    def was_taken_for_gone(self, record: Record) -> bool:
        """Whether others declared the endpoint gone, without a word of its own that it leaves."""
        return record.rank >= EndpointPhase.GONE and record.seq < min(DEPARTED_SEQ, self.heartbeat_seq)

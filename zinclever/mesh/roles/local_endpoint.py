"""The endpoint beside a sidecar: what it says of itself, what others say of it, and when it is taken for gone."""

from __future__ import annotations

import logging
from collections.abc import Awaitable

from ...http1.heads import Answer
from ..control_api.listener import Call, json_answer
from ..dataplane.ingress import Ingress
from ..membership.records import DEPARTED_SEQ, EndpointPhase, RecordKind
from ..transport.mesh_pb2 import EndpointInfo, Record
from .endpoint_api import EndpointAnnouncer
from .heartbeats import departure_record, is_final, is_news, parse_heartbeat, set_sidecar, superseding_record
from .node import Node
from .node_settings import NodeSettings

log = logging.getLogger(__name__)

MISSED_HEARTBEATS = 3.4  # beats after which an endpoint that says nothing is taken for gone
CHECK_INTERVAL = 0.5  # s between two looks at it
STALL_THRESHOLD = 0.5  # s by which a look is late when this process stood still


class LocalEndpoint:
    """Owns what is known of the endpoint on this machine, and opens and closes the keeper by it."""

    def __init__(self, boot: NodeSettings, node: Node, keeper: Ingress) -> None:
        self.settings, self.node, self.ingress, self.loop = boot, node, keeper, node.loop
        self.announcer = EndpointAnnouncer(node, boot.fault_model.hosts)
        self.heartbeat_at = -1e9
        """When the endpoint was last heard."""
        self.heartbeat_seq = 0
        """Of its beats that came here, the highest number."""
        self.claimed_since: dict[str, float] = {}
        """Endpoints that others take to be on this machine and that don't beat here, and since when."""
        self.checked_at = self.loop.time()
        keeper.on_refused = self.on_refused

    # --- what it says ---

    def on_heartbeat(self, call: Call) -> Answer | Awaitable[Answer]:
        record = parse_heartbeat(call)
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, record.id)
        set_sidecar(record, self.node.name)
        if record.rank != EndpointPhase.READY:
            record = superseding_record(known, record)
            self.record_heartbeat(record)
            return self.announcer.acknowledge(record)
        if known is not None and (is_final(known) or known.seq > record.seq):
            return json_answer(200)  # it leaves, or the beat is a late one
        if known is not None and known.rank >= EndpointPhase.GONE and max(known.seq, self.heartbeat_seq) >= record.seq:
            return json_answer(200)  # said before it was taken for gone
        if is_news(known, record):
            self.node.broadcast(record)
        self.record_heartbeat(record)
        return json_answer(200)

    def record_heartbeat(self, record: Record) -> None:
        """An endpoint on this machine lives."""
        if record.rank == EndpointPhase.READY and record.id != self.ingress.endpoint:
            self.heartbeat_seq = record.seq
        self.update_ingress(record.id, record.rank, EndpointInfo.FromString(record.body))
        if record.id == self.ingress.endpoint or self.heartbeat_at < 0:
            self.heartbeat_at = self.loop.time()
            self.heartbeat_seq = max(self.heartbeat_seq, record.seq)

    def update_ingress(self, endpoint: str, rank: int, endpoint_info: EndpointInfo) -> None:
        """What the keeper does by what is known of an endpoint here."""
        if rank == EndpointPhase.READY:
            old = self.ingress.endpoint
            if old and old != endpoint:
                self.declare_gone(old)
            host, _, port = endpoint_info.address.rpartition(":")
            address = self.settings.application_address or (host, int(port))
            if endpoint != old or not self.ingress.is_open:
                log.info("endpoint admitted", extra={"code": "ENDPOINT_READY", "endpoint": endpoint})
            self.ingress.admit(endpoint, address, endpoint_info.slots)
        elif endpoint == self.ingress.endpoint:
            if self.ingress.is_open:
                log.info("endpoint drains", extra={"code": "ENDPOINT_DRAINS", "endpoint": endpoint})
            self.ingress.close()

    async def on_departure(self, call: Call) -> Answer:
        endpoint = call.path_parameters[0]
        if endpoint == self.ingress.endpoint:
            self.ingress.forget()
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, endpoint)
        return await self.announcer.acknowledge(superseding_record(known, departure_record(endpoint)))

    def declare_gone(self, endpoint: str) -> None:
        """An endpoint is taken for gone: a beat that it says after its last one shows that it lives, unless it has
        said before that it leaves."""
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, endpoint)
        heard = self.heartbeat_seq if endpoint == self.ingress.endpoint else 0
        if endpoint == self.ingress.endpoint:
            self.ingress.forget()
        if known is not None and known.rank < EndpointPhase.GONE:
            seq = DEPARTED_SEQ if is_final(known) else max(known.seq, heard)
            self.node.broadcast(
                Record(
                    kind=RecordKind.ENDPOINT,
                    id=endpoint,
                    incarnation=known.incarnation,
                    seq=seq,
                    rank=EndpointPhase.GONE,
                    body=known.body,
                )
            )

    # --- what shows that it is gone ---

    def check_heartbeats(self) -> None:
        """Whether the endpoint still beats."""
        self.loop.call_later(CHECK_INTERVAL, self.check_heartbeats)
        stood_still = self.loop.time() - self.checked_at - CHECK_INTERVAL
        self.checked_at = self.loop.time()
        if stood_still > STALL_THRESHOLD:
            # What the endpoint said in that time is not read yet.
            self.heartbeat_at = min(self.checked_at, self.heartbeat_at + stood_still)
            self.claimed_since = {
                e: min(self.checked_at, since + stood_still) for e, since in self.claimed_since.items()
            }
        if (
            self.ingress.endpoint
            and self.loop.time() - self.heartbeat_at > MISSED_HEARTBEATS * self.settings.heartbeat_interval
        ):
            log.info("endpoint fell silent", extra={"code": "ENDPOINT_SILENT", "endpoint": self.ingress.endpoint})
            self.declare_gone(self.ingress.endpoint)
        for endpoint, since in list(self.claimed_since.items()):
            if endpoint == self.ingress.endpoint:
                del self.claimed_since[endpoint]
            elif self.loop.time() - since > MISSED_HEARTBEATS * self.settings.heartbeat_interval:
                del self.claimed_since[endpoint]
                self.declare_gone(endpoint)

    def on_refused(self) -> None:
        """Nobody listens at the endpoint's address: it has crashed, or is not up yet."""
        if self.ingress.endpoint:
            log.info("endpoint refuses connections", extra={"code": "ENDPOINT_REFUSES"})
            self.declare_gone(self.ingress.endpoint)

    # --- what others say ---

    def on_record(self, record: Record, endpoint_info: EndpointInfo) -> None:
        """Something is new of an endpoint that is on this machine, or is said to be."""
        if endpoint_info.sidecar != self.node.name and record.id != self.ingress.endpoint:
            return
        if record.id != self.ingress.endpoint:
            if record.rank == EndpointPhase.READY and not self.ingress.endpoint and self.heartbeat_at < 0:
                # Told after a start of this process, which has no memory of it.
                self.heartbeat_at, self.heartbeat_seq = self.loop.time(), record.seq
                self.update_ingress(record.id, record.rank, endpoint_info)
            elif record.rank < EndpointPhase.GONE:
                self.claimed_since.setdefault(record.id, self.loop.time())
            return
        if (
            record.rank >= EndpointPhase.GONE
            and record.seq < min(DEPARTED_SEQ, self.heartbeat_seq)
            and self.ingress.is_open
        ):
            # Others have taken it for gone, as they didn't hear from here; its beats show that it lives.
            body = endpoint_info.SerializeToString()
            self.node.broadcast(
                Record(
                    kind=RecordKind.ENDPOINT,
                    id=record.id,
                    incarnation=record.incarnation,
                    seq=self.heartbeat_seq,
                    body=body,
                )
            )
        elif record.rank >= EndpointPhase.DRAINING:
            self.ingress.close()

"""The endpoint beside a sidecar: its heartbeats, gossip about it from other processes, and its failure detection."""

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
    changes_state,
    departure_record,
    gone_record,
    is_final,
    parse_heartbeat,
    set_sidecar,
    superseding_record,
)
from .node import Node
from .node_settings import NodeSettings

log = logging.getLogger(__name__)

MISSED_HEARTBEATS = 3.4  # heartbeat intervals without a heartbeat after which an endpoint is declared GONE
CHECK_INTERVAL = 0.5  # s between two checks of the heartbeats
STALL_THRESHOLD = 0.5  # s by which a check is late if this process was stalled


class LocalEndpoint:
    """Owns the state of the endpoint on this machine, and opens and closes the ingress accordingly."""

    def __init__(self, settings: NodeSettings, node: Node, ingress: Ingress) -> None:
        self.settings, self.node, self.ingress, self.loop = settings, node, ingress, node.loop
        self.announcer = EndpointAnnouncer(node, settings.fault_model.hosts)
        self.heartbeat_at = -math.inf
        """Instant in s of the endpoint's last heartbeat."""
        self.heartbeat_seq = 0
        """Highest sequence number of the heartbeats received here."""
        self.claimed_since: dict[str, float] = {}
        """By id of an endpoint that sends no heartbeats here: since when others have claimed it is on this machine."""
        self.checked_at = self.loop.time()
        ingress.on_connection_refused = self.on_connection_refused

    # --- heartbeats and departures ---

    def on_heartbeat(self, call: Call) -> HttpResponse | Awaitable[HttpResponse]:
        """Handle a heartbeat; a drain is acknowledged once enough other processes hold it."""
        record = parse_heartbeat(call)
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, record.id)
        set_sidecar(record, self.node.name)
        if record.rank != EndpointPhase.READY:
            record = superseding_record(known, record)
            self.record_heartbeat(record)
            return self.announcer.acknowledge(record)
        if known is not None and (is_final(known) or known.seq > record.seq):
            return json_answer(200)  # the endpoint is leaving, or the heartbeat is outdated
        if known is not None and known.rank >= EndpointPhase.GONE and max(known.seq, self.heartbeat_seq) >= record.seq:
            return json_answer(200)  # the heartbeat was sent before the endpoint was declared GONE
        if changes_state(known, record):
            self.node.broadcast(record)
        self.record_heartbeat(record)
        return json_answer(200)

    def record_heartbeat(self, record: Record) -> None:
        """Update the ingress and the failure detection with a heartbeat."""
        if record.rank == EndpointPhase.READY and record.id != self.ingress.endpoint:
            self.heartbeat_seq = record.seq
        self.update_ingress(record.id, record.rank, EndpointInfo.FromString(record.body))
        if record.id == self.ingress.endpoint or self.heartbeat_at < 0:
            self.heartbeat_at = self.loop.time()
            self.heartbeat_seq = max(self.heartbeat_seq, record.seq)

    def update_ingress(self, endpoint: str, rank: int, info: EndpointInfo) -> None:
        """Open or close the ingress according to the phase of an endpoint on this machine."""
        if rank == EndpointPhase.READY:
            previous = self.ingress.endpoint
            if previous and previous != endpoint:
                self.declare_gone(previous)
            host, _, port = info.address.rpartition(":")
            address = self.settings.application_address or (host, int(port))
            if endpoint != previous or not self.ingress.is_open:
                log.info("endpoint admitted", extra={"code": "ENDPOINT_READY", "endpoint": endpoint})
            self.ingress.attach_endpoint(endpoint, address, info.slots)
        elif endpoint == self.ingress.endpoint:
            if self.ingress.is_open:
                log.info("endpoint draining", extra={"code": "ENDPOINT_DRAINS", "endpoint": endpoint})
            self.ingress.close()

    async def on_departure(self, call: Call) -> HttpResponse:
        """Handle a departure, acknowledged once enough other processes hold it."""
        endpoint = call.path_parameters[0]
        if endpoint == self.ingress.endpoint:
            self.ingress.forget()
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, endpoint)
        return await self.announcer.acknowledge(superseding_record(known, departure_record(endpoint)))

    def declare_gone(self, endpoint: str) -> None:
        """Declare an endpoint GONE, and send it no more requests.

        A later heartbeat from it makes it ready again, unless it had announced a drain or departure.
        """
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, endpoint)
        last_heartbeat_seq = self.heartbeat_seq if endpoint == self.ingress.endpoint else 0
        if endpoint == self.ingress.endpoint:
            self.ingress.forget()
        if known is not None and known.rank < EndpointPhase.GONE:
            seq = DEPARTED_SEQ if is_final(known) else max(known.seq, last_heartbeat_seq)
            self.node.broadcast(gone_record(known, seq))

    # --- failure detection ---

    def check_heartbeats(self) -> None:
        """Declare endpoints GONE whose heartbeats are missing; runs every :data:`CHECK_INTERVAL`.

        These are the endpoint of the ingress, and endpoints that others claim to be on this machine.
        """
        self.loop.call_later(CHECK_INTERVAL, self.check_heartbeats)
        stalled_for = self.loop.time() - self.checked_at - CHECK_INTERVAL
        self.checked_at = self.loop.time()
        if stalled_for > STALL_THRESHOLD:
            # Heartbeats that arrived during the stall have not been read yet.
            self.heartbeat_at = min(self.checked_at, self.heartbeat_at + stalled_for)
            self.claimed_since = {
                endpoint: min(self.checked_at, since + stalled_for) for endpoint, since in self.claimed_since.items()
            }
        timeout = MISSED_HEARTBEATS * self.settings.heartbeat_interval
        if self.ingress.endpoint and self.loop.time() - self.heartbeat_at > timeout:
            log.info(
                "endpoint heartbeats missing", extra={"code": "ENDPOINT_SILENT", "endpoint": self.ingress.endpoint}
            )
            self.declare_gone(self.ingress.endpoint)
        for endpoint, since in list(self.claimed_since.items()):
            if endpoint == self.ingress.endpoint:
                del self.claimed_since[endpoint]
            elif self.loop.time() - since > timeout:
                del self.claimed_since[endpoint]
                self.declare_gone(endpoint)

    def on_connection_refused(self) -> None:
        """Declare the endpoint GONE as nothing listens at its address: it has crashed, or has not started yet."""
        if self.ingress.endpoint:
            log.info("endpoint refuses connections", extra={"code": "ENDPOINT_REFUSES"})
            self.declare_gone(self.ingress.endpoint)

    # --- records from other processes ---

    def on_record(self, record: Record, info: EndpointInfo) -> None:
        """Handle a new record of an endpoint that is on this machine, or that is claimed to be."""
        is_local = record.id == self.ingress.endpoint
        if info.sidecar != self.node.name and not is_local:
            return
        if not is_local:
            self.on_claim(record, info)
        elif self.was_declared_gone(record) and self.ingress.is_open:
            # The heartbeats received here refute the declaration of the others.
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
        """Handle a record which claims that an endpoint is on this machine, although it has sent no heartbeats here."""
        if record.rank == EndpointPhase.READY and not self.ingress.endpoint and self.heartbeat_at < 0:
            # This process has restarted, and lost the state of the endpoint.
            self.heartbeat_at, self.heartbeat_seq = self.loop.time(), record.seq
            self.update_ingress(record.id, record.rank, info)
        elif record.rank < EndpointPhase.GONE:
            self.claimed_since.setdefault(record.id, self.loop.time())

    def was_declared_gone(self, record: Record) -> bool:
        """Return whether others declared the endpoint GONE, although it sent a later heartbeat and hasn't departed."""
        return record.rank >= EndpointPhase.GONE and record.seq < min(DEPARTED_SEQ, self.heartbeat_seq)

"""The endpoint beside a sidecar: what it says of itself, what others say of it, and when it is taken for gone."""

from __future__ import annotations

import logging
from collections.abc import Awaitable

from ...http1.heads import Answer
from ..control_api.desk import Call, json_answer
from ..dataplane.keeper import Keeper
from ..membership.records import DEPARTED_SEQ, EndpointPhase, RecordKind
from ..transport.mesh_pb2 import EndpointInfo, Record
from .boot import Boot
from .endpoint_api import Announcer
from .endpoint_calls import announcement, changes, departure, is_final, read_beat, with_keeper
from .node import Node

log = logging.getLogger(__name__)

MISSED = 3.4  # beats after which an endpoint that says nothing is taken for gone
LOOK = 0.5  # s between two looks at it
LATE = 0.5  # s by which a look is late when this process stood still


class OwnEndpoint:
    """Owns what is known of the endpoint on this machine, and opens and closes the keeper by it."""

    def __init__(self, boot: Boot, node: Node, keeper: Keeper) -> None:
        self.boot, self.node, self.keeper, self.loop = boot, node, keeper, node.loop
        self.announcer = Announcer(node, boot.fault_model.hosts)
        self.beat_at = -1e9
        """When the endpoint was last heard."""
        self.beat_seq = 0
        """Of its beats that came here, the highest number."""
        self.claims: dict[str, float] = {}
        """Endpoints that others take to be on this machine and that don't beat here, and since when."""
        self.looked_at = self.loop.time()
        keeper.refused = self.on_refused

    # --- what it says ---

    def on_beat(self, call: Call) -> Answer | Awaitable[Answer]:
        record = read_beat(call)
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, record.id)
        with_keeper(record, self.node.name)
        if record.rank != EndpointPhase.READY:
            record = announcement(known, record)
            self.hear_beat(record)
            return self.announcer.acknowledge(record)
        if known is not None and (is_final(known) or known.seq > record.seq):
            return json_answer(200)  # it leaves, or the beat is a late one
        if known is not None and known.rank >= EndpointPhase.GONE and max(known.seq, self.beat_seq) >= record.seq:
            return json_answer(200)  # said before it was taken for gone
        if changes(known, record):
            self.node.tell(record)
        self.hear_beat(record)
        return json_answer(200)

    def hear_beat(self, record: Record) -> None:
        """An endpoint on this machine lives."""
        if record.rank == EndpointPhase.READY and record.id != self.keeper.endpoint:
            self.beat_seq = record.seq
        self.adopt(record.id, record.rank, EndpointInfo.FromString(record.body))
        if record.id == self.keeper.endpoint or self.beat_at < 0:
            self.beat_at = self.loop.time()
            self.beat_seq = max(self.beat_seq, record.seq)

    def adopt(self, endpoint: str, rank: int, endpoint_info: EndpointInfo) -> None:
        """What the keeper does by what is known of an endpoint here."""
        if rank == EndpointPhase.READY:
            old = self.keeper.endpoint
            if old and old != endpoint:
                self.end(old)
            host, _, port = endpoint_info.address.rpartition(":")
            address = self.boot.app or (host, int(port))
            if endpoint != old or not self.keeper.open:
                log.info("endpoint admitted", extra={"code": "ENDPOINT_READY", "endpoint": endpoint})
            self.keeper.admit(endpoint, address, endpoint_info.slots)
        elif endpoint == self.keeper.endpoint:
            if self.keeper.open:
                log.info("endpoint drains", extra={"code": "ENDPOINT_DRAINS", "endpoint": endpoint})
            self.keeper.close()

    async def on_departure(self, call: Call) -> Answer:
        endpoint = call.path_parameters[0]
        if endpoint == self.keeper.endpoint:
            self.keeper.forget()
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, endpoint)
        return await self.announcer.acknowledge(announcement(known, departure(endpoint)))

    def end(self, endpoint: str) -> None:
        """An endpoint is taken for gone: a beat that it says after its last one shows that it lives, unless it has
        said before that it leaves."""
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, endpoint)
        heard = self.beat_seq if endpoint == self.keeper.endpoint else 0
        if endpoint == self.keeper.endpoint:
            self.keeper.forget()
        if known is not None and known.rank < EndpointPhase.GONE:
            seq = DEPARTED_SEQ if is_final(known) else max(known.seq, heard)
            self.node.tell(
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

    def look(self) -> None:
        """Whether the endpoint still beats."""
        self.loop.call_later(LOOK, self.look)
        stood_still = self.loop.time() - self.looked_at - LOOK
        self.looked_at = self.loop.time()
        if stood_still > LATE:
            # What the endpoint said in that time is not read yet.
            self.beat_at = min(self.looked_at, self.beat_at + stood_still)
            self.claims = {e: min(self.looked_at, since + stood_still) for e, since in self.claims.items()}
        if self.keeper.endpoint and self.loop.time() - self.beat_at > MISSED * self.boot.beat:
            log.info("endpoint fell silent", extra={"code": "ENDPOINT_SILENT", "endpoint": self.keeper.endpoint})
            self.end(self.keeper.endpoint)
        for endpoint, since in list(self.claims.items()):
            if endpoint == self.keeper.endpoint:
                del self.claims[endpoint]
            elif self.loop.time() - since > MISSED * self.boot.beat:
                del self.claims[endpoint]
                self.end(endpoint)

    def on_refused(self) -> None:
        """Nobody listens at the endpoint's address: it has crashed, or is not up yet."""
        if self.keeper.endpoint:
            log.info("endpoint refuses connections", extra={"code": "ENDPOINT_REFUSES"})
            self.end(self.keeper.endpoint)

    # --- what others say ---

    def on_news(self, record: Record, endpoint_info: EndpointInfo) -> None:
        """Something is new of an endpoint that is on this machine, or is said to be."""
        if endpoint_info.sidecar != self.node.name and record.id != self.keeper.endpoint:
            return
        if record.id != self.keeper.endpoint:
            if record.rank == EndpointPhase.READY and not self.keeper.endpoint and self.beat_at < 0:
                # Told after a start of this process, which has no memory of it.
                self.beat_at, self.beat_seq = self.loop.time(), record.seq
                self.adopt(record.id, record.rank, endpoint_info)
            elif record.rank < EndpointPhase.GONE:
                self.claims.setdefault(record.id, self.loop.time())
            return
        if record.rank >= EndpointPhase.GONE and record.seq < min(DEPARTED_SEQ, self.beat_seq) and self.keeper.open:
            # Others have taken it for gone, as they didn't hear from here; its beats show that it lives.
            body = endpoint_info.SerializeToString()
            self.node.tell(
                Record(
                    kind=RecordKind.ENDPOINT, id=record.id, incarnation=record.incarnation, seq=self.beat_seq, body=body
                )
            )
        elif record.rank >= EndpointPhase.DRAINING:
            self.keeper.close()

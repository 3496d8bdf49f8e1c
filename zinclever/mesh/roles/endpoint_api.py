"""The calls of endpoints as the roles answer them: beats, drains and departures."""

from __future__ import annotations

import asyncio
import logging

from ...core.protocol import read_address
from ...http1.heads import Answer
from ..control_api.listener import Call, error_answer, json_answer
from ..errors import MeshError
from ..membership.receipt_quorum import ReceiptQuorum
from ..membership.records import EndpointPhase, RecordKind
from ..transport.mesh_pb2 import EndpointInfo, NodeInfo, Record
from .heartbeats import departure_record, is_news, parse_heartbeat, set_sidecar, superseding_record
from .node import CONTROL, SIDECAR, Node

log = logging.getLogger(__name__)

ACKNOWLEDGE_TIMEOUT = 0.8  # s in which enough others have to know: the caller waits for a second
RECEIPT_CHECK_INTERVAL = 0.005  # s between two looks at the receipts
EXTRA_SIDECARS = 3  # besides the keeper: they know, should the whole core stop at once
MAX_ANNOUNCEMENTS = 256  # announcements under way at once
MAX_CONFIRMED = 4096  # endpoints whose last acknowledgement is remembered


class EndpointAnnouncer:
    """Tells others of drains and departures, and says when they may be acknowledged."""

    def __init__(self, node: Node, losses: int) -> None:
        """``losses``: members of the core that may be lost at once."""
        self.node, self.tolerated_losses = node, losses
        self.under_way = 0
        self.confirmed: dict[str, int] = {}
        """By endpoint, the rank that enough others have said to know; the oldest first."""

    def receipt_quorum(self, record: Record) -> ReceiptQuorum:
        """Who is told of a record."""
        gossip = self.node.gossip
        roles = {p: info.role for p in gossip.members.others() if (info := gossip.members.node_info(p)) is not None}
        core = frozenset(p for p, role in roles.items() if role == CONTROL)
        sidecars = sorted(p for p, role in roles.items() if role == SIDECAR)
        keeper = EndpointInfo.FromString(record.body).sidecar
        told = set(gossip.rng.sample(sidecars, min(EXTRA_SIDECARS, len(sidecars))))
        if keeper in roles:
            told.add(keeper)
        own_copy = self.node.role == CONTROL
        needed = self.tolerated_losses if own_copy else self.tolerated_losses + 1
        if keeper == self.node.name:
            return ReceiptQuorum(core, needed, "", frozenset())  # the keeper itself knows
        return ReceiptQuorum(core, needed, keeper, frozenset(told))

    async def acknowledge(self, record: Record) -> Answer:
        """200 once enough others know that an endpoint drains or is gone; else 503, and the caller goes on to
        another process. What was confirmed before is confirmed at once."""
        if self.confirmed.get(record.id, EndpointPhase.READY) >= record.rank:
            return json_answer(200)
        if self.under_way >= MAX_ANNOUNCEMENTS:
            return error_answer(503, MeshError("ENDPOINT_BUSY", "too many announcements are under way"))
        self.under_way += 1
        try:
            known = await self.announce(record)
        finally:
            self.under_way -= 1
        if not known:
            log.warning(
                "an endpoint's end is not acknowledged: too few others know",
                extra={"code": "ENDPOINT_UNACKNOWLEDGED", "endpoint": record.id},
            )
            return error_answer(503, MeshError("ENDPOINT_UNACKNOWLEDGED", "too few others have said that they know"))
        while len(self.confirmed) >= MAX_CONFIRMED:
            del self.confirmed[next(iter(self.confirmed))]
        self.confirmed[record.id] = record.rank
        return json_answer(200)

    async def announce(self, record: Record) -> bool:
        """Whether enough others have said in time that they know."""
        loop, gossip = self.node.loop, self.node.gossip
        audience = self.receipt_quorum(record)
        began = loop.time()
        number = gossip.broadcast_confirmed(began, record, audience.recipients())
        self.node.gossip_socket.flush()
        try:
            while (waited := loop.time() - began) < ACKNOWLEDGE_TIMEOUT:
                held = gossip.records.get(RecordKind.ENDPOINT, record.id)
                if held is not None and held.rank < record.rank:
                    # Another knew a record that stands above this one: the end is told on top of that.
                    record = superseding_record(held, record)
                    gossip.broadcasts.confirmed.pop(number, None)
                    number = gossip.broadcast_confirmed(loop.time(), record, audience.recipients())
                    self.node.gossip_socket.flush()
                if audience.is_reached(gossip.broadcasts.confirmed[number].confirmed_by, waited):
                    return True
                await asyncio.sleep(RECEIPT_CHECK_INTERVAL)
            return False
        finally:
            gossip.broadcasts.confirmed.pop(number, None)


class ControlEndpointApi:
    """Beats and departures at a member of the core: their own sidecar didn't answer."""

    def __init__(self, node: Node, announcer: EndpointAnnouncer) -> None:
        self.node, self.announcer = node, announcer

    async def on_heartbeat(self, call: Call) -> Answer:
        record = parse_heartbeat(call)
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, record.id)
        info = EndpointInfo.FromString(record.body)
        known_keeper = EndpointInfo.FromString(known.body).sidecar if known is not None else ""
        set_sidecar(record, known_keeper or self.sidecar_at(info.address))
        if record.rank != EndpointPhase.READY:
            return await self.announcer.acknowledge(superseding_record(known, record))
        if is_news(known, record):
            self.node.broadcast(record)
        return json_answer(200)

    async def on_departure(self, call: Call) -> Answer:
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, call.path_parameters[0])
        return await self.announcer.acknowledge(superseding_record(known, departure_record(call.path_parameters[0])))

    def sidecar_at(self, address: str) -> str:
        """The sidecar on an endpoint's machine."""
        ip, _ = read_address(address)
        for r in self.node.gossip.records.of_kind(RecordKind.NODE):
            info = NodeInfo.FromString(r.body)
            if info.ip == ip and info.role == SIDECAR and r.rank < 2:
                return r.id
        return ""

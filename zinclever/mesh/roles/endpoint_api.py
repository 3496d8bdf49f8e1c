"""The calls of endpoints at control nodes, and when any process may acknowledge that an endpoint ends."""

from __future__ import annotations

import asyncio
import logging

from ...core.protocol import read_address
from ...http1.heads import Answer
from ..control_api.listener import Call, error_answer, json_answer
from ..errors import MeshError
from ..membership.receipt_quorum import ReceiptQuorum
from ..membership.records import EndpointPhase, RecordKind
from ..transport.mesh_pb2 import EndpointInfo, Record
from .heartbeats import departure_record, is_news, parse_heartbeat, set_sidecar, sidecar_of, superseding_record
from .node import CONTROL, SIDECAR, Node

log = logging.getLogger(__name__)

ACKNOWLEDGE_TIMEOUT = 0.8  # s in which enough others have to confirm: the caller waits for a second
RECEIPT_CHECK_INTERVAL = 0.005  # s between two looks at the receipts
EXTRA_SIDECARS = 3  # besides the endpoint's own: they know, should all control nodes stop at once
MAX_ANNOUNCEMENTS = 256  # under way at once
MAX_CONFIRMED = 4096  # endpoints whose last acknowledgement is remembered


class EndpointAnnouncer:
    """Spreads drains and departures, and says when they may be acknowledged."""

    def __init__(self, node: Node, tolerated_failures: int) -> None:
        """``tolerated_failures``: control nodes that may be lost at once."""
        self.node = node
        self.tolerated_failures = tolerated_failures
        self.under_way = 0
        self.confirmed: dict[str, int] = {}
        """By endpoint, the phase that enough others have confirmed; the oldest first."""

    def receipt_quorum(self, record: Record) -> ReceiptQuorum:
        """Which processes have to confirm a record."""
        members = self.node.gossip.members
        infos = {name: members.node_info(name) for name in members.others()}
        roles = {name: info.role for name, info in infos.items() if info is not None}
        control_nodes = frozenset(name for name, role in roles.items() if role == CONTROL)
        sidecars = sorted(name for name, role in roles.items() if role == SIDECAR)
        endpoint_sidecar = sidecar_of(record)
        recipients = set(self.node.gossip.rng.sample(sidecars, min(EXTRA_SIDECARS, len(sidecars))))
        if endpoint_sidecar in roles:
            recipients.add(endpoint_sidecar)
        holds_itself = self.node.role == CONTROL
        required = self.tolerated_failures if holds_itself else self.tolerated_failures + 1
        if endpoint_sidecar == self.node.name:
            return ReceiptQuorum(control_nodes, required, "", frozenset())
        return ReceiptQuorum(control_nodes, required, endpoint_sidecar, frozenset(recipients))

    async def acknowledge(self, record: Record) -> Answer:
        """200 once enough others hold the record of an endpoint that drains or is gone.

        Else 503, and the caller goes on to another process. What was confirmed before is acknowledged at once.
        """
        if self.confirmed.get(record.id, EndpointPhase.READY) >= record.rank:
            return json_answer(200)
        if self.under_way >= MAX_ANNOUNCEMENTS:
            return error_answer(503, MeshError("ENDPOINT_BUSY", "too many announcements are under way"))
        self.under_way += 1
        try:
            is_confirmed = await self.announce(record)
        finally:
            self.under_way -= 1
        if not is_confirmed:
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
        """Spread a record; whether enough others have confirmed it in time."""
        loop, gossip = self.node.loop, self.node.gossip
        quorum = self.receipt_quorum(record)
        started_at = loop.time()
        number = gossip.broadcast_confirmed(started_at, record, quorum.recipients())
        self.node.gossip_socket.flush()
        try:
            while (waited := loop.time() - started_at) < ACKNOWLEDGE_TIMEOUT:
                held = gossip.records.get(RecordKind.ENDPOINT, record.id)
                if held is not None and held.rank < record.rank:
                    # Another process held a record that takes precedence: the end is spread on top of that.
                    record = superseding_record(held, record)
                    gossip.broadcasts.awaiting_receipts.pop(number, None)
                    number = gossip.broadcast_confirmed(loop.time(), record, quorum.recipients())
                    self.node.gossip_socket.flush()
                if quorum.is_reached(gossip.broadcasts.awaiting_receipts[number].confirmed_by, waited):
                    return True
                await asyncio.sleep(RECEIPT_CHECK_INTERVAL)
            return False
        finally:
            gossip.broadcasts.awaiting_receipts.pop(number, None)


class ControlEndpointApi:
    """Heartbeats and departures at a control node: the endpoint's own sidecar didn't answer."""

    def __init__(self, node: Node, announcer: EndpointAnnouncer) -> None:
        self.node = node
        self.announcer = announcer

    async def on_heartbeat(self, call: Call) -> Answer:
        """Take a heartbeat; a drain is acknowledged once enough others hold it."""
        record = parse_heartbeat(call)
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, record.id)
        known_sidecar = sidecar_of(known) if known is not None else ""
        address = EndpointInfo.FromString(record.body).address
        set_sidecar(record, known_sidecar or self.sidecar_at(address))
        if record.rank != EndpointPhase.READY:
            return await self.announcer.acknowledge(superseding_record(known, record))
        if is_news(known, record):
            self.node.broadcast(record)
        return json_answer(200)

    async def on_departure(self, call: Call) -> Answer:
        """Take a departure, acknowledged once enough others hold it."""
        endpoint = call.path_parameters[0]
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, endpoint)
        return await self.announcer.acknowledge(superseding_record(known, departure_record(endpoint)))

    def sidecar_at(self, address: str) -> str:
        """The sidecar on an endpoint's machine; empty where none is known."""
        ip, _ = read_address(address)
        nodes = self.node.gossip.records.nodes()
        return next((record.id for record, info in nodes if info.ip == ip and info.role == SIDECAR), "")

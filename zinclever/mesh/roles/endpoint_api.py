"""The API of endpoints at control nodes, and acknowledgement of drains and departures at any process."""

from __future__ import annotations

import asyncio
import logging

from ...core.protocol import read_address
from ...http1.heads import HttpResponse
from ..control_api.listener import Call, error_answer, json_answer
from ..errors import MeshError
from ..membership.receipt_quorum import ReceiptQuorum
from ..membership.records import CONTROL, SIDECAR, EndpointPhase, RecordKind
from ..transport.mesh_pb2 import EndpointInfo, Record
from .heartbeats import changes_state, departure_record, parse_heartbeat, set_sidecar, sidecar_of, superseding_record
from .node import Node

log = logging.getLogger(__name__)

ACKNOWLEDGE_TIMEOUT = 0.8  # s in which enough receipts have to come: the caller waits for a second
RECEIPT_CHECK_INTERVAL = 0.005  # s between two checks of the receipts
EXTRA_SIDECARS = 3  # recipients besides the endpoint's own sidecar, in case all control nodes stop at once
MAX_ANNOUNCEMENTS = 256  # in progress at once
MAX_CONFIRMED = 4096  # endpoints whose last acknowledgement is kept


class EndpointAnnouncer:
    """Gossips drains and departures, and decides when they may be acknowledged."""

    def __init__(self, node: Node, tolerated_failures: int) -> None:
        """Create an announcer. ``tolerated_failures``: the number of control nodes that may be lost at once."""
        self.node = node
        self.tolerated_failures = tolerated_failures
        self.in_progress = 0
        self.confirmed: dict[str, int] = {}
        """By endpoint id: the phase that enough other processes have confirmed, oldest entry first."""

    def receipt_quorum(self, record: Record) -> ReceiptQuorum:
        """Return the processes that have to confirm a record, and how many of them."""
        members = self.node.gossip.members
        infos = {name: members.node_info(name) for name in members.others()}
        roles = {name: info.role for name, info in infos.items() if info is not None}
        control_nodes = frozenset(name for name, role in roles.items() if role == CONTROL)
        sidecars = sorted(name for name, role in roles.items() if role == SIDECAR)
        endpoint_sidecar = sidecar_of(record)
        recipients = set(self.node.gossip.rng.sample(sidecars, min(EXTRA_SIDECARS, len(sidecars))))
        if endpoint_sidecar in roles:
            recipients.add(endpoint_sidecar)
        is_control_node = self.node.role == CONTROL
        required = self.tolerated_failures if is_control_node else self.tolerated_failures + 1
        if endpoint_sidecar == self.node.name:
            return ReceiptQuorum(control_nodes, required, "", frozenset())
        return ReceiptQuorum(control_nodes, required, endpoint_sidecar, frozenset(recipients))

    async def acknowledge(self, record: Record) -> HttpResponse:
        """Answer 200 once enough other processes hold the record of a draining or departed endpoint.

        Otherwise the answer is 503, and the caller tries another process. A record that was confirmed before is
        acknowledged immediately.
        """
        if self.confirmed.get(record.id, EndpointPhase.READY) >= record.rank:
            return json_answer(200)
        if self.in_progress >= MAX_ANNOUNCEMENTS:
            return error_answer(503, MeshError("ENDPOINT_BUSY", "too many announcements in progress"))
        self.in_progress += 1
        try:
            is_confirmed = await self.announce(record)
        finally:
            self.in_progress -= 1
        if not is_confirmed:
            log.warning(
                "endpoint shutdown not acknowledged: too few receipts",
                extra={"code": "ENDPOINT_UNACKNOWLEDGED", "endpoint": record.id},
            )
            return error_answer(
                503, MeshError("ENDPOINT_UNACKNOWLEDGED", "too few other processes have confirmed the record")
            )
        while len(self.confirmed) >= MAX_CONFIRMED:
            del self.confirmed[next(iter(self.confirmed))]
        self.confirmed[record.id] = record.rank
        return json_answer(200)

    async def announce(self, record: Record) -> bool:
        """Gossip a record, and return whether enough other processes have confirmed it in time."""
        loop, gossip = self.node.loop, self.node.gossip
        quorum = self.receipt_quorum(record)
        started_at = loop.time()
        number = gossip.broadcast_confirmed(started_at, record, quorum.recipients())
        self.node.gossip_socket.flush()
        try:
            while (elapsed := loop.time() - started_at) < ACKNOWLEDGE_TIMEOUT:
                current = gossip.records.get(RecordKind.ENDPOINT, record.id)
                if current is not None and current.rank < record.rank:
                    # A record that takes precedence has come from another process: announce one that supersedes it.
                    record = superseding_record(current, record)
                    gossip.broadcasts.awaiting_receipts.pop(number, None)
                    number = gossip.broadcast_confirmed(loop.time(), record, quorum.recipients())
                    self.node.gossip_socket.flush()
                if quorum.is_reached(gossip.broadcasts.awaiting_receipts[number].confirmed_by, elapsed):
                    return True
                await asyncio.sleep(RECEIPT_CHECK_INTERVAL)
            return False
        finally:
            gossip.broadcasts.awaiting_receipts.pop(number, None)


class ControlEndpointApi:
    """Handles heartbeats and departures sent to a control node because the endpoint's own sidecar didn't answer."""

    def __init__(self, node: Node, announcer: EndpointAnnouncer) -> None:
        self.node = node
        self.announcer = announcer

    async def on_heartbeat(self, call: Call) -> HttpResponse:
        """Handle a heartbeat; a drain is acknowledged once enough other processes hold it."""
        record = parse_heartbeat(call)
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, record.id)
        known_sidecar = sidecar_of(known) if known is not None else ""
        address = EndpointInfo.FromString(record.body).address
        set_sidecar(record, known_sidecar or self.sidecar_at(address))
        if record.rank != EndpointPhase.READY:
            return await self.announcer.acknowledge(superseding_record(known, record))
        if changes_state(known, record):
            self.node.broadcast(record)
        return json_answer(200)

    async def on_departure(self, call: Call) -> HttpResponse:
        """Handle a departure, acknowledged once enough other processes hold it."""
        endpoint = call.path_parameters[0]
        known = self.node.gossip.records.get(RecordKind.ENDPOINT, endpoint)
        return await self.announcer.acknowledge(superseding_record(known, departure_record(endpoint)))

    def sidecar_at(self, address: str) -> str:
        """Return the name of the sidecar on an endpoint's machine; empty if none is known."""
        ip, _ = read_address(address)
        nodes = self.node.gossip.records.nodes()
        return next((record.id for record, info in nodes if info.ip == ip and info.role == SIDECAR), "")

"""What every process of the mesh has: its place among the others, its links, and the configuration in force."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from ...core.descriptors import Descriptors
from ...core.protocol import Address
from ...system import System
from ..configuration.active import ActiveConfiguration
from ..membership.gossip import Gossip
from ..membership.gossip_socket import GossipSocket
from ..membership.records import ENDED_RANK, RecordKind
from ..membership.transmitter import DEFAULT_RATE
from ..transport.channel import Channel, ChannelPool
from ..transport.framed_connection import FramedConnection
from ..transport.mesh_pb2 import Frame, NodeInfo, Record
from .configuration_distributor import ConfigurationDistributor
from .node_settings import NodeSettings

log = logging.getLogger(__name__)

SIDECAR, CONTROL = "forager", "comb"  # role names on the wire, kept from version 0.1

PORT_OFFSETS = {SIDECAR: 0, CONTROL: 1}  # of a role's port from the first of EphemeralPorts
GOSSIP_LINK_SHARE = 0.1  # of this machine's link that news may take
PROTOCOL_VERSION = 3  # version of the wire


class Node:
    """Owns the gossip's socket, the links and their listener, from :meth:`start` to :meth:`stop`."""

    def __init__(self, settings: NodeSettings, role: str, disk: str = "") -> None:
        self.settings, self.role = settings, role
        self.host = System()
        self.loop = asyncio.get_running_loop()
        self.port = settings.ephemeral_ports[0] + PORT_OFFSETS[role]
        control_address = settings.bind.get("ControlPlane") if role == CONTROL else None
        self.info = NodeInfo(
            ip=settings.ip,
            port=self.port,
            role=role,
            zone=settings.zone,
            disk=disk,
            protocol_version=PROTOCOL_VERSION,
            control_address=f"{control_address[0]}:{control_address[1]}" if control_address else "",
        )
        seeds = [(ip, settings.ephemeral_ports[0] + PORT_OFFSETS[CONTROL]) for ip, _ in settings.seeds]
        self.name = f"{settings.name}/{role}"
        life = time.time_ns() // 1_000_000
        self.gossip = Gossip(
            self.name,
            life,
            self.info,
            seeds,
            self.loop.time(),
            self.host.random(),
            GOSSIP_LINK_SHARE * settings.link_mbps * 125_000.0 if settings.link_mbps else DEFAULT_RATE,
        )
        self.gossip_socket = GossipSocket(self.gossip, self.on_record)
        self.channels = ChannelPool(self.name)
        self.descriptors = Descriptors(max(128, settings.max_descriptors - 200))
        self.active = ActiveConfiguration()
        self.server: asyncio.Server | None = None
        self.connections: set[FramedConnection] = set()
        self.protocol_versions: dict[Address, int] = {}
        """What the processes at an address understand."""
        self.distributor = ConfigurationDistributor(self.gossip, self.channels, self.active, self.broadcast)
        self.record_listeners: list[Callable[[Record], None]] = []
        self.frame_handlers: dict[str, Callable[[FramedConnection, Frame], None]] = {"fetch": self.distributor.on_fetch}
        self.connection_listeners: list[Callable[[FramedConnection], None]] = []

    async def start(self) -> None:
        self.server = await self.loop.create_server(
            lambda: FramedConnection(self.on_frame, self.on_connection_closed), self.settings.ip, self.port, backlog=512
        )
        await self.gossip_socket.listen((self.settings.ip, self.port))

    def stop(self) -> None:
        self.gossip.leave(self.loop.time())
        self.gossip_socket.flush()
        self.gossip_socket.close()
        self.channels.close()
        if self.server is not None:
            self.server.close()
        for link in list(self.connections):
            link.abort()

    def reload(self, boot: NodeSettings) -> None:
        """The settings file has changed: its seeds hold from now on."""
        self.gossip.anti_entropy.seeds = [(ip, boot.ephemeral_ports[0] + PORT_OFFSETS[CONTROL]) for ip, _ in boot.seeds]

    # --- links ---

    def on_frame(self, link: FramedConnection, frame: Frame) -> None:
        self.connections.add(link)
        handler = self.frame_handlers.get(frame.WhichOneof("what") or "")
        if handler is not None:
            handler(link, frame)

    def on_connection_closed(self, link: FramedConnection) -> None:
        self.connections.discard(link)
        self.distributor.waiters.drop(link)
        for told in self.connection_listeners:
            told(link)

    def channel_to(self, address: Address) -> Channel:
        return self.channels.to(address)

    # --- news ---

    def on_record(self, record: Record, teller: str) -> None:
        """Something is new here."""
        if record.kind == RecordKind.VERSION:
            self.distributor.fetch_newer(teller)
        if record.kind == RecordKind.NODE:
            info = NodeInfo.FromString(record.body)
            if record.rank >= ENDED_RANK:
                self.channels.retire((info.ip, info.port))
                self.protocol_versions.pop((info.ip, info.port), None)
            else:
                self.protocol_versions[(info.ip, info.port)] = info.protocol_version
        for listener in self.record_listeners:
            listener(record)

    def broadcast(self, record: Record) -> None:
        """News from here, at once."""
        self.gossip.broadcast(self.loop.time(), record)
        self.gossip_socket.flush()

    # --- the configuration ---

    def put_in_force(self, number: int, generation: int, text: bytes) -> None:
        """A committed configuration: it holds from now on, and others are told of it at once."""
        self.distributor.put_in_force(number, generation, text)

"""The common part of every mesh process: gossip membership, channels to peers, and the active configuration."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from ...core.descriptors import Descriptors
from ...core.protocol import Address
from ...system import System
from ..configuration.active import ActiveConfiguration
from ..membership.gossip import Gossip
from ..membership.gossip_socket import GossipSocket
from ..membership.records import CONTROL, ENDED_RANK, SIDECAR, RecordKind
from ..membership.transmitter import DEFAULT_GOSSIP_RATE
from ..transport.channel import Channel, ChannelPool
from ..transport.framed_connection import FramedConnection
from ..transport.mesh_pb2 import Frame, NodeInfo, Record
from .configuration_distributor import ConfigurationDistributor
from .node_settings import NodeSettings

PORT_OFFSETS = {SIDECAR: 0, CONTROL: 1}  # of a role's port from the first of EphemeralPorts
GOSSIP_LINK_SHARE = 0.1  # of this machine's bandwidth that gossip may use
BYTES_PER_MBIT = 125_000.0
PROTOCOL_VERSION = 3  # of the wire protocol; 2 added reservations, 3 root digests
RESERVED_DESCRIPTORS = 200  # for channels, listeners and files
MIN_DESCRIPTORS = 128
LISTEN_BACKLOG = 512


class Node:
    """Owns the gossip socket, the channels and the frame listener, from :meth:`start` to :meth:`stop`."""

    def __init__(self, settings: NodeSettings, role: str, disk: str = "") -> None:
        """Create a node. ``role``: :data:`SIDECAR` or :data:`CONTROL`; ``disk``: the identity of the disk, empty
        without one.
        """
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
        self.name = f"{settings.name}/{role}"
        self.gossip = Gossip(
            self.name,
            time.time_ns() // 1_000_000,  # incarnation: increases from one start to the next
            self.info,
            seed_addresses(settings),
            self.loop.time(),
            self.host.random(),
            GOSSIP_LINK_SHARE * settings.link_mbps * BYTES_PER_MBIT if settings.link_mbps else DEFAULT_GOSSIP_RATE,
        )
        self.gossip_socket = GossipSocket(self.gossip, self.on_record)
        self.channels = ChannelPool(self.name)
        self.descriptors = Descriptors(max(MIN_DESCRIPTORS, settings.max_descriptors - RESERVED_DESCRIPTORS))
        self.active = ActiveConfiguration()
        self.server: asyncio.Server | None = None
        self.connections: set[FramedConnection] = set()
        """Accepted connections that have sent a frame."""
        self.protocol_versions: dict[Address, int] = {}
        """By address: the protocol version of the process there."""
        self.distributor = ConfigurationDistributor(self.gossip, self.channels, self.active, self.broadcast, self.loop)
        self.record_listeners: list[Callable[[Record], None]] = []
        """Called with each new record."""
        self.frame_handlers: dict[str, Callable[[FramedConnection, Frame], None]] = {"fetch": self.distributor.on_fetch}
        """By the name of the field that is set in :class:`Frame`."""
        self.connection_listeners: list[Callable[[FramedConnection], None]] = []
        """Called with each accepted connection that has closed."""

    async def start(self) -> None:
        """Listen for frames and for gossip. Raises OSError if an address can't be bound."""
        self.server = await self.loop.create_server(
            lambda: FramedConnection(self.on_frame, self.on_connection_closed),
            self.settings.ip,
            self.port,
            backlog=LISTEN_BACKLOG,
        )
        await self.gossip_socket.listen((self.settings.ip, self.port))

    def stop(self) -> None:
        """Announce that this process leaves, and close all sockets."""
        self.gossip.leave(self.loop.time())
        self.gossip_socket.flush()
        self.gossip_socket.close()
        self.channels.close()
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()

    def reload(self, settings: NodeSettings) -> None:
        """Use the seeds of the changed settings; nothing else is reloaded."""
        self.gossip.anti_entropy.seeds = seed_addresses(settings)

    # --- frames ---

    def on_frame(self, connection: FramedConnection, frame: Frame) -> None:
        """Pass a frame to its handler; frames that this role doesn't handle are ignored."""
        self.connections.add(connection)
        handler = self.frame_handlers.get(frame.WhichOneof("what") or "")
        if handler is not None:
            handler(connection, frame)

    def on_connection_closed(self, connection: FramedConnection) -> None:
        """Handle the end of an accepted connection."""
        self.connections.discard(connection)
        self.distributor.waiters.drop(connection)
        for listener in self.connection_listeners:
            listener(connection)

    def has_unwritten_frames(self) -> bool:
        """Return whether a peer has yet to read the rest of an answer."""
        return any(connection.unwritten_bytes() for connection in self.connections)

    def channel_to(self, address: Address) -> Channel:
        """Return the channel to the process at an address."""
        return self.channels.to(address)

    # --- records ---

    def on_record(self, record: Record, sender: str) -> None:
        """Handle a new record: fetch a newer configuration, update the channels, and notify the listeners."""
        if record.kind == RecordKind.VERSION:
            self.distributor.fetch_newer(sender)
        if record.kind == RecordKind.NODE:
            info = NodeInfo.FromString(record.body)
            address = (info.ip, info.port)
            if record.rank >= ENDED_RANK:
                self.channels.retire(address)
                self.protocol_versions.pop(address, None)
            else:
                self.protocol_versions[address] = info.protocol_version
        for listener in self.record_listeners:
            listener(record)

    def broadcast(self, record: Record) -> None:
        """Gossip a record immediately."""
        self.gossip.broadcast(self.loop.time(), record)
        self.gossip_socket.flush()

    # --- the configuration ---

    def activate_configuration(self, index: int, generation: int, text: bytes) -> None:
        """Activate a committed configuration, and announce it immediately."""
        self.distributor.activate_configuration(index, generation, text)


def seed_addresses(settings: NodeSettings) -> list[Address]:
    """Return the gossip addresses of the control nodes that the settings name as seeds."""
    port = settings.ephemeral_ports[0] + PORT_OFFSETS[CONTROL]
    return [(ip, port) for ip, _ in settings.seeds]

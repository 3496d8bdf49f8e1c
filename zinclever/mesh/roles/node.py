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
from .boot import Boot
from .handout import Handout

log = logging.getLogger(__name__)

SIDECAR, CONTROL = "forager", "comb"  # role names on the wire, kept from version 0.1

OFFSETS = {SIDECAR: 0, CONTROL: 1}  # of a role's port from the first of EphemeralPorts
NEWS = 0.1  # of this machine's link that news may take
SPEAKS = 3  # version of the wire


class Node:
    """Owns the gossip's socket, the links and their listener, from :meth:`start` to :meth:`stop`."""

    def __init__(self, boot: Boot, role: str, disk: str = "") -> None:
        self.boot, self.role = boot, role
        self.host = System()
        self.loop = asyncio.get_running_loop()
        self.port = boot.ports[0] + OFFSETS[role]
        control_address = boot.bind.get("ControlPlane") if role == CONTROL else None
        self.info = NodeInfo(
            ip=boot.ip,
            port=self.port,
            role=role,
            zone=boot.zone,
            disk=disk,
            protocol_version=SPEAKS,
            control_address=f"{control_address[0]}:{control_address[1]}" if control_address else "",
        )
        seeds = [(ip, boot.ports[0] + OFFSETS[CONTROL]) for ip, _ in boot.seeds]
        self.name = f"{boot.name}/{role}"
        life = time.time_ns() // 1_000_000
        self.gossip = Gossip(
            self.name,
            life,
            self.info,
            seeds,
            self.loop.time(),
            self.host.random(),
            NEWS * boot.link * 125_000.0 if boot.link else DEFAULT_RATE,
        )
        self.gossip_socket = GossipSocket(self.gossip, self.on_news)
        self.lines = ChannelPool(self.name)
        self.descriptors = Descriptors(max(128, boot.descriptors - 200))
        self.active = ActiveConfiguration()
        self.server: asyncio.Server | None = None
        self.links: set[FramedConnection] = set()
        self.speaks: dict[Address, int] = {}
        """What the processes at an address understand."""
        self.handout = Handout(self.gossip, self.lines, self.active, self.tell)
        self.news: list[Callable[[Record], None]] = []
        self.frames: dict[str, Callable[[FramedConnection, Frame], None]] = {"fetch": self.handout.on_fetch}
        self.link_lost: list[Callable[[FramedConnection], None]] = []

    async def start(self) -> None:
        self.server = await self.loop.create_server(
            lambda: FramedConnection(self.on_frame, self.on_link_lost), self.boot.ip, self.port, backlog=512
        )
        await self.gossip_socket.listen((self.boot.ip, self.port))

    def stop(self) -> None:
        self.gossip.leave(self.loop.time())
        self.gossip_socket.flush()
        self.gossip_socket.close()
        self.lines.close()
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            link.abort()

    def reload(self, boot: Boot) -> None:
        """The settings file has changed: its seeds hold from now on."""
        self.gossip.anti_entropy.seeds = [(ip, boot.ports[0] + OFFSETS[CONTROL]) for ip, _ in boot.seeds]

    # --- links ---

    def on_frame(self, link: FramedConnection, frame: Frame) -> None:
        self.links.add(link)
        handler = self.frames.get(frame.WhichOneof("what") or "")
        if handler is not None:
            handler(link, frame)

    def on_link_lost(self, link: FramedConnection) -> None:
        self.links.discard(link)
        self.handout.waiting.drop(link)
        for told in self.link_lost:
            told(link)

    def line(self, address: Address) -> Channel:
        return self.lines.to(address)

    # --- news ---

    def on_news(self, record: Record, teller: str) -> None:
        """Something is new here."""
        if record.kind == RecordKind.VERSION:
            self.handout.look(teller)
        if record.kind == RecordKind.NODE:
            info = NodeInfo.FromString(record.body)
            if record.rank >= ENDED_RANK:
                self.lines.retire((info.ip, info.port))
                self.speaks.pop((info.ip, info.port), None)
            else:
                self.speaks[(info.ip, info.port)] = info.protocol_version
        for listener in self.news:
            listener(record)

    def tell(self, record: Record) -> None:
        """News from here, at once."""
        self.gossip.broadcast(self.loop.time(), record)
        self.gossip_socket.flush()

    # --- the configuration ---

    def in_force(self, number: int, generation: int, text: bytes) -> None:
        """A committed configuration: it holds from now on, and others are told of it at once."""
        self.handout.in_force(number, generation, text)

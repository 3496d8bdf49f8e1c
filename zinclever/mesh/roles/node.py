"""What every process of the mesh has: its place among the others, its links, and the configuration in force."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from ...core.descriptors import Descriptors
from ...core.protocol import Address
from ...system import System
from ..configuration.active import ActiveConfiguration, unpack
from ..errors import MeshError
from ..membership.gossip import RATE, Gossip
from ..membership.gossip_socket import GossipSocket
from ..membership.records import GONE, NODE, VERSION
from ..transport.links import Line, Lines, Link
from ..transport.mesh_pb2 import Fetch, FetchReply, Frame, NodeInfo, Record, Version
from .boot import Boot

log = logging.getLogger(__name__)

SIDECAR, CONTROL = "forager", "comb"  # role names on the wire, kept from version 0.1

OFFSETS = {SIDECAR: 0, CONTROL: 1}  # of a role's port from the first of EphemeralPorts
NEWS = 0.1  # of this machine's link that news may take
SPEAKS = 3  # version of the wire
FETCH_FOR = 0.6  # s for which a version is waited for before another is asked
CONFIG = "config"  # the id of the version's record


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
            speaks=SPEAKS,
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
            NEWS * boot.link * 125_000.0 if boot.link else RATE,
        )
        self.gossip_socket = GossipSocket(self.gossip, self.on_news)
        self.lines = Lines(self.name)
        self.descriptors = Descriptors(max(128, boot.descriptors - 200))
        self.active = ActiveConfiguration()
        self.server: asyncio.Server | None = None
        self.links: set[Link] = set()
        self.speaks: dict[Address, int] = {}
        """What the processes at an address understand."""
        self.waiting: list[tuple[Link, Frame]] = []
        self.fetching: set[str] = set()
        self.news: list[Callable[[Record], None]] = []
        self.frames: dict[str, Callable[[Link, Frame], None]] = {"fetch": self.on_fetch}
        self.link_lost: list[Callable[[Link], None]] = []

    async def start(self) -> None:
        self.server = await self.loop.create_server(
            lambda: Link(self.on_frame, self.on_link_lost), self.boot.ip, self.port, backlog=512
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
            link.end()

    def reload(self, boot: Boot) -> None:
        """The settings file has changed: its seeds hold from now on."""
        self.gossip.seeds = [(ip, boot.ports[0] + OFFSETS[CONTROL]) for ip, _ in boot.seeds]

    # --- links ---

    def on_frame(self, link: Link, frame: Frame) -> None:
        self.links.add(link)
        handler = self.frames.get(frame.WhichOneof("what") or "")
        if handler is not None:
            handler(link, frame)

    def on_link_lost(self, link: Link) -> None:
        self.links.discard(link)
        self.waiting = [w for w in self.waiting if w[0] is not link]
        for told in self.link_lost:
            told(link)

    def line(self, address: Address) -> Line:
        return self.lines.to(address)

    # --- news ---

    def on_news(self, record: Record, teller: str) -> None:
        """Something is new here."""
        if record.kind == VERSION and record.life > self.active.number:
            self.fetch(record, teller)
        if record.kind == NODE:
            info = NodeInfo.FromString(record.body)
            if record.rank >= GONE:
                self.lines.retire((info.ip, info.port))
                self.speaks.pop((info.ip, info.port), None)
            else:
                self.speaks[(info.ip, info.port)] = info.speaks
        for listener in self.news:
            listener(record)

    def tell(self, record: Record) -> None:
        """News from here, at once."""
        self.gossip.tell(self.loop.time(), record)
        self.gossip_socket.flush()

    # --- the configuration ---

    def in_force(self, number: int, generation: int, text: bytes) -> None:
        """A settled configuration has come here by whatever way: it holds from now on, and others may ask for it."""
        try:
            if self.active.take(number, generation, text):
                log.info(
                    "configuration in force",
                    extra={"code": "CONFIG_IN_FORCE", "number": number, "generation": generation},
                )
        except MeshError as wrong:
            log.error("a settled configuration can't be read", extra={"code": wrong.code, "field": wrong.field})
            return
        body = Version(number=number, generation=generation).SerializeToString()
        self.tell(Record(kind=VERSION, id=CONFIG, life=number, body=body))
        waiting, self.waiting = self.waiting, []
        for link, frame in waiting:
            self.on_fetch(link, frame)

    def fetch(self, record: Record, teller: str) -> None:
        """Ask for a version: who told of it first, then any other."""
        if self.fetching:
            return
        address = self.gossip.address(teller)
        if teller == self.name or address is None:
            peers = [p for p in self.gossip.peers() if self.gossip.address(p) is not None]
            if not peers:
                self.loop.call_later(FETCH_FOR, self.look_again)
                return
            teller = self.gossip.rng.choice(peers)
            address = self.gossip.address(teller)
        assert address is not None
        self.fetching.add(teller)
        line = self.line(address)
        stream = 0
        done = False

        def over(frame: Frame | None) -> None:
            nonlocal done
            if done:
                return
            done = True
            timer.cancel()
            line.over(stream)
            self.fetching.discard(teller)
            if frame is not None and frame.fetched.number:
                self.take_in(frame.fetched)
            self.look_again(again=frame is None or not frame.fetched.number)

        timer = self.loop.call_later(FETCH_FOR, over, None)
        stream = line.call(Frame(fetch=Fetch(number=record.life, packs=True)), over)

    def take_in(self, fetched: FetchReply) -> None:
        """A configuration from another, as it came."""
        try:
            text = unpack(fetched.packed) if fetched.packed else fetched.text
        except MeshError as wrong:
            log.error("a configuration can't be unpacked", extra={"code": wrong.code})
            return
        self.in_force(fetched.number, fetched.generation, text)

    def look_again(self, again: bool = False) -> None:
        """Whether a newer version is known of than is held."""
        record = self.gossip.records.get(VERSION, CONFIG)
        if record is not None and record.life > self.active.number:
            if again:
                self.loop.call_later(0.05, self.look_again)
            else:
                self.fetch(record, self.name)

    def on_fetch(self, link: Link, frame: Frame) -> None:
        if self.active.number >= frame.fetch.number and self.active.text:
            fetched = FetchReply(number=self.active.number, generation=self.active.generation)
            if frame.fetch.packs:
                fetched.packed = self.active.pack()
            if not fetched.packed:
                fetched.text = self.active.text
            link.send(Frame(stream=frame.stream, fetched=fetched))
        elif len(self.waiting) < 1024:
            self.waiting.append((link, frame))

"""How the configuration in force comes from one process to another: by a fetch over their link."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from ..configuration.active import ActiveConfiguration, decompress
from ..configuration.fetching import FetchScheduler, FetchWaiters
from ..errors import MeshError
from ..membership.gossip import Gossip
from ..membership.records import CONFIG_RECORD_ID, RecordKind
from ..transport.channel import ChannelPool
from ..transport.framed_connection import FramedConnection
from ..transport.mesh_pb2 import Fetch, FetchReply, Frame, Record, Version

log = logging.getLogger(__name__)

RETRY_DELAY = 0.05  # s after an answer that brought nothing, before another peer is asked
NO_PEER_DELAY = 0.6  # s until it is looked again whether there is a peer to ask


class ConfigurationDistributor:
    """Owns what this process has asked others for, and who waits here for a version."""

    def __init__(
        self, gossip: Gossip, lines: ChannelPool, active: ActiveConfiguration, tell: Callable[[Record], None]
    ) -> None:
        """``tell``: others are told of a record at once."""
        self.gossip, self.channels, self.active, self.broadcast = gossip, lines, active, tell
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.scheduler = FetchScheduler()
        self.waiters: FetchWaiters[FramedConnection, Frame] = FetchWaiters()
        self.streams: dict[str, int] = {}
        """By peer, the stream of the fetch that is out to it."""

    # --- this process asks ---

    def newer_version(self) -> Record | None:
        """The record of a version that is known of and not in force here."""
        record = self.gossip.records.get(RecordKind.VERSION, CONFIG_RECORD_ID)
        return record if record is not None and record.incarnation > self.active.index else None

    def fetch_newer(self, teller: str = "") -> None:
        """Ask for the newest version, where it isn't in force here: who told of it, else any peer."""
        record = self.newer_version()
        if record is None:
            if self.timer is not None:
                self.timer.cancel()
            for peer in self.scheduler.finish():
                self.cancel_fetch(peer)
            return
        peers = self.gossip.members.others()
        chosen = self.scheduler.next_peer(self.loop.time(), teller, peers, self.gossip.rng.choice)
        if chosen is not None:
            self.schedule_fetch(self.scheduler.next_delay())
            self.fetch_from(chosen, record.incarnation)
        else:
            self.schedule_fetch(NO_PEER_DELAY)

    def schedule_fetch(self, span: float) -> None:
        """One look is due at a time."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(span, self.fetch_newer)

    def fetch_from(self, peer: str, number: int) -> None:
        address = self.gossip.members.address_of(peer)
        assert address is not None  # it is one of the peers
        stream = 0
        done = False

        def over(frame: Frame | None) -> None:
            nonlocal done
            if done:
                return
            done = True
            if stream:
                self.channels.to(address).finish_call(stream)
            self.streams.pop(peer, None)
            self.scheduler.on_answered(peer)
            brought = frame is not None and frame.fetch_reply.index >= number and self.apply_reply(frame.fetch_reply)
            self.schedule_fetch(0.0 if brought else RETRY_DELAY)

        stream = self.channels.to(address).call(Frame(fetch=Fetch(index=number, accepts_compressed=True)), over)
        if not done:
            self.streams[peer] = stream

    def cancel_fetch(self, peer: str) -> None:
        """Its answer is not needed any more."""
        stream, address = self.streams.pop(peer, None), self.gossip.members.address_of(peer)
        if stream is not None and address is not None:
            self.channels.to(address).finish_call(stream)

    def apply_reply(self, fetched: FetchReply) -> bool:
        """A configuration from a peer; whether it can be read."""
        try:
            text = decompress(fetched.compressed) if fetched.compressed else fetched.text
        except MeshError as wrong:
            log.error("a configuration can't be unpacked", extra={"code": wrong.code})
            return False
        return self.put_in_force(fetched.index, fetched.generation, text)

    # --- others ask ---

    def on_fetch(self, link: FramedConnection, frame: Frame) -> None:
        """A peer asks for a version: at once where it is in force here, else once it is; at once that there is none
        where too many wait."""
        if self.active.index >= frame.fetch.index and self.active.text:
            fetched = FetchReply(index=self.active.index, generation=self.active.generation)
            if frame.fetch.accepts_compressed:
                fetched.compressed = self.active.compressed()
            if not fetched.compressed:
                fetched.text = self.active.text
            link.send(Frame(stream=frame.stream, fetch_reply=fetched))
        elif not self.waiters.add(self.loop.time(), link, frame):
            link.send(Frame(stream=frame.stream, fetch_reply=FetchReply()))

    # --- what is in force ---

    def put_in_force(self, number: int, generation: int, text: bytes) -> bool:
        """A committed configuration has come here by whatever way: it holds from now on, and others may ask for it.
        False where it can't be read."""
        try:
            if self.active.apply(number, generation, text):
                log.info(
                    "configuration in force",
                    extra={"code": "CONFIG_IN_FORCE", "number": number, "generation": generation},
                )
        except MeshError as wrong:
            log.error("a committed configuration can't be read", extra={"code": wrong.code, "field": wrong.field})
            return False
        body = Version(index=number, generation=generation).SerializeToString()
        self.broadcast(Record(kind=RecordKind.VERSION, id=CONFIG_RECORD_ID, incarnation=number, body=body))
        for link, frame in self.waiters.take_all(self.loop.time()):
            self.on_fetch(link, frame)
        return True

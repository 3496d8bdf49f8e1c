"""Distribution of the configuration: a process without the newest version fetches it from a peer over a channel."""

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

RETRY_DELAY = 0.05  # s before another peer is asked if a peer hasn't delivered the version
NO_PEER_DELAY = 0.6  # s until the next attempt if no peer can be asked


class ConfigurationDistributor:
    """Fetches newer configurations from other processes, and answers the fetches of others."""

    def __init__(
        self,
        gossip: Gossip,
        channels: ChannelPool,
        active: ActiveConfiguration,
        broadcast: Callable[[Record], None],
    ) -> None:
        """Create a distributor; ``broadcast`` gossips a record immediately."""
        self.gossip, self.channels, self.active, self.broadcast = gossip, channels, active, broadcast
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.scheduler = FetchScheduler()
        self.waiters: FetchWaiters[FramedConnection, Frame] = FetchWaiters()
        self.streams: dict[str, int] = {}
        """By peer: the stream of the open fetch from it."""

    # --- fetching ---

    def newer_version(self) -> Record | None:
        """Return the record of the latest known version if it is newer than the active one, else None."""
        record = self.gossip.records.get(RecordKind.VERSION, CONFIG_RECORD_ID)
        return record if record is not None and record.incarnation > self.active.index else None

    def fetch_newer(self, preferred: str = "") -> None:
        """Fetch the newest version if it isn't active yet: from ``preferred`` if possible, else from any peer."""
        record = self.newer_version()
        if record is None:
            if self.timer is not None:
                self.timer.cancel()
            for unneeded in self.scheduler.finish():
                self.cancel_fetch(unneeded)
            return
        peers = self.gossip.members.others()
        peer = self.scheduler.next_peer(self.loop.time(), preferred, peers, self.gossip.rng.choice)
        if peer is not None:
            self.schedule_fetch(self.scheduler.next_delay())
            self.fetch_from(peer, record.incarnation)
        else:
            self.schedule_fetch(NO_PEER_DELAY)

    def schedule_fetch(self, delay: float) -> None:
        """Run :meth:`fetch_newer` after ``delay`` s, replacing the run that is scheduled."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay, self.fetch_newer)

    def fetch_from(self, peer: str, index: int) -> None:
        """Request version ``index`` or a newer one from a peer."""
        address = self.gossip.members.address_of(peer)
        assert address is not None  # the peer is a known member
        stream = 0
        is_done = False

        def on_answer(frame: Frame | None) -> None:
            nonlocal is_done
            if is_done:
                return
            is_done = True
            if stream:
                self.channels.to(address).finish_call(stream)
            self.streams.pop(peer, None)
            self.scheduler.on_answered(peer)
            is_applied = frame is not None and frame.fetch_reply.index >= index and self.apply_reply(frame.fetch_reply)
            self.schedule_fetch(0.0 if is_applied else RETRY_DELAY)

        fetch = Frame(fetch=Fetch(index=index, accepts_compressed=True))
        stream = self.channels.to(address).call(fetch, on_answer)
        if not is_done:
            self.streams[peer] = stream

    def cancel_fetch(self, peer: str) -> None:
        """Stop waiting for the answer of a peer."""
        stream, address = self.streams.pop(peer, None), self.gossip.members.address_of(peer)
        if stream is not None and address is not None:
            self.channels.to(address).finish_call(stream)

    def apply_reply(self, reply: FetchReply) -> bool:
        """Activate a configuration received from a peer. Returns False if it can't be parsed."""
        try:
            text = decompress(reply.compressed) if reply.compressed else reply.text
        except MeshError as error:
            log.error("configuration can't be decompressed", extra={"code": error.code})
            return False
        return self.activate_configuration(reply.index, reply.generation, text)

    # --- serving fetches ---

    def on_fetch(self, connection: FramedConnection, frame: Frame) -> None:
        """Answer a peer that requests a version: immediately if the version is active here, else once it is active.

        If too many peers wait already, an empty reply is sent immediately.
        """
        if self.active.index >= frame.fetch.index and self.active.text:
            reply = FetchReply(index=self.active.index, generation=self.active.generation)
            if frame.fetch.accepts_compressed:
                reply.compressed = self.active.compressed()
            if not reply.compressed:
                reply.text = self.active.text
            connection.send(Frame(stream=frame.stream, fetch_reply=reply))
        elif not self.waiters.add(self.loop.time(), connection, frame):
            connection.send(Frame(stream=frame.stream, fetch_reply=FetchReply()))

    def activate_configuration(self, index: int, generation: int, text: bytes) -> bool:
        """Activate a committed configuration, announce its version and answer the peers that wait for it.

        Returns False if it can't be parsed.
        """
        try:
            if self.active.apply(index, generation, text):
                log.info(
                    "configuration in force",
                    extra={"code": "CONFIG_IN_FORCE", "number": index, "generation": generation},
                )
        except MeshError as error:
            log.error("committed configuration can't be parsed", extra={"code": error.code, "field": error.field})
            return False
        body = Version(index=index, generation=generation).SerializeToString()
        self.broadcast(Record(kind=RecordKind.VERSION, id=CONFIG_RECORD_ID, incarnation=index, body=body))
        for connection, frame in self.waiters.take_all(self.loop.time()):
            self.on_fetch(connection, frame)
        return True

"""The datagrams of one process, and the clock that its gossip goes by."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from google.protobuf.message import DecodeError

from ...core.protocol import Address
from ..transport.mesh_pb2 import GossipMessage, Record
from .gossip import TICK_INTERVAL, Gossip

log = logging.getLogger(__name__)


class GossipSocket(asyncio.DatagramProtocol):
    """Owns the socket and the timer from :meth:`listen` to :meth:`close`."""

    def __init__(self, gossip: Gossip, on_change: Callable[[Record, str], None]) -> None:
        self.gossip, self.on_change = gossip, on_change
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.notifying = False

    async def listen(self, address: Address) -> None:
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self.run_tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            message = GossipMessage.FromString(data)
        except DecodeError:
            self.gossip.counts["dropped"] += 1
            return
        self.gossip.receive(self.loop.time(), message, (addr[0], addr[1]))
        self.flush()

    def error_received(self, exc: Exception) -> None:
        """Nobody is at a port: probes find that out."""

    def run_tick(self) -> None:
        self.timer = self.loop.call_later(TICK_INTERVAL, self.run_tick)
        self.gossip.tick(self.loop.time())
        self.flush()

    def flush(self) -> None:
        """Send what is to be sent, and tell of what is new."""
        out, self.gossip.outbox = self.gossip.outbox, []
        if self.transport is not None:
            for address, message in out:
                self.transport.sendto(message.SerializeToString(), address)
        if self.notifying:
            return
        self.notifying = True
        try:
            while self.gossip.changes:
                record, teller = self.gossip.changes.pop(0)
                self.on_change(record, teller)
        finally:
            self.notifying = False
        if self.gossip.outbox:
            self.flush()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()

"""UDP socket and timer that drive the gossip protocol of a process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from google.protobuf.message import DecodeError

from ...core.protocol import Address
from ..transport.mesh_pb2 import GossipMessage, Record
from .gossip import TICK_INTERVAL, Gossip


class GossipSocket(asyncio.DatagramProtocol):
    """Owns the socket and the timer from :meth:`listen` to :meth:`close`.

    ``on_change`` is called with each record that has changed here and the name of the node that sent it.
    """

    def __init__(self, gossip: Gossip, on_change: Callable[[Record, str], None]) -> None:
        self.gossip = gossip
        self.on_change = on_change
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_notifying = False

    async def listen(self, address: Address) -> None:
        """Bind the socket and start the timer.

        Raises:
            OSError: The address cannot be bound.
        """
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self.run_tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport once the socket is bound."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass it to the gossip protocol; undecodable datagrams are counted as dropped."""
        try:
            message = GossipMessage.FromString(data)
        except DecodeError:
            self.gossip.counters.dropped += 1
            return
        self.gossip.receive(self.loop.time(), message, (addr[0], addr[1]))
        self.flush()

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors such as an unreachable port; the failure detector notices unreachable nodes."""

    def run_tick(self) -> None:
        """Run one tick and schedule the next."""
        self.timer = self.loop.call_later(TICK_INTERVAL, self.run_tick)
        self.gossip.tick(self.loop.time())
        self.flush()

    def flush(self) -> None:
        """Send the outbox and report changes. ``on_change`` may broadcast records and call this method again."""
        transmitter = self.gossip.transmitter
        outbox, transmitter.outbox = transmitter.outbox, []
        if self.transport is not None:
            for address, message in outbox:
                self.transport.sendto(message.SerializeToString(), address)
        if self.is_notifying:
            return
        self.is_notifying = True
        try:
            while self.gossip.changes:
                record, sender = self.gossip.changes.pop(0)
                self.on_change(record, sender)
        finally:
            self.is_notifying = False
        if transmitter.outbox:
            self.flush()

    def close(self) -> None:
        """Cancel the timer and close the socket."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()

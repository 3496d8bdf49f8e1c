"""TCP connection that carries frames. A frame is a four-byte big-endian length followed by a protobuf message."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections.abc import Callable
from typing import cast

from google.protobuf.message import DecodeError

from .mesh_pb2 import Frame

log = logging.getLogger(__name__)

LENGTH_PREFIX_BYTES = 4
MAX_FRAME_BYTES = 24 << 20  # large enough for two copies of a configuration of a few MB
TCP_USER_TIMEOUT_MS = 1500  # for unacknowledged bytes; TCP alone backs off its retransmissions exponentially

OnFrame = Callable[["FramedConnection", Frame], None]
OnClosed = Callable[["FramedConnection"], None]


class FramedConnection(asyncio.Protocol):
    """A dialed or accepted connection. Received frames are passed to ``on_frame`` one by one; pings are answered here.

    ``on_closed`` is called exactly once, whatever ended the connection. Invalid frames end it.
    """

    def __init__(self, on_frame: OnFrame, on_closed: OnClosed) -> None:
        self.on_frame = on_frame
        self.on_closed = on_closed
        self.loop = asyncio.get_running_loop()
        self.buffer = bytearray()
        self.last_received_at = self.loop.time()
        self.closed = False
        self.pinged_at = 0.0
        self.shortest_round_trip = math.inf
        """Shortest round trip in seconds, measured by the pings on this connection; infinite until one is measured."""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the TCP options."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Handle each complete frame; the remaining bytes stay in the buffer."""
        self.last_received_at = self.loop.time()
        buffer = self.buffer
        buffer += data
        start = 0
        while len(buffer) - start >= LENGTH_PREFIX_BYTES:
            body = start + LENGTH_PREFIX_BYTES
            size = int.from_bytes(buffer[start:body], "big")
            if size > MAX_FRAME_BYTES:
                log.warning("frame exceeds the maximum length", extra={"code": "LINK_FRAME", "bytes": size})
                self.abort()
                return
            if len(buffer) - body < size:
                break
            encoded = bytes(buffer[body : body + size])
            start = body + size
            try:
                frame = Frame.FromString(encoded)
            except DecodeError:
                log.warning("received bytes are not a valid frame", extra={"code": "LINK_FOREIGN"})
                self.abort()
                return
            self.handle(frame)
            if self.closed:
                return
        if start:
            del buffer[:start]

    def handle(self, frame: Frame) -> None:
        """Answer pings, measure the round trip of pongs, and pass all other frames to ``on_frame``."""
        field = frame.WhichOneof("what")
        if field == "ping":
            self.send(Frame(pong=frame.ping))
        elif field == "pong":
            self.shortest_round_trip = min(self.shortest_round_trip, self.last_received_at - self.pinged_at)
        else:
            self.on_frame(self, frame)

    def ping(self) -> None:
        """Send a ping, whose pong measures the round trip."""
        self.pinged_at = self.loop.time()
        self.send(Frame(ping=1))

    def send(self, frame: Frame) -> None:
        """Write a frame; the transport buffers bytes that the kernel doesn't accept yet. Ignored once closed."""
        if self.transport is not None and not self.closed:
            encoded = frame.SerializeToString()
            self.transport.write(len(encoded).to_bytes(LENGTH_PREFIX_BYTES, "big") + encoded)

    def unwritten_bytes(self) -> int:
        """Return how many bytes the kernel has not accepted yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None and not self.closed else 0

    def abort(self) -> None:
        """Close immediately and discard unsent bytes; ``on_closed`` is called as for any other close."""
        if self.transport is not None:
            self.transport.abort()
        self.notify_closed()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self.notify_closed()

    def notify_closed(self) -> None:
        """Call ``on_closed`` unless it has been called already."""
        if not self.closed:
            self.closed = True
            self.buffer.clear()
            self.on_closed(self)

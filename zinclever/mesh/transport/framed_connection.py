"""One end of a TCP connection that carries frames. A frame is its length in four bytes, big-endian, then protobuf."""

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
MAX_FRAME_BYTES = 24 << 20  # a configuration of a few MB twice in one change
TCP_USER_TIMEOUT_MS = 1500  # for which sent bytes may stay unacknowledged: TCP alone retransmits ever more rarely

OnFrame = Callable[["FramedConnection", Frame], None]
OnClosed = Callable[["FramedConnection"], None]


class FramedConnection(asyncio.Protocol):
    """A dialled or an accepted connection. Received frames go to ``on_frame`` one by one, pings are answered here.

    ``on_closed`` is called once, however the connection ends. Anything that is not a frame ends it.
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
        """In s, of the pings on this connection."""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Called by asyncio. Handles each whole frame; the rest stays in the buffer."""
        self.last_received_at = self.loop.time()
        buffer = self.buffer
        buffer += data
        start = 0
        while len(buffer) - start >= LENGTH_PREFIX_BYTES:
            body = start + LENGTH_PREFIX_BYTES
            size = int.from_bytes(buffer[start:body], "big")
            if size > MAX_FRAME_BYTES:
                log.warning("frame too long", extra={"code": "LINK_FRAME", "bytes": size})
                self.abort()
                return
            if len(buffer) - body < size:
                break
            encoded = bytes(buffer[body : body + size])
            start = body + size
            try:
                frame = Frame.FromString(encoded)
            except DecodeError:
                log.warning("not a frame of the mesh", extra={"code": "LINK_FOREIGN"})
                self.abort()
                return
            self.handle(frame)
            if self.closed:
                return
        if start:
            del buffer[:start]

    def handle(self, frame: Frame) -> None:
        """Answer pings, measure pongs, and hand everything else to ``on_frame``."""
        what = frame.WhichOneof("what")
        if what == "ping":
            self.send(Frame(pong=frame.ping))
        elif what == "pong":
            self.shortest_round_trip = min(self.shortest_round_trip, self.last_received_at - self.pinged_at)
        else:
            self.on_frame(self, frame)

    def ping(self) -> None:
        """Ask the peer for a pong, which measures the round trip."""
        self.pinged_at = self.loop.time()
        self.send(Frame(ping=1))

    def send(self, frame: Frame) -> None:
        """Write a frame; what the kernel has no room for stays in the transport's buffer. Ignored once closed."""
        if self.transport is not None and not self.closed:
            encoded = frame.SerializeToString()
            self.transport.write(len(encoded).to_bytes(LENGTH_PREFIX_BYTES, "big") + encoded)

    def abort(self) -> None:
        """Close at once, unsent bytes included; ``on_closed`` is called as for any other end."""
        if self.transport is not None:
            self.transport.abort()
        self.notify_closed()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio."""
        self.notify_closed()

    def notify_closed(self) -> None:
        """Call ``on_closed``, the first time only."""
        if not self.closed:
            self.closed = True
            self.buffer.clear()
            self.on_closed(self)

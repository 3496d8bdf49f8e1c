"""TCP relays that inject network faults. Every connection between two machines passes through one.

Each link has its own listener, which identifies the connecting machine, and connects onwards from that machine's
address, so that the target sees the real source. Each direction can be blocked and has a latency and a rate limit. A
blocked direction holds data and the end of the stream until it is open again, since TCP loses nothing while both ends
live. While a link accepts no connections, its own connections fill the listener's queue, so that the kernel drops
incoming SYNs as if the machine did not respond.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable
from random import Random
from typing import cast

BUFFER_LIMIT = 1 << 20  # bytes that a stream buffers before it stops reading, as a TCP window would
FILLER_CONNECTIONS = 4  # that fill a queue of length 0: the kernel admits one or two whatever the backlog
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: closing sends a reset
MIN_DELAY = 0.0005  # s; shorter delays are skipped, since they are below the resolution of the loop's timers
BACKLOG = 256
Address = tuple[str, int]


class Direction:
    """One direction of a link."""

    __slots__ = ("jitter", "latency", "open", "rate", "rng")

    def __init__(self, latency: float, jitter: float, seed: str) -> None:
        self.latency, self.jitter = latency, jitter
        """The mean latency in s, and the share of it by which it varies."""
        self.rate = 0.0
        """Rate limit of each connection, in bytes per second; 0: no limit."""
        self.open = True
        self.rng = Random(seed)

    def delay(self) -> float:
        """Draws the delay of one piece of data, in s."""
        duration = self.latency * (1.0 + self.jitter * (2.0 * self.rng.random() - 1.0))
        return duration if duration > MIN_DELAY else 0.0


class Stream:
    """Buffers what one side of a connection has sent until it is due at the other side, including the end."""

    def __init__(self, direction: Direction, loop: asyncio.AbstractEventLoop) -> None:
        self.direction, self.loop = direction, loop
        self.pending: deque[tuple[float, bytes | EndAction]] = deque()
        self.buffered_bytes = 0
        self.rate_limit_free_at = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.source: asyncio.Transport | None = None
        self.target: asyncio.Transport | None = None
        self.write_paused = False
        """The target's write buffer is full."""
        self.source_ended = False
        """The source has sent its end: if reading went on, the loop would report the end again and again."""

    def put(self, item: bytes | EndAction) -> None:
        """Adds data or the end of the stream, to be delivered after the delay of the direction."""
        now = self.loop.time()
        delay = self.direction.delay()
        if self.direction.rate and isinstance(item, bytes):
            self.rate_limit_free_at = max(now, self.rate_limit_free_at) + len(item) / self.direction.rate
            delay += self.rate_limit_free_at - now
        due = max(now + delay, self.pending[-1][0] if self.pending else 0.0)
        self.pending.append((due, item))
        self.buffered_bytes += len(item) if isinstance(item, bytes) else 0
        self.deliver_due()
        self.update_reading()

    def deliver_due(self) -> None:
        """Writes to the target what is due, and sets a timer for the rest."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.pending and self.direction.open and self.target is not None and not self.write_paused:
            due, item = self.pending[0]
            now = self.loop.time()
            if due > now:
                self.timer = self.loop.call_later(due - now, self.on_timer)
                return
            self.pending.popleft()
            if isinstance(item, bytes):
                self.buffered_bytes -= len(item)
                self.target.write(item)
            else:
                item(self.target)

    def on_timer(self) -> None:
        """Handles the timer."""
        self.timer = None
        self.deliver_due()
        self.update_reading()

    def update_reading(self) -> None:
        """Pauses or resumes reading. A blocked direction reads nothing, so that the sender's buffers fill."""
        source = self.source
        if source is None or self.source_ended or source.is_closing():
            return
        if self.buffered_bytes > BUFFER_LIMIT or not self.direction.open:
            source.pause_reading()
        else:
            source.resume_reading()

    def update(self) -> None:
        """Applies a change of the direction or of the transports."""
        self.deliver_due()
        self.update_reading()

    def stop(self) -> None:
        """Discards what is buffered."""
        if self.timer is not None:
            self.timer.cancel()
        self.pending.clear()


EndAction = Callable[[asyncio.Transport], None]


def finish(target: asyncio.Transport) -> None:
    """Passes on the end of the stream."""
    if not target.is_closing():
        if target.can_write_eof():
            target.write_eof()
        else:
            target.close()


def reset(target: asyncio.Transport) -> None:
    """Resets a connection."""
    sock = target.get_extra_info("socket")
    if sock is not None and not target.is_closing():
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    target.abort()


class RelayProtocol(asyncio.Protocol):
    """The protocol of one of the two sockets of a connection.

    ``inbound`` buffers what is read from the socket, ``outbound`` what is to be written to it.
    """

    transport: asyncio.Transport

    def __init__(self, connection: Connection, inbound: Stream, outbound: Stream) -> None:
        self.connection, self.inbound, self.outbound = connection, inbound, outbound

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Attaches the transport to both streams, writes what is due and starts to read."""
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        self.inbound.source = self.outbound.target = transport
        self.outbound.update()
        self.inbound.update_reading()

    def data_received(self, data: bytes) -> None:
        """Buffers the data for the other socket."""
        self.inbound.put(data)

    def eof_received(self) -> bool:
        """Buffers the end of the stream; returns True, so that the socket stays open for writing."""
        self.inbound.source_ended = True
        self.inbound.put(finish)
        return True

    def pause_writing(self) -> None:
        """Stops delivery to this socket because its write buffer is full."""
        self.outbound.write_paused = True

    def resume_writing(self) -> None:
        """Resumes delivery to this socket and writes what is due."""
        self.outbound.write_paused = False
        self.outbound.deliver_due()

    def connection_lost(self, exc: Exception | None) -> None:
        """Detaches the transport; buffers a reset for the other socket unless the stream ended in order."""
        self.outbound.target = None
        if exc is not None or not self.inbound.source_ended:
            self.inbound.put(reset)
        self.connection.ended()


class Connection:
    """A relayed connection: the accepted socket and the one to the target."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.forward, self.backward = Stream(link.forward, link.loop), Stream(link.backward, link.loop)
        self.client_side = RelayProtocol(self, self.forward, self.backward)
        self.server_side = RelayProtocol(self, self.backward, self.forward)
        self.open_sockets = 2

    async def begin(self, sock: socket.socket) -> None:
        """Connects to the target; resets the accepted socket if that fails."""
        link = self.link
        link.connections.add(self)
        try:
            await link.loop.connect_accepted_socket(lambda: self.client_side, sock)
            await link.loop.create_connection(lambda: self.server_side, *link.target, local_addr=(link.source, 0))
        except OSError:
            self.open_sockets -= 1
            self.forward.target = None
            self.backward.put(reset)

    def ended(self) -> None:
        """Handles the end of one of the two sockets."""
        self.open_sockets -= 1
        if not self.open_sockets:
            self.link.connections.discard(self)
            self.forward.stop()
            self.backward.stop()

    def reset(self) -> None:
        """Resets both sockets."""
        for side in (self.client_side, self.server_side):
            if hasattr(side, "transport"):
                reset(side.transport)


class Link:
    """The relay from one machine to an address of another. Owns its listener and all relayed connections."""

    def __init__(self, source: str, target: Address, forward: Direction, backward: Direction) -> None:
        self.source, self.target, self.forward, self.backward = source, target, forward, backward
        self.loop = asyncio.get_running_loop()
        self.connections: set[Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.fillers: list[socket.socket] = []
        self.accepting = False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.sock.bind((source, 0))
        self.address: Address = self.sock.getsockname()
        self.sock.listen(BACKLOG)
        self.set_accepting(True)

    def set_accepting(self, on: bool) -> None:
        """Starts or stops accepting connections."""
        if on and not self.accepting:
            self.loop.add_reader(self.sock.fileno(), self.accept_pending)
        elif self.accepting and not on:
            self.loop.remove_reader(self.sock.fileno())
        self.accepting = on

    def accept_pending(self) -> None:
        """Accepts all pending connections."""
        with contextlib.suppress(BlockingIOError, ConnectionAbortedError):
            while True:
                sock, _ = self.sock.accept()
                sock.setblocking(False)
                task = self.loop.create_task(Connection(self).begin(sock))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    def set_open(self, forward: bool, backward: bool) -> None:
        """Opens or blocks the two directions. New connections are accepted only while both are open."""
        if (forward, backward) == (self.forward.open, self.backward.open):
            return
        self.forward.open, self.backward.open = forward, backward
        if forward and backward:
            self.empty_queue()
        elif self.accepting:
            self.fill_queue()
        for connection in list(self.connections):
            connection.forward.update()
            connection.backward.update()

    def fill_queue(self) -> None:
        """Fills the listener's queue, so that connection attempts get no response."""
        self.set_accepting(False)
        self.sock.listen(0)
        for _ in range(FILLER_CONNECTIONS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.address)
            self.fillers.append(filler)

    def empty_queue(self) -> None:
        """Empties the listener's queue; pending connection attempts succeed when the kernel retransmits their SYN."""
        for filler in self.fillers:
            filler.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            filler.close()
        self.fillers.clear()
        self.sock.listen(BACKLOG)
        self.set_accepting(True)

    def reset(self) -> None:
        """Resets all connections."""
        for connection in list(self.connections):
            connection.reset()

    def close(self) -> None:
        """Closes the listener and resets all connections."""
        self.set_accepting(False)
        for filler in self.fillers:
            filler.close()
        self.sock.close()
        for task in self.tasks:
            task.cancel()
        self.reset()

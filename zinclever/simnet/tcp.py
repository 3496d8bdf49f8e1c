"""TCP as a program on Linux observes it: buffers, windows, FIN, RST, lost SYNs and retransmission.

A segment is a number of bytes, or the end of a direction. The segments of a direction are numbered and delivered in
that order, however they arrive. Segments that are lost in a partition are sent again with exponential backoff, as in
RFC 6298.
"""

from __future__ import annotations

import errno
import os
import socket as socket_module
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Literal

from .network import Address, Machine
from .scheduler import NS, Event

if TYPE_CHECKING:
    from .process import Descriptors

SEND_BUFFER = 2_500_000  # bytes that the kernel takes beyond the window; Linux' send buffers grow to that size
RECEIVE_BUFFER = 128 * 1024  # bytes that the kernel receives before the program reads them: the window
SYN_TIMEOUT = NS  # ns until an unanswered SYN is sent again, doubled each time (RFC 6298, 2.1)
MIN_RTO = NS // 5  # ns until a lost segment is sent again; Linux' minimum
MAX_RTO = 120 * NS
MAX_BACKLOG = 4096  # net.core.somaxconn

Kind = Literal["ACK", "DATA", "FIN"]


def os_error(number: int) -> OSError:
    """Return the exception that the system raises for an errno, such as BlockingIOError or ConnectionResetError."""
    return OSError(number, os.strerror(number))


class Listener:
    """A listening socket with its queue of unaccepted connections. Several processes may accept from it."""

    def __init__(self, machine: Machine, port: int, backlog: int) -> None:
        """Listen on a port; 0 chooses a free one.

        Raises:
            OSError: EADDRINUSE, something listens on the port already.
        """
        if not port:
            port = machine.free_port()
        if port in machine.listeners:
            raise os_error(errno.EADDRINUSE)
        self.machine, self.port = machine, port
        self.backlog = min(backlog, MAX_BACKLOG)
        self.queue: deque[Socket] = deque()
        self.half_open = 0
        """Number of connections whose SYN has arrived and whose handshake is not complete."""
        self.wakers: list[Callable[[], None]] = []
        """Called on a new connection: one for each server that accepts."""
        self.admits: Callable[[], Literal["yes", "refused", "silent"]] = lambda: "yes"
        """Decides whether a SYN is answered, refused with RST, or dropped."""
        self.open = True
        machine.listeners[port] = self

    def getsockname(self) -> Address:
        """Return the address of the listening socket."""
        return self.machine.address, self.port

    def on_established(self, socket: Socket) -> None:
        """Queue a connection whose handshake is complete, and notify the servers."""
        self.half_open -= 1
        if not self.open:
            socket.reset()
            return
        self.queue.append(socket)
        for wake in list(self.wakers):
            wake()

    def close(self) -> None:
        """Stop listening, and reset the connections that were not accepted."""
        if self.open:
            self.open = False
            if self.machine.listeners.get(self.port) is self:
                del self.machine.listeners[self.port]
            while self.queue:
                self.queue.popleft().reset()


class Socket:
    """One end of a connection, with the methods of a non-blocking :class:`socket.socket`."""

    __slots__ = (
        "closed",
        "descriptor",
        "descriptors",
        "eof",
        "error",
        "expected_number",
        "fin_acknowledged",
        "fin_queued",
        "fin_sent",
        "in_flight",
        "label",
        "last_arrival",
        "listener",
        "local_address",
        "lost_segments",
        "machine",
        "network",
        "next_number",
        "on_connected",
        "on_readable",
        "on_writable",
        "open",
        "out_of_order",
        "peer",
        "pending",
        "pending_size",
        "read_shut",
        "received_at",
        "remote_address",
        "resend_event",
        "rto",
        "rx",
        "rx_size",
        "syn_event",
        "tracked",
    )

    def __init__(self, machine: Machine) -> None:
        self.machine, self.network = machine, machine.network
        self.descriptors: Descriptors | None = None
        self.descriptor = -1
        self.local_address: Address = machine.address, 0
        self.remote_address: Address = "", 0
        self.label = ""
        """Identifies the connection and the side in the trace."""
        self.peer: Socket | None = None
        self.listener: Listener | None = None
        self.open = self.closed = self.read_shut = self.eof = False
        """``open``: connected. ``closed``: by the program. ``eof``: the peer's direction has ended."""
        self.tracked = True
        """Whether the machine's kernel has state for the connection."""
        self.error = 0
        self.rx: deque[bytes] = deque()
        self.rx_size = 0
        self.received_at = 0
        """Instant in ns at which the latest bytes were received."""
        self.pending: deque[bytes] = deque()
        self.pending_size = 0
        """Bytes that were written and don't fit into the window yet."""
        self.in_flight = 0
        """Bytes that were sent and that the peer's program has not read."""
        self.fin_queued = self.fin_sent = self.fin_acknowledged = False
        self.next_number = self.expected_number = 0
        """Number of the next segment to send, and of the next one to deliver."""
        self.out_of_order: dict[int, tuple[Kind, bytes]] = {}
        """Segments that arrived before their predecessors, by number."""
        self.lost_segments: deque[tuple[int, Kind, bytes]] = deque()
        """Segments that were lost and are to be sent again."""
        self.resend_event: Event | None = None
        self.rto = MIN_RTO
        """The current retransmission timeout in ns."""
        self.last_arrival = 0
        """Instant in ns at which the latest segment arrives at the peer."""
        self.syn_event: Event | None = None
        self.on_readable: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None
        self.on_connected: Callable[[], None] | None = None

    # --- the interface of socket.socket ---

    def fileno(self) -> int:
        """Return the descriptor."""
        return self.descriptor

    def setsockopt(self, level: int, option: int, value: object) -> None:
        """Accept any option and ignore it: buffers have fixed sizes, and segments are sent without delay."""

    def getsockopt(self, level: int, option: int) -> int:
        """Return 0 for any option."""
        return 0

    def setblocking(self, blocking: bool) -> None:
        """Raise ValueError for a blocking socket."""
        if blocking:
            raise ValueError("a simulated socket never blocks")

    def getsockname(self) -> Address:
        """Return the local address."""
        return self.local_address

    def getpeername(self) -> Address:
        """Return the remote address."""
        if not self.open:
            raise os_error(errno.ENOTCONN)
        return self.remote_address

    @property
    def family(self) -> int:
        """The address family, AF_INET."""
        return socket_module.AF_INET

    @property
    def type(self) -> int:
        """The socket type, SOCK_STREAM."""
        return socket_module.SOCK_STREAM

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return received bytes, at most ``size``, or b"" at the end; MSG_PEEK leaves them in the buffer."""
        if self.closed:
            raise os_error(errno.EBADF)
        if self.rx:
            return self.peek(size) if flags & socket_module.MSG_PEEK else self.take(size)
        if self.error:
            self.raise_error()
        if self.eof or self.read_shut:
            return b""
        raise os_error(errno.EAGAIN)

    def send(self, data: bytes | bytearray | memoryview) -> int:
        """Return how many bytes the kernel has taken."""
        if self.closed:
            raise os_error(errno.EBADF)
        if self.error:
            self.raise_error()
        if self.fin_queued or not self.tracked:
            raise os_error(errno.EPIPE)
        if not self.open:
            raise os_error(errno.ENOTCONN)
        free_space = SEND_BUFFER - self.pending_size
        if free_space <= 0:
            raise os_error(errno.EAGAIN)
        taken = bytes(data[:free_space])
        if taken:
            self.pending.append(taken)
            self.pending_size += len(taken)
            self.flush()
        return len(taken)

    def shutdown(self, how: int) -> None:
        """End one direction or both."""
        if not self.open or self.closed:
            raise os_error(errno.ENOTCONN)
        if how != socket_module.SHUT_WR:
            self.read_shut = True
        if how != socket_module.SHUT_RD:
            self.queue_fin()

    def close(self) -> None:
        """Close as Linux does: with an RST if there is unread data, otherwise with a FIN after the written data."""
        if self.closed:
            return
        has_unread = bool(self.rx)
        self.detach()
        self.cancel_syn()
        if not self.open or has_unread:
            self.send_reset()
        else:
            self.queue_fin()
            self.drop_finished_state()

    def readable(self) -> bool:
        """Return whether a read would not block."""
        return bool(self.rx) or bool(self.error) or self.eof or self.read_shut

    def writable(self) -> bool:
        """Return whether a write would not block."""
        return bool(self.error) or (self.open and self.pending_size < SEND_BUFFER)

    # --- buffers and windows ---

    def raise_error(self) -> None:
        """Raise the pending error, once."""
        number, self.error = self.error, 0
        raise os_error(number)

    def peek(self, size: int) -> bytes:
        """Return received bytes and leave them in the buffer."""
        return b"".join(self.rx)[:size] if len(self.rx[0]) < size else self.rx[0][:size]

    def take(self, size: int) -> bytes:
        """Remove received bytes from the buffer and return them; this opens the window for the peer."""
        parts: list[bytes] = []
        remaining = size
        while self.rx and remaining:
            part = self.rx.popleft()
            if len(part) > remaining:
                self.rx.appendleft(part[remaining:])
                part = part[:remaining]
            parts.append(part)
            remaining -= len(part)
        data = parts[0] if len(parts) == 1 else b"".join(parts)
        self.rx_size -= len(data)
        peer = self.peer
        if peer is not None:
            peer.in_flight -= len(data)
            if peer.pending:
                network = self.network
                span = network.delay(network.way(self.machine, peer.machine))
                network.scheduler.at(self.local_now() + span, peer.flush)
        return data

    def local_now(self) -> int:
        """Return the process's own time in ns, which is ahead of the scheduler's while the process is busy."""
        now = self.network.scheduler.now
        return now if self.descriptors is None else max(now, self.descriptors.local_now())

    def detach(self) -> None:
        """Mark the socket as closed by its program, and free the descriptor."""
        self.closed = True
        self.on_readable = self.on_writable = self.on_connected = None
        if self.descriptors is not None:
            self.descriptors.release_socket(self)

    def queue_fin(self) -> None:
        """Send a FIN after what was written."""
        if not self.fin_queued and self.open:
            self.fin_queued = True
            self.flush()

    def flush(self) -> None:
        """Send what fits into the window, and the FIN when everything before it is sent."""
        if not self.tracked or self.peer is None:
            return
        was_full = self.pending_size >= SEND_BUFFER
        while self.pending and self.in_flight < RECEIVE_BUFFER:
            part = self.pending.popleft()
            window = RECEIVE_BUFFER - self.in_flight
            if len(part) > window:
                self.pending.appendleft(part[window:])
                part = part[:window]
            self.pending_size -= len(part)
            self.in_flight += len(part)
            self.transmit("DATA", part)
        if was_full and self.pending_size < SEND_BUFFER and self.on_writable is not None:
            self.on_writable()
        if self.fin_queued and not self.pending and not self.fin_sent:
            self.fin_sent = True
            self.transmit("FIN", b"")

    # --- segments ---

    def transmit(self, kind: Kind, data: bytes) -> None:
        """Send a new segment."""
        self.next_number += 1
        self.schedule_arrival(self.next_number - 1, kind, data, self.local_now())

    def schedule_arrival(self, number: int, kind: Kind, data: bytes, departs: int) -> None:
        """Schedule the arrival of a segment that is sent at the instant ``departs``."""
        network, peer = self.network, self.peer
        assert peer is not None
        path = network.way(self.machine, peer.machine)
        span = network.delay(path)
        if path.bandwidth and data:
            # Transmission begins when that of the segments before it has ended.
            span = max(departs + span, self.last_arrival) - departs + round(len(data) / path.bandwidth * NS)
        self.last_arrival = max(self.last_arrival + 1, departs + span)
        network.scheduler.at(self.last_arrival, self.on_arrival, number, kind, data)

    def on_arrival(self, number: int, kind: Kind, data: bytes) -> None:
        """Process the arrival of a segment at the peer. If the path is cut, the segment is lost and sent again."""
        peer = self.peer
        if peer is None:
            return
        if not self.network.open(self.machine, peer.machine):
            if self.tracked:
                self.lost_segments.append((number, kind, data))
                if self.resend_event is None:
                    self.resend_event = self.network.scheduler.after(self.rto, self.resend)
        elif peer.tracked:
            peer.receive(number, kind, data)
        elif self.tracked:
            peer.schedule_reset(self)

    def resend(self) -> None:
        """Send lost segments again; while the path is still cut, double the timeout, up to :data:`MAX_RTO`."""
        self.resend_event = None
        peer = self.peer
        if peer is None or not self.lost_segments:
            return
        if not self.network.open(self.machine, peer.machine):
            self.rto = min(2 * self.rto, MAX_RTO)
            self.resend_event = self.network.scheduler.after(self.rto, self.resend)
            return
        self.rto = MIN_RTO
        lost, self.lost_segments = self.lost_segments, deque()
        for segment in lost:
            self.schedule_arrival(*segment, self.network.scheduler.now)

    def receive(self, number: int, kind: Kind, data: bytes) -> None:
        """Deliver a segment and those that follow it, or keep it until its predecessors have arrived."""
        if number != self.expected_number:
            self.out_of_order[number] = kind, data
            return
        self.expected_number += 1
        self.accept(kind, data)
        while self.out_of_order and self.expected_number in self.out_of_order and self.tracked:
            following = self.out_of_order.pop(self.expected_number)
            self.expected_number += 1
            self.accept(*following)

    def accept(self, kind: Kind, data: bytes) -> None:
        """Process the next segment in order."""
        network = self.network
        network.trace.add(network.scheduler.now, f"{self.label} {kind} {len(data)}")
        if kind == "DATA":
            if self.closed or self.read_shut:
                self.reset()
                return
            self.rx.append(data)
            self.rx_size += len(data)
            self.received_at = network.scheduler.now
        elif kind == "FIN":
            self.eof = True
            peer = self.peer
            assert peer is not None
            peer.fin_acknowledged = True
            self.drop_finished_state()
            peer.drop_finished_state()
        elif self.listener is not None:
            self.open = True
            self.listener.on_established(self)
            return
        if self.on_readable is not None:
            self.on_readable()

    # --- resets and the end of a connection ---

    def reset(self) -> None:
        """End both directions at once, with an RST to the peer."""
        self.send_reset()
        self.fail(errno.ECONNRESET)

    def send_reset(self) -> None:
        """Send an RST, which is lost if the path is cut, and drop the connection's state."""
        peer = self.peer
        if self.tracked and peer is not None and peer.tracked:
            self.schedule_reset(peer)
        self.drop_state()

    def schedule_reset(self, receiver: Socket) -> None:
        """Schedule the arrival of an RST, after all segments that were sent before it."""
        network = self.network
        span = network.delay(network.way(self.machine, receiver.machine))
        self.last_arrival = max(self.last_arrival + 1, self.local_now() + span)
        network.scheduler.at(self.last_arrival, receiver.receive_reset, self.machine)

    def receive_reset(self, sender: Machine) -> None:
        """Process an RST from a machine, unless it is lost."""
        if not self.tracked or not self.network.open(sender, self.machine):
            return
        self.network.trace.add(self.network.scheduler.now, f"{self.label} RST")
        if self.listener is not None and not self.open:
            self.listener.half_open -= 1
        self.drop_state()
        self.fail(errno.ECONNRESET if self.open else errno.ECONNREFUSED)

    def fail(self, error: int) -> None:
        """Set an error. The program can still read what was received; then it gets the error once, then the end."""
        self.error, self.eof = error, True
        for callback in (self.on_connected, self.on_readable, self.on_writable):
            if callback is not None:
                callback()

    def drop_state(self) -> None:
        """Drop the kernel's state of this side. Segments that arrive later are answered with an RST."""
        if not self.tracked:
            return
        self.tracked = False
        self.machine.sockets.pop(self, None)
        self.pending.clear()
        self.pending_size = 0
        self.lost_segments.clear()
        if self.resend_event is not None:
            self.resend_event.call_off()
            self.resend_event = None
        peer = self.peer
        if peer is not None and not peer.tracked:
            self.peer = peer.peer = None

    def drop_finished_state(self) -> None:
        """Drop the state if the program has closed the socket and both directions have ended."""
        if self.closed and self.eof and self.fin_acknowledged:
            self.drop_state()

    def abort(self) -> None:
        """Reset the connection, as the kernel does when the process ends."""
        if not self.closed:
            self.detach()
            self.cancel_syn()
            self.send_reset()

    # --- connecting ---

    def connect(self, address: Address) -> None:
        """Begin to connect; :attr:`on_connected` is called on success and, with :attr:`error` set, on failure."""
        network = self.network
        self.local_address, self.remote_address = (self.machine.address, self.machine.free_port()), address
        network.connections += 1
        self.label = f"{network.connections}<"
        self.machine.sockets[self] = None
        self.send_syn(network.connections, SYN_TIMEOUT)

    def send_syn(self, number: int, timeout: int) -> None:
        """Send the SYN of the connection ``number``, and schedule the next one after ``timeout`` ns."""
        network = self.network
        target = network.machines.get(self.remote_address[0])
        self.syn_event = network.scheduler.at(self.local_now() + timeout, self.send_syn, number, 2 * timeout)
        if target is not None:
            span = network.delay(network.way(self.machine, target))
            network.scheduler.at(self.local_now() + span, self.on_syn, number, target)

    def on_syn(self, number: int, target: Machine) -> None:
        """Process the arrival of the SYN at the target machine, which answers, refuses or drops it."""
        network = self.network
        if self.closed or self.open or self.peer is not None or not network.open(self.machine, target):
            return
        listener = target.listeners.get(self.remote_address[1])
        admits = listener.admits() if listener is not None else "refused"
        span = network.delay(network.way(target, self.machine))
        if listener is None or admits == "refused":
            network.trace.add(network.scheduler.now, f"{number}> refused by {target.name}")
            network.scheduler.after(span, self.on_refused, target)
        elif admits == "yes" and len(listener.queue) + listener.half_open < listener.backlog:
            network.trace.add(network.scheduler.now, f"{number}> SYN {self.machine.name} {target.name}")
            peer = Socket(target)
            peer.label, peer.listener = f"{number}>", listener
            peer.local_address, peer.remote_address = self.remote_address, self.local_address
            peer.peer, self.peer = self, peer
            target.sockets[peer] = None
            listener.half_open += 1
            network.scheduler.after(span, self.on_syn_ack, target)

    def on_refused(self, target: Machine) -> None:
        """Process the arrival of the RST that refuses the connection, unless it is lost."""
        if not self.closed and self.network.open(target, self.machine):
            self.cancel_syn()
            self.drop_state()
            self.fail(errno.ECONNREFUSED)

    def on_syn_ack(self, target: Machine) -> None:
        """Process the arrival of the SYN-ACK. If the path is cut, it is lost and arrives :data:`SYN_TIMEOUT` later."""
        if self.closed or self.open or not self.tracked:
            return
        if not self.network.open(target, self.machine):
            self.network.scheduler.after(SYN_TIMEOUT, self.on_syn_ack, target)
            return
        self.cancel_syn()
        self.open = True
        self.transmit("ACK", b"")
        if self.on_connected is not None:
            self.on_connected()

    def cancel_syn(self) -> None:
        """Cancel the retransmission of the SYN."""
        if self.syn_event is not None:
            self.syn_event.call_off()
            self.syn_event = None

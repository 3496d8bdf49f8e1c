"""TCP as Linux has it, as far as a program can tell: buffers, windows, FIN, RST, SYNs that are lost, retransmission.

A segment is a number of bytes, or the end of a direction. Those of one direction are numbered, and are handed over in
that order however they arrive. What is lost on a way that is cut is sent again with growing pauses, as RFC 6298 has it.
"""

from __future__ import annotations

import errno
import os
import socket as names
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Literal

from .network import Address, Machine
from .scheduler import NS, Event

if TYPE_CHECKING:
    from .process import Descriptors

SEND_BUFFER = 2_500_000  # bytes that a kernel takes of what the window has no room for; Linux' own grow to that
RECEIVE_BUFFER = 128 * 1024  # bytes that it holds of what nobody has read
SYN_AGAIN = NS  # ns until a SYN without an answer is sent again, doubled each time (RFC 6298, 2.1)
AGAIN = NS // 5  # ns until a lost segment is, the least of Linux
AGAIN_MOST = 120 * NS
BACKLOG_MOST = 4096  # net.core.somaxconn

Kind = Literal["ACK", "DATA", "FIN"]


def wrong(number: int) -> OSError:
    """As the system words it: BlockingIOError, ConnectionResetError and the like."""
    return OSError(number, os.strerror(number))


class Listener:
    """What listens on one port: connections that nobody has accepted yet. Several processes may accept from it."""

    def __init__(self, machine: Machine, port: int, backlog: int) -> None:
        """OSError where the port is taken."""
        if not port:
            port = machine.free_port()
        if port in machine.listeners:
            raise wrong(errno.EADDRINUSE)
        self.machine, self.port = machine, port
        self.backlog = min(backlog, BACKLOG_MOST)
        self.queue: deque[Socket] = deque()
        self.coming = 0
        """Connections half open: their SYN has come."""
        self.wakers: list[Callable[[], None]] = []
        """Of each process that accepts."""
        self.admits: Callable[[], Literal["yes", "refused", "silent"]] = lambda: "yes"
        """What becomes of a SYN, by the will of the machine."""
        self.open = True
        machine.listeners[port] = self

    def getsockname(self) -> Address:
        return self.machine.address, self.port

    def joined(self, socket: Socket) -> None:
        """A connection is up."""
        self.coming -= 1
        if not self.open:
            socket.reset()
            return
        self.queue.append(socket)
        for wake in list(self.wakers):
            wake()

    def close(self) -> None:
        """Nobody listens any more; what nobody has accepted is reset."""
        if self.open:
            self.open = False
            if self.machine.listeners.get(self.port) is self:
                del self.machine.listeners[self.port]
            while self.queue:
                self.queue.popleft().reset()


class Socket:
    """One end of a connection. The calls of a program are those of :mod:`socket`, non-blocking."""

    __slots__ = (
        "again",
        "closed",
        "descriptor",
        "descriptors",
        "early",
        "eof",
        "error",
        "expected",
        "fin_due",
        "fin_sent",
        "fin_taken",
        "flight",
        "heard_at",
        "held",
        "known",
        "label",
        "last",
        "listener",
        "local",
        "machine",
        "network",
        "number",
        "on_connected",
        "on_readable",
        "on_writable",
        "open",
        "partner",
        "pending",
        "pending_size",
        "remote",
        "resend",
        "rx",
        "rx_size",
        "shut",
        "syn",
    )

    def __init__(self, machine: Machine) -> None:
        self.machine, self.network = machine, machine.network
        self.descriptors: Descriptors | None = None
        self.descriptor = -1
        self.local: Address = machine.address, 0
        self.remote: Address = "", 0
        self.label = ""
        """Names its connection and direction in the trace."""
        self.partner: Socket | None = None
        self.listener: Listener | None = None
        self.open = self.closed = self.shut = self.eof = False
        """``shut``: it reads no more."""
        self.known = True
        """Its machine's kernel knows of the connection."""
        self.error = 0
        self.rx: deque[bytes] = deque()
        self.rx_size = 0
        self.heard_at = 0
        """ns when the latest bytes came."""
        self.pending: deque[bytes] = deque()
        self.pending_size = 0
        """Bytes taken that the window has had no room for."""
        self.flight = 0
        """Bytes sent that the other side's program has not read."""
        self.fin_due = self.fin_sent = self.fin_taken = False
        self.number = self.expected = 0
        """Of the next segment that is sent, and that is handed over."""
        self.early: dict[int, tuple[Kind, bytes]] = {}
        """Segments that came before their turn."""
        self.held: deque[tuple[int, Kind, bytes]] = deque()
        """Segments that were lost, until they are sent again."""
        self.resend: Event | None = None
        self.again = AGAIN
        self.last = 0
        """ns when the latest segment arrives."""
        self.syn: Event | None = None
        self.on_readable: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None
        self.on_connected: Callable[[], None] | None = None

    # --- as a program sees it ---

    def fileno(self) -> int:
        return self.descriptor

    def setsockopt(self, level: int, option: int, value: object) -> None:
        """Options are taken and change nothing: buffers have their sizes, and nothing waits to be sent."""

    def getsockopt(self, level: int, option: int) -> int:
        return 0

    def setblocking(self, blocking: bool) -> None:
        if blocking:
            raise ValueError("a simulated socket never blocks")

    def getsockname(self) -> Address:
        return self.local

    def getpeername(self) -> Address:
        if not self.open:
            raise wrong(errno.ENOTCONN)
        return self.remote

    @property
    def family(self) -> int:
        return names.AF_INET

    @property
    def type(self) -> int:
        return names.SOCK_STREAM

    def recv(self, most: int, flags: int = 0) -> bytes:
        if self.closed:
            raise wrong(errno.EBADF)
        if self.rx:
            return self.peek(most) if flags & names.MSG_PEEK else self.take(most)
        if self.error:
            self.raise_error()
        if self.eof or self.shut:
            return b""
        raise wrong(errno.EAGAIN)

    def send(self, data: bytes | bytearray | memoryview) -> int:
        if self.closed:
            raise wrong(errno.EBADF)
        if self.error:
            self.raise_error()
        if self.fin_due or not self.known:
            raise wrong(errno.EPIPE)
        if not self.open:
            raise wrong(errno.ENOTCONN)
        room = SEND_BUFFER - self.pending_size
        if room <= 0:
            raise wrong(errno.EAGAIN)
        taken = bytes(data[:room])
        if taken:
            self.pending.append(taken)
            self.pending_size += len(taken)
            self.pump()
        return len(taken)

    def shutdown(self, how: int) -> None:
        if not self.open or self.closed:
            raise wrong(errno.ENOTCONN)
        if how != names.SHUT_WR:
            self.shut = True
        if how != names.SHUT_RD:
            self.finish()

    def close(self) -> None:
        """As a kernel does: what nobody has read makes it a reset, else the end follows what was written."""
        if self.closed:
            return
        unread = bool(self.rx)
        self.leave()
        self.stop_syn()
        if not self.open or unread:
            self.send_reset()
        else:
            self.finish()
            self.forget_if_through()

    def readable(self) -> bool:
        """Whether a read returns at once."""
        return bool(self.rx) or bool(self.error) or self.eof or self.shut

    def writable(self) -> bool:
        return bool(self.error) or (self.open and self.pending_size < SEND_BUFFER)

    # --- inside ---

    def raise_error(self) -> None:
        number, self.error = self.error, 0
        raise wrong(number)

    def peek(self, most: int) -> bytes:
        return b"".join(self.rx)[:most] if len(self.rx[0]) < most else self.rx[0][:most]

    def take(self, most: int) -> bytes:
        """Read, which opens the window for the other side."""
        parts: list[bytes] = []
        left = most
        while self.rx and left:
            part = self.rx.popleft()
            if len(part) > left:
                self.rx.appendleft(part[left:])
                part = part[:left]
            parts.append(part)
            left -= len(part)
        data = parts[0] if len(parts) == 1 else b"".join(parts)
        self.rx_size -= len(data)
        partner = self.partner
        if partner is not None:
            partner.flight -= len(data)
            if partner.pending:
                network = self.network
                span = network.delay(network.way(self.machine, partner.machine))
                network.scheduler.at(self.local_time() + span, partner.pump)
        return data

    def local_time(self) -> int:
        """ns, as its process has it: later than the network's while that is busy."""
        now = self.network.scheduler.now
        return now if self.descriptors is None else max(now, self.descriptors.local())

    def leave(self) -> None:
        """The program has let go of it."""
        self.closed = True
        self.on_readable = self.on_writable = self.on_connected = None
        if self.descriptors is not None:
            self.descriptors.give(self)

    def finish(self) -> None:
        """The end follows what was written."""
        if not self.fin_due and self.open:
            self.fin_due = True
            self.pump()

    def pump(self) -> None:
        """Send what the window has room for."""
        if not self.known or self.partner is None:
            return
        was_full = self.pending_size >= SEND_BUFFER
        while self.pending and self.flight < RECEIVE_BUFFER:
            part = self.pending.popleft()
            room = RECEIVE_BUFFER - self.flight
            if len(part) > room:
                self.pending.appendleft(part[room:])
                part = part[:room]
            self.pending_size -= len(part)
            self.flight += len(part)
            self.transmit("DATA", part)
        if was_full and self.pending_size < SEND_BUFFER and self.on_writable is not None:
            self.on_writable()
        if self.fin_due and not self.pending and not self.fin_sent:
            self.fin_sent = True
            self.transmit("FIN", b"")

    def transmit(self, kind: Kind, data: bytes) -> None:
        self.number += 1
        self.put_on_the_way(self.number - 1, kind, data, self.local_time())

    def put_on_the_way(self, number: int, kind: Kind, data: bytes, departs: int) -> None:
        network, partner = self.network, self.partner
        assert partner is not None
        path = network.way(self.machine, partner.machine)
        span = network.delay(path)
        if path.bandwidth and data:
            # It goes out once what was written before is out.
            span = max(departs + span, self.last) - departs + round(len(data) / path.bandwidth * NS)
        self.last = max(self.last + 1, departs + span)
        network.scheduler.at(self.last, self.arrive, number, kind, data)

    def arrive(self, number: int, kind: Kind, data: bytes) -> None:
        """A segment of this side's has got to the other, unless the way was cut: then it is sent again."""
        partner = self.partner
        if partner is None:
            return
        if not self.network.open(self.machine, partner.machine):
            if self.known:
                self.held.append((number, kind, data))
                if self.resend is None:
                    self.resend = self.network.scheduler.after(self.again, self.send_again)
        elif partner.known:
            partner.receive(number, kind, data)
        elif self.known:
            partner.answer_reset(self)

    def send_again(self) -> None:
        self.resend = None
        partner = self.partner
        if partner is None or not self.held:
            return
        if not self.network.open(self.machine, partner.machine):
            self.again = min(2 * self.again, AGAIN_MOST)
            self.resend = self.network.scheduler.after(self.again, self.send_again)
            return
        self.again = AGAIN
        held, self.held = self.held, deque()
        for segment in held:
            self.put_on_the_way(*segment, self.network.scheduler.now)

    def receive(self, number: int, kind: Kind, data: bytes) -> None:
        """A segment has come; it and those behind it are handed over in their turn."""
        if number != self.expected:
            self.early[number] = kind, data
            return
        self.expected += 1
        self.accept(kind, data)
        while self.early and self.expected in self.early and self.known:
            following = self.early.pop(self.expected)
            self.expected += 1
            self.accept(*following)

    def accept(self, kind: Kind, data: bytes) -> None:
        network = self.network
        network.trace.add(network.scheduler.now, f"{self.label} {kind} {len(data)}")
        if kind == "DATA":
            if self.closed or self.shut:
                self.reset()
                return
            self.rx.append(data)
            self.rx_size += len(data)
            self.heard_at = network.scheduler.now
        elif kind == "FIN":
            self.eof = True
            partner = self.partner
            assert partner is not None
            partner.fin_taken = True
            self.forget_if_through()
            partner.forget_if_through()
        elif self.listener is not None:
            self.open = True
            self.listener.joined(self)
            return
        if self.on_readable is not None:
            self.on_readable()

    # --- resets, and the end ---

    def reset(self) -> None:
        """End both directions at once."""
        self.send_reset()
        self.broken(errno.ECONNRESET)

    def send_reset(self) -> None:
        """Tell the other side that the connection is no more; lost where the way is cut."""
        partner = self.partner
        if self.known and partner is not None and partner.known:
            self.answer_reset(partner)
        self.forget()

    def answer_reset(self, other: Socket) -> None:
        """A segment with RST goes to the other side, behind what has gone before."""
        network = self.network
        span = network.delay(network.way(self.machine, other.machine))
        self.last = max(self.last + 1, self.local_time() + span)
        network.scheduler.at(self.last, other.receive_reset, self.machine)

    def receive_reset(self, sender: Machine) -> None:
        if not self.known or not self.network.open(sender, self.machine):
            return
        self.network.trace.add(self.network.scheduler.now, f"{self.label} RST")
        if self.listener is not None and not self.open:
            self.listener.coming -= 1
        self.forget()
        self.broken(errno.ECONNRESET if self.open else errno.ECONNREFUSED)

    def broken(self, error: int) -> None:
        """What has come can still be read; then the error is told once, and the end after it."""
        self.error, self.eof = error, True
        for told in (self.on_connected, self.on_readable, self.on_writable):
            if told is not None:
                told()

    def forget(self) -> None:
        """This side knows nothing of the connection any more. What is sent to it is answered by a reset."""
        if not self.known:
            return
        self.known = False
        self.machine.sockets.pop(self, None)
        self.pending.clear()
        self.pending_size = 0
        self.held.clear()
        if self.resend is not None:
            self.resend.call_off()
            self.resend = None
        partner = self.partner
        if partner is not None and not partner.known:
            self.partner = partner.partner = None

    def forget_if_through(self) -> None:
        """Both directions have ended in order."""
        if self.closed and self.eof and self.fin_taken:
            self.forget()

    def vanish(self) -> None:
        """Its process has died: the kernel resets what it had open."""
        if not self.closed:
            self.leave()
            self.stop_syn()
            self.send_reset()

    # --- connecting ---

    def connect(self, address: Address) -> None:
        """Begin: :attr:`on_connected` is called once the connection is up, or with :attr:`error` set."""
        network = self.network
        self.local, self.remote = (self.machine.address, self.machine.free_port()), address
        network.connections += 1
        self.label = f"{network.connections}<"
        self.machine.sockets[self] = None
        self.send_syn(network.connections, SYN_AGAIN)

    def send_syn(self, number: int, again: int) -> None:
        network = self.network
        target = network.machines.get(self.remote[0])
        self.syn = network.scheduler.at(self.local_time() + again, self.send_syn, number, 2 * again)
        if target is not None:
            span = network.delay(network.way(self.machine, target))
            network.scheduler.at(self.local_time() + span, self.syn_arrives, number, target)

    def syn_arrives(self, number: int, target: Machine) -> None:
        """At the machine that is called: it answers, refuses, or drops it."""
        network = self.network
        if self.closed or self.open or self.partner is not None or not network.open(self.machine, target):
            return
        listener = target.listeners.get(self.remote[1])
        admits = listener.admits() if listener is not None else "refused"
        span = network.delay(network.way(target, self.machine))
        if listener is None or admits == "refused":
            network.trace.add(network.scheduler.now, f"{number}> refused by {target.name}")
            network.scheduler.after(span, self.refused, target)
        elif admits == "yes" and len(listener.queue) + listener.coming < listener.backlog:
            network.trace.add(network.scheduler.now, f"{number}> SYN {self.machine.name} {target.name}")
            other = Socket(target)
            other.label, other.listener = f"{number}>", listener
            other.local, other.remote = self.remote, self.local
            other.partner, self.partner = self, other
            target.sockets[other] = None
            listener.coming += 1
            network.scheduler.after(span, self.connected, target)

    def refused(self, target: Machine) -> None:
        if not self.closed and self.network.open(target, self.machine):
            self.stop_syn()
            self.forget()
            self.broken(errno.ECONNREFUSED)

    def connected(self, target: Machine) -> None:
        """The SYN has been answered. Where that is lost, the SYN comes again and is answered again."""
        if self.closed or self.open or not self.known:
            return
        if not self.network.open(target, self.machine):
            self.network.scheduler.after(SYN_AGAIN, self.connected, target)
            return
        self.stop_syn()
        self.open = True
        self.transmit("ACK", b"")
        if self.on_connected is not None:
            self.on_connected()

    def stop_syn(self) -> None:
        if self.syn is not None:
            self.syn.call_off()
            self.syn = None

"""A connection to an endpoint that carries many calls at once and tells how far each of them got.

It reads and writes the socket itself: a transport's buffer can't be taken back from, and a call that is
cancelled before its first byte has gone must never go out.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from .. import interface
from ..core.host import Host, Socket
from ..core.protocol import Address, OnEnded
from ..core.shared import Watcher
from .codec import Noise, Response, read_response
from .framing import Framer, Framing, FramingError, frame, spoil

MOST_RESPONSE = 1 << 20  # bytes of one response: sixteen times what the platform's own bodies may hold
PIECE = 1 << 16  # bytes read or written at once
MOST_ABANDONED = 1024  # cancelled calls without a response, from which on a connection takes nothing new


class Payload(NamedTuple):
    """A call's text round its id."""

    head: bytes
    tail: bytes


class Reply(NamedTuple):
    """A response's text round its id."""

    head: bytes
    tail: bytes
    error: bytes
    """The error object as written; empty: a result."""


class ErrorCodeMapping(NamedTuple):
    """What the codes of an endpoint's errors mean. Others are answers like any result."""

    never_ran: frozenset[int]
    failed: frozenset[int]

    def outcome(self, response: Response) -> interface.Outcome:
        if not response.error:
            return "served"
        if response.code in self.never_ran:
            return "full"
        return "error" if response.code in self.failed else "served"


class State(enum.Enum):
    WAITING = "for a connection"
    QUEUED = "on a connection, no byte has gone"
    PARTIAL = "some bytes have gone"
    WRITTEN = "all bytes have gone"


class Exchange:
    """One call on an endpoint."""

    __slots__ = ("connection", "ended", "id", "payload", "state", "written_at")

    def __init__(self, payload: Payload, ended: OnEnded) -> None:
        self.payload = payload
        self.ended: OnEnded | None = ended
        self.connection: ClientConnection | None = None
        self.state = State.WAITING
        self.id = -1
        self.written_at = 0.0

    def waiting(self) -> bool:
        return self.ended is not None

    def run(self, connection: ClientConnection) -> None:
        connection.send_attempt(self)

    def end(self, outcome: interface.Outcome, reply: Reply | None = None) -> None:
        ended, self.ended = self.ended, None
        self.connection = None
        if ended is not None:
            ended(outcome, reply)

    def begun(self) -> bool:
        return self.state in (State.PARTIAL, State.WRITTEN)

    def cancel(self, silent: bool) -> None:
        self.ended = None
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.withdraw(self, silent)


class ClientConnection:
    """One connection to an endpoint. Its owner, the watcher, hears once of its end.

    ``counts`` tells what came for nobody: ``late`` (of a cancelled call), ``repeated``, ``unknown``,
    ``null``, ``noise``.
    """

    def __init__(
        self,
        sock: Socket,
        framing: Framing,
        outcome: Callable[[Response], interface.Outcome],
        watcher: Watcher[ClientConnection],
        counts: Counter[str],
    ) -> None:
        self.sock, self.framing, self.outcome = sock, framing, outcome
        self.watcher, self.counts = watcher, counts
        self.loop = asyncio.get_running_loop()
        self.framer = Framer(framing, MOST_RESPONSE)
        self.issued = 0
        """The highest id given so far."""
        self.calls: dict[int, Exchange] = {}
        """Those that wait for their response, by id."""
        self.queue: deque[Exchange] = deque()
        """Those of which no byte has gone."""
        self.abandoned: set[int] = set()
        self.partial: Exchange | None = None
        self.framed = self.rest = b""
        """The text that is half out, and what is still to be written of it."""
        self.spoilt = 0
        """Texts that were cut short: each may be owed an error with id null."""
        self.flushing = self.blocked = self.retired = self.lost = False
        self.heard_at = 0.0
        self.loop.add_reader(sock.fileno(), self.readable)

    # --- as the pools see it ---

    def pending(self) -> int:
        return len(self.calls)

    def sound(self) -> bool:
        if self.lost or self.retired:
            return False
        if self.calls:
            return True
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK)) and bool(self.abandoned or self.spoilt)
        except BlockingIOError:
            return True
        except OSError:
            return False

    def send_attempt(self, attempt: Exchange) -> None:
        attempt.connection, attempt.state = self, State.QUEUED
        self.issued += 1
        attempt.id = self.issued
        self.calls[attempt.id] = attempt
        self.queue.append(attempt)
        if self.flushing or self.blocked:
            return
        if len(self.calls) == 1:
            self.flush()
        else:
            # Once a turn of the loop: many calls then share one write.
            self.flushing = True
            self.loop.call_soon(self.flush)

    def drop_unsent(self) -> None:
        queue, self.queue = self.queue, deque()
        for call in queue:
            if self.calls.pop(call.id, None) is not None:
                call.end("dropped")
        self.rest_if_idle()

    def finish(self) -> None:
        if not self.retired:
            self.retired = True
            self.watcher.retired(self)
        self.rest_if_idle()

    def abort(self) -> None:
        """End at once: calls of which no byte had gone never ran, the others may have."""
        if self.lost:
            return
        self.lost = True
        self.loop.remove_reader(self.sock.fileno())
        if self.blocked:
            self.loop.remove_writer(self.sock.fileno())
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        self.watcher.lost(self)
        calls, self.calls = self.calls, {}
        self.queue.clear()
        for call in calls.values():
            call.end("reset" if call.begun() else "dropped")

    def rest_if_idle(self) -> None:
        if self.calls or self.lost:
            return
        if self.retired and not self.rest:
            self.abort()
        else:
            self.watcher.idle(self)

    # --- writing ---

    def flush(self) -> None:
        """Write what is queued, as far as the kernel takes it."""
        self.flushing = False
        while not self.lost:
            if not self.rest and not self.queue:
                self.unblock()
                return
            texts, calls = self.collect()
            try:
                sent = self.sock.send(b"".join(texts))
            except BlockingIOError:
                sent = 0
            except OSError:
                self.queue.extendleft(reversed(calls))
                self.loop.call_soon(self.abort)  # never within the start of an attempt
                return
            if not self.account(texts, calls, sent):
                self.block()
                return

    def collect(self) -> tuple[list[bytes], list[Exchange]]:
        """The rest of what is half out, and calls of about a piece."""
        texts, calls = [self.rest], []
        size = len(self.rest)
        while self.queue and size < PIECE:
            call = self.queue.popleft()
            if call.ended is None:
                continue
            text = frame(self.framing, b"%b%d%b" % (call.payload.head, call.id, call.payload.tail))
            texts.append(text)
            calls.append(call)
            size += len(text)
        return texts, calls

    def account(self, texts: list[bytes], calls: list[Exchange], sent: int) -> bool:
        """Note how far each text got; False if the kernel took less than all."""
        now = self.loop.time()
        if sent < len(self.rest):
            self.rest = self.rest[sent:]
            self.queue.extendleft(reversed(calls))
            return False
        sent -= len(self.rest)
        self.rest = b""
        if self.partial is not None:
            self.partial.state, self.partial.written_at, self.partial = State.WRITTEN, now, None
        for n, (text, call) in enumerate(zip(texts[1:], calls, strict=True)):
            if sent < len(text):
                if sent:
                    call.state, self.partial = State.PARTIAL, call
                    self.framed, self.rest = text, text[sent:]
                    n += 1
                self.queue.extendleft(reversed(calls[n:]))
                return False
            call.state, call.written_at = State.WRITTEN, now
            sent -= len(text)
        return True

    def block(self) -> None:
        if not self.blocked:
            self.blocked = True
            self.loop.add_writer(self.sock.fileno(), self.flush)

    def unblock(self) -> None:
        if self.blocked:
            self.blocked = False
            self.loop.remove_writer(self.sock.fileno())
        if self.retired:
            self.rest_if_idle()

    def withdraw(self, call: Exchange, silent: bool) -> None:
        """A call is cancelled. JSON-RPC has no way to say so: its response is dropped when it comes.

        One that is half out is cut short, so that it can't run after its client's final answer; its
        neighbours are read as before. Where nothing has been heard since it was written, the connection may
        be dead: what comes next goes by another one.
        """
        self.calls.pop(call.id, None)
        if call.state is State.PARTIAL and self.partial is call:
            self.rest = spoil(self.framing, self.framed, len(self.framed) - len(self.rest))
            self.partial = None
            self.spoilt += 1
        elif call.state is State.WRITTEN:
            self.abandoned.add(call.id)
            if (silent and self.heard_at < call.written_at) or len(self.abandoned) >= MOST_ABANDONED:
                self.finish()
        self.rest_if_idle()

    # --- reading ---

    def readable(self) -> None:
        try:
            data = self.sock.recv(PIECE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.abort()
            return
        self.heard_at = self.loop.time()
        broken = False
        try:
            texts = self.framer.feed(data)
        except FramingError as wrong:
            texts, broken = wrong.before, True
        for text in texts:
            if self.lost:
                return
            try:
                self.take(read_response(text))
            except Noise:
                broken = True
                break
        if broken and not self.lost:
            self.counts["noise"] += 1
            self.abort()

    def take(self, response: Response) -> None:
        if response.id is None:
            self.nobody(response)
            return
        call = self.calls.get(response.id)
        if call is None or call.state is not State.WRITTEN:
            self.stray(response.id)
            return
        del self.calls[response.id]
        self.rest_if_idle()
        call.end(self.outcome(response), Reply(response.head, response.tail, response.error))

    def stray(self, id: int) -> None:
        """For no pending call: dropped and counted; what else is out is not touched."""
        if id in self.abandoned:
            self.abandoned.discard(id)
            self.counts["late"] += 1
        elif id in self.calls or id > self.issued:
            self.counts["unknown"] += 1  # also to what has not been written whole: made for no call of ours
        else:
            self.counts["repeated"] += 1

    def nobody(self, response: Response) -> None:
        """With no id of ours: which call it means can't be told. Unless a text of ours was cut short, the
        connection takes nothing new; what is out on it goes on waiting."""
        if response.null and response.error and self.spoilt:
            self.spoilt -= 1
            return
        self.counts["null" if response.null else "unknown"] += 1
        if response.null:
            self.finish()


async def dial(
    host: Host,
    address: Address,
    timeout: float,
    framing: Framing,
    outcome: Callable[[Response], interface.Outcome],
    watcher: Watcher[ClientConnection],
    counts: Counter[str],
) -> ClientConnection:
    """A new connection, within ``timeout`` seconds; OSError (time-outs are one) where there is none."""
    sock = host.socket()
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(timeout):
            await asyncio.get_running_loop().sock_connect(sock, address)
        return ClientConnection(sock, framing, outcome, watcher, counts)
    except BaseException:
        sock.close()
        raise

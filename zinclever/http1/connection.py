"""A client connection that carries one request at a time and tells how far a request got.

An ordinary HTTP client hides whether a request's last byte was written and may send it again by itself;
the rules on repeats need the first and forbid the second.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol, cast

import httptools

from ..core.host import Host, Socket
from ..core.protocol import Address
from ..core.stall_detector import SETTLE_TIME, STALL_THRESHOLD_MS

Headers = list[tuple[bytes, bytes]]
BLANK = b" \t"  # what may stand on either side of a header's value (RFC 9110, 5.5); the parser leaves it behind
BODILESS = (204, 304)

#: Headers that hold for one connection only, and those that the sidecar words itself.
NON_FORWARDED_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
MAX_BUFFERED_BODY = 64 * 1024  # of an answer that is held until it is whole; a longer one is passed on as it comes
MOST_ANSWER = 40 << 20  # bytes of one that is passed on: the longest have 32 MB
MOST_HEAD = 32 * 1024
SMALL_BODY = 16 * 1024  # bytes of a request's body that are copied behind its head, for one call of the kernel
MAX_RESPONSE_OVERHEAD = 8 * MOST_HEAD  # of an answer beyond its body: head, sizes of chunks, 1xx answers ahead
STALL = 0.5  # s between two pieces of an answer that is held: what stops is spoilt, and another attempt may help
LINGERS = 0.03  # s after its first bytes from which on an answer of untold length is passed on as it comes
TRANSFER_STALL = 10.0  # s between two pieces of one that is passed on: its client can't get another
TRANSFER_BUFFER = 64 * 1024  # bytes that the kernel holds of it: a client that reads slowly slows the server down


class Reader(Protocol):
    """Gets the rest of an answer as it comes."""

    def more(self, data: bytes) -> None: ...

    def end(self, whole: bool) -> None:
        """Called once; after it nothing more comes. Not ``whole``: the server has broken off."""


class Transfer:
    """The rest of an answer that is too large to be held. Who takes it by :meth:`start` owns the connection that it
    comes on, until the reader is told of the end or it is aborted."""

    __slots__ = ("connection", "length", "reader")

    def __init__(self, connection: ClientConnection, length: int | None) -> None:
        self.connection, self.length = connection, length
        """Of the whole body, where the server told it."""
        self.reader: Reader | None = None

    def start(self, reader: Reader) -> None:
        self.reader = reader

    def pause(self) -> None:
        self.connection.pause()

    def resume(self) -> None:
        self.connection.resume()

    def abort(self) -> None:
        """End the connection; the reader is told nothing."""
        self.reader = None
        self.connection.abort()


class Reply(NamedTuple):
    """An answer: whole, or its beginning and a transfer that brings the rest."""

    status: int
    headers: Headers
    body: bytes
    rest: Transfer | None = None

    def header(self, name: bytes) -> bytes | None:
        """The value of the first header with that lower-case name."""
        return next((v for k, v in self.headers if k.lower() == name), None)


class Broken(NamedTuple):
    """The connection ended before a whole answer."""

    unsent: bool
    """The request's last byte was never handed over, so that it can't have run."""


Done = Callable[[Reply | Broken], None]
#: Told once the kernel has a request's last byte.
Sent = Callable[[], None]


def end_to_end(headers: Headers, left_out: frozenset[bytes]) -> bytes:
    """Header lines that a proxy passes on: all but those of the connection, which ``left_out`` holds among others.

    A header that ``Connection`` names is of the connection too.
    """
    lines: list[bytes] = []
    for name, value in headers:
        low = name.lower()
        if low == b"connection":
            named = {part.strip().lower() for part in value.split(b",")}
            if not named <= left_out:
                return end_to_end(headers, left_out | named)
        if low not in left_out:
            lines.append(b"%b: %b\r\n" % (name, value))
    return b"".join(lines)


class ClientConnection(asyncio.Protocol):
    """One connection to a server. The owner sees to it that only one request is out on it."""

    __deletable__ = ("parser",)  # mypyc: it refers back

    def __init__(
        self,
        sock: Socket,
        on_free: Callable[[ClientConnection], None],
        on_lost: Callable[[ClientConnection], None],
        max_buffered_body: int = MAX_BUFFERED_BODY,
        transfers: bool = False,
        stall: float = STALL,
    ) -> None:
        """``max_buffered_body``: bytes that are held of an answer; with ``transfers`` a longer one is passed on. ``stall``: s
        between two pieces of one that is held."""
        self.patience = stall
        self.sock, self.on_free, self.on_lost, self.max_buffered_body = sock, on_free, on_lost, max_buffered_body
        self.most_answer = MOST_ANSWER if transfers else max_buffered_body
        self.rest: Transfer | None = None
        self.body: list[bytes] = []
        self.paused = False
        self.heard_at = self.begun_at = 0.0
        self.parser = httptools.HttpResponseParser(self)
        self.done: Done | None = None
        self.sent: Sent | None = None
        self.stall: asyncio.TimerHandle | None = None
        self.held: tuple[bytes, asyncio.TimerHandle] | None = None
        """The request's last byte, until it goes out."""
        self.unsent = self.lost = False
        self.until_end = False  # here, too: a connection may end before its first request
        self.uploading = self.chunked = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # resume_writing then tells of the last byte

    def reusable(self) -> bool:
        """Whether nothing has come since the last answer: neither an end nor stray bytes.

        Asked of the kernel, as the loop may not have read them yet: what is written to a connection that
        the server has closed ends as a reset, which may have run.
        """
        if self.lost or self.transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def request(self, head: bytes, done: Done, hold: float = 0.0, sent: Sent | None = None, body: bytes = b"") -> None:
        """Write one request; ``done`` is called once, unless the exchange is aborted before.

        With ``hold`` its last byte follows so many seconds later, if the connection is still sound then.
        """
        self.expect(done, sent)
        small = len(body) <= SMALL_BODY
        data, tail = (head + body, b"") if small else (head, memoryview(body))
        if hold > 0.0:
            self.hold_back((data if small else body)[-1:], hold)
            data, tail = (data[:-1], tail) if small else (data, tail[:-1])
        if self.write(data) and (small or self.write(tail)):
            self.resume_writing()

    def expect(self, done: Done, sent: Sent | None) -> None:
        """An exchange begins."""
        self.done, self.sent = done, sent
        self.received = 0  # raw bytes: guards against a head without end, which the parser holds back
        self.begun = self.complete = self.keep = self.large = self.until_end = False
        self.unsent = True

    def hold_back(self, last: bytes, hold: float) -> None:
        timer = asyncio.get_running_loop().call_later(hold, self.complete_request)
        self.held = last, timer

    def begin_upload(self, head: bytes, done: Done, sent: Sent | None, chunked: bool) -> None:
        """Write a request whose body follows by :meth:`upload`, and ends by :meth:`end_upload`."""
        self.expect(done, sent)
        self.uploading, self.chunked = True, chunked
        self.write(head)

    def upload(self, data: bytes) -> None:
        """The next bytes of the body: one at least."""
        if not self.uploading or self.transport.is_closing():
            return
        if not self.chunked:
            self.write(data)
        elif self.write(b"%x\r\n" % len(data)) and self.write(data):
            self.write(b"\r\n")

    def end_upload(self, last: bytes, hold: float) -> None:
        """The last byte of the body; with ``hold`` the request's last byte is held back as in :meth:`request`."""
        if not self.uploading or self.transport.is_closing():
            return
        self.uploading = False
        data = b"1\r\n%b\r\n0\r\n\r\n" % last if self.chunked else last
        if hold > 0.0:
            self.hold_back(data[-1:], hold)
            data = data[:-1]
        if not data or self.write(data):
            self.resume_writing()

    def has_unsent_bytes(self) -> bool:
        """Whether bytes of the request have not been written yet, so that it can't have run."""
        return self.uploading or self.held is not None

    def write(self, data: bytes | memoryview) -> bool:
        """Hand bytes of the request to the kernel, or to the transport as far as it has no room; False once the
        connection has ended."""
        try:
            written = 0 if self.transport.get_write_buffer_size() else self.sock.send(data)
        except BlockingIOError:
            written = 0
        except OSError:
            self.transport.abort()  # connection_lost tells the owner
            return False
        if written < len(data):
            self.transport.write(memoryview(data)[written:])  # a body is kept in any case: no second copy of it
        return True

    def complete_request(self) -> None:
        """The last byte, unless the connection has ended meanwhile: what broke before it never ran."""
        if self.held is None:
            return
        last, timer = self.held
        if 1000.0 * (asyncio.get_running_loop().time() - timer.when()) > STALL_THRESHOLD_MS:
            # The process stood still: whether the client still waits is told in the loop's next turn.
            self.hold_back(last, SETTLE_TIME)
            return
        if not self.reusable():
            self.transport.abort()  # connection_lost tells the owner
            return
        self.held = None
        if self.write(last):
            self.resume_writing()

    def resume_writing(self) -> None:
        """The kernel has all that was handed to the transport."""
        self.unsent = self.has_unsent_bytes() or self.transport.get_write_buffer_size() > 0
        if not self.unsent and self.sent is not None:
            sent, self.sent = self.sent, None
            sent()

    def abort(self) -> None:
        """End the connection now and tell nobody of the exchange on it.

        The shut-down reaches the server before a byte of any later attempt does: the transport closes the
        socket only in the loop's next round, and until then a repeat would count as a second copy.
        """
        self.done = None
        self.stop_timers()
        self.rest = None
        self.uploading = False
        if not self.lost:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.done is None and self.rest is None:
            self.abort()
            return
        self.received += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.keep = False
            if not self.complete:
                self.spoilt()
                return
        if self.complete:
            self.finish()
            return
        if self.rest is not None:
            self.pass_on(self.rest)
        elif self.begun and self.body and (self.large or self.size > self.max_buffered_body or self.lingers()):
            self.open()
        elif self.received > MAX_RESPONSE_OVERHEAD + self.max_buffered_body:
            self.spoilt()
            return
        if self.begun and (self.done is not None or self.rest is not None):
            self.watch()

    def lingers(self) -> bool:
        """An answer of untold length goes on for so long that it may well be too large to be held."""
        if self.most_answer == self.max_buffered_body or self.status != 200 or self.length() is not None:
            return False
        return self.stall is not None and asyncio.get_running_loop().time() > self.begun_at + LINGERS

    def open(self) -> None:
        """Hand over what has come of an answer that is too large to be held, and the way to the rest."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, TRANSFER_BUFFER)
        done, self.done = self.done, None
        told = self.length()
        rest = self.rest = Transfer(self, int(told) if told is not None else None)
        body = b"".join(self.body)
        self.body = []
        if done is not None:
            done(Reply(self.status, self.headers, body, rest))
        if self.rest is rest and rest.reader is None:
            self.abort()  # nobody waits for it any more

    def pass_on(self, rest: Transfer) -> None:
        """What has come since to the reader."""
        body, self.body = b"".join(self.body), []
        if body and rest.reader is not None:
            rest.reader.more(body)

    def pause(self) -> None:
        """The reader has enough for now."""
        if not self.paused and not self.lost:
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.paused and not self.lost:
            self.paused = False
            self.heard_at = asyncio.get_running_loop().time()
            self.transport.resume_reading()

    def watch(self) -> None:
        """See to it that the rest of an answer that has begun follows."""
        loop = asyncio.get_running_loop()
        self.heard_at = loop.time()
        if self.stall is None:
            self.begun_at = self.heard_at
            self.stall = loop.call_later(self.patience, self.look)

    def look(self) -> None:
        """Whether the server has said nothing for too long, while it could."""
        loop = asyncio.get_running_loop()
        patience = TRANSFER_STALL if self.rest is not None else self.patience
        left = patience if self.paused else self.heard_at + patience - loop.time()
        if left > 0.0:
            self.stall = loop.call_later(left, self.look)
        else:
            self.spoilt()

    def spoilt(self) -> None:
        """What comes is no answer, or too much of one: the request may have run."""
        done, rest = self.done, self.rest
        self.abort()
        if done is not None:
            done(Broken(self.unsent))
        elif rest is not None and rest.reader is not None:
            rest.reader.end(False)

    def finish(self) -> None:
        """Hand the answer over; the connection is free before, so that what follows may use it."""
        done, self.done = self.done, None
        rest, self.rest = self.rest, None
        self.stop_timers()
        if self.paused:
            self.resume()
        body = b"".join(self.body)
        if self.keep and not self.unsent:
            self.on_free(self)
        else:
            self.abort()
        if done is not None:
            done(Reply(self.status, self.headers, body))
        elif rest is not None and rest.reader is not None:
            if body:
                rest.reader.more(body)
            rest.reader.end(True)

    def stop_timers(self) -> None:
        if self.held is not None:
            self.held[1].cancel()
            self.held = None
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.stop_timers()
        del self.parser  # which refers back
        self.on_lost(self)
        done, self.done = self.done, None
        rest, self.rest = self.rest, None
        whole = exc is None and self.until_end and not self.unsent
        if done is not None:
            done(Reply(self.status, self.headers, b"".join(self.body)) if whole else Broken(self.unsent))
        elif rest is not None and rest.reader is not None:
            rest.reader.end(whole)

    # --- the parser's callbacks ---

    def on_message_begin(self) -> None:
        if self.complete:  # bytes beyond the answer
            self.keep = False
            return
        self.begun = True
        self.headers: Headers = []
        self.body = []
        self.size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete:
            self.headers.append((name, value.strip(BLANK)))
            self.size += len(name) + len(value)
            if self.size > MOST_HEAD:
                raise ValueError("head too long")

    def on_headers_complete(self) -> None:
        """The status is read here: guards against that of a message beyond the answer."""
        if not self.complete:
            self.status = self.parser.get_status_code()
            self.size = 0
            told = self.length()
            length = int(told) if told is not None else 0
            if length > self.most_answer or (length > self.max_buffered_body and self.status != 200):
                raise ValueError("body too long")
            self.large = length > self.max_buffered_body
            coded = any(k.lower() == b"transfer-encoding" for k, _ in self.headers)
            self.until_end = told is None and not coded and self.status not in BODILESS and self.status >= 200

    def length(self) -> bytes | None:
        """What the server says of the body's length."""
        return next((v for k, v in self.headers if k.lower() == b"content-length"), None)

    def on_body(self, body: bytes) -> None:
        if not self.complete:
            self.body.append(body)
            self.size += len(body)
            if self.size > (self.most_answer if self.status == 200 else self.max_buffered_body):
                raise ValueError("body too long")

    def on_message_complete(self) -> None:
        if self.complete:
            self.keep = False
        elif self.status < 200:
            self.begun = False  # an interim answer: the final one is still to come
        else:
            self.keep = self.parser.should_keep_alive()
            self.complete = True


async def dial(
    host: Host,
    address: Address,
    timeout: float,
    on_free: Callable[[ClientConnection], None],
    on_lost: Callable[[ClientConnection], None],
    max_buffered_body: int = MAX_BUFFERED_BODY,
    transfers: bool = False,
    stall: float = STALL,
) -> ClientConnection:
    """A new connection, within ``timeout`` seconds; OSError (time-outs are one) where there is none."""
    loop = asyncio.get_running_loop()
    sock = host.socket()
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(timeout):
            await loop.sock_connect(sock, address)
        _, connection = await loop.create_connection(
            lambda: ClientConnection(sock, on_free, on_lost, max_buffered_body, transfers, stall), sock=sock
        )
    except BaseException:
        sock.close()
        raise
    return connection

"""A client connection that carries one request at a time and reports how much of a request was sent.

An ordinary HTTP client hides whether a request's last byte was written and may repeat a request by itself; the rules on
retries need the first and forbid the second.
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
OPTIONAL_WHITESPACE = b" \t"  # around a header's value (RFC 9110, 5.5); the parser doesn't remove the trailing part
BODILESS_STATUSES = (204, 304)

#: Headers that apply to one connection only, and those that the sidecar sets itself.
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
MAX_BUFFERED_BODY = 64 * 1024  # bytes of a response body that is buffered completely; a longer one is streamed
MAX_STREAMED_BODY = 40 << 20  # bytes of a response body that is streamed: the longest have 32 MB
MAX_HEAD_SIZE = 32 * 1024  # bytes
MAX_COPIED_BODY = 16 * 1024  # bytes of a request body that is copied behind its head, to send both in one system call
MAX_RESPONSE_OVERHEAD = 8 * MAX_HEAD_SIZE  # bytes of a response apart from its body: head, chunk sizes, 1xx responses
STALL_TIMEOUT = 0.5  # s without data in a buffered response, after which it fails: a retry may help
MAX_BUFFERING_TIME = 0.03  # s from its first bytes after which a response of unknown length is streamed
STREAM_STALL_TIMEOUT = 10.0  # s without data in a streamed response, which can't be retried any more
STREAM_RECEIVE_BUFFER = 64 * 1024  # bytes; kept small, so that a client that reads slowly slows the server down


class ResponseReader(Protocol):
    """Receives the rest of a streamed response."""

    def on_data(self, data: bytes) -> None:
        """Handle the next bytes of the body."""

    def on_end(self, complete: bool) -> None:
        """Handle the end of the response. Called once; no call follows. ``complete`` is False if it broke off."""


class ResponseStream:
    """The rest of a response that is too large to be buffered.

    Whoever calls :meth:`start` owns the connection that the response arrives on, until the reader is notified of the
    end or the stream is aborted.
    """

    __slots__ = ("connection", "length", "reader")

    def __init__(self, connection: ClientConnection, length: int | None) -> None:
        self.connection, self.length = connection, length
        """Length of the complete body; None if the server did not send it."""
        self.reader: ResponseReader | None = None

    def start(self, reader: ResponseReader) -> None:
        """Pass the rest of the response to a reader."""
        self.reader = reader

    def pause(self) -> None:
        """Stop reading from the server."""
        self.connection.pause()

    def resume(self) -> None:
        """Continue to read from the server."""
        self.connection.resume()

    def abort(self) -> None:
        """Abort the connection; the reader is not notified."""
        self.reader = None
        self.connection.abort()


class Reply(NamedTuple):
    """A response: complete, or its beginning and a stream with the rest."""

    status: int
    headers: Headers
    body: bytes
    stream: ResponseStream | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with that lower-case name."""
        return next((v for k, v in self.headers if k.lower() == name), None)


class Broken(NamedTuple):
    """The connection ended before a complete response."""

    unsent: bool
    """The server can't have executed the request, since it never got the byte with which it may begin: the last one, or
    the last one of the head if it executes requests before their body is complete.
    """


Parts = list[bytes | memoryview]
"""Consecutive parts of a request."""


class Withheld(NamedTuple):
    """The end of a request that is sent when the timer fires. The first byte is the one that is waited with."""

    parts: Parts
    timer: asyncio.TimerHandle


OnResult = Callable[[Reply | Broken], None]
#: Called once the kernel has a request's last byte.
OnSent = Callable[[], None]


def end_to_end(headers: Headers, excluded: frozenset[bytes]) -> bytes:
    """Return the header lines that a proxy forwards: all but ``excluded``, which contains the hop-by-hop headers.

    Headers that are listed in ``Connection`` are hop-by-hop too.
    """
    lines: list[bytes] = []
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == b"connection":
            listed = {part.strip().lower() for part in value.split(b",")}
            if not listed <= excluded:
                return end_to_end(headers, excluded | listed)
        if lower_name not in excluded:
            lines.append(b"%b: %b\r\n" % (name, value))
    return b"".join(lines)


class ClientConnection(asyncio.Protocol):
    """One connection to a server. Its owner ensures that only one request is in flight on it."""

    __deletable__ = ("parser",)  # for mypyc: the parser refers back to this object

    def __init__(
        self,
        sock: Socket,
        on_free: Callable[[ClientConnection], None],
        on_lost: Callable[[ClientConnection], None],
        max_buffered_body: int = MAX_BUFFERED_BODY,
        can_stream: bool = False,
        stall: float = STALL_TIMEOUT,
        *,
        executes_early: bool = False,
    ) -> None:
        """Create a connection.

        Args:
            sock: The connected socket.
            on_free: Called when the connection can carry the next request.
            on_lost: Called when the connection has ended.
            max_buffered_body: Maximum size in bytes of a response body that is buffered.
            can_stream: Whether a longer body is streamed; otherwise it counts as a broken response.
            stall: Maximum seconds between two reads of a buffered response.
            executes_early: Whether the server may execute a request as soon as it has the head.
        """
        self.stall_timeout, self.executes_early = stall, executes_early
        self.sock, self.on_free, self.on_lost, self.max_buffered_body = sock, on_free, on_lost, max_buffered_body
        self.max_body = MAX_STREAMED_BODY if can_stream else max_buffered_body
        self.stream: ResponseStream | None = None
        self.body_parts: list[bytes] = []
        self.paused = False
        self.heard_at = self.response_began_at = 0.0
        self.parser = httptools.HttpResponseParser(self)
        self.on_result: OnResult | None = None
        self.on_sent: OnSent | None = None
        self.stall_timer: asyncio.TimerHandle | None = None
        self.withheld: Withheld | None = None
        """The end of the request, until it is sent."""
        self.unsent = self.lost = False
        self.head_unsent = False
        """The request's head was not passed to the kernel in full."""
        self.ends_at_close = False  # set here too, as a connection may end before its first request
        self.uploading = self.chunked = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # so that resume_writing is called when the last byte is written

    def reusable(self) -> bool:
        """Return whether nothing was received since the last response: neither an end of file nor stray bytes.

        Checks the socket, as the loop may not have read them yet. A request written to a connection that the server has
        closed ends with a reset, which leaves open whether the request was executed.
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

    def request(
        self, head: bytes, on_result: OnResult, hold: float = 0.0, on_sent: OnSent | None = None, body: bytes = b""
    ) -> None:
        """Write one request; ``on_result`` is called once, unless the exchange is aborted before.

        If ``hold`` is set, the byte with which the server may begin to execute it is written that many seconds later,
        if the connection is still usable then, and all that follows with it.
        """
        self.begin_exchange(on_result, on_sent)
        parts: Parts = [head + body] if len(body) <= MAX_COPIED_BODY else [head, memoryview(body)]
        holds_head = hold > 0.0 and (self.executes_early or not body)
        if hold > 0.0:
            parts = self.withhold_end(head, body, hold)
        self.write_parts(parts, completes_head=not holds_head)

    def begin_exchange(self, on_result: OnResult, on_sent: OnSent | None) -> None:
        """Reset the state of the previous exchange."""
        self.on_result, self.on_sent = on_result, on_sent
        self.received_bytes = 0  # limits a head that never ends, which the parser buffers
        self.response_begun = self.response_complete = self.keep_alive = self.is_large = self.ends_at_close = False
        self.unsent = self.head_unsent = True

    def withhold_end(self, head: bytes, body: bytes, hold: float) -> Parts:
        """Withhold the end of a request for ``hold`` seconds, and return what comes before it."""
        if self.executes_early or not body:
            self.withhold([head[-1:], memoryview(body)] if body else [head[-1:]], hold)
            return [head[:-1]]
        self.withhold([body[-1:]], hold)
        if len(body) <= MAX_COPIED_BODY:
            return [head + body[:-1]]
        return [head, memoryview(body)[:-1]]

    def withhold(self, parts: Parts, hold: float) -> None:
        """Send the end of the request after ``hold`` seconds."""
        timer = asyncio.get_running_loop().call_later(hold, self.send_withheld)
        self.withheld = Withheld(parts, timer)

    def begin_upload(self, head: bytes, on_result: OnResult, on_sent: OnSent | None, chunked: bool) -> None:
        """Write the head of a request. :meth:`upload` writes its body, and :meth:`end_upload` ends it."""
        self.begin_exchange(on_result, on_sent)
        self.uploading, self.chunked = True, chunked
        self.head_unsent = not self.write(head)

    def upload(self, data: bytes) -> None:
        """Write the next bytes of the body, at least one."""
        if not self.uploading or self.transport.is_closing():
            return
        if not self.chunked:
            self.write(data)
        elif self.write(b"%x\r\n" % len(data)) and self.write(data):
            self.write(b"\r\n")

    def end_upload(self, last_byte: bytes, hold: float) -> None:
        """Write the last byte of the body; the request's last byte may be withheld as in :meth:`request`."""
        if not self.uploading or self.transport.is_closing():
            return
        self.uploading = False
        data = b"1\r\n%b\r\n0\r\n\r\n" % last_byte if self.chunked else last_byte
        if hold > 0.0:
            self.withhold([data[-1:]], hold)
            data = data[:-1]
        if not data or self.write(data):
            self.resume_writing()

    def has_unsent_bytes(self) -> bool:
        """Return whether bytes of the request are yet to be passed to :meth:`write`."""
        return self.uploading or self.withheld is not None

    def broken(self) -> Broken:
        """Return the result of an exchange that ends without a response."""
        return Broken(self.head_unsent if self.executes_early else self.unsent)

    def write_parts(self, parts: Parts, completes_head: bool) -> None:
        """Write parts of the request. ``completes_head`` states whether the first one contains the end of the head."""
        if not self.write(parts[0]):
            return
        self.head_unsent = not completes_head
        if all(self.write(part) for part in parts[1:]):
            self.resume_writing()

    def write(self, data: bytes | memoryview) -> bool:
        """Write bytes of the request to the kernel, and to the transport what the kernel doesn't accept.

        Returns False if the connection has ended.
        """
        try:
            written = 0 if self.transport.get_write_buffer_size() else self.sock.send(data)
        except BlockingIOError:
            written = 0
        except OSError:
            self.transport.abort()  # connection_lost notifies the owner
            return False
        if written < len(data):
            self.transport.write(memoryview(data)[written:])  # a view, as the body is kept for retries anyway
        return True

    def send_withheld(self) -> None:
        """Send the end of the request, unless the connection has ended: without it, it is never executed."""
        if self.withheld is None:
            return
        parts, timer = self.withheld
        if 1000.0 * (asyncio.get_running_loop().time() - timer.when()) > STALL_THRESHOLD_MS:
            # The process was stalled: the loop's next iteration shows whether the client is still waiting.
            self.withhold(parts, SETTLE_TIME)
            return
        if not self.reusable():
            self.transport.abort()  # connection_lost notifies the owner
            return
        self.withheld = None
        self.write_parts(parts, completes_head=True)

    def resume_writing(self) -> None:
        """Report the request as sent, once the kernel has accepted its last byte."""
        self.unsent = self.has_unsent_bytes() or self.transport.get_write_buffer_size() > 0
        if not self.unsent and self.on_sent is not None:
            on_sent, self.on_sent = self.on_sent, None
            on_sent()

    def abort(self) -> None:
        """Abort the connection without reporting a result for its exchange.

        The shutdown reaches the server before any byte of a later attempt: the transport closes the socket only in the
        loop's next iteration, and until then a retry would count as a concurrent duplicate.
        """
        self.on_result = None
        self.cancel_timers()
        self.stream = None
        self.uploading = False
        if not self.lost:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; complete, stream or continue to buffer the response."""
        if self.on_result is None and self.stream is None:
            self.abort()
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.keep_alive = False
            if not self.response_complete:
                self.fail()
                return
        if self.response_complete:
            self.finish()
            return
        if self.stream is not None:
            self.forward_body(self.stream)
        elif (
            self.response_begun
            and self.body_parts
            and (self.is_large or self.size > self.max_buffered_body or self.exceeds_buffering_time())
        ):
            self.begin_stream()
        elif self.received_bytes > MAX_RESPONSE_OVERHEAD + self.max_buffered_body:
            self.fail()
            return
        if self.response_begun and (self.on_result is not None or self.stream is not None):
            self.watch_for_stall()

    def exceeds_buffering_time(self) -> bool:
        """Return whether a response of unknown length has taken so long that it is probably too large to buffer."""
        if self.max_body == self.max_buffered_body or self.status != 200 or self.content_length() is not None:
            return False
        return (
            self.stall_timer is not None
            and asyncio.get_running_loop().time() > self.response_began_at + MAX_BUFFERING_TIME
        )

    def begin_stream(self) -> None:
        """Report the received part of a response that is too large to buffer, and a stream for the rest."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, STREAM_RECEIVE_BUFFER)
        on_result, self.on_result = self.on_result, None
        length = self.content_length()
        stream = self.stream = ResponseStream(self, int(length) if length is not None else None)
        body = b"".join(self.body_parts)
        self.body_parts = []
        if on_result is not None:
            on_result(Reply(self.status, self.headers, body, stream))
        if self.stream is stream and stream.reader is None:
            self.abort()  # the stream was not started: the rest is not needed

    def forward_body(self, stream: ResponseStream) -> None:
        """Pass newly received bytes of the body to the stream's reader."""
        body, self.body_parts = b"".join(self.body_parts), []
        if body and stream.reader is not None:
            stream.reader.on_data(body)

    def pause(self) -> None:
        """Stop reading: the reader can't take more for now."""
        if not self.paused and not self.lost:
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Continue reading; the stall timeout starts anew."""
        if self.paused and not self.lost:
            self.paused = False
            self.heard_at = asyncio.get_running_loop().time()
            self.transport.resume_reading()

    def watch_for_stall(self) -> None:
        """Record that a part of the response was received; start the stall timer if it isn't running."""
        loop = asyncio.get_running_loop()
        self.heard_at = loop.time()
        if self.stall_timer is None:
            self.response_began_at = self.heard_at
            self.stall_timer = loop.call_later(self.stall_timeout, self.check_stall)

    def check_stall(self) -> None:
        """Fail the exchange if the server has sent nothing for too long. Time while reading is paused doesn't count."""
        loop = asyncio.get_running_loop()
        timeout = STREAM_STALL_TIMEOUT if self.stream is not None else self.stall_timeout
        time_left = timeout if self.paused else self.heard_at + timeout - loop.time()
        if time_left > 0.0:
            self.stall_timer = loop.call_later(time_left, self.check_stall)
        else:
            self.fail()

    def fail(self) -> None:
        """Abort the exchange, as the response is invalid, too large or stalled: the request may have been executed."""
        on_result, stream = self.on_result, self.stream
        self.abort()
        if on_result is not None:
            on_result(self.broken())
        elif stream is not None and stream.reader is not None:
            stream.reader.on_end(False)

    def finish(self) -> None:
        """Report the complete response. The connection is released before, so that the callback can reuse it."""
        on_result, self.on_result = self.on_result, None
        stream, self.stream = self.stream, None
        self.cancel_timers()
        if self.paused:
            self.resume()
        body = b"".join(self.body_parts)
        if self.keep_alive and not self.unsent:
            self.on_free(self)
        else:
            self.abort()
        if on_result is not None:
            on_result(Reply(self.status, self.headers, body))
        elif stream is not None and stream.reader is not None:
            if body:
                stream.reader.on_data(body)
            stream.reader.on_end(True)

    def cancel_timers(self) -> None:
        """Cancel the timers of the withheld byte and of stalls."""
        if self.withheld is not None:
            self.withheld.timer.cancel()
            self.withheld = None
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    def eof_received(self) -> bool:
        """Let the transport close itself."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection, which completes a response that has neither a length nor chunks."""
        self.lost = True
        self.cancel_timers()
        del self.parser  # it refers back to this object
        self.on_lost(self)
        on_result, self.on_result = self.on_result, None
        stream, self.stream = self.stream, None
        is_complete = exc is None and self.ends_at_close and not self.unsent
        if on_result is not None:
            on_result(Reply(self.status, self.headers, b"".join(self.body_parts)) if is_complete else self.broken())
        elif stream is not None and stream.reader is not None:
            stream.reader.on_end(is_complete)

    # --- callbacks of the parser ---

    def on_message_begin(self) -> None:
        """Begin a response."""
        if self.response_complete:  # bytes after the response
            self.keep_alive = False
            return
        self.response_begun = True
        self.headers: Headers = []
        self.body_parts = []
        self.size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header. Raises ValueError if the head is too long."""
        if not self.response_complete:
            self.headers.append((name, value.strip(OPTIONAL_WHITESPACE)))
            self.size += len(name) + len(value)
            if self.size > MAX_HEAD_SIZE:
                raise ValueError("head too long")

    def on_headers_complete(self) -> None:
        """Read the status and the body's length. Raises ValueError if the body is too long.

        The status is read here as the parser may already be at a message behind the response when this one is reported.
        """
        if not self.response_complete:
            self.status = self.parser.get_status_code()
            self.size = 0
            header = self.content_length()
            length = int(header) if header is not None else 0
            if length > self.max_body or (length > self.max_buffered_body and self.status != 200):
                raise ValueError("body too long")
            self.is_large = length > self.max_buffered_body
            has_coding = any(k.lower() == b"transfer-encoding" for k, _ in self.headers)
            self.ends_at_close = (
                header is None and not has_coding and self.status not in BODILESS_STATUSES and self.status >= 200
            )

    def content_length(self) -> bytes | None:
        """Return the Content-Length header of the response."""
        return next((v for k, v in self.headers if k.lower() == b"content-length"), None)

    def on_body(self, body: bytes) -> None:
        """Add bytes of the body. Raises ValueError if it is too long."""
        if not self.response_complete:
            self.body_parts.append(body)
            self.size += len(body)
            if self.size > (self.max_body if self.status == 200 else self.max_buffered_body):
                raise ValueError("body too long")

    def on_message_complete(self) -> None:
        """Complete the response; an interim one (1xx) is discarded."""
        if self.response_complete:
            self.keep_alive = False
        elif self.status < 200:
            self.response_begun = False  # the final response is still to come
        else:
            self.keep_alive = self.parser.should_keep_alive()
            self.response_complete = True


async def dial(
    host: Host,
    address: Address,
    timeout: float,
    on_free: Callable[[ClientConnection], None],
    on_lost: Callable[[ClientConnection], None],
    max_buffered_body: int = MAX_BUFFERED_BODY,
    can_stream: bool = False,
    stall: float = STALL_TIMEOUT,
    *,
    executes_early: bool = False,
) -> ClientConnection:
    """Open a connection within ``timeout`` seconds. The other arguments are those of ClientConnection.

    Raises:
        OSError: The connection could not be opened in time.
    """
    loop = asyncio.get_running_loop()
    sock = host.socket()
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(timeout):
            await loop.sock_connect(sock, address)
        _, connection = await loop.create_connection(
            lambda: ClientConnection(
                sock, on_free, on_lost, max_buffered_body, can_stream, stall, executes_early=executes_early
            ),
            sock=sock,
        )
    except BaseException:
        sock.close()
        raise
    return connection

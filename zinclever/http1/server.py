"""One client connection: receives requests, passes them to the request handler and writes the responses."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from ..core.counts import ReplyCounts
from ..core.protocol import FinalAnswer, IncomingRequest, Refused, Served
from .bodies import RESERVATION_STEP, UNRESERVED_BODY_SIZE, Body
from .clients import READ_FOR, ConnectionState
from .connection import (
    MAX_BUFFERED_BODY,
    NON_FORWARDED_HEADERS,
    OPTIONAL_WHITESPACE,
    Headers,
    Reply,
    ResponseStream,
    end_to_end,
)
from .heads import CompleteRequest, HttpResponse, Rejected, render_response, render_response_head

if TYPE_CHECKING:
    from .request_handler import RequestHandler

log = logging.getLogger(__name__)

MAX_REQUEST_BODY = 40 << 20  # bytes: the longest bodies have 32 MB
SUPPORTED_VERSIONS = ("1.1", "1.0")
MAX_CHUNKED_OVERHEAD = 4 * MAX_BUFFERED_BODY  # a chunked body may have this many raw bytes more than ...
MAX_CHUNKED_RATIO = 8  # ... this multiple of its content: chunks of one byte have six raw bytes
MAX_PIPELINED = 8  # complete requests that may wait behind the current one; ordinary clients send one at a time
MIN_UPLOAD_RATE = 32 * 1024  # bytes/s: received bytes of a body extend its read timeout; clients send twice as fast
MAX_LINGER_BYTES = 4 * MAX_BUFFERED_BODY  # read while lingering; the kernel resets the connection if more arrives
RETRY_AFTER_HEADER = b"Retry-After: 1.000\r\n"  # in the refusal if there was no memory, or too many connections
NON_FORWARDED_RESPONSE_HEADERS = NON_FORWARDED_HEADERS | {b"srv-load"}


class ServerConnection(asyncio.Protocol):
    """One client connection: its requests are processed one after another."""

    __deletable__ = ("parser",)  # for mypyc: the parser refers back to this object

    transport: asyncio.Transport

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler
        self.state = ConnectionState.READING
        self.last_received_at = handler.loop.time()  # or when it connected
        self.request_id: str | None = None  # of the current request, until its response begins
        self.receive_delay = 0.0  # ms that the bytes being parsed waited in the kernel
        self.nothing_received = True
        self.keep_alive = True  # the connection stays open after the current request
        self.version = "1.1"  # of the current request
        self.is_reused = False  # a response was written before
        self.request_started = False  # part of a request was received
        self.pipelined: deque[CompleteRequest] = deque()  # behind the current request
        self.rejected_status = 0  # status of the response to invalid data behind these requests; 0: none
        self.ending = False  # all further received bytes are discarded
        self.is_refused = False  # the first request is answered with 503, and the connection closed
        self.paused = False  # the client doesn't read its responses
        self.unwritten_bytes = 0  # of the responses, when the write timeout was last started
        self.stream: ResponseStream | None = None  # of the response that is being streamed
        self.chunked = False  # that response is sent in chunks
        self.reply_counts = ReplyCounts()  # counters for the current request
        self.raw_bytes = 0  # received since the last complete request
        self.in_body = False
        self.size = 0  # bytes of the head, then of the body
        self.upload: Body | None = None  # of the current request, while the body is being received
        self.reserved_memory = 0  # for the body that is being received
        self.request_memory = 0  # for the body of the current request
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.handler.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release all resources; the handler stops processing the current request."""
        self.ending = True
        self.handler.on_disconnected(self)
        self.release_reserved(all=True)
        self.pipelined.clear()
        del self.parser  # it refers back to this object
        if self.stream is not None:
            self.abort_stream()
        if self.request_id is not None:
            self.handler.on_client_disconnected(self.request_id)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; reject invalid requests."""
        self.raw_bytes += len(data)
        self.receive_delay = self.handler.receive_delay(self.transport, self.nothing_received)
        self.nothing_received = False
        self.last_received_at = self.handler.loop.time()
        if self.ending:
            if self.raw_bytes > MAX_LINGER_BYTES:
                self.transport.pause_reading()
            return
        try:
            self.parse(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, Rejected):
                self.reject(cause.status)
            else:
                log.error("internal error while handling a request", exc_info=cause)
                self.reject(500)
        except httptools.HttpParserError:
            if self.keep_alive:  # otherwise data behind the last request is ignored
                self.reject(400)
        else:
            self.check_limits()

    def parse(self, data: bytes) -> None:
        """Parse received bytes. An offer to change the protocol is ignored (RFC 9110, 7.8).

        The parser ends at the head that holds the offer. That head is parsed again without it, before the other bytes.
        """
        while True:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                data = self.head_without_upgrade() + data[offer.args[0] :]
                self.parser = httptools.HttpRequestParser(self)

    def head_without_upgrade(self) -> bytes:
        """Return the head of the current request without the offer to change the protocol."""
        lines = [b"%b %b HTTP/%b" % (self.parser.get_method(), self.url, self.parser.get_http_version().encode())]
        for name, value in self.headers:
            lower_name = name.lower()
            if lower_name == b"connection":
                options = [option for option in value.split(b",") if option.strip().lower() != b"upgrade"]
                lines.append(b"%b: %b" % (name, b",".join(options)))
            elif lower_name != b"upgrade":
                lines.append(b"%b: %b" % (name, value))
        return b"\r\n".join([*lines, b"", b""])

    def check_limits(self) -> None:
        """Limit the memory of an incomplete request: the parser buffers a header until its end."""
        max_raw_bytes = self.handler.max_head_size
        if self.in_body:
            max_raw_bytes += MAX_CHUNKED_OVERHEAD + MAX_CHUNKED_RATIO * self.size
        if self.request_started and self.raw_bytes > max_raw_bytes:
            self.reject(413 if self.in_body else 431)
        elif self.request_started and self.state is ConnectionState.IDLE:
            self.handler.set_state(self, ConnectionState.READING)
        elif self.pipelined and not self.ending:
            self.transport.pause_reading()

    # --- callbacks of the parser ---

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.request_started = True
        self.in_body = False
        self.url = b""
        self.body_parts: list[bytes] = []
        self.headers: Headers = []
        self.size = 0

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target. Raises Rejected with 431 if the head is too long."""
        self.url += url
        self.count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header. Raises Rejected with 431 if the head is too long."""
        self.headers.append((name, value.strip(OPTIONAL_WHITESPACE)))
        self.count_head_bytes(len(name) + len(value))

    def count_head_bytes(self, count: int) -> None:
        """Add to the size of the head. Raises Rejected with 431 if it is too long."""
        self.size += count
        if self.size > self.handler.max_head_size:
            raise Rejected(431)

    def on_headers_complete(self) -> None:
        """Check the head, answer ``Expect: 100-continue``, and reserve memory for a large body of known length.

        Raises:
            Rejected: With 505, 400 or 413.
        """
        if self.parser.get_method() == b"CONNECT":
            raise Rejected(400)
        if self.parser.should_upgrade():
            return  # the head is parsed again without the offer
        self.in_body = True
        version = self.parser.get_http_version()
        if version not in SUPPORTED_VERSIONS:
            raise Rejected(505)
        self.size = length = host_count = 0
        expects_continue = False
        for name, value in self.headers:
            lower_name = name.lower()
            if lower_name == b"content-length":
                length = int(value)
            elif lower_name == b"expect":
                expects_continue = value.lower() == b"100-continue"
            elif lower_name == b"host":
                host_count += 1
        if host_count > 1 or (not host_count and version == "1.1"):
            raise Rejected(400)  # RFC 9112, 3.2
        if length > min(self.handler.max_body_size or MAX_REQUEST_BODY, self.handler.room.limit):
            raise Rejected(413)
        self.length = length or None
        if expects_continue and not self.is_responding():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if length > UNRESERVED_BODY_SIZE and self.reserve_memory(length):
            self.begin_upload()

    def on_body(self, body: bytes) -> None:
        """Add bytes of the body; reserve memory as the body grows. Raises Rejected with 413 if it is too long."""
        self.size += len(body)
        if self.upload is not None:
            self.upload.add(body)
        elif not self.ending:
            self.body_parts.append(body)
        if self.size > (self.handler.max_body_size or MAX_REQUEST_BODY):
            raise Rejected(413)
        needs_memory = (
            self.size > max(UNRESERVED_BODY_SIZE, self.reserved_memory)
            and not self.ending
            and self not in self.handler.room.waiting
        )
        if needs_memory and self.reserve_memory(max(RESERVATION_STEP, self.size - self.reserved_memory)):
            self.begin_upload()

    # --- memory for a body ---

    def reserve_memory(self, size: int) -> bool:
        """Reserve memory for the body that is being received. Without it, stop reading until it is granted."""
        if self.handler.room.reserve(self, size):
            self.reserved_memory += size
            return True
        self.transport.pause_reading()
        if self.state in (ConnectionState.READING, ConnectionState.IDLE, ConnectionState.UPLOADING):
            self.handler.set_state(self, ConnectionState.WAITING_FOR_MEMORY)
        return False

    def on_memory_granted(self, size: int) -> None:
        """Continue to receive a body that waited for memory."""
        self.reserved_memory += size
        if self.state is ConnectionState.WAITING_FOR_MEMORY:
            self.handler.set_state(self, ConnectionState.READING if self.upload is None else ConnectionState.UPLOADING)
        if not self.pipelined and not self.ending:
            self.transport.resume_reading()
        try:
            self.begin_upload()
        except Rejected as error:
            self.reject(error.status)

    def leave_memory_queue(self) -> None:
        """Need no more memory, as the body is complete: continue to read if reading stopped for want of it."""
        if self in self.handler.room.waiting:
            self.handler.room.stop_waiting(self)
            self.transport.resume_reading()

    # --- bodies that are forwarded while they are received ---

    def begin_upload(self) -> None:
        """Forward a request whose body is still being received, unless this connection has an earlier open request."""
        if (
            self.upload is not None
            or self.ending
            or self.is_responding()
            or self.pipelined
            or self.paused
            or self.handler.requires_complete_body
        ):
            return
        body = Body(self.length)
        if self.is_refused:
            raise Rejected(503)
        method, target = self.parser.get_method().decode("latin-1"), self.url.decode("latin-1")
        request = self.handler.read(method, target, self.headers, body, 0.0)
        for part in self.body_parts:
            body.add(part)
        self.body_parts = []
        self.keep_alive, self.version = self.parser.should_keep_alive(), self.parser.get_http_version()
        self.upload = body
        self.handler.set_state(self, ConnectionState.UPLOADING)
        self.forward(request)

    def end_upload(self, body: Body) -> None:
        """Complete the body; the deadline of the request counts from now."""
        self.upload, self.request_memory, self.reserved_memory = None, self.reserved_memory, 0
        self.request_started, self.raw_bytes, self.in_body = False, 0, False
        self.leave_memory_queue()
        self.handler.set_state(self, ConnectionState.PROCESSING)
        assert self.request_id is not None
        request_id = self.request_id
        body.finish()
        self.handler.upload_finished(request_id)

    def abort_upload(self) -> None:
        """Forward no more of a body that will not be completed, or is not needed any more."""
        if self.upload is not None:
            self.upload = None
            request_id, self.request_id = self.request_id, None
            if request_id is not None:
                self.handler.on_client_disconnected(request_id)

    def on_memory_timeout(self) -> None:
        """Refuse a request that waited too long for memory. Nothing of it was forwarded."""
        self.handler.room.stop_waiting(self)
        self.reject(503)

    def release_reserved(self, all: bool = False) -> None:
        """Release the memory of the body that is being received; with ``all``, that of complete requests too."""
        self.handler.room.stop_waiting(self)
        released, self.reserved_memory = self.reserved_memory, 0
        if all:
            released += self.request_memory + sum(request.reserved_memory for request in self.pipelined)
            self.request_memory = 0
        self.handler.release_memory(released)

    def allowed_read_time(self) -> float:
        """Return the seconds that receiving the current request may take."""
        return (self.handler.read_timeout or READ_FOR) + (self.size / MIN_UPLOAD_RATE if self.in_body else 0.0)

    def on_message_complete(self) -> None:
        """Begin the received request, or queue it. Raises Rejected with 400 if too many are queued."""
        if self.parser.should_upgrade():
            return
        if self.upload is not None:
            self.end_upload(self.upload)
            return
        self.request_started, self.raw_bytes = False, 0
        request = CompleteRequest(
            self.parser.get_method().decode("latin-1"),
            self.url.decode("latin-1"),
            self.headers,
            b"".join(self.body_parts),
            self.reserved_memory,
            self.parser.should_keep_alive(),
            self.parser.get_http_version(),
            self.handler.loop.time() - self.receive_delay / 1000.0,
        )
        self.reserved_memory, self.in_body, self.body_parts = 0, False, []
        self.leave_memory_queue()
        if self.ending:
            self.handler.release_memory(request.reserved_memory)
            return
        if not self.is_responding() and not self.paused:
            self.begin_request(request)
        elif len(self.pipelined) < MAX_PIPELINED:
            self.pipelined.append(request)
        else:
            self.handler.release_memory(request.reserved_memory)
            raise Rejected(400)

    # --- requests and responses ---

    def is_responding(self) -> bool:
        """Return whether the response to the current request is still to be written, at least in part."""
        return self.state is ConnectionState.PROCESSING or self.stream is not None

    def begin_request(self, request: CompleteRequest) -> None:
        """Pass a request to the handler, or answer it directly. Raises Rejected if it is invalid."""
        self.keep_alive, self.version, self.request_memory = (
            request.keep_alive,
            request.version,
            request.reserved_memory,
        )
        self.handler.set_state(self, ConnectionState.PROCESSING)
        response = self.handler.local_response(request)
        if response is not None:
            self.respond(response)
            return
        waited_ms = 1000.0 * (self.handler.loop.time() - request.completed_at)
        incoming = self.handler.read(request.method, request.target, request.headers, request.body, waited_ms)
        if self.is_refused:
            self.refuse(incoming)
        else:
            self.forward(incoming)

    def refuse(self, request: IncomingRequest) -> None:
        """Answer 503 and close the connection. Nothing of the request is forwarded: it can be retried."""
        self.handler.replies(request).refused += 1
        self.keep_alive = False
        self.respond(HttpResponse(503, RETRY_AFTER_HEADER))

    def forward(self, request: IncomingRequest) -> None:
        """Pass a valid request to the handler."""
        self.request_id = request.id
        self.reply_counts = self.handler.replies(request)
        self.handler.take(request, self.on_final_answer)

    def on_final_answer(self, final: FinalAnswer | HttpResponse) -> None:
        """Write the response for the dispatcher's final answer, or a response that the handler has made."""
        if isinstance(final, HttpResponse):
            self.respond(final)
        elif isinstance(final, Served):
            reply: Reply = final.reply
            if reply.stream is not None:
                self.stream_response(reply, reply.stream)
            else:
                self.respond(HttpResponse(200, end_to_end(reply.headers, NON_FORWARDED_RESPONSE_HEADERS), reply.body))
        elif isinstance(final, Refused):
            retry_after = final.retry_after / 1000.0
            self.respond(HttpResponse(503, b"Retry-After: %.3f\r\n" % retry_after if retry_after > 0.0 else b""))
        else:
            self.respond(HttpResponse(502))

    def release_request_memory(self) -> None:
        """Release the memory of the current request's body, which is no longer needed."""
        released, self.request_memory = self.request_memory, 0
        self.handler.release_memory(released)

    def respond(self, response: HttpResponse) -> None:
        """Write the response to the current request."""
        self.request_id = None
        if self.upload is not None:
            self.respond_before_body_end(response)
            return
        self.release_request_memory()
        if self.transport.is_closing():
            return
        self.update_keep_alive()
        self.handler.set_state(self, ConnectionState.IDLE)
        self.transport.write(render_response(response, self.keep_alive))
        self.after_response()

    def update_keep_alive(self) -> None:
        """Decide whether the connection stays open after the response that is about to be written."""
        is_single_use = not self.is_reused and self.handler.has_too_many_idle()
        self.keep_alive = self.keep_alive and (
            bool(self.pipelined or self.rejected_status) or not (self.handler.draining or is_single_use)
        )
        self.is_reused = True

    def after_response(self) -> None:
        """Close the connection after a complete response, or continue with the next request."""
        if not self.keep_alive:
            self.close()
        elif self.paused:
            self.handler.set_state(self, ConnectionState.WRITING)
        elif self.pipelined or self.rejected_status:
            self.begin_pipelined()
        elif self.request_started:
            self.handler.set_state(self, ConnectionState.READING)

    # --- streamed responses ---

    def stream_response(self, reply: Reply, stream: ResponseStream) -> None:
        """Begin a response that is too large to buffer; it is read from the endpoint as fast as the client reads."""
        self.request_id = None
        if self.upload is not None:  # a response to an incomplete request
            stream.abort()
            self.respond_before_body_end(HttpResponse(502))
            return
        self.release_request_memory()
        if self.transport.is_closing():
            stream.abort()
            return
        self.stream = stream
        self.handler.add_streaming(1)
        self.chunked = stream.length is None and self.version == "1.1"
        self.update_keep_alive()
        if stream.length is None and not self.chunked:
            self.keep_alive = False  # the end of the connection marks the end of the response
        self.handler.set_state(self, ConnectionState.STREAMING)
        headers = end_to_end(reply.headers, NON_FORWARDED_RESPONSE_HEADERS)
        self.transport.write(render_response_head(200, headers, stream.length, self.chunked, self.keep_alive))
        stream.start(self)
        self.on_data(reply.body)

    def on_data(self, data: bytes) -> None:
        """Write the next bytes of a streamed response."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def on_end(self, complete: bool) -> None:
        """End a streamed response. If it is incomplete, abort the connection, so that the client can detect it."""
        self.stream = None
        self.handler.add_streaming(-1)
        if self.transport.is_closing():
            return
        if not complete:
            self.reply_counts.mark_failed()
            self.drop()
            return
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self.handler.set_state(self, ConnectionState.IDLE)
        self.after_response()

    def abort_stream(self) -> None:
        """Stop streaming a response whose client connection has ended."""
        stream, self.stream = self.stream, None
        if stream is not None:
            self.handler.add_streaming(-1)
            stream.abort()

    def begin_pipelined(self) -> None:
        """Continue with the data that was received behind the answered request."""
        if self.pipelined:
            try:
                self.begin_request(self.pipelined.popleft())
            except Rejected as error:
                self.release_reserved(all=True)
                self.pipelined.clear()
                self.reject(error.status)
        elif self.rejected_status:
            self.reject(self.rejected_status)
        if not self.pipelined and not self.ending:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Begin no further request, and pause a streamed response, until the client reads again."""
        self.paused = True
        self.unwritten_bytes = self.transport.get_write_buffer_size()
        if self.stream is not None:
            self.stream.pause()
            self.handler.set_state(self, ConnectionState.WRITING)

    def resume_writing(self) -> None:
        """Continue a paused stream, or with the next request."""
        self.paused = False
        if self.stream is not None:
            self.handler.set_state(self, ConnectionState.STREAMING)
            self.stream.resume()
        elif self.state is ConnectionState.WRITING:
            self.handler.set_state(self, ConnectionState.READING if self.request_started else ConnectionState.IDLE)
            self.begin_pipelined()

    def respond_before_body_end(self, response: HttpResponse) -> None:
        """Answer a request whose body is still being received, and close the connection; discard the rest."""
        self.upload = None
        if not self.transport.is_closing():
            self.linger(response)

    def linger(self, response: HttpResponse) -> None:
        """Write the last response on this connection. Further data is read, so that the connection isn't reset."""
        self.ending, self.raw_bytes, self.body_parts = True, 0, []
        self.release_reserved(all=True)
        self.handler.set_state(self, ConnectionState.LINGERING)
        self.transport.write(render_response(response, keep_alive=False))
        self.transport.write_eof()
        self.transport.resume_reading()

    def reject(self, status: int) -> None:
        """Answer an invalid request, after the valid ones before it, and close the connection."""
        self.abort_upload()
        if self.request_id is not None or self.stream is not None or self.pipelined:
            self.rejected_status = status
            self.transport.pause_reading()
        elif not self.ending:
            self.linger(HttpResponse(status, RETRY_AFTER_HEADER if status == 503 else b""))

    # --- connections that the server ends ---

    def on_read_timeout(self) -> None:
        """Reject a request that is not complete in time; without a request, drop the connection."""
        if self.request_started:
            self.reject(408)
        else:
            self.drop()

    def on_write_timeout(self) -> None:
        """Drop the connection if its client has read nothing since the timeout started; else start it again."""
        unwritten = self.transport.get_write_buffer_size()
        if unwritten >= self.unwritten_bytes:
            self.drop()
            return
        self.unwritten_bytes = unwritten
        self.handler.set_state(self, self.state)

    def close(self) -> None:
        """Close the connection after the bytes that are already buffered for it."""
        self.ending = True
        self.unwritten_bytes = self.transport.get_write_buffer_size()
        self.handler.set_state(self, ConnectionState.CLOSING)
        self.transport.close()

    def drop(self) -> None:
        """Abort the connection."""
        self.ending = True
        self.abort_stream()
        self.handler.set_state(self, ConnectionState.CLOSING)
        self.transport.abort()

    def close_idle(self) -> bool:
        """Close the connection, which is between requests; return False if it is ending or a request has arrived.

        Checks the socket too, as the loop may not have read the request yet.
        """
        if self.request_started or self.ending:
            return False
        if self.handler.unread(self.transport.get_extra_info("socket")):
            return False
        self.close()
        return True

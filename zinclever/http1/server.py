"""One connection of the application: requests are read, handed on and answered."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from ..core.counts import ReplyCounts
from ..core.protocol import FinalAnswer, IncomingRequest, Refused, Served
from .bodies import HELD_FREELY, STEP, Body
from .clients import READ_FOR, State
from .connection import BLANK, MAX_BUFFERED_BODY, MOST_HEAD, NON_FORWARDED_HEADERS, Headers, Reply, Transfer, end_to_end
from .heads import HttpResponse, Rejected, Whole, render, render_head

if TYPE_CHECKING:
    from .desk import RequestHandler

log = logging.getLogger(__name__)

MOST_UPLOAD = 40 << 20  # bytes of a request's body: the longest have 32 MB
VERSIONS = ("1.1", "1.0")
MOST_CHUNKED = 4 * MAX_BUFFERED_BODY  # raw bytes of a body's chunks beyond ...
CHUNKED = 8  # ... this multiple of what they hold: chunks of one byte have six
PIPELINED = 8  # whole requests that may wait behind the one that is out; ordinary clients send one at a time
SLOWEST = 32 * 1024  # ... a body: a second for so many bytes that have come of it; clients send twice as fast
LINGER_BYTES = 4 * MAX_BUFFERED_BODY  # that are read so at most: the rest is left to the kernel, which resets
ADVICE = b"Retry-After: 1.000\r\n"  # for who has found no room, for a body or a connection
TO_CLIENTS = NON_FORWARDED_HEADERS | {b"srv-load"}


class ServerConnection(asyncio.Protocol):
    """One connection of the application: its requests are served one after another."""

    __deletable__ = ("parser",)  # mypyc: it refers back

    transport: asyncio.Transport

    def __init__(self, front: RequestHandler) -> None:
        self.front = front
        self.state = State.READING
        self.heard_at = front.loop.time()  # when it connected, or last sent something
        self.request_id: str | None = None  # of the request that is owed its answer
        self.waited = 0.0  # ms that the bytes at hand lay in the kernel
        self.fresh = True  # nothing has come yet
        self.keep = True  # the request that is out leaves the connection open
        self.version = "1.1"  # of that request
        self.proven = False  # the client has used it again
        self.started = False  # a request has begun to come in
        self.queue: deque[Whole] = deque()  # whole requests behind the one that is out
        self.rejected = 0  # status for what came after them and is no request
        self.ending = False  # what still comes is dropped
        self.turned_away = False  # its first request gets a refusal, and the connection ends with it
        self.paused = False  # the client doesn't read its answers
        self.source: Transfer | None = None  # of the answer that is passed on
        self.chunked = False  # it is, in chunks
        self.replies = ReplyCounts()  # where the request that is out counts
        self.raw = 0  # bytes since the last whole request
        self.in_body = False
        self.size = 0  # of the head, then of the body
        self.upload: Body | None = None  # of the request that is out, while it is coming in
        self.room = 0  # taken for the body that is coming in
        self.out_room = 0  # and for that of the request that is out
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.front.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ending = True
        self.front.left(self)
        self.leave_room(all=True)
        self.queue.clear()
        del self.parser  # which refers back
        if self.source is not None:
            self.end_source()
        if self.request_id is not None:
            self.front.on_client_disconnected(self.request_id)

    def data_received(self, data: bytes) -> None:
        self.raw += len(data)
        self.waited = self.front.waited(self.transport, self.fresh)
        self.fresh = False
        self.heard_at = self.front.loop.time()
        if self.ending:
            if self.raw > LINGER_BYTES:
                self.transport.pause_reading()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as wrong:
            cause = wrong.__context__
            if isinstance(cause, Rejected):
                self.reject(cause.status)
            else:
                log.error("request not taken", exc_info=cause)
                self.reject(500)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.keep:  # else what comes behind the last request is of no interest
                self.reject(400)
        else:
            self.check_progress()

    def check_progress(self) -> None:
        """Bound what is held of a request that is not whole: the parser keeps a header until its end."""
        most = MOST_CHUNKED + CHUNKED * self.size if self.in_body else MOST_HEAD
        if self.started and self.raw > most:
            self.reject(413 if self.in_body else 431)
        elif self.started and self.state is State.IDLE:
            self.front.enter(self, State.READING)
        elif self.queue and not self.ending:
            self.transport.pause_reading()

    # --- the parser's callbacks ---

    def on_message_begin(self) -> None:
        self.started = True
        self.in_body = False
        self.url = b""
        self.body: list[bytes] = []
        self.headers: Headers = []
        self.size = 0

    def on_url(self, url: bytes) -> None:
        self.url += url
        self.grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value.strip(BLANK)))
        self.grow(len(name) + len(value))

    def grow(self, more: int) -> None:
        self.size += more
        if self.size > MOST_HEAD:
            raise Rejected(431)

    def on_headers_complete(self) -> None:
        self.in_body = True
        version = self.parser.get_http_version()
        if version not in VERSIONS:
            raise Rejected(505)
        self.size = length = hosts = 0
        expects = False
        for name, value in self.headers:
            low = name.lower()
            if low == b"content-length":
                length = int(value)
            elif low == b"expect":
                expects = value.lower() == b"100-continue"
            elif low == b"host":
                hosts += 1
        if hosts > 1 or (not hosts and version == "1.1"):
            raise Rejected(400)  # RFC 9112, 3.2
        if length > min(self.front.max_body_size or MOST_UPLOAD, self.front.room.limit):
            raise Rejected(413)
        self.length = length or None
        if expects and not self.owing():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if length > HELD_FREELY and self.take_room(length):
            self.begin_upload()

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.upload is not None:
            self.upload.add(body)
        elif not self.ending:
            self.body.append(body)
        if self.size > (self.front.max_body_size or MOST_UPLOAD):
            raise Rejected(413)
        lacks = self.size > max(HELD_FREELY, self.room) and not self.ending and self not in self.front.room.waiting
        if lacks and self.take_room(max(STEP, self.size - self.room)):
            self.begin_upload()

    # --- room for a body ---

    def take_room(self, need: int) -> bool:
        """Room for a body that is coming in, at once or in its turn: until then no more of it is read."""
        if self.front.room.take(self, need):
            self.room += need
            return True
        self.transport.pause_reading()
        if self.state in (State.READING, State.IDLE, State.UPLOADING):
            self.front.enter(self, State.WAITING)
        return False

    def granted(self, need: int) -> None:
        self.room += need
        if self.state is State.WAITING:
            self.front.enter(self, State.READING if self.upload is None else State.UPLOADING)
        if not self.queue and not self.ending:
            self.transport.resume_reading()
        try:
            self.begin_upload()
        except Rejected as wrong:
            self.reject(wrong.status)

    # --- bodies that go on as they come ---

    def begin_upload(self) -> None:
        """Hand on a request whose body is still coming in, unless another one is before it on this connection."""
        if (
            self.upload is not None
            or self.ending
            or self.owing()
            or self.queue
            or self.paused
            or self.front.requires_complete_body
        ):
            return
        body = Body(self.length)
        if self.turned_away:
            raise Rejected(503)
        method, target = self.parser.get_method().decode("latin-1"), self.url.decode("latin-1")
        told = self.front.read(method, target, self.headers, body, 0.0)
        for part in self.body:
            body.add(part)
        self.body = []
        self.keep, self.version = self.parser.should_keep_alive(), self.parser.get_http_version()
        self.upload = body
        self.front.enter(self, State.UPLOADING)
        self.hand_on(told)

    def end_upload(self, body: Body) -> None:
        """The body is whole: the request's time begins."""
        self.upload, self.out_room, self.room = None, self.room, 0
        self.started, self.raw, self.in_body = False, 0, False
        self.front.room.leave(self)
        self.front.enter(self, State.BUSY)
        assert self.request_id is not None
        request_id = self.request_id
        body.finish()
        self.front.upload_finished(request_id)

    def give_up_upload(self) -> None:
        """What has come of a body will not be whole, or is of no use: nothing more goes out of it."""
        if self.upload is not None:
            self.upload = None
            request_id, self.request_id = self.request_id, None
            if request_id is not None:
                self.front.on_client_disconnected(request_id)

    def finds_no_room(self) -> None:
        """A refusal: nothing of the request has gone out."""
        self.front.room.leave(self)
        self.reject(503)

    def leave_room(self, all: bool = False) -> None:
        """Give up the room of what is coming in, and with ``all`` that of what has come."""
        self.front.room.leave(self)
        given, self.room = self.room, 0
        if all:
            given += self.out_room + sum(whole.room for whole in self.queue)
            self.out_room = 0
        self.front.give(given)

    def patience(self) -> float:
        """s for which what is coming in may take."""
        return (self.front.read_timeout or READ_FOR) + (self.size / SLOWEST if self.in_body else 0.0)

    def on_message_complete(self) -> None:
        if self.upload is not None:
            self.end_upload(self.upload)
            return
        self.started, self.raw = False, 0
        whole = Whole(
            self.parser.get_method().decode("latin-1"),
            self.url.decode("latin-1"),
            self.headers,
            b"".join(self.body),
            self.room,
            self.parser.should_keep_alive(),
            self.parser.get_http_version(),
            self.front.loop.time() - self.waited / 1000.0,
        )
        self.room, self.in_body, self.body = 0, False, []
        self.front.room.leave(self)
        if self.ending:
            self.front.give(whole.room)
            return
        if not self.owing() and not self.paused:
            self.begin(whole)
        elif len(self.queue) < PIPELINED:
            self.queue.append(whole)
        else:
            self.front.give(whole.room)
            raise Rejected(400)

    # --- requests and answers ---

    def owing(self) -> bool:
        """An answer is still to be written, or to be written to its end."""
        return self.state is State.BUSY or self.source is not None

    def begin(self, whole: Whole) -> None:
        """Hand a request on, or answer it from here."""
        self.keep, self.version, self.out_room = whole.keep, whole.version, whole.room
        self.front.enter(self, State.BUSY)
        own = self.front.answers_itself(whole)
        if own is not None:
            self.answer(own)
            return
        waited = 1000.0 * (self.front.loop.time() - whole.at)
        told = self.front.read(whole.method, whole.target, whole.headers, whole.body, waited)
        if self.turned_away:
            self.refuse(told)
        else:
            self.hand_on(told)

    def refuse(self, told: IncomingRequest) -> None:
        """Nothing of it goes out: a repeat is harmless."""
        self.front.replies(told).refused += 1
        self.keep = False
        self.answer(HttpResponse(503, ADVICE))

    def hand_on(self, told: IncomingRequest) -> None:
        self.request_id = told.id
        self.replies = self.front.replies(told)
        self.front.take(told, self.finish)

    def finish(self, final: FinalAnswer | HttpResponse) -> None:
        """The final answer: the ledger's, or one that is worded already."""
        if isinstance(final, HttpResponse):
            self.answer(final)
        elif isinstance(final, Served):
            reply: Reply = final.reply
            if reply.rest is not None:
                self.pass_on(reply, reply.rest)
            else:
                self.answer(HttpResponse(200, end_to_end(reply.headers, TO_CLIENTS), reply.body))
        elif isinstance(final, Refused):
            after = final.retry_after / 1000.0
            self.answer(HttpResponse(503, b"Retry-After: %.3f\r\n" % after if after > 0.0 else b""))
        else:
            self.answer(HttpResponse(502))

    def let_go(self) -> None:
        """The body of the request that was out is not needed any more."""
        given, self.out_room = self.out_room, 0
        self.front.give(given)

    def answer(self, answer: HttpResponse) -> None:
        """The answer to the request that is out."""
        self.request_id = None
        if self.upload is not None:
            self.cut_short(answer)
            return
        self.let_go()
        if self.transport.is_closing():
            return
        self.stays()
        self.front.enter(self, State.IDLE)
        self.transport.write(render(answer, self.keep))
        self.settle()

    def stays(self) -> None:
        """Settle whether the connection stays open after the answer that is about to be written."""
        brief = not self.proven and self.front.short_of_connections()
        self.keep = self.keep and (bool(self.queue or self.rejected) or not (self.front.draining or brief))
        self.proven = True

    def settle(self) -> None:
        """An answer has been written to its end."""
        if not self.keep:
            self.close()
        elif self.paused:
            self.front.enter(self, State.WRITING)
        elif self.queue or self.rejected:
            self.go_on()
        elif self.started:
            self.front.enter(self, State.READING)

    # --- answers that are passed on as they come ---

    def pass_on(self, reply: Reply, rest: Transfer) -> None:
        """Begin an answer that is too large to be held; its source follows the pace of the client."""
        self.request_id = None
        if self.upload is not None:  # an answer to half a request
            rest.abort()
            self.cut_short(HttpResponse(502))
            return
        self.let_go()
        if self.transport.is_closing():
            rest.abort()
            return
        self.source = rest
        self.front.passing(1)
        self.chunked = rest.length is None and self.version == "1.1"
        self.stays()
        if rest.length is None and not self.chunked:
            self.keep = False  # its end is the connection's
        self.front.enter(self, State.PASSING)
        headers = end_to_end(reply.headers, TO_CLIENTS)
        self.transport.write(render_head(200, headers, rest.length, self.chunked, self.keep))
        rest.start(self)
        self.more(reply.body)

    def more(self, data: bytes) -> None:
        """A piece of the answer, from its source."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def end(self, whole: bool) -> None:
        """The answer is whole, or its source has broken off: then the connection does, so that the client can tell."""
        self.source = None
        self.front.passing(-1)
        if self.transport.is_closing():
            return
        if not whole:
            self.replies.mark_failed()
            self.drop()
            return
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self.front.enter(self, State.IDLE)
        self.settle()

    def end_source(self) -> None:
        """The client has left, or is left: the rest is of no use."""
        source, self.source = self.source, None
        if source is not None:
            self.front.passing(-1)
            source.abort()

    def go_on(self) -> None:
        """What came behind the request that has been answered."""
        if self.queue:
            try:
                self.begin(self.queue.popleft())
            except Rejected as wrong:
                self.leave_room(all=True)
                self.queue.clear()
                self.reject(wrong.status)
        elif self.rejected:
            self.reject(self.rejected)
        if not self.queue and not self.ending:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """The client doesn't read: no further request of its is begun, or answer passed on, until it does."""
        self.paused = True
        if self.source is not None:
            self.source.pause()
            self.front.enter(self, State.WRITING)

    def resume_writing(self) -> None:
        self.paused = False
        if self.source is not None:
            self.front.enter(self, State.PASSING)
            self.source.resume()
        elif self.state is State.WRITING:
            self.front.enter(self, State.READING if self.started else State.IDLE)
            self.go_on()

    def cut_short(self, answer: HttpResponse) -> None:
        """Answer a request whose body is still coming in, and end the connection: the rest is dropped."""
        self.upload = None
        if not self.transport.is_closing():
            self.linger(answer)

    def linger(self, answer: HttpResponse) -> None:
        """The last answer on this connection, while its client may still be sending."""
        self.ending, self.raw, self.body = True, 0, []
        self.leave_room(all=True)
        self.front.enter(self, State.LINGERING)
        self.transport.write(render(answer, keep=False))
        self.transport.write_eof()
        self.transport.resume_reading()

    def reject(self, status: int) -> None:
        """Answer what is no proper request, after those before it, and end the connection."""
        self.give_up_upload()
        if self.request_id is not None or self.source is not None or self.queue:
            self.rejected = status
            self.transport.pause_reading()
        elif not self.ending:
            self.linger(HttpResponse(status, ADVICE if status == 503 else b""))

    # --- ends that the server chooses ---

    def too_slow(self) -> None:
        """A request is not whole in time; who has sent nothing gets no answer."""
        if self.started:
            self.reject(408)
        else:
            self.drop()

    def close(self) -> None:
        self.ending = True
        self.front.enter(self, State.CLOSING)
        self.transport.close()

    def drop(self) -> None:
        self.ending = True
        self.end_source()
        self.front.enter(self, State.CLOSING)
        self.transport.abort()

    def close_idle(self) -> bool:
        """Close the connection between requests; False if one is there or on its way.

        Asked of the kernel, as the loop may not have read it yet.
        """
        if self.started or self.ending:
            return False
        if self.front.unread(self.transport.get_extra_info("socket")):
            return False
        self.close()
        return True

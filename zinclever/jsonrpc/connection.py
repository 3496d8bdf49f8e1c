"""A multiplexed connection to an endpoint that tracks how much of each call was written.

It reads and writes the socket directly. Data can't be removed from the buffer of an asyncio transport, and a call that
is cancelled before its first byte was written must never be sent.
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
from .codec import InvalidResponse, Response, read_response
from .framing import Framer, Framing, FramingError, frame, terminate_partial_frame

MAX_RESPONSE_BYTES = 1 << 20  # size of one response: sixteen times the bodies of the platform that are buffered
CHUNK_BYTES = 1 << 16  # size of a read, and approximate size of a write
MAX_ABANDONED_CALLS = 1024  # cancelled calls without a response; at this number the connection accepts no more calls


class Payload(NamedTuple):
    """The text of a call before and after its id."""

    head: bytes
    tail: bytes


class Reply(NamedTuple):
    """The text of a response before and after its id."""

    head: bytes
    tail: bytes
    error: bytes
    """The error object as written; empty if the response holds a result."""


class ErrorCodeMapping(NamedTuple):
    """Maps the error codes of a service's endpoints to outcomes. Errors with other codes count as served."""

    never_ran: frozenset[int]
    """Codes that prove that the call didn't run."""
    failed: frozenset[int]
    """Codes that report a fault of the endpoint, after which the call may have run."""

    def classify(self, response: Response) -> interface.Outcome:
        """Return the outcome that a response stands for."""
        if not response.error:
            return "served"
        if response.code in self.never_ran:
            return "full"
        return "error" if response.code in self.failed else "served"


class State(enum.Enum):
    """How far a call was sent."""

    WAITING = "for a connection"
    QUEUED = "on a connection, no byte has gone"
    PARTIAL = "some bytes have gone"
    WRITTEN = "all bytes have gone"


class Exchange:
    """One call to an endpoint: an :class:`~zinclever.core.protocol.Exchange`."""

    __slots__ = ("connection", "id", "on_ended", "payload", "state", "written_at")

    def __init__(self, payload: Payload, on_ended: OnEnded) -> None:
        self.payload = payload
        self.on_ended: OnEnded | None = on_ended
        self.connection: ClientConnection | None = None
        self.state = State.WAITING
        self.id = -1
        self.written_at = 0.0
        """When the last byte was written, in seconds on the loop's clock."""

    def waiting(self) -> bool:
        """Return whether the call has neither ended nor been cancelled."""
        return self.on_ended is not None

    def run(self, connection: ClientConnection) -> None:
        """Send the call on a connection."""
        connection.send_attempt(self)

    def end(self, outcome: interface.Outcome, reply: Reply | None = None) -> None:
        """Report the outcome, unless the call has ended or was cancelled."""
        on_ended, self.on_ended = self.on_ended, None
        self.connection = None
        if on_ended is not None:
            on_ended(outcome, reply)

    def begun(self) -> bool:
        """Return whether any byte of the call was written."""
        return self.state in (State.PARTIAL, State.WRITTEN)

    def cancel(self, silent: bool) -> None:
        """Stop waiting for the response; see :meth:`~zinclever.core.protocol.Exchange.cancel`."""
        self.on_ended = None
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.cancel_call(self, silent)


class ClientConnection:
    """A connection to an endpoint. Its owner, ``watcher``, is notified once when it closes.

    ``counts`` holds the numbers of responses that matched no pending call: ``late`` (to a cancelled call),
    ``repeated``, ``unknown`` and ``null`` (by their id), and of invalid data (``noise``).
    """

    def __init__(
        self,
        sock: Socket,
        framing: Framing,
        classify: Callable[[Response], interface.Outcome],
        watcher: Watcher[ClientConnection],
        counts: Counter[str],
    ) -> None:
        self.sock, self.framing, self.classify = sock, framing, classify
        self.watcher, self.counts = watcher, counts
        self.loop = asyncio.get_running_loop()
        self.framer = Framer(framing, MAX_RESPONSE_BYTES)
        self.last_id = 0
        """The highest id assigned so far."""
        self.calls: dict[int, Exchange] = {}
        """Calls without a response, by id, including those not yet sent."""
        self.queue: deque[Exchange] = deque()
        """Calls of which no byte was written."""
        self.abandoned_ids: set[int] = set()
        """Ids of calls that were cancelled after they were written and whose response has not been received."""
        self.partial_call: Exchange | None = None
        """The call of which some bytes were written."""
        self.partial_frame = self.unwritten = b""
        """The frame that was partly written, and the bytes of it that are still to be written."""
        self.truncated_frames = 0
        """Frames that were made invalid by a cancellation: the endpoint may answer each with an error with id null."""
        self.flush_scheduled = self.awaits_writable = self.is_retired = self.is_closed = False
        self.received_at = 0.0
        """When data was last received, in seconds on the loop's clock."""
        self.loop.add_reader(sock.fileno(), self.on_readable)

    # --- interface of the connection pool, see core.shared.SharedConnection ---

    def pending(self) -> int:
        """Return the number of calls without a response, including those not yet sent."""
        return len(self.calls)

    def sound(self) -> bool:
        """Return whether new calls can be sent.

        If no call is pending, the socket is checked for an end of the stream or unexpected data that the event loop
        has not read yet.
        """
        if self.is_closed or self.is_retired:
            return False
        if self.calls:
            return True
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK)) and bool(self.abandoned_ids or self.truncated_frames)
        except BlockingIOError:
            return True
        except OSError:
            return False

    def send_attempt(self, attempt: Exchange) -> None:
        """Assign an id to a call and write it, at once or with others in the next iteration of the event loop."""
        attempt.connection, attempt.state = self, State.QUEUED
        self.last_id += 1
        attempt.id = self.last_id
        self.calls[attempt.id] = attempt
        self.queue.append(attempt)
        if self.flush_scheduled or self.awaits_writable:
            return
        if len(self.calls) == 1:
            self.flush()
        else:
            # Flush once per iteration of the event loop, so that concurrent calls share one write.
            self.flush_scheduled = True
            self.loop.call_soon(self.flush)

    def drop_unsent(self) -> None:
        """End the calls of which no byte was written as never run."""
        queue, self.queue = self.queue, deque()
        for call in queue:
            if self.calls.pop(call.id, None) is not None:
                call.end("dropped")
        self.update_if_idle()

    def finish(self) -> None:
        """Accept no more calls, and close once no call is pending."""
        if not self.is_retired:
            self.is_retired = True
            self.watcher.retired(self)
        self.update_if_idle()

    def abort(self) -> None:
        """Close at once. Calls of which no byte was written never ran; the others may have run."""
        if self.is_closed:
            return
        self.is_closed = True
        self.loop.remove_reader(self.sock.fileno())
        if self.awaits_writable:
            self.loop.remove_writer(self.sock.fileno())
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        self.watcher.lost(self)
        calls, self.calls = self.calls, {}
        self.queue.clear()
        for call in calls.values():
            call.end("reset" if call.begun() else "dropped")

    def update_if_idle(self) -> None:
        """Once no call is pending, close a retired connection or report any other one as idle."""
        if self.calls or self.is_closed:
            return
        if self.is_retired and not self.unwritten:
            self.abort()
        else:
            self.watcher.idle(self)

    # --- writing ---

    def flush(self) -> None:
        """Write the queued calls, until the socket's send buffer is full."""
        self.flush_scheduled = False
        while not self.is_closed:
            if not self.unwritten and not self.queue:
                self.on_flushed()
                return
            texts, calls = self.collect_frames()
            try:
                sent = self.sock.send(b"".join(texts))
            except BlockingIOError:
                sent = 0
            except OSError:
                self.queue.extendleft(reversed(calls))
                self.loop.call_soon(self.abort)  # deferred: the start of an attempt must not end it
                return
            if not self.record_sent(texts, calls, sent):
                self.wait_writable()
                return

    def collect_frames(self) -> tuple[list[bytes], list[Exchange]]:
        """Return the data for the next write, about ``CHUNK_BYTES``.

        Returns:
            The rest of the partly written frame (which may be empty) and the frames of queued calls, and these calls.
            The calls are removed from the queue.
        """
        texts, calls = [self.unwritten], []
        size = len(self.unwritten)
        while self.queue and size < CHUNK_BYTES:
            call = self.queue.popleft()
            if call.on_ended is None:
                continue
            text = frame(self.framing, b"%b%d%b" % (call.payload.head, call.id, call.payload.tail))
            texts.append(text)
            calls.append(call)
            size += len(text)
        return texts, calls

    def record_sent(self, texts: list[bytes], calls: list[Exchange], sent: int) -> bool:
        """Update the calls after a write of ``sent`` bytes, and return unsent calls to the queue.

        Returns:
            Whether all data was written.
        """
        now = self.loop.time()
        if sent < len(self.unwritten):
            self.unwritten = self.unwritten[sent:]
            self.queue.extendleft(reversed(calls))
            return False
        sent -= len(self.unwritten)
        self.unwritten = b""
        if self.partial_call is not None:
            self.partial_call.state, self.partial_call.written_at, self.partial_call = State.WRITTEN, now, None
        for n, (text, call) in enumerate(zip(texts[1:], calls, strict=True)):
            if sent < len(text):
                if sent:
                    call.state, self.partial_call = State.PARTIAL, call
                    self.partial_frame, self.unwritten = text, text[sent:]
                    n += 1
                self.queue.extendleft(reversed(calls[n:]))
                return False
            call.state, call.written_at = State.WRITTEN, now
            sent -= len(text)
        return True

    def wait_writable(self) -> None:
        """Continue the flush when the socket is writable."""
        if not self.awaits_writable:
            self.awaits_writable = True
            self.loop.add_writer(self.sock.fileno(), self.flush)

    def on_flushed(self) -> None:
        """After everything was written, stop waiting for the socket, and close a retired connection without calls."""
        if self.awaits_writable:
            self.awaits_writable = False
            self.loop.remove_writer(self.sock.fileno())
        if self.is_retired:
            self.update_if_idle()

    def cancel_call(self, call: Exchange, silent: bool) -> None:
        """Cancel a call. JSON-RPC has no cancellation, so that a response to it is discarded when it is received.

        A partly written call is truncated, so that it can't run after its client received the final answer; the frames
        after it are not affected. If the call timed out (``silent``) and nothing was received since it was written, the
        connection may be dead and accepts no more calls.
        """
        self.calls.pop(call.id, None)
        if call.state is State.PARTIAL and self.partial_call is call:
            self.unwritten = terminate_partial_frame(
                self.framing, self.partial_frame, len(self.partial_frame) - len(self.unwritten)
            )
            self.partial_call = None
            self.truncated_frames += 1
        elif call.state is State.WRITTEN:
            self.abandoned_ids.add(call.id)
            if (silent and self.received_at < call.written_at) or len(self.abandoned_ids) >= MAX_ABANDONED_CALLS:
                self.finish()
        self.update_if_idle()

    # --- reading ---

    def on_readable(self) -> None:
        """Read from the socket and process the complete responses. Invalid data closes the connection."""
        try:
            data = self.sock.recv(CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.abort()
            return
        self.received_at = self.loop.time()
        is_invalid = False
        try:
            texts = self.framer.feed(data)
        except FramingError as error:
            texts, is_invalid = error.complete_texts, True
        for text in texts:
            if self.is_closed:
                return
            try:
                self.on_response(read_response(text))
            except InvalidResponse:
                is_invalid = True
                break
        if is_invalid and not self.is_closed:
            self.counts["noise"] += 1
            self.abort()

    def on_response(self, response: Response) -> None:
        """End the call that a response belongs to."""
        if response.id is None:
            self.on_foreign_id(response)
            return
        call = self.calls.get(response.id)
        if call is None or call.state is not State.WRITTEN:
            self.on_unexpected_id(response.id)
            return
        del self.calls[response.id]
        self.update_if_idle()
        call.end(self.classify(response), Reply(response.head, response.tail, response.error))

    def on_unexpected_id(self, id: int) -> None:
        """Discard and count a response whose id is not that of a written, pending call. Other calls aren't affected."""
        if id in self.abandoned_ids:
            self.abandoned_ids.discard(id)
            self.counts["late"] += 1
        elif id in self.calls or id > self.last_id:
            self.counts["unknown"] += 1  # includes calls not completely written, which can't have been answered
        else:
            self.counts["repeated"] += 1

    def on_foreign_id(self, response: Response) -> None:
        """Discard and count a response whose id is not one that the sidecar assigns.

        An error with id null is expected after each truncated frame. Otherwise, the call that a response with id null
        belongs to is unknown: the connection accepts no more calls, and the pending ones continue to wait.
        """
        if response.null and response.error and self.truncated_frames:
            self.truncated_frames -= 1
            return
        self.counts["null" if response.null else "unknown"] += 1
        if response.null:
            self.finish()


async def dial(
    host: Host,
    address: Address,
    timeout: float,
    framing: Framing,
    classify: Callable[[Response], interface.Outcome],
    watcher: Watcher[ClientConnection],
    counts: Counter[str],
) -> ClientConnection:
    """Connect to an endpoint within ``timeout`` seconds. Raises OSError, of which TimeoutError is a subclass."""
    sock = host.socket()
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(timeout):
            await asyncio.get_running_loop().sock_connect(sock, address)
        return ClientConnection(sock, framing, classify, watcher, counts)
    except BaseException:
        sock.close()
        raise

"""The server side of JSON-RPC: parses requests from clients, dispatches calls and writes responses.

The deadline of a call is its class's ``deadline``, counted from the time at which its text was received completely. If
a client closes its connection, or only its sending side, its calls are abandoned and its notifications continue.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections import Counter, deque
from functools import partial
from typing import cast

from ..core.dispatcher import Dispatcher
from ..core.protocol import FinalAnswer, IncomingRequest, Refused, Served
from . import codec
from .codec import Batch, Call, RejectedCall
from .connection import Payload
from .framing import Framer, FramingError, frame
from .rules import Method, Rules

log = logging.getLogger(__name__)

MAX_BATCH_CALLS = 1000
MAX_PENDING_CALLS = 1000  # per connection; at this number the connection is not read
MAX_BATCH_RESPONSE_BYTES = 4 << 20  # further calls of the batch are answered as failed
MAX_UNREAD_BYTES = 4 << 20  # buffered responses of one client; beyond that it is disconnected
READ_TIMEOUT = 5.0  # s after the first bytes of a text within which it must be complete
WRITE_TIMEOUT = 5.0  # s within which a client must resume reading its responses
LINGER_TIME = 1.0  # s for which data is discarded after a framing error, so that the client receives the response
CLIENT_DESCRIPTOR_DIVISOR = 2  # client connections may use the descriptor limit divided by this number
RESERVED_METHOD_PREFIX = "rpc."  # reserved by the specification: such methods are forwarded only if they are listed
SHUTDOWN_RETRY_AFTER = 500.0  # ms: advised delay before a repeat for calls that are refused during the shutdown


class Frontend:
    """Accepts the client connections of one service and holds their shared state."""

    def __init__(self, dispatcher: Dispatcher, rules: Rules) -> None:
        self.dispatcher, self.descriptors, self.rules = dispatcher, dispatcher.descriptors, rules
        self.loop = asyncio.get_running_loop()
        self.request_ids = itertools.count(1)
        self.connections: dict[ServerConnection, None] = {}
        """Open connections, least recently active first."""
        self.counts: Counter[str] = Counter()
        """Number of error responses by code, and of clients disconnected for unread responses (``unread``)."""
        self.is_closing = False
        self.all_disconnected = asyncio.Event()
        self.configure()

    def configure(self) -> None:
        """Apply the settings of the dispatcher and the limits of the service."""
        self.deadlines = [c.deadline for c in self.dispatcher.settings.classes]
        self.max_connections = max(1, min(self.descriptors.limit // CLIENT_DESCRIPTOR_DIVISOR, self.rules.max_clients))

    def reconfigure(self, rules: Rules) -> None:
        """Apply changed rules. Open connections keep their framing."""
        self.rules = rules
        self.configure()

    def connection(self) -> ServerConnection:
        """Create the protocol instance for a new client connection."""
        return ServerConnection(self)

    def on_connected(self, connection: ServerConnection) -> None:
        """Register a client connection.

        If there are too many connections, or no descriptor is free and none can be freed by evicting a connection to
        an endpoint, the idle client connection that has been inactive for longest is closed. If none is idle and there
        are too many connections, the new one is closed.
        """
        descriptors = self.descriptors
        descriptors.clients += 1
        self.connections[connection] = None
        if len(self.connections) > self.max_connections or (descriptors.full() and not descriptors.evict()):
            for other in self.connections:
                if other is not connection and other.close_idle():
                    return
            if len(self.connections) > self.max_connections:
                connection.abort()

    def on_disconnected(self, connection: ServerConnection) -> None:
        """Remove a client connection that was closed."""
        self.descriptors.clients -= 1
        del self.connections[connection]
        if not self.connections:
            self.all_disconnected.set()

    def on_activity(self, connection: ServerConnection) -> None:
        """Mark a connection as the most recently active one."""
        del self.connections[connection]
        self.connections[connection] = None

    def begin_drain(self) -> None:
        """Do nothing: clients are served as before until :meth:`close_idle`."""

    def close_idle(self) -> None:
        """Close idle connections, refuse new calls, and close the other connections after their last response."""
        self.is_closing = True
        for connection in list(self.connections):
            connection.close_idle()

    async def wait_disconnected(self) -> None:
        """Wait until no client is connected."""
        while self.connections:
            self.all_disconnected.clear()
            await self.all_disconnected.wait()

    def stop(self) -> None:
        """Close all connections at once."""
        for connection in list(self.connections):
            connection.abort()

    def make_request(self, call: Call, waited: float) -> IncomingRequest | RejectedCall:
        """Create the request of a call according to its method's class, or the error to answer it with.

        Args:
            call: The call.
            waited: Time in ms for which the text waited in the kernel's buffer; it is subtracted from the deadline.
        """
        reply_id = codec.NULL if call.id is None else call.id
        method = self.rules.methods.get(call.method)
        if method is None:
            default = self.rules.default
            if default is None or call.method.startswith(RESERVED_METHOD_PREFIX):
                return RejectedCall(reply_id, codec.METHOD_NOT_FOUND, "Method not found")
            method = Method(default)
        key = ""
        if method.key:
            found = codec.resolve_pointer(call.params, method.key)
            if found is None:
                message = f"Invalid params: no key at /{'/'.join(method.key)}"
                return RejectedCall(reply_id, codec.INVALID_PARAMS, message)
            key = found
        return IncomingRequest(
            id=str(next(self.request_ids)),
            klass=method.klass,
            tenant=0,
            key=key,
            wait=max(0.0, self.deadlines[method.klass] - waited),
            work=0.0,
            retry=False,
            payload=Payload(call.head, call.tail),
        )


class BatchResponse:
    """Collects the responses to the calls of a batch."""

    __slots__ = ("missing", "responses", "size")

    def __init__(self, missing: int) -> None:
        self.missing = missing
        """Number of responses still to come."""
        self.responses: list[bytes] = []
        self.size = 0
        """Total size of the responses in bytes."""


class ServerConnection(asyncio.Protocol):
    """A client connection. Calls run concurrently and are answered in the order in which they finish."""

    transport: asyncio.Transport

    def __init__(self, front: Frontend) -> None:
        self.front = front
        self.framing = front.rules.framing
        self.framer = Framer(self.framing, front.rules.max_text_bytes)
        self.pending_calls: dict[str, Call] = {}
        """Unfinished calls, by request id. Each must be answered, unless it is a notification."""
        self.identities: set[bytes | str] = set()
        """Identities of the ids of unfinished calls."""
        self.unprocessed: deque[bytes] = deque()
        """Complete texts that were received while too many calls were pending, at most one chunk of data."""
        self.write_paused = self.at_limit = self.closed = self.rejecting = self.lingering = self.processing = False
        self.read_timer: asyncio.TimerHandle | None = None
        """Runs while a text is incomplete."""
        self.write_timer: asyncio.TimerHandle | None = None
        """Runs while the client doesn't read its responses."""
        self.waited = 0.0
        """Time in ms for which the last data received had been in the kernel's buffer."""
        self.is_first_read = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.front.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the pending calls; notifications continue."""
        self.closed = True
        for timer in (self.read_timer, self.write_timer):
            if timer is not None:
                timer.cancel()
        self.front.on_disconnected(self)
        self.unprocessed.clear()
        calls, self.pending_calls = self.pending_calls, {}
        for request_id, call in calls.items():
            if call.id is not None:
                self.front.dispatcher.leave(request_id)

    # --- reading ---

    def data_received(self, data: bytes) -> None:
        """Process the complete texts, and limit the time for which a text may be incomplete."""
        if self.closed or self.rejecting:
            return
        self.front.on_activity(self)
        self.waited = self.front.dispatcher.waited(self.transport, self.is_first_read)
        self.is_first_read = False
        framing_error: FramingError | None = None
        try:
            self.unprocessed.extend(self.framer.feed(data))
        except FramingError as error:
            framing_error = error
            self.unprocessed.extend(error.complete_texts)
        self.process_texts()
        if framing_error is not None:
            self.reject(str(framing_error))
        elif self.framer.has_partial_text() and self.read_timer is None:
            self.read_timer = self.front.loop.call_later(READ_TIMEOUT, self.on_read_timeout)
        elif not self.framer.has_partial_text() and self.read_timer is not None:
            self.read_timer.cancel()
            self.read_timer = None

    def on_read_timeout(self) -> None:
        """Reject an incomplete text, unless reading is paused: the client doesn't cause the delay then."""
        self.read_timer = None
        if self.write_paused or self.at_limit:
            self.read_timer = self.front.loop.call_later(READ_TIMEOUT, self.on_read_timeout)
        else:
            self.reject("a text was not whole in time")

    def process_texts(self) -> None:
        """Process received texts until too many calls are pending, and pause or resume reading accordingly."""
        if self.processing:  # a call was answered synchronously: the loop below continues
            return
        self.processing = True
        while (
            self.unprocessed
            and not self.write_paused
            and len(self.pending_calls) < MAX_PENDING_CALLS
            and not self.closed
        ):
            self.process_text(self.unprocessed.popleft())
        self.processing = False
        at_limit = bool(self.unprocessed) or len(self.pending_calls) >= MAX_PENDING_CALLS
        if at_limit != self.at_limit:
            self.at_limit = at_limit
            self.update_reading()

    def update_reading(self) -> None:
        """Pause reading while too many calls are pending or the client doesn't read; resume it otherwise."""
        if not self.closed and not self.transport.is_closing():
            if self.at_limit or self.write_paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def process_text(self, text: bytes) -> None:
        """Parse a text and process its calls."""
        request = codec.read_request(text, MAX_BATCH_CALLS)
        if isinstance(request, Batch):
            expected = sum(not (isinstance(call, Call) and call.id is None) for call in request.calls)
            batch = BatchResponse(expected)
            for call in request.calls:
                self.process_call(call, batch)
        else:
            self.process_call(request, None)

    def process_call(self, call: Call | RejectedCall, batch: BatchResponse | None) -> None:
        """Dispatch a call, or answer it with an error."""
        if isinstance(call, RejectedCall):
            self.respond(self.render_error(call), batch)
            return
        if call.id is not None and call.identity in self.identities:
            # With its own id, the error could be taken for the response to the pending call.
            duplicate = RejectedCall(codec.NULL, codec.INVALID_REQUEST, "Invalid Request: this id is in use by a call")
            self.respond(self.render_error(duplicate), batch)
            return
        request = self.front.make_request(call, self.waited)
        if isinstance(request, RejectedCall):
            if call.id is not None:
                self.respond(self.render_error(request), batch)
        elif self.front.is_closing:
            if call.id is not None:
                self.respond(codec.write_refused(call.id, SHUTDOWN_RETRY_AFTER), batch)
        else:
            if call.identity is not None:
                self.identities.add(call.identity)
            self.pending_calls[request.id] = call
            self.front.dispatcher.take(request, partial(self.finish, request.id, batch))

    def render_error(self, rejected: RejectedCall) -> bytes:
        """Count an error and return its response."""
        self.front.counts[str(rejected.code)] += 1
        return codec.write_error(rejected.id, rejected.code, rejected.message)

    # --- writing ---

    def finish(self, request_id: str, batch: BatchResponse | None, final: FinalAnswer) -> None:
        """Respond to a call with the dispatcher's final answer."""
        call = self.pending_calls.pop(request_id, None)
        if call is None:
            return
        if call.id is not None:
            if call.identity is not None:
                self.identities.discard(call.identity)
            text = render(call.id, final)
            if batch is not None and batch.size + len(text) > MAX_BATCH_RESPONSE_BYTES:
                text = codec.write_failed(call.id)
            self.respond(text, batch)
        if self.unprocessed or self.at_limit:
            self.process_texts()
        self.close_if_done()

    def respond(self, text: bytes, batch: BatchResponse | None) -> None:
        """Write a response; the responses to a batch are written together once all are available."""
        if batch is None:
            self.write(text)
            return
        batch.size += len(text)
        batch.responses.append(text)
        batch.missing -= 1
        if not batch.missing:
            self.write(b"[%b]" % b",".join(batch.responses))

    def write(self, text: bytes) -> None:
        """Write a text, and disconnect the client if too many of its responses are unread."""
        if self.closed or self.transport.is_closing():
            return
        self.transport.write(frame(self.framing, text))
        if self.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.front.counts["unread"] += 1
            self.abort()

    def pause_writing(self) -> None:
        """Stop reading from a client that doesn't read its responses, and disconnect it after ``WRITE_TIMEOUT``."""
        self.write_paused = True
        self.update_reading()
        self.write_timer = self.front.loop.call_later(WRITE_TIMEOUT, self.abort)

    def resume_writing(self) -> None:
        """Resume reading once the client has read its responses."""
        self.write_paused = False
        if self.write_timer is not None:
            self.write_timer.cancel()
            self.write_timer = None
        self.process_texts()
        self.update_reading()

    # --- closing ---

    def reject(self, reason: str) -> None:
        """Respond to an invalid stream with an error, and close the connection after the pending calls."""
        if self.rejecting or self.closed:
            return
        self.rejecting = True
        self.write(self.render_error(RejectedCall(codec.NULL, codec.PARSE_ERROR, f"Parse error: {reason}")))
        self.close_if_done()

    def close_if_done(self) -> None:
        """Close the connection after its last response, if it was rejected or the service shuts down."""
        if self.closed or not self.has_no_calls():
            return
        if self.rejecting and not self.lingering:
            # Closing a socket with unread data sends a reset, which may destroy the response before the client has
            # read it: received data is discarded for a while.
            self.lingering = True
            self.transport.resume_reading()
            self.transport.write_eof()
            self.front.loop.call_later(LINGER_TIME, self.abort)
        elif self.front.is_closing and not self.rejecting and not self.has_unread_data():
            self.transport.close()

    def has_no_calls(self) -> bool:
        """Return whether no call awaits a response and no text is unprocessed. Notifications don't count."""
        return not self.unprocessed and all(call.id is None for call in self.pending_calls.values())

    def close_idle(self) -> bool:
        """Close the connection if it is idle; return False if a call is pending or being received."""
        if self.closed or not self.has_no_calls() or self.framer.has_partial_text() or self.has_unread_data():
            return False
        self.transport.close()
        return True

    def has_unread_data(self) -> bool:
        """Return whether the kernel holds received data that the event loop has not read."""
        return self.front.dispatcher.host.unread(self.transport.get_extra_info("socket"))

    def abort(self) -> None:
        """Close the connection at once, with its pending calls."""
        if not self.closed:
            self.transport.abort()


def render(id: bytes, final: FinalAnswer) -> bytes:
    """Return the response for a final answer."""
    if isinstance(final, Served):
        return b"%b%b%b" % (final.reply.head, id, final.reply.tail)
    upstream = final.reply.error if final.reply is not None else b""
    if isinstance(final, Refused):
        return codec.write_refused(id, final.retry_after, upstream)
    return codec.write_failed(id, upstream)

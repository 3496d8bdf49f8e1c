"""The clients' side of JSON-RPC: texts are read and checked, calls handed on, responses written.

A call's time counts from when its text was whole, for as long as its class's ``deadline``. A client that
ends its connection, or its sending, has left: its calls are given up; its notifications go on.
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
from .codec import Batch, Call, Invalid
from .connection import Payload
from .framing import Framer, FramingError, frame
from .rules import Method, Rules

log = logging.getLogger(__name__)

MOST_BATCH = 1000  # calls of one batch: what a front holds at once for one text
MOST_OPEN = 1000  # calls of one connection that are out at once; beyond that it is not read
MOST_GATHERED = 4 << 20  # bytes of a batch's responses: what comes beyond them is told as failed
MOST_UNREAD = 4 << 20  # bytes that a client may leave unread before it is dropped, with its calls
READ_FOR = 5.0  # s in which a text that has begun has to be whole
WRITE_FOR = 5.0  # s in which a client has to go on reading its responses
LINGER = 1.0  # s in which the rest of what could not be read is dropped, so that its error arrives
SHARE = 2  # clients get one part in so many of the descriptors
RESERVED_METHODS = "rpc."  # the specification keeps them: only those that are listed go on
END_ADVICE = 500.0  # ms: after which a client of a sidecar that ends should come again


class Frontend:
    """What the connections of one service share."""

    def __init__(self, dispatcher: Dispatcher, rules: Rules) -> None:
        self.dispatcher, self.descriptors, self.rules = dispatcher, dispatcher.descriptors, rules
        self.loop = asyncio.get_running_loop()
        self.numbers = itertools.count(1)
        self.connections: dict[ServerConnection, None] = {}
        """Those open, the one that has sent nothing for longest first."""
        self.counts: Counter[str] = Counter()
        self.ending = False
        self.empty = asyncio.Event()
        self.configure()

    def configure(self) -> None:
        self.waits = [c.deadline for c in self.dispatcher.settings.classes]
        self.most = max(1, min(self.descriptors.limit // SHARE, self.rules.max_clients))

    def reconfigure(self, rules: Rules) -> None:
        """Other methods from now on; connections that are open keep their framing."""
        self.rules = rules
        self.configure()

    def connection(self) -> ServerConnection:
        return ServerConnection(self)

    def joined(self, connection: ServerConnection) -> None:
        """A client has connected. Where descriptors are short, the one idle for longest makes room."""
        descriptors = self.descriptors
        descriptors.clients += 1
        self.connections[connection] = None
        if len(self.connections) > self.most or (descriptors.full() and not descriptors.evict()):
            for other in self.connections:
                if other is not connection and other.close_idle():
                    return
            if len(self.connections) > self.most:
                connection.drop()

    def left(self, connection: ServerConnection) -> None:
        self.descriptors.clients -= 1
        del self.connections[connection]
        if not self.connections:
            self.empty.set()

    def heard(self, connection: ServerConnection) -> None:
        del self.connections[connection]
        self.connections[connection] = None

    def begin_drain(self) -> None:
        """Clients that have not heard of the end yet are served as before, until idle ones are closed."""

    def close_idle(self) -> None:
        """From now on calls are refused, and connections end with their last response."""
        self.ending = True
        for connection in list(self.connections):
            connection.close_idle()

    async def wait_disconnected(self) -> None:
        while self.connections:
            self.empty.clear()
            await self.empty.wait()

    def stop(self) -> None:
        for connection in list(self.connections):
            connection.drop()

    def read(self, call: Call, waited: float) -> IncomingRequest | Invalid:
        """A call that has ``waited`` so many ms here, sorted into its class; or the error that it is owed."""
        answer_to = codec.NULL if call.id is None else call.id
        method = self.rules.methods.get(call.method)
        if method is None:
            default = self.rules.default
            if default is None or call.method.startswith(RESERVED_METHODS):
                return Invalid(answer_to, codec.METHOD_NOT_FOUND, "Method not found")
            method = Method(default)
        key = ""
        if method.key:
            found = codec.point(call.params, method.key)
            if found is None:
                told = f"Invalid params: no key at /{'/'.join(method.key)}"
                return Invalid(answer_to, codec.INVALID_PARAMS, told)
            key = found
        return IncomingRequest(
            id=str(next(self.numbers)),
            klass=method.klass,
            tenant=0,
            key=key,
            wait=max(0.0, self.waits[method.klass] - waited),
            work=0.0,
            retry=False,
            payload=Payload(call.head, call.tail),
        )


class Gathering:
    """The responses to one batch, until all are there."""

    __slots__ = ("left", "responses", "size")

    def __init__(self, left: int) -> None:
        self.left = left
        self.responses: list[bytes] = []
        self.size = 0


class ServerConnection(asyncio.Protocol):
    """One client's connection: many calls at once, answered as they end."""

    transport: asyncio.Transport

    def __init__(self, front: Frontend) -> None:
        self.front = front
        self.framing = front.rules.framing
        self.framer = Framer(self.framing, front.rules.most_text)
        self.open: dict[str, Call] = {}
        """Calls that are out, by the ledger's id: each is owed a response, but for notifications."""
        self.identities: set[bytes | str] = set()
        self.waiting: deque[bytes] = deque()
        """Whole texts, of one piece at most, that came while too many calls were out."""
        self.paused = self.full = self.gone = self.rejecting = self.lingering = self.going = False
        self.slow: asyncio.TimerHandle | None = None
        self.unread: asyncio.TimerHandle | None = None
        self.waited = 0.0  # ms that the bytes at hand lay in the kernel
        self.fresh = True  # nothing has come yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.front.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True
        for timer in (self.slow, self.unread):
            if timer is not None:
                timer.cancel()
        self.front.left(self)
        self.waiting.clear()
        calls, self.open = self.open, {}
        for number, call in calls.items():
            if call.id is not None:
                self.front.dispatcher.leave(number)

    # --- reading ---

    def data_received(self, data: bytes) -> None:
        if self.gone or self.rejecting:
            return
        self.front.heard(self)
        self.waited = self.front.dispatcher.waited(self.transport, self.fresh)
        self.fresh = False
        wrong: FramingError | None = None
        try:
            self.waiting.extend(self.framer.feed(data))
        except FramingError as error:
            wrong = error
            self.waiting.extend(error.before)
        self.go_on()
        if wrong is not None:
            self.reject(str(wrong))
        elif self.framer.partial() and self.slow is None:
            self.slow = self.front.loop.call_later(READ_FOR, self.too_slow)
        elif not self.framer.partial() and self.slow is not None:
            self.slow.cancel()
            self.slow = None

    def too_slow(self) -> None:
        self.slow = None
        if self.paused or self.full:  # it is the sidecar that doesn't read
            self.slow = self.front.loop.call_later(READ_FOR, self.too_slow)
        else:
            self.reject("a text was not whole in time")

    def go_on(self) -> None:
        """Take what has come, as far as calls may be out; beyond that the client isn't read."""
        if self.going:  # a call was answered at once: the loop below goes on
            return
        self.going = True
        while self.waiting and not self.paused and len(self.open) < MOST_OPEN and not self.gone:
            self.take(self.waiting.popleft())
        self.going = False
        full = bool(self.waiting) or len(self.open) >= MOST_OPEN
        if full != self.full:
            self.full = full
            self.steer()

    def steer(self) -> None:
        if not self.gone and not self.transport.is_closing():
            if self.full or self.paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def take(self, text: bytes) -> None:
        told = codec.read_request(text, MOST_BATCH)
        if isinstance(told, Batch):
            owed = sum(not (isinstance(call, Call) and call.id is None) for call in told.calls)
            gathering = Gathering(owed)
            for call in told.calls:
                self.begin(call, gathering)
        else:
            self.begin(told, None)

    def begin(self, told: Call | Invalid, gathering: Gathering | None) -> None:
        """Hand a call on, or answer it from here."""
        if isinstance(told, Invalid):
            self.respond(self.invalid(told), gathering)
            return
        if told.id is not None and told.identity in self.identities:
            # To its own id the error could be taken for the response to the call that is out.
            again = Invalid(codec.NULL, codec.INVALID_REQUEST, "Invalid Request: this id is in use by a call")
            self.respond(self.invalid(again), gathering)
            return
        incoming = self.front.read(told, self.waited)
        if isinstance(incoming, Invalid):
            if told.id is not None:
                self.respond(self.invalid(incoming), gathering)
        elif self.front.ending:
            if told.id is not None:
                self.respond(codec.write_refused(told.id, END_ADVICE), gathering)
        else:
            if told.identity is not None:
                self.identities.add(told.identity)
            self.open[incoming.id] = told
            self.front.dispatcher.take(incoming, partial(self.finish, incoming.id, gathering))

    def invalid(self, told: Invalid) -> bytes:
        self.front.counts[str(told.code)] += 1
        return codec.write_error(told.id, told.code, told.message)

    # --- writing ---

    def finish(self, number: str, gathering: Gathering | None, final: FinalAnswer) -> None:
        """The ledger's final answer to a call."""
        call = self.open.pop(number, None)
        if call is None:
            return
        if call.id is not None:
            if call.identity is not None:
                self.identities.discard(call.identity)
            text = render(call.id, final)
            if gathering is not None and gathering.size + len(text) > MOST_GATHERED:
                text = codec.write_failed(call.id)
            self.respond(text, gathering)
        if self.waiting or self.full:
            self.go_on()
        self.end_if_through()

    def respond(self, text: bytes, gathering: Gathering | None) -> None:
        """Write a response, or put it with the others of its batch."""
        if gathering is None:
            self.write(text)
            return
        gathering.size += len(text)
        gathering.responses.append(text)
        gathering.left -= 1
        if not gathering.left:
            self.write(b"[%b]" % b",".join(gathering.responses))

    def write(self, text: bytes) -> None:
        if self.gone or self.transport.is_closing():
            return
        self.transport.write(frame(self.framing, text))
        if self.transport.get_write_buffer_size() > MOST_UNREAD:
            self.front.counts["unread"] += 1
            self.drop()

    def pause_writing(self) -> None:
        """The client doesn't read: nothing more of its is read until it does."""
        self.paused = True
        self.steer()
        self.unread = self.front.loop.call_later(WRITE_FOR, self.drop)

    def resume_writing(self) -> None:
        self.paused = False
        if self.unread is not None:
            self.unread.cancel()
            self.unread = None
        self.go_on()
        self.steer()

    # --- ends that the server chooses ---

    def reject(self, reason: str) -> None:
        """What comes can't be cut into texts: say so, and end once the calls before it are answered."""
        if self.rejecting or self.gone:
            return
        self.rejecting = True
        self.write(self.invalid(Invalid(codec.NULL, codec.PARSE_ERROR, f"Parse error: {reason}")))
        self.end_if_through()

    def end_if_through(self) -> None:
        if self.gone or not self.through():
            return
        if self.rejecting and not self.lingering:
            # What still comes is read and dropped for a while: closing on it would reset the response away.
            self.lingering = True
            self.transport.resume_reading()
            self.transport.write_eof()
            self.front.loop.call_later(LINGER, self.drop)
        elif self.front.ending and not self.rejecting and not self.readable():
            self.transport.close()

    def through(self) -> bool:
        return not self.waiting and all(call.id is None for call in self.open.values())

    def close_idle(self) -> bool:
        """Close the connection between calls; False if one is out, or on its way."""
        if self.gone or not self.through() or self.framer.partial() or self.readable():
            return False
        self.transport.close()
        return True

    def readable(self) -> bool:
        """Whether the kernel holds something that the loop has not read yet."""
        return self.front.dispatcher.host.unread(self.transport.get_extra_info("socket"))

    def drop(self) -> None:
        if not self.gone:
            self.transport.abort()


def render(id: bytes, final: FinalAnswer) -> bytes:
    if isinstance(final, Served):
        return b"%b%b%b" % (final.reply.head, id, final.reply.tail)
    said = final.reply.error if final.reply is not None else b""
    if isinstance(final, Refused):
        return codec.write_refused(id, final.retry_after, said)
    return codec.write_failed(id, said)

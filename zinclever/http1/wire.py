"""Attempts on HTTP/1.1 endpoints: what is written, and what an answer proves."""

from __future__ import annotations

from functools import partial
from typing import NamedTuple

import orjson

from .. import interface
from ..core.descriptors import Descriptors
from ..core.host import Host
from ..core.pools import ExclusivePools
from ..core.protocol import OnEnded
from .bodies import Body
from .connection import Broken, ClientConnection, Reply, Sent, dial

HOLD = 0.002  # s, over a round trip: for how long the last byte of what may not be repeated is held back
MOST_LOAD = 1e6  # in a load report: no endpoint holds or serves more, and no figure is below 0


class Payload(NamedTuple):
    """What goes to an endpoint, but for the header that tells how long it is waited for."""

    head: bytes
    """Request line and the headers that are passed on."""
    body: bytes | Body
    framed: bool = True
    """It says how long its body is, also where that is empty."""


def outcome_of(reply: Reply) -> interface.Outcome:
    """What an endpoint's whole answer means; only a marked 503 or 504 proves that nothing ran."""
    if reply.status == 200:
        return "served"
    if reply.status in (503, 504) and reply.header(b"srv-declined") == b"1":
        return "full"
    return "error"


def framing(body: bytes | Body, framed: bool) -> bytes:
    """The end of the head: how long the body is."""
    if not framed:
        return b"\r\n"
    length = body.length if isinstance(body, Body) else len(body)
    return b"Transfer-Encoding: chunked\r\n\r\n" if length is None else b"Content-Length: %d\r\n\r\n" % length


class Exchange:
    """One attempt on the wire: waiting for its connection, then for its answer."""

    __slots__ = ("body", "connection", "ended", "framed", "head", "hold", "sent")

    def __init__(self, head: bytes, body: bytes | Body, framed: bool, ended: OnEnded, hold: float, sent: Sent) -> None:
        self.head, self.body, self.framed, self.hold, self.sent = head, body, framed, hold, sent
        self.ended: OnEnded | None = ended
        self.connection: ClientConnection | None = None

    def waiting(self) -> bool:
        return self.ended is not None

    def end(self, outcome: interface.Outcome, reply: Reply | None = None) -> None:
        ended, self.ended = self.ended, None
        self.connection = None
        self.leave()
        if ended is not None:
            ended(outcome, reply, read_report(reply) if reply is not None else {})

    def run(self, connection: ClientConnection) -> None:
        self.connection = connection
        body = self.body
        if isinstance(body, Body) and not body.whole:
            connection.begin_upload(self.head + framing(body, True), self.done, self.sent, body.length is None)
            body.follow(self)
        else:
            whole = body.bytes() if isinstance(body, Body) else body
            connection.request(self.head + framing(whole, self.framed), self.done, self.hold, self.sent, whole)

    def more(self, data: bytes) -> None:
        """A piece of the body that is still coming in."""
        if self.connection is not None:
            self.connection.upload(data)

    def last(self, data: bytes) -> None:
        if self.connection is not None:
            self.connection.end_upload(data, self.hold)

    def leave(self) -> None:
        if isinstance(self.body, Body):
            self.body.leave(self)

    def done(self, result: Reply | Broken) -> None:
        if isinstance(result, Reply):
            self.end(outcome_of(result), result)
        else:
            self.end("dropped" if result.unsent else "reset")

    def begun(self) -> bool:
        """Whether the endpoint may have the whole request."""
        return self.connection is not None and not self.connection.has_unsent_bytes()

    def cancel(self, silent: bool) -> None:
        """Stop waiting and end the connection. Nothing is reported."""
        self.ended = None
        self.leave()
        if self.connection is not None:
            self.connection.abort()
            self.connection = None


class HttpWire(ExclusivePools[ClientConnection]):
    """Attempts on endpoints that speak HTTP/1.1, one at a time on a connection."""

    def __init__(self, descriptors: Descriptors, host: Host) -> None:
        super().__init__(partial(dial, host, transfers=True), descriptors)
        self.dispatches = 0
        """Attempts whose last byte the kernel has had."""

    def dispatched(self) -> None:
        self.dispatches += 1

    def start(self, endpoint: str, payload: Payload, left: float, ended: OnEnded, unsafe: bool) -> Exchange:
        """Begin an attempt that is waited for ``left`` seconds. The last byte of an unsafe one is held back:
        most connections that break do so before."""
        head = b"%bReq-Deadline: %.3f\r\n" % (payload.head, left)
        exchange = Exchange(head, payload.body, payload.framed, ended, HOLD if unsafe else 0.0, self.dispatched)
        self.send_attempt(endpoint, exchange)
        return exchange


def read_report(reply: Reply) -> dict[str, float]:
    """The load report that came with an answer; one that can't be read is none."""
    text = reply.header(b"srv-load")
    if text is None:
        return {}
    try:
        told = orjson.loads(text)
    except orjson.JSONDecodeError:
        return {}
    if not isinstance(told, dict):
        return {}
    # Comparisons, as a number too large for a float would raise where it is made one.
    return {k: float(v) for k, v in told.items() if type(v) in (int, float) and 0 <= v <= MOST_LOAD}

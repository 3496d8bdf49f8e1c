"""Attempts on HTTP/1.1 endpoints: what is sent, and what a response means."""

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
from .connection import Broken, ClientConnection, OnSent, Reply, dial

HOLD = 0.002  # s for which the last byte of a request that must not be repeated is withheld: more than a round trip
MAX_LOAD = 1e6  # in a load report: larger figures are invalid, as are negative ones


class Payload(NamedTuple):
    """A request to endpoints, except for the header with the attempt's deadline."""

    head: bytes
    """Request line and forwarded headers."""
    body: bytes | Body
    has_body_framing: bool = True
    """The head states the body's length, even if the body is empty."""


def classify_reply(reply: Reply) -> interface.Outcome:
    """Return what a complete response means: only a 503 or 504 with Srv-Declined proves that nothing was executed."""
    if reply.status == 200:
        return "served"
    if reply.status in (503, 504) and reply.header(b"srv-declined") == b"1":
        return "full"
    return "error"


def render_framing(body: bytes | Body, has_framing: bool) -> bytes:
    """Return the end of the head, which states the body's length."""
    if not has_framing:
        return b"\r\n"
    length = body.length if isinstance(body, Body) else len(body)
    return b"Transfer-Encoding: chunked\r\n\r\n" if length is None else b"Content-Length: %d\r\n\r\n" % length


class Exchange:
    """One attempt on an endpoint: waits for a connection, then for the response."""

    __slots__ = ("body", "connection", "has_framing", "head", "hold", "on_ended", "on_sent")

    def __init__(
        self, head: bytes, body: bytes | Body, has_framing: bool, on_ended: OnEnded, hold: float, on_sent: OnSent
    ) -> None:
        """Create an attempt. ``hold``: seconds for which its last byte is withheld."""
        self.head, self.body, self.has_framing, self.hold, self.on_sent = head, body, has_framing, hold, on_sent
        self.on_ended: OnEnded | None = on_ended
        self.connection: ClientConnection | None = None

    def waiting(self) -> bool:
        """Return whether the attempt has neither ended nor been cancelled."""
        return self.on_ended is not None

    def end(self, outcome: interface.Outcome, reply: Reply | None = None) -> None:
        """Report how the attempt ended, unless it was cancelled."""
        on_ended, self.on_ended = self.on_ended, None
        self.connection = None
        self.unsubscribe()
        if on_ended is not None:
            on_ended(outcome, reply, parse_load_report(reply) if reply is not None else {})

    def run(self, connection: ClientConnection) -> None:
        """Send the request on a connection."""
        self.connection = connection
        body = self.body
        if isinstance(body, Body) and not body.is_complete:
            connection.begin_upload(
                self.head + render_framing(body, True), self.done, self.on_sent, body.length is None
            )
            body.subscribe(self)
        else:
            content = body.content() if isinstance(body, Body) else body
            connection.request(
                self.head + render_framing(content, self.has_framing), self.done, self.hold, self.on_sent, content
            )

    def on_data(self, data: bytes) -> None:
        """Forward bytes of a body that is still being received."""
        if self.connection is not None:
            self.connection.upload(data)

    def on_last_byte(self, data: bytes) -> None:
        """Forward the last byte of such a body."""
        if self.connection is not None:
            self.connection.end_upload(data, self.hold)

    def unsubscribe(self) -> None:
        """Receive no more bytes of the body."""
        if isinstance(self.body, Body):
            self.body.unsubscribe(self)

    def done(self, result: Reply | Broken) -> None:
        """Handle the response, or the end of the connection."""
        if isinstance(result, Reply):
            self.end(classify_reply(result), result)
        else:
            self.end("dropped" if result.unsent else "reset")

    def begun(self) -> bool:
        """Return whether the endpoint may have received the complete request."""
        return self.connection is not None and not self.connection.has_unsent_bytes()

    def cancel(self, silent: bool) -> None:
        """Stop waiting and abort the connection. Nothing is reported."""
        self.on_ended = None
        self.unsubscribe()
        if self.connection is not None:
            self.connection.abort()
            self.connection = None


class HttpWire(ExclusivePools[ClientConnection]):
    """Sends attempts to endpoints over HTTP/1.1, one at a time per connection."""

    def __init__(self, descriptors: Descriptors, host: Host) -> None:
        super().__init__(partial(dial, host, can_stream=True), descriptors)
        self.dispatches = 0
        """Number of attempts whose last byte was written to the kernel."""

    def on_attempt_sent(self) -> None:
        """Count an attempt whose last byte was written to the kernel."""
        self.dispatches += 1

    def start(self, endpoint: str, payload: Payload, left: float, ended: OnEnded, unsafe: bool) -> Exchange:
        """Begin an attempt.

        Args:
            endpoint: Where to send it.
            payload: The request.
            left: Seconds after which the attempt times out, sent as its deadline.
            ended: Called once with the outcome, unless the attempt is cancelled before.
            unsafe: The request must not be executed twice. Its last byte is withheld for ``HOLD`` seconds: most
                connections that break do so within that time, which proves that nothing was executed.
        """
        head = b"%bReq-Deadline: %.3f\r\n" % (payload.head, left)
        exchange = Exchange(
            head, payload.body, payload.has_body_framing, ended, HOLD if unsafe else 0.0, self.on_attempt_sent
        )
        self.send_attempt(endpoint, exchange)
        return exchange


def parse_load_report(reply: Reply) -> dict[str, float]:
    """Return the load report of a response; empty if there is none or it can't be parsed."""
    text = reply.header(b"srv-load")
    if text is None:
        return {}
    try:
        report = orjson.loads(text)
    except orjson.JSONDecodeError:
        return {}
    if not isinstance(report, dict):
        return {}
    # The range is checked before the conversion: float() raises OverflowError for too large an integer.
    return {k: float(v) for k, v in report.items() if type(v) in (int, float) and 0 <= v <= MAX_LOAD}

"""One request at the ingress, and its exchange with the endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ...core.protocol import OnEnded
from ...http1.connection import Broken, ClientConnection, Reply
from ...http1.wire import Exchange
from ..transport.mesh_pb2 import ForwardReply, ForwardRequest
from .slot_queue import QueueEntry, SlotQueue

QUIET_PERIOD = 0.1  # s of silence after which the endpoint may have dropped a connection without closing it
LAST_HEAD_BYTE_DELAY = 0.002  # s for which the head is then held back: a request that is reset within it hasn't run
ENDPOINT_HEADERS = b"X-Expected-Endpoint: %b\r\nX-Deadline-Ms: %d\r\n"

OnReply = Callable[[ForwardReply], None]


class EndpointExchange(Exchange):
    """One request at the endpoint. An answer with another request's id proves nothing about it."""

    __slots__ = ("endpoint", "expires_at", "id")

    def __init__(self, forward: ForwardRequest, body: bytes, ended: OnEnded, expires_at: float) -> None:
        """Create an exchange. ``expires_at``: instant in s from which no caller waits for the answer."""
        super().__init__(forward.head, body, forward.framed, ended, 0.0, ignore_sent)
        self.id = forward.id.encode("latin-1")
        self.endpoint = forward.endpoint.encode()
        self.expires_at = expires_at

    def run(self, connection: ClientConnection) -> None:
        """Send the request, unless it expired while the connection was opened or this process was stalled."""
        now = asyncio.get_running_loop().time()
        time_left = self.expires_at - now
        if time_left <= 0.0:
            connection.abort()
            self.end("not_sent")
            return
        self.head += ENDPOINT_HEADERS % (self.endpoint, max(1, int(1000 * time_left)))
        is_quiet = bool(connection.heard_at) and now - connection.heard_at > QUIET_PERIOD
        self.hold = LAST_HEAD_BYTE_DELAY if is_quiet else 0.0
        super().run(connection)

    def done(self, result: Reply | Broken) -> None:
        """Handle the endpoint's answer, or a broken connection."""
        if self.connection is not None:
            self.connection.heard_at = asyncio.get_running_loop().time()
        if isinstance(result, Broken):
            self.end("dropped" if result.unsent else "reset")
        elif result.header(b"x-attempt-id") != self.id:
            if self.connection is not None:
                self.connection.abort()  # an answer to another request: the connection is out of sync
            self.end("reset")
        else:
            self.end("error", result)


class InboundRequest(QueueEntry):
    """A request at this ingress, until it is answered or cancelled."""

    __slots__ = ("body", "exchange", "forward", "on_reply", "queue", "reconnects", "timer")

    def __init__(
        self, forward: ForwardRequest, body: bytes, on_reply: OnReply, received_at: float, queue: SlotQueue
    ) -> None:
        super().__init__(
            received_at,
            forward.deadline_ms / 1000.0,
            forward.latency_target_ms / 1000.0,
            forward.priority,
            forward.nested,
            forward.hedge,
            forward.may_queue,
        )
        self.forward = forward
        self.body = body
        self.queue = queue
        self.on_reply: OnReply | None = on_reply
        """None once the request was answered or cancelled."""
        self.exchange: EndpointExchange | None = None
        """Set while the request is at the endpoint."""
        self.timer: asyncio.TimerHandle | None = None
        self.reconnects = 0
        """Connections that broke before the endpoint had received the request's head, with which it may begin."""

    @property
    def expires_at(self) -> float:
        """Instant in s from which no caller waits for the answer."""
        return self.received_at + self.deadline_left

    def may_have_reached(self) -> bool:
        """Return whether any part of the request may have reached the endpoint."""
        return self.reconnects > 0 or (self.exchange is not None and self.exchange.connection is not None)

    def cancel_timer(self) -> None:
        """Cancel the timer of the queue timeout or of the deadline."""
        if self.timer is not None:
            self.timer.cancel()


def ignore_sent() -> None:
    """Ignore that the kernel has accepted the request."""

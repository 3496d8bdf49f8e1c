"""Requests that other sidecars forward to the endpoint of this machine, from the first frame to the reply."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import partial

from ..attempt_outcome import AttemptOutcome
from ..dataplane.forwarding import CHUNK_BYTES
from ..dataplane.inbound_request import InboundRequest
from ..dataplane.ingress import Ingress
from ..dataplane.shutdown_admission import ShutdownAdmission
from ..transport.framed_connection import FramedConnection
from ..transport.mesh_pb2 import BodyChunk, ForwardReply, ForwardRequest, Frame

MAX_BODY_BYTES = 80 << 20
MAX_MEMORY_SHARE = 0.25  # of the memory that bodies may take; each is copied when it is complete and when it is sent

StreamKey = tuple[FramedConnection, int]


@dataclass(slots=True, eq=False)
class InboundForward:
    """A forwarded request, from its first frame until its reply is sent."""

    connection: FramedConnection
    forward: ForwardRequest
    received_at: float
    """Instant in s at which its first frame arrived."""
    chunks: list[bytes] = field(init=False)
    missing_bytes: int = field(init=False)
    """Bytes of the body still to come."""
    request: InboundRequest | None = None
    """The request at the ingress, once the body is complete."""

    def __post_init__(self) -> None:
        self.chunks = [self.forward.body]
        self.missing_bytes = self.forward.length - len(self.forward.body)

    def take_body(self) -> bytes:
        """Return the complete body, which isn't kept here any longer."""
        chunks, self.chunks = self.chunks, []
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)


class ForwardServer:
    """Owns the open forwarded requests."""

    def __init__(self, ingress: Ingress, memory: int) -> None:
        """Create a server.

        Args:
            ingress: The ingress that requests are submitted to.
            memory: Memory of this machine in bytes.
        """
        self.ingress = ingress
        self.memory = memory
        self.shutdown: ShutdownAdmission | None = None
        """Set while this process shuts down: requests that may outlast it are rejected, so that they go elsewhere."""
        self.loop = asyncio.get_running_loop()
        self.open: dict[StreamKey, InboundForward] = {}

    def on_request(self, connection: FramedConnection, frame: Frame) -> None:
        """Handle the first frame of a request.

        A request that asks for a reservation is granted one if there is capacity and memory for it. A reservation
        permits sending the body, but holds no slot: the ingress checks its capacity again once the body is complete.
        """
        forward = ForwardRequest()
        forward.CopyFrom(frame.forward_request)
        inbound = InboundForward(connection, forward, self.loop.time())
        if forward.length > MAX_BODY_BYTES:
            connection.abort()
            return
        time_left = forward.deadline_ms / 1000.0
        if self.shutdown is not None and not self.shutdown.can_complete(inbound.received_at, time_left):
            shutdown_reply = ForwardReply(outcome=AttemptOutcome.NOT_EXECUTED, reason="ending")
            connection.send(Frame(stream=frame.stream, forward_reply=shutdown_reply))
            return
        if inbound.missing_bytes > 0:
            refusal = self.refusal(forward)
            if refusal is not None:
                connection.send(Frame(stream=frame.stream, forward_reply=refusal))
                return
            if forward.reserve_first:
                connection.send(Frame(stream=frame.stream, reservation_granted=True))
        self.open[(connection, frame.stream)] = inbound
        if inbound.missing_bytes <= 0:
            self.submit(frame.stream, inbound)

    def refusal(self, forward: ForwardRequest) -> ForwardReply | None:
        """Return the reply to a request whose body can't be accepted; None if it can."""
        body_bytes = sum(inbound.forward.length for inbound in self.open.values())
        refusal = self.ingress.refusal(forward) if forward.reserve_first else None
        if body_bytes and body_bytes + forward.length > MAX_MEMORY_SHARE * self.memory:
            return ForwardReply(outcome=AttemptOutcome.NO_CAPACITY, reason="memory")
        return refusal

    def on_body_chunk(self, connection: FramedConnection, frame: Frame) -> None:
        """Handle a chunk of a request body."""
        inbound = self.open.get((connection, frame.stream))
        if inbound is not None and inbound.missing_bytes > 0:
            inbound.chunks.append(frame.body_chunk.data)
            inbound.missing_bytes -= len(frame.body_chunk.data)
            if inbound.missing_bytes <= 0:
                self.submit(frame.stream, inbound)

    def submit(self, stream: int, inbound: InboundForward) -> None:
        """Submit a request whose body is complete to the ingress."""
        on_reply = partial(self.send_reply, stream, inbound)
        inbound.request = self.ingress.submit(inbound.forward, inbound.take_body(), on_reply, inbound.received_at)

    def send_reply(self, stream: int, inbound: InboundForward, reply: ForwardReply) -> None:
        """Send the ingress's reply; a long body is split into chunks."""
        self.open.pop((inbound.connection, stream), None)
        body = reply.body
        reply.length = len(body)
        if len(body) > CHUNK_BYTES:
            reply.body = body[:CHUNK_BYTES]
        inbound.connection.send(Frame(stream=stream, forward_reply=reply))
        for offset in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
            chunk = BodyChunk(data=body[offset : offset + CHUNK_BYTES])
            inbound.connection.send(Frame(stream=stream, body_chunk=chunk))

    def on_cancel(self, connection: FramedConnection, frame: Frame) -> None:
        """Handle the cancellation of a request by the sidecar that forwarded it."""
        self.cancel((connection, frame.stream))

    def on_connection_closed(self, connection: FramedConnection) -> None:
        """Cancel the requests of a closed connection, which can't be answered any more."""
        for key in [key for key in self.open if key[0] is connection]:
            self.cancel(key)

    def cancel(self, key: StreamKey) -> None:
        """Cancel a request, whether its body is complete or not."""
        inbound = self.open.pop(key, None)
        if inbound is not None and inbound.request is not None:
            self.ingress.cancel(inbound.request)

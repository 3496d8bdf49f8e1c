"""Requests that other sidecars forward to the endpoint of this machine: their frames, until the reply is sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ..attempt_outcome import AttemptOutcome
from ..dataplane.forwarding import CHUNK_BYTES
from ..dataplane.ingress import InboundRequest, Ingress
from ..transport.framed_connection import FramedConnection
from ..transport.mesh_pb2 import BodyChunk, ForwardReply, ForwardRequest, Frame

MAX_BODY_BYTES = 80 << 20
MAX_MEMORY_SHARE = 0.25  # that bodies may take which are still coming in

StreamKey = tuple[FramedConnection, int]


@dataclass(slots=True, eq=False)
class InboundForward:
    """A forwarded request, from its first frame until its reply has been sent."""

    connection: FramedConnection
    forward: ForwardRequest
    received_at: float
    """Instant in s of its first frame."""
    chunks: list[bytes] = field(init=False)
    missing_bytes: int = field(init=False)
    """Of its body."""
    request: InboundRequest | None = None
    """At the ingress, once its body is whole."""

    def __post_init__(self) -> None:
        self.chunks = [self.forward.body]
        self.missing_bytes = self.forward.length - len(self.forward.body)

    def body(self) -> bytes:
        """The whole body."""
        return self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)


class ForwardServer:
    """Owns the forwarded requests that are open."""

    def __init__(self, ingress: Ingress, memory: int, is_refusing: Callable[[], bool]) -> None:
        """``memory``: of this machine, in bytes. ``is_refusing``: whether new requests are refused, as this process
        ends."""
        self.ingress = ingress
        self.memory = memory
        self.is_refusing = is_refusing
        self.loop = asyncio.get_running_loop()
        self.open: dict[StreamKey, InboundForward] = {}

    def on_request(self, connection: FramedConnection, frame: Frame) -> None:
        """Take a request. One that reserves first is granted a reservation where there is capacity and memory."""
        forward = ForwardRequest()
        forward.CopyFrom(frame.forward_request)
        inbound = InboundForward(connection, forward, self.loop.time())
        if forward.length > MAX_BODY_BYTES:
            connection.abort()
            return
        if self.is_refusing():
            refusal = ForwardReply(outcome=AttemptOutcome.NOT_EXECUTED, reason="ending")
            connection.send(Frame(stream=frame.stream, forward_reply=refusal))
            return
        if inbound.missing_bytes > 0:
            refusal_or_none = self.refusal(forward)
            if refusal_or_none is not None:
                connection.send(Frame(stream=frame.stream, forward_reply=refusal_or_none))
                return
            if forward.reserve_first:
                connection.send(Frame(stream=frame.stream, reservation_granted=True))
        self.open[(connection, frame.stream)] = inbound
        if inbound.missing_bytes <= 0:
            self.submit(frame.stream, inbound)

    def refusal(self, forward: ForwardRequest) -> ForwardReply | None:
        """The reply to a request whose body can't be taken; None where it can."""
        incoming_bytes = sum(inbound.missing_bytes for inbound in self.open.values() if inbound.missing_bytes > 0)
        refusal = self.ingress.refusal(forward) if forward.reserve_first else None
        if incoming_bytes and incoming_bytes + forward.length > MAX_MEMORY_SHARE * self.memory:
            return ForwardReply(outcome=AttemptOutcome.NO_CAPACITY, reason="memory")
        return refusal

    def on_body_chunk(self, connection: FramedConnection, frame: Frame) -> None:
        """Take a part of a body."""
        inbound = self.open.get((connection, frame.stream))
        if inbound is not None and inbound.missing_bytes > 0:
            inbound.chunks.append(frame.body_chunk.data)
            inbound.missing_bytes -= len(frame.body_chunk.data)
            if inbound.missing_bytes <= 0:
                self.submit(frame.stream, inbound)

    def submit(self, stream: int, inbound: InboundForward) -> None:
        """Hand a request whose body is whole to the ingress."""
        on_reply = partial(self.send_reply, stream, inbound)
        inbound.request = self.ingress.submit(inbound.forward, inbound.body(), on_reply, inbound.received_at)

    def send_reply(self, stream: int, inbound: InboundForward, reply: ForwardReply) -> None:
        """Send the ingress's reply, with a long body in chunks."""
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
        """The other sidecar cancels a request."""
        self.cancel((connection, frame.stream))

    def on_connection_closed(self, connection: FramedConnection) -> None:
        """The other sidecar gets no reply any more: what it forwarded is cancelled."""
        for key in [key for key in self.open if key[0] is connection]:
            self.cancel(key)

    def cancel(self, key: StreamKey) -> None:
        """Cancel a request, wherever it is."""
        inbound = self.open.pop(key, None)
        if inbound is not None and inbound.request is not None:
            self.ingress.cancel(inbound.request)

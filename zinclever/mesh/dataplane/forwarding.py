"""Forwarding of attempts to the sidecar in front of an endpoint, whose reply states the outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from ...core.protocol import Address, OnEnded
from ...fleet.limits import ConnectionLimiter
from ..attempt_outcome import AttemptOutcome
from ..transport.channel import Channel
from ..transport.mesh_pb2 import BodyChunk, ForwardReply, ForwardRequest, Frame
from .attempt_count import Reservation
from .inbound_request import InboundRequest
from .ingress import Ingress
from .outbound_request import OutboundRequest
from .retry_budget import BudgetCharge, RetryBudget

CHUNK_BYTES = 64 * 1024  # maximum size of a body chunk in one frame; other frames can be sent between two chunks

# A reservation saves the transfer of the body: under high load about half of the requests sent find no slot.
RESERVATION_MIN_BYTES = 512  # body size from which the body is only sent once the ingress has granted a reservation
RESERVATION_PROTOCOL = 2  # protocol version from which an ingress supports reservations
ATTEMPTS_BEFORE_QUEUEING = 4  # endpoints tried for a free slot before a request may wait in a queue
MAX_NO_CAPACITY_PERIOD = 0.05  # s; maximum time for which an endpoint without capacity is avoided

NO_CONNECTION = "no link"  # reason of an attempt whose sidecar could not be reached


class EndpointReply(NamedTuple):
    """An endpoint's answer, as forwarded by the sidecar in front of it."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ForwardAttempt:
    """One attempt of a request; implements :class:`~zinclever.core.protocol.Exchange`."""

    __slots__ = (
        "awaits_reservation",
        "budget_charge",
        "channel",
        "chunks",
        "endpoint",
        "forwarder",
        "frame_sent",
        "is_counted",
        "is_hedge",
        "local_request",
        "may_queue",
        "may_run",
        "missing_bytes",
        "on_ended",
        "partial_reply",
        "request",
        "reservation",
        "stream",
    )

    def __init__(self, forwarder: Forwarder, request: OutboundRequest, endpoint: str, on_ended: OnEnded) -> None:
        self.forwarder = forwarder
        self.request = request
        self.endpoint = endpoint
        self.on_ended: OnEnded | None = on_ended
        """None once the attempt has ended or was cancelled."""
        self.local_request: InboundRequest | None = None
        """The request at this machine's ingress, if the endpoint is local."""
        self.channel: Channel | None = None
        self.stream = 0
        self.may_run = False
        """The endpoint may have received the complete request, or may still receive it."""
        self.frame_sent = False
        """The first frame has been written. The ingress may know the request, but can't run it before ``may_run``."""
        self.is_counted = False
        """The attempt is counted in ``in_flight`` of its request."""
        self.is_hedge = False
        """Another attempt was in flight when this one began."""
        self.may_queue = False
        """The attempt may wait in the ingress's queue for a slot."""
        self.awaits_reservation = False
        """The body is held back until the ingress has granted a reservation."""
        self.reservation: Reservation | None = None
        """Counts the attempt against the limit of its request."""
        self.budget_charge: BudgetCharge | None = None
        """Counts the attempt against the retry budget; None if it is not charged."""
        self.partial_reply: ForwardReply | None = None
        self.chunks: list[bytes] = []
        """The part of the reply's body received so far."""
        self.missing_bytes = 0
        """Bytes of the reply's body still to come."""

    def begun(self) -> bool:
        """See :meth:`~zinclever.core.protocol.Exchange.begun`."""
        return self.may_run

    def cancel(self, silent: bool) -> None:
        """Stop waiting for the outcome.

        The attempt still counts against the limit unless it is certain that the endpoint hasn't received it and never
        will.
        """
        if self.on_ended is None:
            return
        self.on_ended = None
        self.stop_counting()
        if self.channel is not None:
            self.channel.finish_call(self.stream)
            if self.frame_sent:
                self.channel.send_on_call(Frame(stream=self.stream, cancel=True))
        if self.local_request is not None:
            self.may_run = self.forwarder.ingress.cancel(self.local_request)
        if self.may_run:
            self.request.may_have_run = True  # it may run until its ingress has received the cancellation
        else:
            self.forwarder.release(self)

    def stop_counting(self) -> None:
        """Stop counting the attempt as in flight."""
        if self.is_counted:
            self.is_counted = False
            self.request.in_flight -= 1

    # --- sending ---

    def on_sent(self) -> None:
        """Update the state just before the first frame is written.

        An attempt that awaits a reservation can't run before its body is sent.
        """
        self.frame_sent = True
        self.may_run = not self.awaits_reservation

    def send_body(self, start: int) -> None:
        """Send the body from an offset on, in chunks between which other frames can be sent."""
        assert self.channel is not None
        body = self.request.body
        for offset in range(start, len(body), CHUNK_BYTES):
            chunk = BodyChunk(data=body[offset : offset + CHUNK_BYTES])
            self.channel.send_after_call(Frame(stream=self.stream, body_chunk=chunk))

    # --- receiving ---

    def on_frame(self, frame: Frame | None) -> None:
        """Handle a frame from the channel.

        ``frame`` is a granted reservation, a reply, a chunk of the reply's body, or None if the connection is lost.
        """
        if frame is None:
            self.on_connection_lost()
            return
        frame_kind = frame.WhichOneof("what")
        if frame_kind == "reservation_granted" and self.awaits_reservation and self.on_ended is not None:
            self.awaits_reservation = False
            self.may_run = True
            self.send_body(0)
        elif frame_kind == "forward_reply":
            self.on_reply(frame.forward_reply)
        elif frame_kind == "body_chunk" and self.partial_reply is not None:
            self.chunks.append(frame.body_chunk.data)
            self.missing_bytes -= len(frame.body_chunk.data)
            if self.missing_bytes <= 0:
                self.partial_reply.body = b"".join(self.chunks)
                self.finish(self.partial_reply)

    def on_connection_lost(self) -> None:
        """Finish the attempt; the outcome is unknown if the request may have arrived."""
        outcome = AttemptOutcome.UNKNOWN if self.may_run else AttemptOutcome.NOT_EXECUTED
        reason = "link lost" if self.may_run else NO_CONNECTION
        self.finish(ForwardReply(outcome=outcome, reason=reason, sent_to_endpoint=self.may_run))

    def on_reply(self, reply: ForwardReply) -> None:
        """Handle a reply, whose body may follow in chunks."""
        if reply.length <= len(reply.body):
            self.finish(reply)
        else:
            self.partial_reply, self.chunks = reply, [reply.body]
            self.missing_bytes = reply.length - len(reply.body)

    def finish(self, reply: ForwardReply) -> None:
        """Report the outcome, once."""
        on_ended, self.on_ended = self.on_ended, None
        if self.channel is not None:
            self.channel.finish_call(self.stream)
        was_counted = self.is_counted
        self.stop_counting()
        if on_ended is None:
            return
        if not reply.sent_to_endpoint:
            self.forwarder.release(self)
        self.request.log_attempt(f"{self.endpoint}: {reply.reason or reply.status}")
        outcome = outcome_of(reply)
        if outcome is AttemptOutcome.NO_CAPACITY:
            self.record_no_capacity(reply, was_counted)
        if outcome.proves_not_executed:
            on_ended("connect_failed" if reply.reason == NO_CONNECTION else "full")
            return
        self.request.may_have_run = True
        if outcome is AttemptOutcome.UNKNOWN:
            on_ended("reset")
            return
        answer = EndpointReply(reply.status, [(header.name, header.value) for header in reply.headers], reply.body)
        on_ended("served" if reply.status < 500 else "error", answer)

    def record_no_capacity(self, reply: ForwardReply, was_counted: bool) -> None:
        """Avoid the endpoint for a short time, unless the request is a nested call or the attempt is a hedge.

        If the endpoint itself, not its ingress, rejected the request, this request is never sent there again.
        """
        if was_counted and not self.request.is_nested and not self.is_hedge:
            period = min(MAX_NO_CAPACITY_PERIOD, reply.retry_after_us / 1e6)
            until = self.forwarder.loop.time() + period
            self.forwarder.no_capacity_until[CapacityKey(self.endpoint, self.may_queue)] = until
        if reply.sent_to_endpoint:
            self.request.rejected_by.append(self.endpoint)


class CapacityKey(NamedTuple):
    """Identifies the requests that found no capacity at an endpoint: those that may queue, or those that may not."""

    endpoint: str
    may_queue: bool


def outcome_of(reply: ForwardReply) -> AttemptOutcome:
    """Return the outcome that a reply states; a value unknown to this version counts as UNKNOWN."""
    try:
        return AttemptOutcome(reply.outcome)
    except ValueError:
        return AttemptOutcome.UNKNOWN


class Forwarder:
    """Sends attempts to the endpoints of one service; implements :class:`~zinclever.core.protocol.Wire`.

    Each endpoint is reached through the sidecar in front of it.
    """

    def __init__(
        self,
        own_address: Address,
        ingress: Ingress,
        channel_to: Callable[[Address], Channel],
        retry_budget: RetryBudget,
        protocol_versions: Mapping[Address, int],
    ) -> None:
        self.own_address = own_address
        self.ingress = ingress
        self.channel_to = channel_to
        self.retry_budget = retry_budget
        self.protocol_versions = protocol_versions
        self.loop = asyncio.get_running_loop()
        self.addresses: dict[str, Address] = {}
        """By endpoint: the address of the sidecar in front of it."""
        self.no_capacity_until: dict[CapacityKey, float] = {}
        """Instants in s until which endpoints without capacity are avoided."""
        self.counts = {"sent": 0, "copies": 0, "short": 0}
        """Counters for the log: attempts, additional attempts of a request (retries and hedges), and attempts that the
        retry budget or the attempt limit of the route didn't allow.
        """

    # --- the endpoints ---

    def configure(self, connect_timeout: float, idle_limit: float, connections: ConnectionLimiter) -> None:
        """Do nothing: channels have their own limits."""

    def set_address(self, endpoint: str, address: Address) -> None:
        """Set the address of the sidecar in front of an endpoint."""
        self.addresses[endpoint] = address

    def drain(self, endpoint: str) -> None:
        """Do nothing: the ingress of a draining endpoint rejects requests that have not begun."""

    def forget(self, endpoint: str) -> None:
        """Discard the state of an endpoint that has left the mesh."""
        self.addresses.pop(endpoint, None)
        for may_queue in (False, True):
            self.no_capacity_until.pop(CapacityKey(endpoint, may_queue), None)

    def listed(self) -> Sequence[str]:
        """Return the endpoints that have an address."""
        return list(self.addresses)

    def close_idle(self, endpoint: str) -> None:
        """Do nothing: a channel is shared by all endpoints behind it."""

    def close(self) -> None:
        """Do nothing: the channels belong to the node."""

    # --- attempts ---

    def start(
        self, endpoint: str, payload: OutboundRequest, left: float, ended: OnEnded, unsafe: bool
    ) -> ForwardAttempt:
        """See :meth:`~zinclever.core.protocol.Wire.start`."""
        request = payload
        attempt = ForwardAttempt(self, request, endpoint, ended)
        address = self.addresses.get(endpoint)
        if address is None:
            self.loop.call_soon(attempt.finish, ForwardReply(outcome=AttemptOutcome.NOT_EXECUTED, reason=NO_CONNECTION))
            return attempt
        now = self.loop.time()
        has_tried_enough = request.attempts_made >= min(ATTEMPTS_BEFORE_QUEUEING, len(self.addresses))
        attempt.may_queue = request.is_nested or (has_tried_enough and not request.is_client_retry)
        reason = self.reason_to_avoid(attempt, address, has_tried_enough, now)
        if reason:
            request.attempts_made += 1
            self.loop.call_soon(attempt.finish, ForwardReply(outcome=AttemptOutcome.NO_CAPACITY, reason=reason))
            return attempt
        refusal = self.reserve(attempt, now)
        if refusal:
            self.counts["short"] += 1
            request.log_attempt(f"{endpoint}: not sent: {refusal}")
            self.loop.call_soon(self.fail_unsent, attempt)
            return attempt
        self.send(attempt, address, left, now)
        return attempt

    def reason_to_avoid(self, attempt: ForwardAttempt, address: Address, has_tried_enough: bool, now: float) -> str:
        """Return why an attempt is not sent to its endpoint; empty if it may be sent."""
        request, endpoint = attempt.request, attempt.endpoint
        until = self.no_capacity_until.get(CapacityKey(endpoint, attempt.may_queue), 0.0)
        had_no_capacity = not request.is_nested and until > now
        if had_no_capacity or endpoint in request.rejected_by or (request.is_client_retry and has_tried_enough):
            return "had no capacity recently"
        if address != self.own_address and self.channel_to(address).is_unresponsive():
            return "silent"
        return ""

    def send(self, attempt: ForwardAttempt, address: Address, left: float, now: float) -> None:
        """Forward an attempt to the local ingress or to another sidecar. The attempt expires in ``left`` s."""
        request = attempt.request
        self.counts["sent"] += 1
        attempt.is_hedge = request.in_flight > 0
        message = ForwardRequest(
            endpoint=attempt.endpoint,
            head=request.head,
            framed=request.has_body,
            deadline_ms=max(1, int(1000 * left)),
            latency_target_ms=max(0, int(1000 * (request.latency_target_at - now))),
            priority=request.priority,
            safe=request.is_idempotent,
            id=request.id,
            length=len(request.body),
            nested=request.is_nested,
            hedge=attempt.is_hedge,
            may_queue=attempt.may_queue,
            retry=attempt.budget_charge is not None,
        )
        request.in_flight += 1
        request.attempts_made += 1
        attempt.is_counted = True
        if address == self.own_address:
            self.loop.call_soon(self.start_locally, attempt, message)
            return
        attempt.channel = self.channel_to(address)
        understands_reservations = self.protocol_versions.get(address, 0) >= RESERVATION_PROTOCOL
        attempt.awaits_reservation = len(request.body) >= RESERVATION_MIN_BYTES and understands_reservations
        message.reserve_first = attempt.awaits_reservation
        if not attempt.awaits_reservation:
            message.body = request.body[:CHUNK_BYTES]
        attempt.stream = attempt.channel.call(Frame(forward_request=message), attempt.on_frame, attempt.on_sent)
        if not attempt.awaits_reservation:
            attempt.send_body(CHUNK_BYTES)

    def start_locally(self, attempt: ForwardAttempt, message: ForwardRequest) -> None:
        """Submit an attempt to the ingress of this machine."""
        if attempt.on_ended is not None:
            attempt.may_run = True
            attempt.local_request = self.ingress.submit(message, attempt.request.body, attempt.finish)

    def fail_unsent(self, attempt: ForwardAttempt) -> None:
        """Finish an attempt that the retry budget or the attempt limit didn't allow."""
        on_ended, attempt.on_ended = attempt.on_ended, None
        if on_ended is not None:
            on_ended("not_sent")

    def reserve(self, attempt: ForwardAttempt, now: float) -> str:
        """Count an attempt against its request's limit and, if it is a retry or is issued by one, against the budget.

        Returns the reason if the attempt is not allowed, else an empty string.
        """
        attempt_count = attempt.request.attempt_count
        is_additional = attempt_count.reserved > 0
        if is_additional and not self.retry_budget.allows_retry(now):
            return "retry budget exhausted"
        attempt.reservation = attempt_count.reserve()
        if attempt.reservation is None:
            return "attempt limit of the route reached"
        if is_additional or attempt.request.issued_by_retry:
            attempt.budget_charge = self.retry_budget.charge(now)
            self.counts["copies"] += is_additional
        return ""

    def release(self, attempt: ForwardAttempt) -> None:
        """Stop counting an attempt that certainly reached no endpoint and never will, and refund its budget charge."""
        if attempt.reservation is not None:
            attempt.request.attempt_count.release(attempt.reservation)
        if attempt.budget_charge is not None:
            self.retry_budget.refund(self.loop.time(), attempt.budget_charge)

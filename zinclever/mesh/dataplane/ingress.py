"""The ingress: the only path to the endpoint on this machine, for which it enforces four guarantees.

An endpoint that drains or has left the mesh gets no new requests; a request for one incarnation of an endpoint never
reaches another incarnation; an endpoint is sent no more requests at a time than it has slots; and a cancelled request
is aborted at the endpoint.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from ... import interface
from ...core.descriptors import Descriptors
from ...core.host import Host
from ...core.pools import ExclusivePools
from ...core.protocol import Address
from ...fleet.limits import ConnectionLimiter
from ...http1.connection import ClientConnection, Reply, dial
from ..attempt_outcome import AttemptOutcome
from ..transport.mesh_pb2 import ForwardReply, ForwardRequest, Header
from .inbound_request import EndpointExchange, InboundRequest, OnReply
from .slot_queue import SlotQueue

MAX_ANSWER_BYTES = 16 << 20  # answers are buffered completely, so that a truncated one is never forwarded
READ_TIMEOUT = 120.0  # s between two reads of an answer: its total time is limited by the deadline only
CONNECT_TIMEOUT_MS = 400.0
IDLE_TIMEOUT_MS = 9000.0  # for which an endpoint is assumed to keep an idle connection open
MAX_RECONNECTS = 2  # repeated sends after a connection broke before the request's head was complete


class Ingress:
    """Owns the connections to the endpoint, and each request until it is answered."""

    def __init__(self, host: Host, descriptors: Descriptors) -> None:
        self.loop = asyncio.get_running_loop()
        self.pools: ExclusivePools[ClientConnection] = ExclusivePools(
            partial(dial, host, max_buffered_body=MAX_ANSWER_BYTES, stall=READ_TIMEOUT, executes_early=True),
            descriptors,
        )
        connections = ConnectionLimiter(host.random())
        connections.configure(interface.Shares(), 1, 0, 0)
        self.pools.configure(CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS, connections)
        self.endpoint = ""
        """The id of the endpoint; empty if there is none."""
        self.is_open = False
        """The endpoint accepts new requests."""
        self.queue = SlotQueue(1)
        self.requests: set[InboundRequest] = set()
        self.running: dict[str, set[InboundRequest]] = {}
        """Requests at the endpoint, by id."""
        self.on_connection_refused: Callable[[], None] | None = None
        """Called when nothing listens at the endpoint's address."""
        self.counts = {"offered": 0, "ran": 0, "full": 0, "maybe": 0, "gone": 0, "dropped": 0}
        """Counters for the log."""

    # --- the endpoint ---

    def is_running(self, request_id: str) -> bool:
        """Return whether a request with this id is at the endpoint."""
        return request_id in self.running

    def is_running_retry(self, request_id: str) -> bool:
        """Return whether a retry with this id is at the endpoint: calls that it issues count as retries, too."""
        return any(request.forward.retry for request in self.running.get(request_id, ()))

    def attach_endpoint(self, endpoint: str, address: Address, slots: int) -> None:
        """Accept requests for an endpoint, and forward them to its address."""
        if endpoint != self.endpoint:
            self.close()
            if self.endpoint:
                self.pools.forget(self.endpoint)
            self.endpoint = endpoint
            self.queue = SlotQueue(slots)
        self.pools.set_address(endpoint, address)
        self.queue.slots = slots
        self.is_open = True
        self.dispatch_queued()

    def close(self) -> None:
        """Accept no new requests; those that have not begun are rejected and may be sent elsewhere."""
        self.is_open = False
        for request in [entry for entry in self.queue.waiting if isinstance(entry, InboundRequest)]:
            self.reject(request, AttemptOutcome.NOT_EXECUTED, "draining")

    def forget(self) -> None:
        """Remove the endpoint after it has left the mesh."""
        self.close()
        self.pools.forget(self.endpoint)
        self.endpoint = ""

    # --- admission ---

    def refusal(self, forward: ForwardRequest) -> ForwardReply | None:
        """Return the rejection of a request whose body has not arrived yet; None if it would be admitted now."""
        request = InboundRequest(forward, b"", ignore_reply, self.loop.time(), self.queue)
        if forward.endpoint != self.endpoint or not self.is_open:
            self.counts["gone"] += 1
            return ForwardReply(outcome=AttemptOutcome.NOT_EXECUTED, reason="gone")
        if not self.queue.admits(request.received_at, request):
            self.counts["full"] += 1
            return ForwardReply(
                outcome=AttemptOutcome.NO_CAPACITY, reason="queue", retry_after_us=self.retry_after_us()
            )
        return None

    def retry_after_us(self) -> int:
        """Return the time in microseconds in which a slot is expected to become free."""
        return int(1e6 * self.queue.expected_service_time() / self.queue.slots)

    def submit(
        self, forward: ForwardRequest, body: bytes, on_reply: OnReply, received_at: float | None = None
    ) -> InboundRequest | None:
        """Accept a request for the endpoint. Returns None if it is rejected immediately.

        ``on_reply`` is called once, possibly from within this method, unless :meth:`cancel` is called before.
        ``received_at`` is the instant at which the request arrived, if its body has arrived later.
        """
        now = self.loop.time()
        request = InboundRequest(forward, body, on_reply, now if received_at is None else received_at, self.queue)
        if forward.endpoint != self.endpoint or not self.is_open:
            self.counts["gone"] += 1
            self.reply(request, ForwardReply(outcome=AttemptOutcome.NOT_EXECUTED, reason="gone"))
            return None
        if not self.queue.admits(now, request):
            self.counts["full"] += 1
            self.reply(request, ForwardReply(outcome=AttemptOutcome.NO_CAPACITY, reason="queue"))
            return None
        self.requests.add(request)
        self.queue.add(request)
        request.timer = self.loop.call_later(self.queue.queue_timeout(request), self.on_queue_timeout, request)
        self.dispatch_queued()
        return request

    def on_queue_timeout(self, request: InboundRequest) -> None:
        """Reject a request that is still queued."""
        if request.exchange is None and request.on_reply is not None:
            self.counts["full"] += 1
            self.reject(request, AttemptOutcome.NO_CAPACITY, "queue")

    def reject(self, request: InboundRequest, outcome: AttemptOutcome, reason: str) -> None:
        """Reject a request that has not begun, so that it may be sent elsewhere."""
        request.queue.remove(request)
        self.reply(request, ForwardReply(outcome=outcome, reason=reason))

    # --- at the endpoint ---

    def dispatch_queued(self) -> None:
        """Start queued requests while there are free slots."""
        while self.is_open:
            now = self.loop.time()
            request = self.queue.next(now)
            if request is None:
                break
            assert isinstance(request, InboundRequest)
            if request.expires_at <= now:  # its timer is due, but hasn't fired yet
                self.queue.release_slot()
                self.reject(request, AttemptOutcome.NOT_EXECUTED, "deadline")
            else:
                self.start_request(request)

    def start_request(self, request: InboundRequest) -> None:
        """Send a request to the endpoint; it expires at its deadline."""
        request.cancel_timer()
        time_left = max(0.0, request.expires_at - self.loop.time())
        request.timer = self.loop.call_later(time_left, self.expire, request)
        self.counts["offered"] += 1
        self.running.setdefault(request.forward.id, set()).add(request)
        request.begun_at = self.loop.time()
        self.send_to_endpoint(request)

    def send_to_endpoint(self, request: InboundRequest) -> None:
        """Send a request on an idle or a new connection."""
        on_ended = partial(self.on_exchange_ended, request)
        request.exchange = EndpointExchange(request.forward, request.body, on_ended, request.expires_at)
        self.pools.send_attempt(request.forward.endpoint, request.exchange)

    def on_exchange_ended(
        self, request: InboundRequest, outcome: interface.Outcome, reply: Reply | None = None, report: object = None
    ) -> None:
        """Handle the endpoint's answer; without one, ``outcome`` states whether the request may have been received."""
        request.exchange = None
        if outcome == "dropped" and request.reconnects < MAX_RECONNECTS and self.is_open:
            request.reconnects += 1
            self.counts["dropped"] += 1
            self.send_to_endpoint(request)
            return
        self.remove_running(request)
        service_time = self.loop.time() - request.begun_at
        forward_reply = (
            self.reply_without_answer(outcome) if reply is None else self.reply_with_answer(reply, service_time)
        )
        request.queue.release_slot()
        forward_reply.service_ms = int(1000 * service_time)
        forward_reply.queued_ms = int(1000 * (request.begun_at - request.received_at))
        self.reply(request, forward_reply)
        self.dispatch_queued()

    def reply_without_answer(self, outcome: interface.Outcome) -> ForwardReply:
        """Return the reply for a request that the endpoint hasn't answered."""
        proves_not_executed = outcome in interface.NEVER_RAN
        self.counts["maybe"] += not proves_not_executed
        if outcome == "connect_failed" and self.on_connection_refused is not None:
            self.on_connection_refused()
        return ForwardReply(
            outcome=AttemptOutcome.NOT_EXECUTED if proves_not_executed else AttemptOutcome.UNKNOWN,
            reason=outcome,
            sent_to_endpoint=not proves_not_executed
            or outcome == "dropped",  # part of the head of a request that was dropped has arrived
        )

    def reply_with_answer(self, reply: Reply, service_time: float) -> ForwardReply:
        """Return the reply for a request that the endpoint has answered after ``service_time`` s."""
        if reply.header(b"x-not-executed") is not None:
            self.counts["full"] += 1
            return ForwardReply(
                outcome=AttemptOutcome.NO_CAPACITY, status=reply.status, reason="turned away", sent_to_endpoint=True
            )
        self.counts["ran"] += 1
        if 200 <= reply.status < 300 and not is_sealed(reply):
            return ForwardReply(outcome=AttemptOutcome.UNKNOWN, reason="no seal", sent_to_endpoint=True)
        if reply.status < 500:
            self.queue.record_service_time(service_time)
        return ForwardReply(
            outcome=AttemptOutcome.EXECUTED,
            status=reply.status,
            body=reply.body,
            sent_to_endpoint=True,
            headers=[Header(name=name, value=value) for name, value in reply.headers],
        )

    def remove_running(self, request: InboundRequest) -> None:
        """Remove a request from those at the endpoint."""
        requests_with_id = self.running.get(request.forward.id, set())
        requests_with_id.discard(request)
        if not requests_with_id:
            self.running.pop(request.forward.id, None)

    # --- completion of a request ---

    def expire(self, request: InboundRequest) -> None:
        """Cancel a request whose deadline has passed, and report its outcome."""
        if request.on_reply is None:
            return
        may_have_run = self.cancel(request, silent=True)
        on_reply, request.on_reply = request.on_reply, None
        if on_reply is not None:
            outcome = AttemptOutcome.UNKNOWN if may_have_run else AttemptOutcome.NOT_EXECUTED
            on_reply(ForwardReply(outcome=outcome, reason="deadline", sent_to_endpoint=may_have_run))

    def cancel(self, request: InboundRequest, silent: bool = False) -> bool:
        """Cancel a request: it is removed from the queue, or aborted at the endpoint.

        Returns whether any part of it may have reached the endpoint. ``silent`` states that its deadline has passed
        without an answer; the caller then still calls ``on_reply``.
        """
        if not silent:
            request.on_reply = None
        request.cancel_timer()
        self.requests.discard(request)
        may_have_reached = request.may_have_reached()
        if request.exchange is None:
            request.queue.remove(request)
            return may_have_reached
        exchange, request.exchange = request.exchange, None
        self.remove_running(request)
        exchange.cancel(silent)
        request.queue.release_slot()
        self.dispatch_queued()
        return may_have_reached

    def reply(self, request: InboundRequest, reply: ForwardReply) -> None:
        """Reply to a request, and report the endpoint's load with it."""
        request.cancel_timer()
        self.requests.discard(request)
        if reply.outcome == AttemptOutcome.NO_CAPACITY:
            reply.retry_after_us = self.retry_after_us()
        reply.inflight = self.queue.busy + len(self.queue.waiting)
        reply.slots = self.queue.slots
        on_reply, request.on_reply = request.on_reply, None
        if on_reply is not None:
            on_reply(reply)


def is_sealed(reply: Reply) -> bool:
    """Return whether a successful answer has the endpoint's seal and an unmodified body."""
    return bool(reply.header(b"x-server-seal")) and reply.header(b"content-encoding") in (None, b"identity")


def ignore_reply(reply: ForwardReply) -> None:
    """Ignore the reply: the request is only used to check admission."""

"""The hop to the sidecar beside an endpoint, as a wire of the ledger: attempts go out on links, verdicts come back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from ...core.protocol import Address, Ended
from ...fleet.limits import Connections
from ..attempt_outcome import AttemptOutcome
from ..transport.channel import Channel
from ..transport.mesh_pb2 import BodyChunk, ForwardReply, ForwardRequest, Frame
from .attempt_count import AttemptCount, Reservation
from .ingress import InboundRequest, Ingress
from .retry_budget import BudgetCharge, RetryBudget

CHUNK_BYTES = 64 * 1024  # bytes of a body that go in one frame: a longer one leaves room for others between its pieces

RESERVATION_MIN_BYTES = (
    512  # bytes of a body from which on its keeper is asked for room first: half of all that is sent finds none
)
RESERVATION_PROTOCOL = 2  # version of the wire from which on a keeper understands that
MAX_LOGGED_ATTEMPTS = 12  # tries of a request that are remembered
ATTEMPTS_BEFORE_QUEUEING = 4  # endpoints that are asked for room at once before one is asked to let it wait
MAX_NO_CAPACITY_PERIOD = 0.05  # s for which an endpoint that had no room is taken to have none at the most


class OutboundRequest:
    """What goes to an endpoint for one request, and what is known of its attempts."""

    __slots__ = (
        "attempt_count",
        "attempt_log",
        "attempts_made",
        "body",
        "has_body",
        "head",
        "id",
        "in_flight",
        "is_nested",
        "is_retry",
        "latency_target_at",
        "may_have_run",
        "priority",
        "received_at",
        "rejected_by",
        "safe",
        "service",
        "was_refused",
    )

    def __init__(
        self,
        service: str,
        id: str,
        head: bytes,
        body: bytes,
        framed: bool,
        safe: bool,
        priority: int,
        aim_at: float,
        most: int,
        since: float,
        inner: bool,
        returned: bool = False,
        repeat: bool = False,
    ) -> None:
        self.is_nested = inner
        self.is_retry = repeat
        """A run that was itself a repeat issued it: it counts in the budget from its first attempt on."""
        self.was_refused = returned
        """It was refused before. It takes what is free and doesn't wait: in a crowd, one that is served at its first
        try earns more with the same turn."""
        self.attempts_made = self.in_flight = 0
        self.rejected_by: list[str] = []
        """Endpoints that turned it away themselves: they are not asked again."""
        self.service, self.id, self.head, self.body, self.has_body = service, id, head, body, framed
        self.safe, self.priority, self.latency_target_at, self.received_at = safe, priority, aim_at, since
        self.attempt_count = AttemptCount(most)
        self.may_have_run = False
        """One of them may have run."""
        self.attempt_log: list[str] = []
        """What came of each try."""

    def log_attempt(self, text: str) -> None:
        if len(self.attempt_log) < MAX_LOGGED_ATTEMPTS:
            self.attempt_log.append(text)


class EndpointReply(NamedTuple):
    """An endpoint's answer, as it came over the hop."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ForwardAttempt:
    """One attempt: an :class:`~zinclever.core.protocol.Exchange`."""

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
        "local_job",
        "may_queue",
        "may_run",
        "missing_bytes",
        "on_ended",
        "partial_reply",
        "request",
        "reservation",
        "stream",
    )

    def __init__(self, wire: Forwarder, order: OutboundRequest, ended: Ended) -> None:
        self.forwarder, self.request = wire, order
        self.on_ended: Ended | None = ended
        self.local_job: InboundRequest | None = None
        self.channel: Channel | None = None
        self.stream = 0
        self.may_run = self.is_counted = self.is_hedge = self.may_queue = self.awaits_reservation = False
        self.frame_sent = False
        """Its first frame has gone out on a link: its keeper may know of it. Until ``sent`` it can't run there."""
        self.endpoint = ""
        self.reservation: Reservation | None = None
        """It counts against the attempts of its request."""
        self.budget_charge: BudgetCharge | None = None
        """It counts in the budget as a further try."""
        self.partial_reply: ForwardReply | None = None
        self.chunks: list[bytes] = []
        self.missing_bytes = 0

    def begun(self) -> bool:
        return self.may_run

    def cancel(self, silent: bool) -> None:
        """Stop waiting. It counts on unless it is certain that the endpoint hasn't got it and never will."""
        if self.on_ended is None:
            return
        self.on_ended = None
        self.stop_counting()
        if self.channel is not None:
            self.channel.finish_call(self.stream)
            if self.frame_sent:
                self.channel.send_on_call(Frame(stream=self.stream, cancel=True))
        if self.local_job is not None:
            self.may_run = self.forwarder.ingress.cancel(self.local_job)
        if self.may_run:
            self.request.may_have_run = True  # it may yet, until its keeper has heard
        else:
            self.forwarder.release(self)

    def stop_counting(self) -> None:
        if self.is_counted:
            self.is_counted = False
            self.request.in_flight -= 1

    def on_sent(self) -> None:
        """Just before it goes out. One that knocks can't run before its body is there."""
        self.frame_sent = True
        self.may_run = not self.awaits_reservation

    def on_frame(self, frame: Frame | None) -> None:
        """From the line: an answer, a piece of it, or that the link is lost."""
        if frame is None:
            self.finish(
                ForwardReply(
                    outcome=AttemptOutcome.UNKNOWN if self.may_run else AttemptOutcome.NOT_EXECUTED,
                    reason="link lost" if self.may_run else "no link",
                    sent_to_endpoint=self.may_run,
                )
            )
            return
        what = frame.WhichOneof("what")
        if what == "reservation_granted" and self.awaits_reservation and self.on_ended is not None:
            self.awaits_reservation = False
            self.may_run = True
            self.send_body(0)
        elif what == "forward_reply":
            made = frame.forward_reply
            if made.length <= len(made.body):
                self.finish(made)
            else:
                self.partial_reply, self.chunks, self.missing_bytes = made, [made.body], made.length - len(made.body)
        elif what == "body_chunk" and self.partial_reply is not None:
            self.chunks.append(frame.body_chunk.data)
            self.missing_bytes -= len(frame.body_chunk.data)
            if self.missing_bytes <= 0:
                self.partial_reply.body = b"".join(self.chunks)
                self.finish(self.partial_reply)

    def send_body(self, at: int) -> None:
        """The body from there on, in pieces that leave room for others between them."""
        assert self.channel is not None
        body = self.request.body
        for n in range(at, len(body), CHUNK_BYTES):
            self.channel.send_after_call(
                Frame(stream=self.stream, body_chunk=BodyChunk(data=body[n : n + CHUNK_BYTES]))
            )

    def finish(self, made: ForwardReply) -> None:
        """The keeper's verdict, once."""
        ended, self.on_ended = self.on_ended, None
        if self.channel is not None:
            self.channel.finish_call(self.stream)
        carried = self.is_counted
        self.stop_counting()
        if ended is None:
            return
        order = self.request
        if not made.sent_to_endpoint:
            self.forwarder.release(self)
        order.log_attempt(f"{self.endpoint}: {made.reason or made.status}")
        verdict = AttemptOutcome(made.outcome) if made.outcome in (1, 2, 3, 4) else AttemptOutcome.UNKNOWN
        if verdict is AttemptOutcome.NO_CAPACITY and carried and not order.is_nested and not self.is_hedge:
            full_for = min(MAX_NO_CAPACITY_PERIOD, made.retry_after_us / 1e6)
            self.forwarder.no_capacity_until[(self.endpoint, self.may_queue)] = self.forwarder.loop.time() + full_for
        if verdict is AttemptOutcome.NO_CAPACITY and made.sent_to_endpoint:
            order.rejected_by.append(self.endpoint)
        if verdict.proves_not_executed:
            ended("connect_failed" if made.reason == "no link" else "full")
            return
        order.may_have_run = True
        if verdict is AttemptOutcome.UNKNOWN:
            ended("reset")
            return
        reply = EndpointReply(made.status, [(h.name, h.value) for h in made.headers], made.body)
        ended("served" if made.status < 500 else "error", reply)


class Forwarder:
    """A :class:`~zinclever.core.protocol.Wire` for the endpoints of one service: each is reached through its keeper."""

    def __init__(
        self,
        me: Address,
        keeper: Ingress,
        line: Callable[[Address], Channel],
        retry_budget: RetryBudget,
        speaks: Mapping[Address, int],
    ) -> None:
        self.own_address, self.ingress, self.channel_to, self.retry_budget, self.protocol_versions = (
            me,
            keeper,
            line,
            retry_budget,
            speaks,
        )
        self.loop = asyncio.get_running_loop()
        self.addresses: dict[str, Address] = {}
        self.no_capacity_until: dict[tuple[str, bool], float] = {}
        """Endpoints that had no room a moment ago, for who doesn't wait and for who does: nothing is carried there in
        vain."""
        self.counts = {"sent": 0, "copies": 0, "short": 0}

    def configure(self, connect_timeout: float, idle_limit: float, connections: Connections) -> None:
        """Links have their own bounds."""

    def place(self, endpoint: str, address: Address) -> None:
        self.addresses[endpoint] = address

    def drain(self, endpoint: str) -> None:
        """Its keeper turns back what has not begun."""

    def forget(self, endpoint: str) -> None:
        self.addresses.pop(endpoint, None)
        for patient in (False, True):
            self.no_capacity_until.pop((endpoint, patient), None)

    def listed(self) -> Sequence[str]:
        return list(self.addresses)

    def close_idle(self, endpoint: str) -> None:
        """Links are shared by all endpoints behind them."""

    def close(self) -> None:
        """The links are the node's."""

    def start(self, endpoint: str, payload: OutboundRequest, left: float, ended: Ended, unsafe: bool) -> ForwardAttempt:
        order = payload
        hop = ForwardAttempt(self, order, ended)
        hop.endpoint = endpoint
        now = self.loop.time()
        address = self.addresses.get(endpoint)
        if address is None:
            self.loop.call_soon(hop.finish, ForwardReply(outcome=AttemptOutcome.NOT_EXECUTED, reason="no link"))
            return hop
        looked = order.attempts_made >= min(ATTEMPTS_BEFORE_QUEUEING, len(self.addresses))
        patient = order.is_nested or (looked and not order.was_refused)
        known = not order.is_nested and self.no_capacity_until.get((endpoint, patient), 0.0) > now
        if known or endpoint in order.rejected_by or (order.was_refused and looked):
            order.attempts_made += 1
            self.loop.call_soon(
                hop.finish, ForwardReply(outcome=AttemptOutcome.NO_CAPACITY, reason="full a moment ago")
            )
            return hop
        if address != self.own_address and self.channel_to(address).is_unresponsive():
            order.attempts_made += 1
            self.loop.call_soon(hop.finish, ForwardReply(outcome=AttemptOutcome.NO_CAPACITY, reason="silent"))
            return hop
        refused = self.reserve(hop, now)
        if refused:
            self.counts["short"] += 1
            order.log_attempt(f"{endpoint}: not sent, as {refused}")
            self.loop.call_soon(self.fail_unsent, hop)
            return hop
        self.counts["sent"] += 1
        load = ForwardRequest(
            endpoint=endpoint,
            head=order.head,
            framed=order.has_body,
            deadline_ms=max(1, int(1000 * left)),
            latency_target_ms=max(0, int(1000 * (order.latency_target_at - now))),
            priority=order.priority,
            safe=order.safe,
            id=order.id,
            length=len(order.body),
            nested=order.is_nested,
            hedge=order.in_flight > 0,
            may_queue=patient,
            retry=hop.budget_charge is not None,
        )
        hop.is_hedge, hop.may_queue = order.in_flight > 0, patient
        order.in_flight += 1
        order.attempts_made += 1
        hop.is_counted = True
        if address == self.own_address:
            self.loop.call_soon(self.start_locally, hop, load)
            return hop
        hop.channel = self.channel_to(address)
        hop.awaits_reservation = load.reserve_first = (
            len(order.body) >= RESERVATION_MIN_BYTES and self.protocol_versions.get(address, 0) >= RESERVATION_PROTOCOL
        )
        if not hop.awaits_reservation:
            load.body = order.body[:CHUNK_BYTES]
        hop.stream = hop.channel.call(Frame(forward_request=load), hop.on_frame, hop.on_sent)
        if not hop.awaits_reservation:
            hop.send_body(CHUNK_BYTES)
        return hop

    def start_locally(self, hop: ForwardAttempt, load: ForwardRequest) -> None:
        """The endpoint is on this very machine."""
        if hop.on_ended is not None:
            hop.may_run = True
            hop.local_job = self.ingress.submit(load, hop.request.body, hop.finish)

    def fail_unsent(self, hop: ForwardAttempt) -> None:
        ended, hop.on_ended = hop.on_ended, None
        if ended is not None:
            ended("not_sent")

    def reserve(self, hop: ForwardAttempt, now: float) -> str:
        """Count an attempt against its request and, where it is a further one, against the budget; else why not."""
        attempts = hop.request.attempt_count
        further = attempts.reserved > 0
        if further and not self.retry_budget.allows_retry(now):
            return "the budget is used up"
        hop.reservation = attempts.reserve()
        if hop.reservation is None:
            return "the route allows no more"
        if further or hop.request.is_retry:
            hop.budget_charge = self.retry_budget.charge(now)
            self.counts["copies"] += further
        return ""

    def release(self, hop: ForwardAttempt) -> None:
        """An attempt has certainly reached no endpoint, and never will: as far as it was counted, it is no more."""
        if hop.reservation is not None:
            hop.request.attempt_count.release(hop.reservation)
        if hop.budget_charge is not None:
            self.retry_budget.refund(self.loop.time(), hop.budget_charge)

"""The keeper of the endpoint beside this sidecar: the only way to it, and the place where what must hold there is kept.

An endpoint that drains or has gone gets nothing more, whoever asks; no other life of it gets a request meant for one;
no more is sent to it at a time than it works on; and what is given up is ended there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from ... import interface as i
from ...core.descriptors import Descriptors
from ...core.host import Host
from ...core.pools import ExclusivePools
from ...core.protocol import Address, Ended
from ...fleet.limits import Connections
from ...http1.connection import Broken, ClientConnection, Reply, dial
from ...http1.wire import Exchange
from ..attempt_outcome import AttemptOutcome
from ..transport.mesh_pb2 import ForwardReply, ForwardRequest, Header
from .slot_queue import QueueEntry, SlotQueue

MAX_ANSWER_BYTES = 16 << 20  # bytes of an answer, held whole: half an answer is never passed on
READ_TIMEOUT = 120.0  # s between two pieces of an answer: its time is bounded by the deadline alone
CONNECT_TIMEOUT_MS = 400.0  # ms
IDLE_TIMEOUT_MS = 9000.0  # ms for which an endpoint is taken to keep an idle connection until it says
QUIET_PERIOD = 0.1  # s without a word from which on a connection may be forgotten by the endpoint, without notice
LAST_BYTE_DELAY = (
    0.002  # s for which the last byte is held back on one: what is sent there first tells whether it still stands
)
MAX_RECONNECTS = 2  # further connections that a request is sent on at once, after one that ended before it was whole
ENDPOINT_HEADERS = b"X-Expected-Endpoint: %b\r\nX-Deadline-Ms: %d\r\n"

OnReply = Callable[[ForwardReply], None]


class EndpointExchange(Exchange):
    """One request at the endpoint. What is no answer of its own proves nothing."""

    __slots__ = ("endpoint", "expires_at", "id")

    def __init__(self, load: ForwardRequest, body: bytes, ended: Ended, expires_at: float) -> None:
        super().__init__(load.head, body, load.framed, ended, 0.0, ignore_sent)
        self.id = load.id.encode("latin-1")
        self.endpoint = load.endpoint.encode()
        self.expires_at = expires_at
        """Instant in s at which nobody waits for it any more."""

    def run(self, connection: ClientConnection) -> None:
        """Send it, unless its time has passed while a connection came up or this process stood still."""
        now = asyncio.get_running_loop().time()
        left = self.expires_at - now
        if left <= 0.0:
            connection.abort()
            self.end("not_sent")
            return
        self.head += ENDPOINT_HEADERS % (self.endpoint, max(1, int(1000 * left)))
        self.hold = LAST_BYTE_DELAY if connection.heard_at and now - connection.heard_at > QUIET_PERIOD else 0.0
        super().run(connection)

    def done(self, result: Reply | Broken) -> None:
        if self.connection is not None:
            self.connection.heard_at = asyncio.get_running_loop().time()
        if isinstance(result, Broken):
            self.end("dropped" if result.unsent else "reset")
        elif result.header(b"x-attempt-id") != self.id:
            if self.connection is not None:
                self.connection.abort()  # an answer to another request: what follows on it is no better
            self.end("reset")
        else:
            self.end("error", result)


class InboundRequest(QueueEntry):
    """A load at this keeper, until it is answered or given up."""

    __slots__ = ("body", "exchange", "forward", "on_reply", "queue", "reconnects", "timer")

    def __init__(self, load: ForwardRequest, body: bytes, answer: OnReply, now: float, queue: SlotQueue) -> None:
        super().__init__(
            now,
            load.deadline_ms / 1000.0,
            load.latency_target_ms / 1000.0,
            load.priority,
            load.nested,
            load.hedge,
            load.may_queue,
        )
        self.forward, self.body, self.queue = load, body, queue
        self.on_reply: OnReply | None = answer
        self.exchange: EndpointExchange | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.reconnects = 0
        """Connections that ended before the endpoint had it whole."""

    @property
    def expires_at(self) -> float:
        """Instant in s at which nobody waits for it any more."""
        return self.received_at + self.deadline_left

    def may_have_reached(self) -> bool:
        """Whether any of it may be at the endpoint."""
        return self.reconnects > 0 or (self.exchange is not None and self.exchange.connection is not None)


class Ingress:
    """Owns the connections to the endpoint, and each job until its answer is told."""

    def __init__(self, host: Host, descriptors: Descriptors) -> None:
        self.loop = asyncio.get_running_loop()
        self.pools: ExclusivePools[ClientConnection] = ExclusivePools(
            partial(dial, host, most_body=MAX_ANSWER_BYTES, stall=READ_TIMEOUT), descriptors
        )
        connections = Connections(host.random())
        connections.configure(i.Shares(), 1, 0, 0)
        self.pools.configure(CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS, connections)
        self.endpoint = ""
        self.is_open = False
        """The endpoint takes new requests."""
        self.queue = SlotQueue(1)
        self.requests: set[InboundRequest] = set()
        self.running: dict[str, set[InboundRequest]] = {}
        """Requests that are at work at the endpoint, by id."""
        self.on_refused: Callable[[], None] | None = None
        """Told when nobody listens at the endpoint's address."""
        self.counts = {"offered": 0, "ran": 0, "full": 0, "maybe": 0, "gone": 0, "dropped": 0}

    # --- which endpoint there is ---

    def is_running(self, request_id: str) -> bool:
        """Whether a request with this id is at work at the endpoint."""
        return request_id in self.running

    def is_running_retry(self, request_id: str) -> bool:
        """Whether a run of this request that is at work at the endpoint is a repeat: its calls are repeats, too."""
        return any(job.forward.retry for job in self.running.get(request_id, ()))

    def admit(self, endpoint: str, address: Address, slots: int) -> None:
        """The endpoint there is from now on."""
        if endpoint != self.endpoint:
            self.close()
            if self.endpoint:
                self.pools.forget(self.endpoint)
            self.endpoint = endpoint
            self.queue = SlotQueue(slots)
        self.pools.place(endpoint, address)
        self.queue.slots = slots
        self.is_open = True
        self.begin_waiting()

    def close(self) -> None:
        """The endpoint takes nothing new: what has not begun may go elsewhere."""
        self.is_open = False
        for job in [j for j in self.queue.waiting if isinstance(j, InboundRequest)]:
            self.reject(job, AttemptOutcome.NOT_EXECUTED, "draining")

    def forget(self) -> None:
        """It has gone."""
        self.close()
        self.pools.forget(self.endpoint)
        self.endpoint = ""

    # --- jobs ---

    def refusal(self, load: ForwardRequest) -> ForwardReply | None:
        """Whether a load whose body is still to come would be taken now; else the verdict on it."""
        made = InboundRequest(load, b"", ignore_reply, self.loop.time(), self.queue)
        if load.endpoint != self.endpoint or not self.is_open:
            self.counts["gone"] += 1
            return ForwardReply(outcome=AttemptOutcome.NOT_EXECUTED, reason="gone")
        if not self.queue.admits(made.received_at, made):
            self.counts["full"] += 1
            return ForwardReply(
                outcome=AttemptOutcome.NO_CAPACITY, reason="queue", retry_after_us=self.retry_after_us()
            )
        return None

    def retry_after_us(self) -> int:
        """In about how long a turn comes free."""
        return int(1e6 * self.queue.expected_service_time() / self.queue.slots)

    def submit(
        self, load: ForwardRequest, body: bytes, answer: OnReply, since: float | None = None
    ) -> InboundRequest | None:
        """A request for the endpoint; ``answer`` is called once unless :meth:`cancel` comes before, maybe at once.
        ``since``: when it came, where its body took a while."""
        now = self.loop.time()
        job = InboundRequest(load, body, answer, now if since is None else since, self.queue)
        if load.endpoint != self.endpoint or not self.is_open:
            self.counts["gone"] += 1
            self.reply(job, ForwardReply(outcome=AttemptOutcome.NOT_EXECUTED, reason="gone"))
            return None
        if not self.queue.admits(now, job):
            self.counts["full"] += 1
            self.reply(job, ForwardReply(outcome=AttemptOutcome.NO_CAPACITY, reason="queue"))
            return None
        self.requests.add(job)
        self.queue.add(job)
        job.timer = self.loop.call_later(self.queue.queue_timeout(job), self.on_queue_timeout, job)
        self.begin_waiting()
        return job

    def on_queue_timeout(self, job: InboundRequest) -> None:
        """It still waits: it is better told."""
        if job.exchange is None and job.on_reply is not None:
            self.counts["full"] += 1
            self.reject(job, AttemptOutcome.NO_CAPACITY, "queue")

    def begin_waiting(self) -> None:
        """Begin what there is room for."""
        while self.is_open:
            now = self.loop.time()
            job = self.queue.next(now)
            if job is None:
                break
            assert isinstance(job, InboundRequest)
            if job.expires_at <= now:  # its timer is due, but hasn't run yet
                self.queue.release_slot(job)
                self.reject(job, AttemptOutcome.NOT_EXECUTED, "deadline")
            else:
                self.begin(job)

    def begin(self, job: InboundRequest) -> None:
        if job.timer is not None:
            job.timer.cancel()
        job.timer = self.loop.call_later(max(0.0, job.expires_at - self.loop.time()), self.expire, job)
        self.counts["offered"] += 1
        self.running.setdefault(job.forward.id, set()).add(job)
        job.begun_at = self.loop.time()
        self.send_to_endpoint(job)

    def send_to_endpoint(self, job: InboundRequest) -> None:
        """Send it, on whichever connection there is."""
        visit = EndpointExchange(job.forward, job.body, partial(self.on_exchange_ended, job), job.expires_at)
        job.exchange = visit
        self.pools.carry(job.forward.endpoint, visit)

    def on_exchange_ended(
        self, job: InboundRequest, outcome: i.Outcome, reply: Reply | None = None, report: object = None
    ) -> None:
        """The endpoint has answered, or its connection tells how far a request got."""
        job.exchange = None
        if outcome == "dropped" and job.reconnects < MAX_RECONNECTS and self.is_open:
            job.reconnects += 1
            self.counts["dropped"] += 1
            self.send_to_endpoint(job)
            return
        self.remove_running(job)
        now = self.loop.time()
        worked = now - job.begun_at
        if reply is None:
            proves = outcome in i.NEVER_RAN
            made = ForwardReply(
                outcome=AttemptOutcome.NOT_EXECUTED if proves else AttemptOutcome.UNKNOWN,
                reason=outcome,
                sent_to_endpoint=not proves or outcome == "dropped",  # a part of one that was dropped has arrived
            )
            self.counts["maybe"] += not proves
            if outcome == "connect_failed" and self.on_refused is not None:
                self.on_refused()
        elif reply.header(b"x-not-executed") is not None:
            self.counts["full"] += 1
            made = ForwardReply(
                outcome=AttemptOutcome.NO_CAPACITY, status=reply.status, reason="turned away", sent_to_endpoint=True
            )
        else:
            self.counts["ran"] += 1
            made = ForwardReply(
                outcome=AttemptOutcome.EXECUTED,
                status=reply.status,
                body=reply.body,
                sent_to_endpoint=True,
                headers=[Header(name=k, value=v) for k, v in reply.headers],
            )
            if 200 <= reply.status < 300 and not is_sealed(reply):
                made = ForwardReply(outcome=AttemptOutcome.UNKNOWN, reason="no seal", sent_to_endpoint=True)
            elif reply.status < 500:
                self.queue.record_service_time(worked)
        job.queue.release_slot(job)
        made.service_ms, made.queued_ms = int(1000 * worked), int(1000 * (job.begun_at - job.received_at))
        self.reply(job, made)
        self.begin_waiting()

    def remove_running(self, job: InboundRequest) -> None:
        """It is at work no more."""
        jobs = self.running.get(job.forward.id, set())
        jobs.discard(job)
        if not jobs:
            self.running.pop(job.forward.id, None)

    def reject(self, job: InboundRequest, verdict: AttemptOutcome, why: str) -> None:
        """A job that has not begun goes elsewhere."""
        job.queue.remove(job)
        self.reply(job, ForwardReply(outcome=verdict, reason=why))

    def expire(self, job: InboundRequest) -> None:
        """Its time is up: nobody waits for it any more."""
        if job.on_reply is None:
            return
        begun = self.cancel(job, silent=True)
        job.on_reply, answer = None, job.on_reply
        if answer is not None:
            answer(
                ForwardReply(
                    outcome=AttemptOutcome.UNKNOWN if begun else AttemptOutcome.NOT_EXECUTED,
                    reason="deadline",
                    sent_to_endpoint=begun,
                )
            )

    def cancel(self, job: InboundRequest, silent: bool = False) -> bool:
        """It is given up: what has not begun never does, and a run is ended. Whether any may be at the endpoint."""
        if not silent:
            job.on_reply = None
        if job.timer is not None:
            job.timer.cancel()
        self.requests.discard(job)
        reached = job.may_have_reached()
        if job.exchange is None:
            job.queue.remove(job)
            return reached
        exchange, job.exchange = job.exchange, None
        self.remove_running(job)
        exchange.cancel(silent)
        job.queue.release_slot(job)
        self.begin_waiting()
        return reached

    def reply(self, job: InboundRequest, made: ForwardReply) -> None:
        if job.timer is not None:
            job.timer.cancel()
        self.requests.discard(job)
        if made.outcome == AttemptOutcome.NO_CAPACITY:
            made.retry_after_us = self.retry_after_us()
        made.inflight, made.slots = self.queue.busy + len(self.queue.waiting), self.queue.slots
        answer, job.on_reply = job.on_reply, None
        if answer is not None:
            answer(made)


def is_sealed(reply: Reply) -> bool:
    """Whether a success is the endpoint's own: it bears the seal, and its body is as it was made."""
    return bool(reply.header(b"x-server-seal")) and reply.header(b"content-encoding") in (None, b"identity")


def ignore_reply(made: ForwardReply) -> None:
    """Of a job that is only thought of."""


def ignore_sent() -> None:
    """Nobody counts what has been handed to the kernel here."""

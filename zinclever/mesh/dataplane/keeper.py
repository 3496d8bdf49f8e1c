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
from ..transport.mesh_pb2 import ForwardReply, ForwardRequest, Header
from ..verdict import Verdict
from .queue import Queue, Waiting

MOST_ANSWER = 16 << 20  # bytes of an answer, held whole: half an answer is never passed on
PATIENT = 120.0  # s between two pieces of an answer: its time is bounded by the deadline alone
CONNECT_FOR = 400.0  # ms
IDLE_FOR = 9000.0  # ms for which an endpoint is taken to keep an idle connection until it says
QUIET = 0.1  # s without a word from which on a connection may be forgotten by the endpoint, without notice
HOLD = 0.002  # s for which the last byte is held back on one: what is sent there first tells whether it still stands
AGAIN = 2  # further connections that a request is sent on at once, after one that ended before it was whole
TAIL = b"X-Expected-Endpoint: %b\r\nX-Deadline-Ms: %d\r\n"

Answer = Callable[[ForwardReply], None]


class Visit(Exchange):
    """One request at the endpoint. What is no answer of its own proves nothing."""

    __slots__ = ("endpoint", "expires_at", "id")

    def __init__(self, load: ForwardRequest, body: bytes, ended: Ended, expires_at: float) -> None:
        super().__init__(load.head, body, load.framed, ended, 0.0, nothing)
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
        self.head += TAIL % (self.endpoint, max(1, int(1000 * left)))
        self.hold = HOLD if connection.heard_at and now - connection.heard_at > QUIET else 0.0
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


class Job(Waiting):
    """A load at this keeper, until it is answered or given up."""

    __slots__ = ("again", "answer", "body", "exchange", "load", "queue", "timer")

    def __init__(self, load: ForwardRequest, body: bytes, answer: Answer, now: float, queue: Queue) -> None:
        super().__init__(
            now,
            load.deadline_ms / 1000.0,
            load.latency_target_ms / 1000.0,
            load.priority,
            load.nested,
            load.hedge,
            load.may_queue,
        )
        self.load, self.body, self.queue = load, body, queue
        self.answer: Answer | None = answer
        self.exchange: Visit | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.again = 0
        """Connections that ended before the endpoint had it whole."""

    @property
    def expires_at(self) -> float:
        """Instant in s at which nobody waits for it any more."""
        return self.since + self.left

    def may_have_reached(self) -> bool:
        """Whether any of it may be at the endpoint."""
        return self.again > 0 or (self.exchange is not None and self.exchange.connection is not None)


class Keeper:
    """Owns the connections to the endpoint, and each job until its answer is told."""

    def __init__(self, host: Host, descriptors: Descriptors) -> None:
        self.loop = asyncio.get_running_loop()
        self.pools: ExclusivePools[ClientConnection] = ExclusivePools(
            partial(dial, host, most_body=MOST_ANSWER, stall=PATIENT), descriptors
        )
        connections = Connections(host.random())
        connections.configure(i.Shares(), 1, 0, 0)
        self.pools.configure(CONNECT_FOR, IDLE_FOR, connections)
        self.endpoint = ""
        self.open = False
        """The endpoint takes new requests."""
        self.queue = Queue(1)
        self.jobs: set[Job] = set()
        self.running: dict[str, set[Job]] = {}
        """Requests that are at work at the endpoint, by id."""
        self.refused: Callable[[], None] | None = None
        """Told when nobody listens at the endpoint's address."""
        self.counts = {"offered": 0, "ran": 0, "full": 0, "maybe": 0, "gone": 0, "dropped": 0}

    # --- which endpoint there is ---

    def runs(self, request_id: str) -> bool:
        """Whether a request with this id is at work at the endpoint."""
        return request_id in self.running

    def repeats(self, request_id: str) -> bool:
        """Whether a run of this request that is at work at the endpoint is a repeat: its calls are repeats, too."""
        return any(job.load.retry for job in self.running.get(request_id, ()))

    def admit(self, endpoint: str, address: Address, slots: int) -> None:
        """The endpoint there is from now on."""
        if endpoint != self.endpoint:
            self.close()
            if self.endpoint:
                self.pools.forget(self.endpoint)
            self.endpoint = endpoint
            self.queue = Queue(slots)
        self.pools.place(endpoint, address)
        self.queue.slots = slots
        self.open = True
        self.move()

    def close(self) -> None:
        """The endpoint takes nothing new: what has not begun may go elsewhere."""
        self.open = False
        for job in [j for j in self.queue.waiting if isinstance(j, Job)]:
            self.turn_back(job, Verdict.NEVER, "draining")

    def forget(self) -> None:
        """It has gone."""
        self.close()
        self.pools.forget(self.endpoint)
        self.endpoint = ""

    # --- jobs ---

    def has_room(self, load: ForwardRequest) -> ForwardReply | None:
        """Whether a load whose body is still to come would be taken now; else the verdict on it."""
        made = Job(load, b"", nowhere, self.loop.time(), self.queue)
        if load.endpoint != self.endpoint or not self.open:
            self.counts["gone"] += 1
            return ForwardReply(outcome=Verdict.NEVER, reason="gone")
        if not self.queue.admits(made.since, made):
            self.counts["full"] += 1
            return ForwardReply(outcome=Verdict.FULL, reason="queue", retry_after_us=self.again_us())
        return None

    def again_us(self) -> int:
        """In about how long a turn comes free."""
        return int(1e6 * self.queue.usual() / self.queue.slots)

    def offer(self, load: ForwardRequest, body: bytes, answer: Answer, since: float | None = None) -> Job | None:
        """A request for the endpoint; ``answer`` is called once unless :meth:`cancel` comes before, maybe at once.
        ``since``: when it came, where its body took a while."""
        now = self.loop.time()
        job = Job(load, body, answer, now if since is None else since, self.queue)
        if load.endpoint != self.endpoint or not self.open:
            self.counts["gone"] += 1
            self.tell(job, ForwardReply(outcome=Verdict.NEVER, reason="gone"))
            return None
        if not self.queue.admits(now, job):
            self.counts["full"] += 1
            self.tell(job, ForwardReply(outcome=Verdict.FULL, reason="queue"))
            return None
        self.jobs.add(job)
        self.queue.add(job)
        job.timer = self.loop.call_later(self.queue.bound(job), self.impatient, job)
        self.move()
        return job

    def impatient(self, job: Job) -> None:
        """It still waits: it is better told."""
        if job.exchange is None and job.answer is not None:
            self.counts["full"] += 1
            self.turn_back(job, Verdict.FULL, "queue")

    def move(self) -> None:
        """Begin what there is room for."""
        while self.open:
            now = self.loop.time()
            job = self.queue.next(now)
            if job is None:
                break
            assert isinstance(job, Job)
            if job.expires_at <= now:  # its timer is due, but hasn't run yet
                self.queue.left(job)
                self.turn_back(job, Verdict.NEVER, "deadline")
            else:
                self.begin(job)

    def begin(self, job: Job) -> None:
        if job.timer is not None:
            job.timer.cancel()
        job.timer = self.loop.call_later(max(0.0, job.expires_at - self.loop.time()), self.expire, job)
        self.counts["offered"] += 1
        self.running.setdefault(job.load.id, set()).add(job)
        job.begun = self.loop.time()
        self.visit(job)

    def visit(self, job: Job) -> None:
        """Send it, on whichever connection there is."""
        visit = Visit(job.load, job.body, partial(self.ended, job), job.expires_at)
        job.exchange = visit
        self.pools.carry(job.load.endpoint, visit)

    def ended(self, job: Job, outcome: i.Outcome, reply: Reply | None = None, report: object = None) -> None:
        """The endpoint has answered, or its connection tells how far a request got."""
        job.exchange = None
        if outcome == "dropped" and job.again < AGAIN and self.open:
            job.again += 1
            self.counts["dropped"] += 1
            self.visit(job)
            return
        self.stopped(job)
        now = self.loop.time()
        worked = now - job.begun
        if reply is None:
            proves = outcome in i.NEVER_RAN
            made = ForwardReply(
                outcome=Verdict.NEVER if proves else Verdict.MAYBE,
                reason=outcome,
                sent_to_endpoint=not proves or outcome == "dropped",  # a part of one that was dropped has arrived
            )
            self.counts["maybe"] += not proves
            if outcome == "connect_failed" and self.refused is not None:
                self.refused()
        elif reply.header(b"x-not-executed") is not None:
            self.counts["full"] += 1
            made = ForwardReply(outcome=Verdict.FULL, status=reply.status, reason="turned away", sent_to_endpoint=True)
        else:
            self.counts["ran"] += 1
            made = ForwardReply(
                outcome=Verdict.RAN,
                status=reply.status,
                body=reply.body,
                sent_to_endpoint=True,
                headers=[Header(name=k, value=v) for k, v in reply.headers],
            )
            if 200 <= reply.status < 300 and not sound(reply):
                made = ForwardReply(outcome=Verdict.MAYBE, reason="no seal", sent_to_endpoint=True)
            elif reply.status < 500:
                self.queue.learn(worked)
        job.queue.left(job)
        made.service_ms, made.queued_ms = int(1000 * worked), int(1000 * (job.begun - job.since))
        self.tell(job, made)
        self.move()

    def stopped(self, job: Job) -> None:
        """It is at work no more."""
        jobs = self.running.get(job.load.id, set())
        jobs.discard(job)
        if not jobs:
            self.running.pop(job.load.id, None)

    def turn_back(self, job: Job, verdict: Verdict, why: str) -> None:
        """A job that has not begun goes elsewhere."""
        job.queue.drop(job)
        self.tell(job, ForwardReply(outcome=verdict, reason=why))

    def expire(self, job: Job) -> None:
        """Its time is up: nobody waits for it any more."""
        if job.answer is None:
            return
        begun = self.cancel(job, silent=True)
        job.answer, answer = None, job.answer
        if answer is not None:
            answer(
                ForwardReply(
                    outcome=Verdict.MAYBE if begun else Verdict.NEVER, reason="deadline", sent_to_endpoint=begun
                )
            )

    def cancel(self, job: Job, silent: bool = False) -> bool:
        """It is given up: what has not begun never does, and a run is ended. Whether any may be at the endpoint."""
        if not silent:
            job.answer = None
        if job.timer is not None:
            job.timer.cancel()
        self.jobs.discard(job)
        reached = job.may_have_reached()
        if job.exchange is None:
            job.queue.drop(job)
            return reached
        exchange, job.exchange = job.exchange, None
        self.stopped(job)
        exchange.cancel(silent)
        job.queue.left(job)
        self.move()
        return reached

    def tell(self, job: Job, made: ForwardReply) -> None:
        if job.timer is not None:
            job.timer.cancel()
        self.jobs.discard(job)
        if made.outcome == Verdict.FULL:
            made.retry_after_us = self.again_us()
        made.inflight, made.slots = self.queue.busy + len(self.queue.waiting), self.queue.slots
        answer, job.answer = job.answer, None
        if answer is not None:
            answer(made)


def sound(reply: Reply) -> bool:
    """Whether a success is the endpoint's own: it bears the seal, and its body is as it was made."""
    return bool(reply.header(b"x-server-seal")) and reply.header(b"content-encoding") in (None, b"identity")


def nowhere(made: ForwardReply) -> None:
    """Of a job that is only thought of."""


def nothing() -> None:
    """Nobody counts what has been handed to the kernel here."""

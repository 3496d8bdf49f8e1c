"""The ledger of requests and attempts around one balancer: events go in, actions are carried out."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import orjson

from .. import interface as i
from ..policy import Balancer
from .discovery import Discovery, read_hosts
from .endpoints import Endpoints, Exchange
from .http import Address, Headers, Reply, end_to_end

log = logging.getLogger(__name__)

EARLY = 15.0  # ms before the client's deadline at which the balancer takes it to pass
GUARD = 8.0  # ms before the deadline at which a request is answered whatever happens
MOST_LOAD = 1e6  # in a load report: no endpoint holds or serves more, and no figure is below 0
HOLD = 0.002  # s, over a round trip: for how long the last byte of what may not be repeated is held back
RESERVED = 40  # descriptors for the listener, discovery, the loop, the runtime and those being closed


def make_clock() -> Callable[[], float]:
    """Unix time in ms, read once: from then on it moves as the monotonic clock does, never back."""
    anchor = (time.time_ns() - time.monotonic_ns()) / 1e6
    return lambda: time.monotonic_ns() / 1e6 + anchor


class Incoming(NamedTuple):
    """A request as the application sent it."""

    id: str
    klass: int
    tenant: int
    key: str
    wait: float
    """How long the client waits, in ms."""
    work: float
    retry: bool
    head: bytes
    """Request line and the headers that are passed on."""
    body: bytes


class Answer(NamedTuple):
    """What the application gets."""

    status: int
    headers: bytes = b""
    body: bytes = b""


class Attempt:
    __slots__ = ("endpoint", "exchange", "number", "outcome", "request", "sent_at", "timer")

    def __init__(self, request: Request, number: int, endpoint: str, sent_at: float) -> None:
        self.request, self.number, self.endpoint, self.sent_at = request, number, endpoint, sent_at
        self.outcome: i.Outcome | None = None
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None


class Request:
    """Kept until it is answered and each of its attempts has its outcome."""

    __slots__ = ("answer", "attempts", "balancer", "deadline", "guard", "live", "told")

    def __init__(self, told: Incoming, deadline: float, balancer: Balancer,
                 answer: Callable[[Answer], None]) -> None:
        self.told, self.deadline = told, deadline
        self.balancer = balancer
        """That of its arrival: what its settings allowed then holds to its end."""
        self.answer: Callable[[Answer], None] | None = answer
        self.attempts: list[Attempt] = []
        self.live = 0
        self.guard: asyncio.TimerHandle | None = None


class Sidecar:
    """One balancer in service, and those before it as long as requests of theirs are open."""

    def __init__(self, balancer: Balancer, zones: Sequence[str], sockets: int, discovery: Address) -> None:
        self.balancer, self.settings, self.zones = balancer, balancer.settings, zones
        self.sockets = sockets
        self.loop = asyncio.get_running_loop()
        self.clock = make_clock()
        settings = self.settings
        limits = settings.limits
        self.endpoints = Endpoints(limits.connect_timeout, limits.connection_idle, sockets - RESERVED)
        self.discovery = Discovery(
            discovery, limits.connect_timeout, settings.discovery == "pushed", self.on_list,
            settings.group_size,
        )
        self.requests: dict[str, Request] = {}
        self.hosts: dict[str, dict[str, Any]] = {}  # the list of endpoints, as discovery words it
        self.events: deque[tuple[Balancer, i.Event]] = deque()
        self.acting = balancer  # whose actions are carried out
        self.settled: list[Request] = []  # looked at after each event: they may be through
        self.busy = False
        self.ready = False
        self.perform: dict[type, Callable[[Any], None]] = {
            i.Send: self.send,
            i.Cancel: self.cancel,
            i.Refuse: self.refuse,
            i.Fail: lambda a: self.finish(a.request, Answer(502)),
            i.SetTimer: self.set_timer,
            i.WatchMembership: self.watch,
            i.FetchMembership: lambda a: self.discovery.fetch(),
            i.CloseIdle: lambda a: self.endpoints.close_idle(a.endpoint),
            i.Note: lambda a: log.info("%s", a.text),
        }

    def start(self, known: dict[str, Any]) -> None:
        """Begin with the list as it was last held."""
        hosts = known.get("hosts") or []
        self.discovery.start(known.get("seq") if hosts else None)
        self.on_list("remembered", hosts)

    def adopt(self, balancer: Balancer, zones: Sequence[str], sockets: int) -> None:
        """Serve by other settings from now on; what has been taken is finished by those it came under."""
        self.balancer, self.settings, self.zones, self.sockets = balancer, balancer.settings, zones, sockets
        limits = self.settings.limits
        self.endpoints.configure(limits.connect_timeout, limits.connection_idle, sockets - RESERVED)
        self.discovery.pushed = self.settings.discovery == "pushed"
        self.feed(i.MembershipNews("remembered", [e for e, _ in read_hosts([*self.hosts.values()], zones)]))

    # --- events ---

    def feed(self, event: i.Event, balancer: Balancer | None = None) -> None:
        """Let a balancer take in an event, after those whose actions are still being carried out."""
        self.events.append((balancer or self.balancer, event))
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                self.step(*self.events.popleft())
                while self.settled:
                    self.forget(self.settled.pop())
        finally:
            self.busy = False

    def step(self, balancer: Balancer, event: i.Event) -> None:
        """One event and its actions."""
        self.acting = balancer
        try:
            actions = balancer.handle(self.clock(), event)
        except Exception:
            self.failed(event)
            return
        for action in actions:
            try:
                self.perform[type(action)](action)
            except Exception:
                self.failed(action)

    def failed(self, about: i.Event | i.Action) -> None:
        """Code failed: say so. The request still gets its answer, by an attempt or from here."""
        log.exception("%s", type(about).__name__)
        request = self.requests.get(getattr(about, "request", ""))
        if request is not None and not request.live:
            self.give_up(request)

    def on_list(self, kind: i.ListKind, hosts: list[dict[str, Any]]) -> None:
        """News from discovery: addresses for the connections, the rest for the balancer."""
        try:
            entries = read_hosts(hosts, self.zones)
        except (LookupError, TypeError, ValueError, AttributeError) as wrong:
            log.error("list of endpoints: %s: %s", type(wrong).__name__, wrong)
            kind, entries = "refused", []
        if kind in ("whole", "remembered"):
            self.hosts.clear()
        for (entry, address), raw in zip(entries, hosts, strict=kind != "refused"):
            if entry.phase == "gone":
                self.endpoints.forget(entry.endpoint)
                self.hosts.pop(entry.endpoint, None)
            else:
                self.endpoints.place(entry.endpoint, address)
                self.hosts[entry.endpoint] = raw
        for endpoint in self.endpoints.pools.keys() - self.hosts.keys():
            self.endpoints.forget(endpoint)
        self.ready = self.ready or bool(entries)
        news = i.MembershipNews(kind, [entry for entry, _ in entries])
        for balancer in {r.balancer for r in self.requests.values()} - {self.balancer}:
            self.feed(news, balancer)
        self.feed(news)

    def watch(self, action: i.WatchMembership) -> None:
        if self.acting is self.balancer:
            self.discovery.watch(action.on)

    # --- requests ---

    def take(self, told: Incoming, answer: Callable[[Answer], None]) -> None:
        """A request of the application; ``answer`` is called once, unless the client leaves before."""
        now = self.clock()
        request = Request(told, now + told.wait, self.balancer, answer)
        self.requests[told.id] = request
        request.guard = self.loop.call_later(max(0.0, told.wait - GUARD) / 1000.0, self.give_up, request)
        self.feed(
            i.RequestArrived(
                told.id, told.klass, request.deadline - EARLY, told.tenant, told.key, told.work, told.retry
            )
        )

    def leave(self, request_id: str) -> None:
        """The client has gone away."""
        request = self.requests.get(request_id)
        if request is not None and request.answer is not None:
            self.close(request)
            self.feed(i.RequestClosed(request_id), request.balancer)

    def give_up(self, request: Request) -> None:
        """The last resort: an answer of the sidecar's own, refused only if a repeat is harmless."""
        if request.answer is None:
            return
        log.warning("a request was answered by the guard")
        proved = all(a.outcome in i.NEVER_RAN for a in request.attempts)
        repeat = request.balancer.settings.classes[request.told.klass].repeat
        self.finish(request.told.id, Answer(503 if proved or repeat == "idempotent" else 502))
        self.feed(i.RequestClosed(request.told.id), request.balancer)

    def refuse(self, action: i.Refuse) -> None:
        after = action.retry_after / 1000.0
        advice = b"Retry-After: %.3f\r\n" % after if after > 0.0 else b""
        self.finish(action.request, Answer(503, advice))

    def finish(self, request_id: str, answer: Answer) -> None:
        """The final answer, where none has been given."""
        request = self.requests.get(request_id)
        if request is not None and request.answer is not None:
            reply = request.answer
            self.close(request)
            try:
                reply(answer)
            except Exception:
                # Guards the events that follow: an attempt whose end is not told counts in flight for ever.
                log.exception("answer not written")

    def close(self, request: Request) -> None:
        request.answer = None
        if request.guard is not None:
            request.guard.cancel()
        for attempt in request.attempts:
            if attempt.exchange is not None and not attempt.exchange.begun():
                # Still dialling or held back: guards against a request that goes out after its final answer.
                self.withdraw(attempt, "not_sent")
        self.settled.append(request)

    def forget(self, request: Request) -> None:
        """Drop a request that is through, once the actions at hand are carried out: a send among them that
        comes too late still gets its outcome."""
        if request.answer is None and not request.live:
            self.requests.pop(request.told.id, None)

    # --- attempts ---

    def send(self, action: i.Send) -> None:
        request = self.requests.get(action.request)
        if request is None:
            return
        now = self.clock()
        attempt = Attempt(request, len(request.attempts), action.endpoint, now)
        request.attempts.append(attempt)
        request.live += 1
        last = request.deadline - EARLY
        expires = min(action.expires_at or last, last)
        settings = request.balancer.settings
        repeat = settings.classes[request.told.klass].repeat
        if request.answer is None or expires <= now or attempt.number >= settings.limits.max_attempts:
            self.ended(attempt, "not_sent")
            return
        left = (expires - now) / 1000.0
        attempt.timer = self.loop.call_later(left, self.expire, attempt)
        attempt.exchange = self.endpoints.start(
            action.endpoint,
            b"%bReq-Deadline: %.3f\r\n\r\n%b" % (request.told.head, left, request.told.body),
            lambda outcome, reply: self.ended(attempt, outcome, reply),
            HOLD if repeat == "at_most_once" else 0.0,
        )

    def expire(self, attempt: Attempt) -> None:
        self.withdraw(attempt, "timeout")

    def cancel(self, action: i.Cancel) -> None:
        request = self.requests.get(action.request)
        if request is not None and action.attempt < len(request.attempts):
            self.withdraw(request.attempts[action.attempt], "cancelled")

    def withdraw(self, attempt: Attempt, outcome: i.Outcome) -> None:
        """Stop waiting for an attempt."""
        if attempt.outcome is None:
            if attempt.exchange is not None:
                attempt.exchange.cancel()
            self.ended(attempt, outcome)

    def ended(self, attempt: Attempt, outcome: i.Outcome, reply: Reply | None = None) -> None:
        """An attempt has its outcome; the first answer served goes to the client."""
        request = attempt.request
        elapsed = self.clock() - attempt.sent_at
        attempt.outcome = outcome
        attempt.exchange = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        request.live -= 1
        report = read_report(reply) if reply is not None else {}
        if outcome == "served" and reply is not None and request.answer is not None:
            headers = end_to_end(reply.headers, b"srv-load")
            self.finish(request.told.id, Answer(200, headers, reply.body))
        complete = request.answer is None
        self.settled.append(request)
        self.feed(
            i.AttemptEnded(
                request.told.id, attempt.number, attempt.endpoint, outcome, elapsed, complete, report
            ),
            request.balancer,
        )

    # --- time ---

    def set_timer(self, action: i.SetTimer) -> None:
        self.loop.call_later(max(0.0, action.at - self.clock()) / 1000.0, self.fire, action, self.acting)

    def fire(self, action: i.SetTimer, balancer: Balancer) -> None:
        """A timer is due; the loop counts whole milliseconds and may call a little early."""
        left = action.at - self.clock()
        if left > 0.0:
            self.loop.call_later(max(left, 1.0) / 1000.0, self.fire, action, balancer)
        elif balancer is self.balancer or any(r.balancer is balancer for r in self.requests.values()):
            self.feed(i.TimerFired(action.token), balancer)

    def move_discovery(self, address: Address) -> None:
        """Discovery is found elsewhere from now on; requests and endpoints are untouched."""
        self.discovery.move(address)

    def stop(self) -> None:
        self.discovery.stop()
        self.endpoints.close()


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


def request_head(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """The head that goes to every endpoint, but for its last header. A whole body needs no chunks."""
    length = b"" if not body and method == "GET" else b"Content-Length: %d\r\n" % len(body)
    passed = end_to_end(headers, b"req-deadline")
    return b"%b %b HTTP/1.1\r\n%b%b" % (method.encode(), target.encode("latin-1"), passed, length)

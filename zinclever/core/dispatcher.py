"""The ledger of requests and attempts around one balancer: events go in, actions are carried out."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from types import MappingProxyType
from typing import Any

from .. import interface
from ..fleet.limits import ConnectionLimiter
from ..policy import Balancer
from .counts import Counts
from .descriptors import Descriptors
from .host import Host
from .protocol import (
    Entry,
    Exchange,
    Failed,
    FinalAnswer,
    IncomingRequest,
    OnEnded,
    OnList,
    Refused,
    Served,
    Source,
    Wire,
)
from .stall_detector import FADED, SETTLE_TIME, STALL_THRESHOLD_MS, StallDetector, news_first
from .view import View

log = logging.getLogger(__name__)

EARLY = 15.0  # ms before the client's deadline at which the balancer takes it to pass
UPLOAD_FOR = 600_000.0  # ms that a body may come in for: its front ends what is too slow long before
GUARD = 8.0  # ms before the deadline at which a request is answered whatever happens
NO_REPORT: Mapping[str, float] = MappingProxyType({})


def make_clock(host: Host) -> Callable[[], float]:
    """Unix time in ms, read once: from then on it moves as the monotonic clock does, never back."""
    monotonic_ns = host.monotonic_ns
    anchor = (host.time_ns() - monotonic_ns()) / 1e6
    return lambda: monotonic_ns() / 1e6 + anchor


class Attempt:
    __slots__ = ("endpoint", "exchange", "number", "outcome", "request", "sent_at", "timer")

    def __init__(self, request: Request, number: int, endpoint: str, sent_at: float) -> None:
        self.request, self.number, self.endpoint, self.sent_at = request, number, endpoint, sent_at
        self.outcome: interface.Outcome | None = None
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None


class Request:
    """Kept until it is answered and each of its attempts has its outcome."""

    __slots__ = ("answer", "attempts", "balancer", "deadline", "guard", "live", "reply", "told", "uploading")

    def __init__(
        self, told: IncomingRequest, deadline: float, balancer: Balancer, answer: Callable[[FinalAnswer], None]
    ) -> None:
        self.told, self.deadline, self.uploading = told, deadline, told.uploading
        self.balancer = balancer
        """That of its arrival: what its settings allowed then holds to its end."""
        self.answer: Callable[[FinalAnswer], None] | None = answer
        self.attempts: list[Attempt] = []
        self.live = 0
        self.reply: Any = None
        """The latest failure that an endpoint worded."""
        self.guard: asyncio.TimerHandle | None = None


class Dispatcher:
    """The requests of one service: one balancer, and those before it as long as requests of theirs are open.

    Owns every request until it is answered and each of its attempts has its outcome, and with it the
    exchanges on the wire and the timers. Runs on one loop; nothing here waits.
    """

    def __init__(
        self, balancer: Balancer, wire: Wire, source: Callable[[OnList], Source], descriptors: Descriptors, host: Host
    ) -> None:
        self.balancer, self.settings = balancer, balancer.settings
        self.wire, self.descriptors, self.host = wire, descriptors, host
        self.loop = asyncio.get_running_loop()
        self.clock = make_clock(host)
        self.connections = ConnectionLimiter(host.random())
        self.view = self.make_view()
        self.configure_wire()
        self.requests: dict[str, Request] = {}
        self.counts = Counts()
        self.events: deque[tuple[Balancer, interface.Event]] = deque()
        self.acting = balancer  # whose actions are carried out
        self.settled: list[Request] = []  # looked at after each event: they may be through
        self.busy = False
        self.stall_detector = StallDetector(self.loop.time())
        self.renewed_at = self.loop.time()  # when a balancer began after a long standstill
        self.ready = False
        self.source = source(self.on_list)
        self.perform: dict[type, Callable[[Any], None]] = {
            interface.Send: self.send,
            interface.Cancel: self.cancel,
            interface.Refuse: self.refuse,
            interface.Fail: self.fail,
            interface.SetTimer: self.set_timer,
            interface.WatchMembership: self.watch,
            interface.FetchMembership: lambda a: self.source.fetch(),
            interface.CloseIdle: lambda a: self.wire.close_idle(a.endpoint),
            interface.LogMessage: lambda a: log.info("%s", a.text),
        }

    def configure_wire(self) -> None:
        limits = self.settings.limits
        self.wire.configure(limits.connect_timeout, limits.connection_idle, self.connections)

    def make_view(self) -> View | None:
        """None where nothing is shared out: the whole list is used then, and nothing counts it."""
        if self.settings.shares == interface.Shares():
            self.connections.configure(self.settings.shares, 1, 0, 0)
            return None
        return View(self.settings)

    def start(self) -> None:
        """Begin with the list as it was last held."""
        self.source.start()

    def reconfigure(self, balancer: Balancer) -> None:
        """Serve by other settings from now on; what has been taken is finished by those it came under."""
        self.balancer, self.settings = balancer, balancer.settings
        self.configure_wire()
        self.view = self.make_view()
        self.on_list("remembered", self.source.remembered())

    # --- events ---

    def feed(self, event: interface.Event, balancer: Balancer | None = None) -> None:
        """Let a balancer take in an event, after those whose actions are still being carried out."""
        self.events.append((balancer or self.balancer, event))
        self.stall_detector.ran(self.loop.time())
        if not self.busy and not self.stall_detector.held:
            self.work()

    def work(self) -> None:
        """All events that have come, and those that they bring."""
        self.busy = True
        try:
            while self.events:
                self.step(*self.events.popleft())
                while self.settled:
                    self.forget(self.settled.pop())
        finally:
            self.busy = False

    def waited(self, transport: asyncio.BaseTransport, first: bool) -> float:
        """ms that what is read from a connection right now has waited for this process. The kernel is asked only where
        nothing ran for a while, and for the first bytes of a connection: it may have stood in the listener's queue."""
        self.stall_detector.ran(self.loop.time())
        if not first and not self.stall_detector.may_have():
            return 0.0
        span = self.host.ms_since_received(transport.get_extra_info("socket"))
        self.notice(span)
        return span if span >= STALL_THRESHOLD_MS else 0.0

    def notice(self, late: float) -> None:
        """Something comes so many ms late. Where the process stood still, all that the kernel holds is read before
        anything goes out."""
        self.stall_detector.ran(self.loop.time())
        if self.stall_detector.has(late):
            anew = late > FADED and self.loop.time() - self.renewed_at > FADED / 1000.0
            if anew:
                log.warning("stood still for %.0f ms or more", late)
                self.renewed_at = self.loop.time()
            self.loop.call_later(SETTLE_TIME, self.resume_after_stall, anew)

    def resume_after_stall(self, anew: bool) -> None:
        """All is read. ``anew``: it was long, what was learnt has faded, and what ends now would teach that the servers
        are crowded. A new balancer begins; the one before finishes what it has."""
        self.stall_detector.held = False
        if anew:
            self.reconfigure(Balancer(self.settings, self.host.random().getrandbits(64)))
        self.events = news_first(self.events, interface.MembershipUpdate)
        self.work()

    def step(self, balancer: Balancer, event: interface.Event) -> None:
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

    def failed(self, about: interface.Event | interface.Action) -> None:
        """Code failed: say so. The request still gets its answer, by an attempt or from here."""
        log.exception("%s", type(about).__name__)
        request = self.requests.get(getattr(about, "request", ""))
        if request is not None and not request.live:
            self.give_up(request)

    def on_list(self, kind: interface.ListKind, entries: Sequence[Entry]) -> None:
        """News of the list, as far as this instance uses it."""
        self.ready = self.ready or bool(entries)
        if self.view is None:
            self.tell(kind, entries)
        else:
            self.tell(kind, self.view.news(self.clock(), kind, entries))
            self.share_out(self.view)

    def share_out(self, view: View) -> None:
        """Take this instance's part of what all may use, by the list and the subset at hand."""
        settings = self.settings
        self.connections.configure(settings.shares, settings.group_size, len(view), len(view.subset.members))

    def move(self, view: View) -> None:
        """The subset is to change for other reasons than news of the list: the module must not take it for an answer
        of discovery, or it would give up asking a discovery that is refusing."""
        self.tell("remembered", view.moved(self.clock()))
        self.share_out(view)

    def tell(self, kind: interface.ListKind, entries: Sequence[Entry]) -> None:
        """Addresses for the wire, the rest for the balancers."""
        for listed, address in entries:
            if listed.phase == "gone":
                self.wire.forget(listed.endpoint)
            else:
                self.wire.set_address(listed.endpoint, address)
        if kind in ("whole", "remembered"):
            present = {listed.endpoint for listed, _ in entries if listed.phase != "gone"}
            for endpoint in self.wire.listed():
                if endpoint not in present:
                    self.wire.forget(endpoint)
        of = len(self.view) if self.view is not None else 0
        news = interface.MembershipUpdate(kind, [listed for listed, _ in entries], of)
        for balancer in dict.fromkeys(r.balancer for r in self.requests.values()):
            if balancer is not self.balancer:
                self.feed(news, balancer)
        self.feed(news)
        for listed, _ in entries:
            if listed.phase == "draining":
                # After the balancers have heard: what is turned back here is sent elsewhere.
                self.wire.drain(listed.endpoint)

    def watch(self, action: interface.WatchMembership) -> None:
        if self.acting is self.balancer:
            self.source.watch(action.subscribe)

    # --- requests ---

    def take(self, told: IncomingRequest, answer: Callable[[FinalAnswer], None]) -> None:
        """A request of a client; ``answer`` is called once, unless the client leaves before."""
        now = self.clock()
        request = Request(told, now + (UPLOAD_FOR if told.uploading else told.wait), self.balancer, answer)
        self.requests[told.id] = request
        if not told.uploading:
            self.count_taken(request, told.wait)
        if self.view is not None and self.view.subset.load(now, len(self.requests)):
            self.move(self.view)
        self.feed(
            interface.RequestArrived(
                told.id,
                told.klass,
                request.deadline - EARLY,
                told.tenant,
                told.key,
                told.work,
                told.retry,
                told.uploading,
            )
        )

    def count_taken(self, request: Request, wait: float) -> None:
        """Its client waits from now on."""
        self.counts.concurrent += 1
        request.guard = self.loop.call_later(max(0.0, wait - GUARD) / 1000.0, self.give_up, request)

    def upload_finished(self, request_id: str) -> None:
        """The last byte of a request's body has come: its time begins, and that of the attempts that have had the
        body as it came."""
        request = self.requests.get(request_id)
        if request is None or request.answer is None or not request.uploading:
            return
        now, wait = self.clock(), request.told.wait
        request.uploading, request.deadline = False, now + wait
        self.count_taken(request, wait)
        for attempt in request.attempts:
            if attempt.outcome is None:
                attempt.sent_at = now
                attempt.timer = self.loop.call_later(max(0.0, wait - EARLY) / 1000.0, self.expire, attempt)
        self.feed(interface.UploadEnded(request_id, request.deadline - EARLY), request.balancer)

    def leave(self, request_id: str) -> None:
        """The client has gone away."""
        request = self.requests.get(request_id)
        if request is not None and request.answer is not None:
            self.close(request)
            self.feed(interface.RequestClosed(request_id), request.balancer)

    def give_up(self, request: Request) -> None:
        """The last resort: an answer of the sidecar's own, refused only if a repeat is harmless."""
        if request.answer is None:
            return
        log.warning("a request was answered by the guard")
        proved = all(a.outcome in interface.NEVER_RAN for a in request.attempts)
        repeat = request.balancer.settings.classes[request.told.klass].repeat
        harmless = proved or repeat == "idempotent"
        final = Refused(0.0, request.reply) if harmless else Failed(request.reply)
        self.finish(request.told.id, final)
        self.feed(interface.RequestClosed(request.told.id), request.balancer)

    def refuse(self, action: interface.Refuse) -> None:
        request = self.requests.get(action.request)
        if request is not None:
            self.finish(action.request, Refused(action.retry_after, request.reply))

    def fail(self, action: interface.Fail) -> None:
        request = self.requests.get(action.request)
        if request is not None:
            self.finish(action.request, Failed(request.reply))

    def finish(self, request_id: str, final: FinalAnswer) -> None:
        """The final answer, where none has been given."""
        request = self.requests.get(request_id)
        if request is not None and request.answer is not None:
            answer = request.answer
            self.close(request)
            self.count(request, final)
            try:
                answer(final)
            except Exception:
                # Guards the events that follow: an attempt whose end is not told counts in flight for ever.
                log.exception("answer not written")

    def count(self, request: Request, final: FinalAnswer) -> None:
        replies = self.counts.of(request.balancer.settings.classes[request.told.klass].name)
        if isinstance(final, Served):
            replies.served += 1
        elif isinstance(final, Refused):
            replies.refused += 1
        else:
            replies.failed += 1

    def close(self, request: Request) -> None:
        request.answer = None
        if not request.uploading:
            self.counts.concurrent -= 1
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
            request.attempts.clear()  # they refer back: a body of megabytes would wait for the collector

    # --- attempts ---

    def send(self, action: interface.Send) -> None:
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
        if request.uploading:
            left = request.told.wait / 1000.0  # from the body's end on: then it has its timer
        else:
            attempt.timer = self.loop.call_later(left, self.expire, attempt)
        ended: OnEnded = partial(self.ended, attempt)
        attempt.exchange = self.wire.start(action.endpoint, request.told.payload, left, ended, repeat == "at_most_once")

    def expire(self, attempt: Attempt) -> None:
        if attempt.timer is not None:
            self.notice(1000.0 * (self.loop.time() - attempt.timer.when()))
        self.withdraw(attempt, "timeout")

    def cancel(self, action: interface.Cancel) -> None:
        request = self.requests.get(action.request)
        if request is not None and action.attempt < len(request.attempts):
            self.withdraw(request.attempts[action.attempt], "cancelled")

    def withdraw(self, attempt: Attempt, outcome: interface.Outcome) -> None:
        """Stop waiting for an attempt."""
        if attempt.outcome is None:
            if attempt.exchange is not None:
                attempt.exchange.cancel(outcome == "timeout")
            self.ended(attempt, outcome)

    def ended(
        self, attempt: Attempt, outcome: interface.Outcome, reply: Any = None, report: Mapping[str, float] = NO_REPORT
    ) -> None:
        """An attempt has its outcome; the first answer served goes to the client."""
        request = attempt.request
        elapsed = self.clock() - attempt.sent_at
        attempt.outcome = outcome
        attempt.exchange = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        request.live -= 1
        if self.view is not None:
            self.judge(self.view, attempt.endpoint, outcome)
        if reply is not None and request.answer is not None:
            if outcome == "served":
                self.finish(request.told.id, Served(reply))
            else:
                request.reply = reply
        complete = request.answer is None
        self.settled.append(request)
        self.feed(
            interface.AttemptEnded(
                request.told.id, attempt.number, attempt.endpoint, outcome, elapsed, complete, report
            ),
            request.balancer,
        )

    def judge(self, view: View, endpoint: str, outcome: interface.Outcome) -> None:
        """What an outcome tells of whom to know, and of how much all instances use."""
        if outcome == "served":
            view.subset.served(endpoint)
        elif outcome == "full":
            self.connections.on_server_refused(1000.0 * self.loop.time())
        elif outcome == "connect_failed" and view.subset.failed(self.clock(), endpoint):
            self.move(view)

    # --- time ---

    def set_timer(self, action: interface.SetTimer) -> None:
        self.loop.call_later(max(0.0, action.at - self.clock()) / 1000.0, self.fire, action, self.acting)

    def fire(self, action: interface.SetTimer, balancer: Balancer) -> None:
        """A timer is due; the loop counts whole milliseconds and may call a little early."""
        left = action.at - self.clock()
        self.notice(-left)
        if left > 0.0:
            self.loop.call_later(max(left, 1.0) / 1000.0, self.fire, action, balancer)
        elif balancer is self.balancer or any(r.balancer is balancer for r in self.requests.values()):
            self.feed(interface.TimerFired(action.token), balancer)

    def stop(self) -> None:
        self.source.stop()
        self.wire.close()

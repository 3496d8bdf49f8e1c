"""Dispatches client requests: feeds events to a balancer and executes the actions that it returns."""

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
from .stall_detector import SETTLE_TIME, STALE_AFTER_MS, STALL_THRESHOLD_MS, StallDetector, move_to_front
from .view import View

log = logging.getLogger(__name__)

DEADLINE_MARGIN = 15.0  # ms before the client's deadline: the balancer works with this earlier deadline
UPLOAD_TIMEOUT = 600_000.0  # ms allowed for uploading a request body; the front closes slow uploads much earlier
GUARD_MARGIN = 8.0  # ms before the deadline at which an unanswered request gets its last-resort answer
EMPTY_REPORT: Mapping[str, float] = MappingProxyType({})


def make_clock(host: Host) -> Callable[[], float]:
    """Returns a clock that reads Unix time in ms and never goes back.

    The system time is read once; afterwards the clock advances with the monotonic one.
    """
    monotonic_ns = host.monotonic_ns
    anchor = (host.time_ns() - monotonic_ns()) / 1e6
    return lambda: monotonic_ns() / 1e6 + anchor


class Attempt:
    """One attempt of a request at one endpoint, from its send to its outcome."""

    __slots__ = ("endpoint", "exchange", "number", "outcome", "request", "sent_at", "timer")

    def __init__(self, request: Request, number: int, endpoint: str, sent_at: float) -> None:
        self.request, self.number, self.endpoint, self.sent_at = request, number, endpoint, sent_at
        self.outcome: interface.Outcome | None = None
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None


class Request:
    """A client request, kept until it is answered and each of its attempts has an outcome."""

    __slots__ = (
        "answer",
        "attempts",
        "balancer",
        "deadline",
        "failure_reply",
        "guard",
        "incoming",
        "open_attempts",
        "uploading",
    )

    def __init__(
        self, incoming: IncomingRequest, deadline: float, balancer: Balancer, answer: Callable[[FinalAnswer], None]
    ) -> None:
        self.incoming, self.deadline, self.uploading = incoming, deadline, incoming.uploading
        self.balancer = balancer
        """The balancer in use when the request arrived; its settings apply until the request ends."""
        self.answer: Callable[[FinalAnswer], None] | None = answer
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        """Attempts without an outcome."""
        self.failure_reply: Any = None
        """The latest failure reply that an endpoint sent."""
        self.guard: asyncio.TimerHandle | None = None


class Dispatcher:
    """Dispatches the requests of one service.

    It uses one balancer, and keeps replaced ones for as long as requests that they handle are open. It owns every
    request until it is answered and each of its attempts has an outcome, together with the request's exchanges on the
    wire and its timers. Runs on one event loop; no method blocks.
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
        self.acting_balancer = balancer  # the balancer whose actions are being executed
        self.cleanup_candidates: list[Request] = []  # checked after each event: they may be complete
        self.processing = False
        self.stall_detector = StallDetector(self.loop.time())
        self.balancer_replaced_at = self.loop.time()  # when the balancer was last replaced after a long stall
        self.ready = False
        self.source = source(self.on_list)
        self.action_handlers: dict[type, Callable[[Any], None]] = {
            interface.Send: self.send,
            interface.Cancel: self.cancel,
            interface.Refuse: self.refuse,
            interface.Fail: self.fail,
            interface.SetTimer: self.set_timer,
            interface.WatchMembership: self.set_watch,
            interface.FetchMembership: lambda a: self.source.fetch(),
            interface.CloseIdle: lambda a: self.wire.close_idle(a.endpoint),
            interface.LogMessage: lambda a: log.info("%s", a.text),
        }

    def configure_wire(self) -> None:
        """Applies the limits of the settings in use to the wire."""
        limits = self.settings.limits
        self.wire.configure(limits.connect_timeout, limits.connection_idle, self.connections)

    def make_view(self) -> View | None:
        """Returns the view that reduces the endpoint list to a subset; None without shared limits: all are used."""
        if self.settings.shares == interface.Shares():
            self.connections.configure(self.settings.shares, 1, 0, 0)
            return None
        return View(self.settings)

    def start(self) -> None:
        """Starts the source, which begins with the last known endpoint list."""
        self.source.start()

    def reconfigure(self, balancer: Balancer) -> None:
        """Uses a new balancer and its settings; open requests finish under those they arrived with."""
        self.balancer, self.settings = balancer, balancer.settings
        self.configure_wire()
        self.view = self.make_view()
        self.on_list("remembered", self.source.remembered())

    # --- events ---

    def feed(self, event: interface.Event, balancer: Balancer | None = None) -> None:
        """Queues an event for a balancer and processes the queue, unless that is already under way or on hold.

        Events that arrive while actions are being executed are processed afterwards, in order.
        """
        self.events.append((balancer or self.balancer, event))
        self.stall_detector.record_activity(self.loop.time())
        if not self.processing and not self.stall_detector.holding:
            self.process_events()

    def process_events(self) -> None:
        """Processes all queued events, including those that their actions add."""
        self.processing = True
        try:
            while self.events:
                self.process_event(*self.events.popleft())
                while self.cleanup_candidates:
                    self.remove_completed(self.cleanup_candidates.pop())
        finally:
            self.processing = False

    def waited(self, transport: asyncio.BaseTransport, first: bool) -> float:
        """Returns the ms for which the data now read from a connection has waited for this process.

        The kernel is queried only after the process was idle for a while or has recently stalled, and for the first
        bytes of a connection, which may have waited in the listener's queue. Waits below ``STALL_THRESHOLD_MS`` are
        returned as 0.
        """
        self.stall_detector.record_activity(self.loop.time())
        if not first and not self.stall_detector.may_have_stalled():
            return 0.0
        delay = self.host.ms_since_received(transport.get_extra_info("socket"))
        self.check_delay(delay)
        return delay if delay >= STALL_THRESHOLD_MS else 0.0

    def check_delay(self, delay: float) -> None:
        """Checks whether an event that is ``delay`` ms late shows a stall of this process.

        After a stall, everything that the kernel has buffered is read before anything is sent.
        """
        self.stall_detector.record_activity(self.loop.time())
        if self.stall_detector.detect(delay):
            replace_balancer = (
                delay > STALE_AFTER_MS and self.loop.time() - self.balancer_replaced_at > STALE_AFTER_MS / 1000.0
            )
            if replace_balancer:
                log.warning("stood still for %.0f ms or more", delay)
                self.balancer_replaced_at = self.loop.time()
            self.loop.call_later(SETTLE_TIME, self.resume_after_stall, replace_balancer)

    def resume_after_stall(self, replace_balancer: bool) -> None:
        """Resumes after a stall, once the kernel's buffers have been read.

        After a long stall (``replace_balancer``) what the balancer has learned is stale, and attempts that end now
        would make it take the servers for overloaded. A new balancer takes over; the old one finishes its requests.
        """
        self.stall_detector.holding = False
        if replace_balancer:
            self.reconfigure(Balancer(self.settings, self.host.random().getrandbits(64)))
        self.events = move_to_front(self.events, interface.MembershipUpdate)
        self.process_events()

    def process_event(self, balancer: Balancer, event: interface.Event) -> None:
        """Passes one event to its balancer and executes the resulting actions."""
        self.acting_balancer = balancer
        try:
            actions = balancer.handle(self.clock(), event)
        except Exception:
            self.on_error(event)
            return
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:
                self.on_error(action)

    def on_error(self, failed: interface.Event | interface.Action) -> None:
        """Logs an exception raised by the balancer or an action.

        The request is still answered: by an open attempt if there is one, otherwise at once.
        """
        log.exception("exception while handling %s", type(failed).__name__)
        request = self.requests.get(getattr(failed, "request", ""))
        if request is not None and not request.open_attempts:
            self.give_up(request)

    def on_list(self, kind: interface.ListKind, entries: Sequence[Entry]) -> None:
        """Handles an update of the endpoint list, reduced to the part that this instance uses."""
        self.ready = self.ready or bool(entries)
        if self.view is None:
            self.tell(kind, entries)
        else:
            self.tell(kind, self.view.update(self.clock(), kind, entries))
            self.configure_connections(self.view)

    def configure_connections(self, view: View) -> None:
        """Sets this instance's part of the shared connection limits, from the current list and subset."""
        settings = self.settings
        self.connections.configure(settings.shares, settings.group_size, len(view), len(view.subset.members))

    def update_subset(self, view: View) -> None:
        """Publishes a subset that changed for another reason than an update of the list.

        The update has the kind "remembered", so that the balancer doesn't take it for an answer of the discovery
        service: after such an answer, the balancer would stop retrying a discovery service that refuses calls.
        """
        self.tell("remembered", view.snapshot(self.clock()))
        self.configure_connections(view)

    def tell(self, kind: interface.ListKind, entries: Sequence[Entry]) -> None:
        """Passes an update on: addresses to the wire, endpoints to all balancers in use."""
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
        total = len(self.view) if self.view is not None else 0
        update = interface.MembershipUpdate(kind, [listed for listed, _ in entries], total)
        for balancer in dict.fromkeys(r.balancer for r in self.requests.values()):
            if balancer is not self.balancer:
                self.feed(update, balancer)
        self.feed(update)
        for listed, _ in entries:
            if listed.phase == "draining":
                # After the balancers have the update, so that they send the attempts dropped here to another endpoint.
                self.wire.drain(listed.endpoint)

    def set_watch(self, action: interface.WatchMembership) -> None:
        """Starts or stops watching the endpoint list, if the current balancer requests it."""
        if self.acting_balancer is self.balancer:
            self.source.watch(action.subscribe)

    # --- requests ---

    def take(self, incoming: IncomingRequest, answer: Callable[[FinalAnswer], None]) -> None:
        """Accepts a client request. ``answer`` is called exactly once, unless the client disconnects first."""
        now = self.clock()
        request = Request(
            incoming, now + (UPLOAD_TIMEOUT if incoming.uploading else incoming.wait), self.balancer, answer
        )
        self.requests[incoming.id] = request
        if not incoming.uploading:
            self.start_waiting(request, incoming.wait)
        if self.view is not None and self.view.subset.load(now, len(self.requests)):
            self.update_subset(self.view)
        self.feed(
            interface.RequestArrived(
                incoming.id,
                incoming.klass,
                request.deadline - DEADLINE_MARGIN,
                incoming.tenant,
                incoming.key,
                incoming.work,
                incoming.retry,
                incoming.uploading,
            )
        )

    def start_waiting(self, request: Request, wait: float) -> None:
        """Counts a request as in progress and starts its guard timer: the client waits from now on."""
        self.counts.concurrent += 1
        request.guard = self.loop.call_later(max(0.0, wait - GUARD_MARGIN) / 1000.0, self.give_up, request)

    def upload_finished(self, request_id: str) -> None:
        """Handles the end of a request body that was uploaded while attempts received it.

        The client's waiting time starts now, and so do the timeouts of these attempts.
        """
        request = self.requests.get(request_id)
        if request is None or request.answer is None or not request.uploading:
            return
        now, wait = self.clock(), request.incoming.wait
        request.uploading, request.deadline = False, now + wait
        self.start_waiting(request, wait)
        for attempt in request.attempts:
            if attempt.outcome is None:
                attempt.sent_at = now
                attempt.timer = self.loop.call_later(max(0.0, wait - DEADLINE_MARGIN) / 1000.0, self.expire, attempt)
        self.feed(interface.UploadEnded(request_id, request.deadline - DEADLINE_MARGIN), request.balancer)

    def leave(self, request_id: str) -> None:
        """Handles a client that disconnected before its answer."""
        request = self.requests.get(request_id)
        if request is not None and request.answer is not None:
            self.close_request(request)
            self.feed(interface.RequestClosed(request_id), request.balancer)

    def give_up(self, request: Request) -> None:
        """Answers a request as a last resort, when its guard timer fires or the balancer has failed.

        The request is refused only if a repeat is harmless, and failed otherwise.
        """
        if request.answer is None:
            return
        log.warning("answered a request without a decision of the balancer")
        never_ran = all(a.outcome in interface.NEVER_RAN for a in request.attempts)
        repeat = request.balancer.settings.classes[request.incoming.klass].repeat
        harmless = never_ran or repeat == "idempotent"
        final = Refused(0.0, request.failure_reply) if harmless else Failed(request.failure_reply)
        self.finish(request.incoming.id, final)
        self.feed(interface.RequestClosed(request.incoming.id), request.balancer)

    def refuse(self, action: interface.Refuse) -> None:
        """Executes the balancer's decision to refuse a request."""
        request = self.requests.get(action.request)
        if request is not None:
            self.finish(action.request, Refused(action.retry_after, request.failure_reply))

    def fail(self, action: interface.Fail) -> None:
        """Executes the balancer's decision to fail a request."""
        request = self.requests.get(action.request)
        if request is not None:
            self.finish(action.request, Failed(request.failure_reply))

    def finish(self, request_id: str, final: FinalAnswer) -> None:
        """Gives the final answer, unless the request has one."""
        request = self.requests.get(request_id)
        if request is not None and request.answer is not None:
            answer = request.answer
            self.close_request(request)
            self.count_reply(request, final)
            try:
                answer(final)
            except Exception:
                # Must not prevent the event that follows: an attempt whose end is not reported stays in flight forever.
                log.exception("answer could not be written to the client")

    def count_reply(self, request: Request, final: FinalAnswer) -> None:
        """Counts a final answer under the request's class."""
        replies = self.counts.of(request.balancer.settings.classes[request.incoming.klass].name)
        if isinstance(final, Served):
            replies.served += 1
        elif isinstance(final, Refused):
            replies.refused += 1
        else:
            replies.failed += 1

    def close_request(self, request: Request) -> None:
        """Ends the client's part of a request; attempts that have been sent run on."""
        request.answer = None
        if not request.uploading:
            self.counts.concurrent -= 1
        if request.guard is not None:
            request.guard.cancel()
        for attempt in request.attempts:
            if attempt.exchange is not None and not attempt.exchange.begun():
                # Still dialling or queued: must not be sent after the final answer.
                self.withdraw(attempt, "not_sent")
        self.cleanup_candidates.append(request)

    def remove_completed(self, request: Request) -> None:
        """Removes a request that is answered and has no open attempts.

        Called only after the pending actions are executed: a send among them that comes too late still gets its
        outcome.
        """
        if request.answer is None and not request.open_attempts:
            self.requests.pop(request.incoming.id, None)
            request.attempts.clear()  # breaks the reference cycle: a large body must not wait for the garbage collector

    # --- attempts ---

    def send(self, action: interface.Send) -> None:
        """Starts an attempt; one that is too late or beyond the limit on attempts ends at once as not sent."""
        request = self.requests.get(action.request)
        if request is None:
            return
        now = self.clock()
        attempt = Attempt(request, len(request.attempts), action.endpoint, now)
        request.attempts.append(attempt)
        request.open_attempts += 1
        latest = request.deadline - DEADLINE_MARGIN
        expires = min(action.expires_at or latest, latest)
        settings = request.balancer.settings
        repeat = settings.classes[request.incoming.klass].repeat
        if request.answer is None or expires <= now or attempt.number >= settings.limits.max_attempts:
            self.on_attempt_ended(attempt, "not_sent")
            return
        time_left = (expires - now) / 1000.0
        if request.uploading:
            time_left = request.incoming.wait / 1000.0  # counted from the end of the body, when its timer is set
        else:
            attempt.timer = self.loop.call_later(time_left, self.expire, attempt)
        on_ended: OnEnded = partial(self.on_attempt_ended, attempt)
        attempt.exchange = self.wire.start(
            action.endpoint, request.incoming.payload, time_left, on_ended, repeat == "at_most_once"
        )

    def expire(self, attempt: Attempt) -> None:
        """Ends an attempt whose timeout has passed."""
        if attempt.timer is not None:
            self.check_delay(1000.0 * (self.loop.time() - attempt.timer.when()))
        self.withdraw(attempt, "timeout")

    def cancel(self, action: interface.Cancel) -> None:
        """Executes the balancer's decision to cancel an attempt."""
        request = self.requests.get(action.request)
        if request is not None and action.attempt < len(request.attempts):
            self.withdraw(request.attempts[action.attempt], "cancelled")

    def withdraw(self, attempt: Attempt, outcome: interface.Outcome) -> None:
        """Stops waiting for an attempt and gives it this outcome, unless it has one."""
        if attempt.outcome is None:
            if attempt.exchange is not None:
                attempt.exchange.cancel(outcome == "timeout")
            self.on_attempt_ended(attempt, outcome)

    def on_attempt_ended(
        self,
        attempt: Attempt,
        outcome: interface.Outcome,
        reply: Any = None,
        report: Mapping[str, float] = EMPTY_REPORT,
    ) -> None:
        """Records the outcome of an attempt; the first served reply goes to the client."""
        request = attempt.request
        elapsed = self.clock() - attempt.sent_at
        attempt.outcome = outcome
        attempt.exchange = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        request.open_attempts -= 1
        if self.view is not None:
            self.record_outcome(self.view, attempt.endpoint, outcome)
        if reply is not None and request.answer is not None:
            if outcome == "served":
                self.finish(request.incoming.id, Served(reply))
            else:
                request.failure_reply = reply
        complete = request.answer is None
        self.cleanup_candidates.append(request)
        self.feed(
            interface.AttemptEnded(
                request.incoming.id, attempt.number, attempt.endpoint, outcome, elapsed, complete, report
            ),
            request.balancer,
        )

    def record_outcome(self, view: View, endpoint: str, outcome: interface.Outcome) -> None:
        """Updates the subset and the shared connection limits from the outcome of an attempt."""
        if outcome == "served":
            view.subset.served(endpoint)
        elif outcome == "full":
            self.connections.on_server_refused(1000.0 * self.loop.time())
        elif outcome == "connect_failed" and view.subset.failed(self.clock(), endpoint):
            self.update_subset(view)

    # --- time ---

    def set_timer(self, action: interface.SetTimer) -> None:
        """Executes the balancer's request for a timer."""
        self.loop.call_later(max(0.0, action.at - self.clock()) / 1000.0, self.on_timer, action, self.acting_balancer)

    def on_timer(self, action: interface.SetTimer, balancer: Balancer) -> None:
        """Passes a due timer to its balancer. The loop has a resolution of 1 ms and may call slightly early."""
        remaining = action.at - self.clock()
        self.check_delay(-remaining)
        if remaining > 0.0:
            self.loop.call_later(max(remaining, 1.0) / 1000.0, self.on_timer, action, balancer)
        elif balancer is self.balancer or any(r.balancer is balancer for r in self.requests.values()):
            self.feed(interface.TimerFired(action.token), balancer)

    def stop(self) -> None:
        """Stops the source and closes connections to endpoints, see :meth:`Wire.close`."""
        self.source.stop()
        self.wire.close()

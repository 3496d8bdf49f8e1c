"""Every decision of the balancer. Settings, events and actions: see interface.py.

The ordinary path: a request goes to the better of two random unused ready endpoints by payoff over
(1 + own in-flight); after each fixed delay without an answer an idempotent one gets a copy on an unused
endpoint; the first good answer wins and the losers are cancelled. The modules beside this one say what is
ready, where to draw, who waits when the fleet is full, and what outcomes teach.
"""

from __future__ import annotations

import random

from .. import interface
from ..fleet.limits import Budget
from ..fleet.returns import Returns
from ..fleet.smooth import NEVER
from ..fleet.window import RATE_SPAN
from .admission import Admission
from .endpoint_list import EndpointList
from .learning import OutcomeLearner
from .requests import Attempt, ClassState, Request, TenantState
from .selection import EndpointSelector
from .slow_start import SlowStart
from .stalled_attempts import MIN_LATENCIES_LEFT, StalledAttempts
from .zone_crossing import ZoneCrossing

HEDGES_PER_REQUEST = 0.2  # copies per request on the long run: what bounds the extra load
HEDGE_BURST = 10.0  # copies: what may be saved up of the budget


class Balancer:
    """The decisions of one balancer: feed :meth:`handle` every event, carry out what it returns, in order."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.limits, self.rules = settings.limits, settings.rules
        shares, part = settings.shares, random.Random(seed)
        self.classes = [ClassState(c) for c in settings.classes]
        tenants = [t.quota_per_s for t in settings.tenants] or [1.0]
        self.tenants = [TenantState(q, len(self.classes)) for q in tenants]
        self.endpoint_list = EndpointList(settings, self.rng, part)
        self.slow_start = SlowStart(settings, self.endpoint_list)
        self.zone_crossing = ZoneCrossing(settings, self.rng)
        self.admission = Admission(
            settings, self.classes, self.tenants, self.endpoint_list, self.zone_crossing, self.rng
        )
        returns = Returns()
        self.selector = EndpointSelector(
            settings, self.classes, self.endpoint_list, self.slow_start, self.zone_crossing, returns, self.rng
        )
        self.learner = OutcomeLearner(
            settings, self.endpoint_list, self.slow_start, self.zone_crossing, self.admission, returns, self.rng
        )
        self.stalled_attempts = StalledAttempts(settings)
        self.requests: dict[str, Request] = {}
        self.hedge_tokens = HEDGE_BURST
        self.retry_budget = Budget(shares.retry_ratio, part) if shares.retry_ratio else None
        self.hedge_budget = Budget(shares.copy_ratio, part) if shares.copy_ratio else None
        self.timer_at = NEVER
        self.actions: list[interface.Action] = []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Take in one event and return what to do, in order."""
        self.actions = []
        if isinstance(event, interface.AttemptEnded):
            self.on_ended(now, event)
        elif isinstance(event, interface.RequestArrived):
            self.on_arrived(now, event)
        elif isinstance(event, interface.TimerFired):
            if now >= self.timer_at:  # else one that an earlier timer overtook: it is not to be set again
                self.timer_at = NEVER
            self.send_due_hedges(now)
        elif isinstance(event, interface.MembershipUpdate):
            self.on_membership(now, event)
        elif isinstance(event, interface.RequestClosed):
            if event.request in self.requests:
                self.close(now, self.requests[event.request])
        elif isinstance(event, interface.StreamStarted):
            self.on_stream(now, event)
        elif isinstance(event, interface.UploadEnded):
            self.on_uploaded(now, event)
        self.stalled_attempts.check(now, self.actions)
        if self.admission.held_count:
            self.send_held(now)
        if now >= self.endpoint_list.fetch_at:
            self.actions.append(interface.WatchMembership(True))
            self.endpoint_list.on_fetched(now)
        self.set_timer(now)
        return self.actions

    def on_arrived(self, now: float, event: interface.RequestArrived) -> None:
        """A request has come: send it, hold it, or refuse it."""
        klass = self.classes[event.klass]
        r = Request(event, klass, self.tenants[event.tenant], now)
        self.requests[r.id] = r
        self.slow_start.demand.add(now, 0.0)
        klass.demand.add(now, 0.0, klass.mean_latency)
        self.zone_crossing.request_worth.add(now, self.zone_crossing.worth(r))
        r.worth_rank = self.admission.worth_rank(now, r)
        self.selector.recent_keys.append(r.key)
        self.hedge_tokens = min(HEDGE_BURST, self.hedge_tokens + HEDGES_PER_REQUEST)
        for budget in (self.retry_budget, self.hedge_budget):
            if budget is not None:
                budget.asked(now)
        if r.is_uploading:
            self.send_early(now, r)
        elif event.client_retry and klass.settings.late_worth == 0 and self.admission.is_saturated():
            # Its first try waited out most of the aim: in a crowd others can still be served in time.
            self.refuse_or_fail(now, r)
        elif not self.admission.admits(now, r) or not self.send(now, r):
            self.admission.hold(r)

    def on_ended(self, now: float, event: interface.AttemptEnded) -> None:
        """An attempt has ended: learn from it, and send the request elsewhere where that is due."""
        r = self.requests.get(event.request)
        if r is None or event.attempt >= len(r.attempts):
            return
        a = r.attempts[event.attempt]
        if not a.is_open:
            return
        if not a.is_in_flight:  # its body was still coming in: it was nowhere in flight, and took no time
            self.count_in_flight(now, r, a)
            event = event._replace(elapsed=0.0)
        a.is_open = False
        r.open_attempts -= 1
        a.partition.inflight -= 1
        if a.is_stalled:
            a.partition.stalled -= 1
        if event.outcome == "served" and self.stalled_attempts.is_indicative(r) and not a.is_long_overdue:
            self.stalled_attempts.stalled_share.add(now, 0.0)
        outcome: interface.Outcome = "timeout" if a.is_given_up and event.outcome == "cancelled" else event.outcome
        self.learner.learn(now, r, a, event, outcome)
        if outcome not in interface.NEVER_RAN and r.first_possible_run is None:
            r.first_possible_run = a
        if r.is_closed or event.complete:
            self.close(now, r)
        elif r.is_uploading:
            if r.first_possible_run is not None and not r.klass.idempotent:
                self.refuse_or_fail(now, r)
            elif not r.open_attempts:
                self.send_early(now, r)
        elif not r.is_streaming and not r.is_held and not self.retry_elsewhere(now, r, outcome) and not r.open_attempts:
            self.refuse_or_fail(now, r)

    def send_early(self, now: float, r: Request) -> None:
        """An attempt for a body that is still coming in, where there is room: what it has of it by the end is not
        waited for then. One attempt is left for when it is whole."""
        if len(r.attempts) < self.limits.max_attempts - 1 and self.admission.admits(now, r):
            self.send(now, r)

    def on_uploaded(self, now: float, event: interface.UploadEnded) -> None:
        """A body is whole: the request's time begins, and its attempts are in flight from now on."""
        r = self.requests.get(event.request)
        if r is None or r.is_closed or not r.is_uploading:
            return
        r.is_uploading = False
        r.start(now, event.deadline)
        for a in r.attempts:
            if a.is_open:
                a.sent_at, a.overdue_at = now, now + self.stalled_attempts.expected_time(r)
                self.count_in_flight(now, r, a)
        if r.open_attempts:
            self.schedule_hedge(now, r)
        elif r.attempts and not self.may_send(now, r):
            self.refuse_or_fail(now, r)
        elif not self.admission.admits(now, r) or not self.send(now, r):
            self.admission.hold(r)

    def on_stream(self, now: float, event: interface.StreamStarted) -> None:
        """The answer of a streamed request has begun: the other attempts are not needed any more."""
        r = self.requests.get(event.request)
        if r is None or r.is_closed or event.attempt >= len(r.attempts):
            return
        r.is_streaming = True
        winner = r.attempts[event.attempt]
        winner.endpoint.silent_since = NEVER
        self.cancel_others(r, winner)

    def on_membership(self, now: float, news: interface.MembershipUpdate) -> None:
        """Discovery tells of endpoints."""
        if not self.endpoint_list.apply(now, news):
            return
        floor = (
            self.settings.shares.floor_per_s
            / 1000.0
            * (news.of or len(self.endpoint_list.ready))
            / self.settings.group_size
        )
        for budget in (self.retry_budget, self.hedge_budget):
            if budget is not None:
                budget.configure(floor)
        self.admission.start()

    # --- requests ---

    def retry_elsewhere(self, now: float, r: Request, outcome: str) -> bool:
        """An attempt failed: try elsewhere, or wait for room. False where nothing may be sent."""
        if outcome in ("cancelled", "not_sent") or not self.may_send(now, r):
            return False
        if self.retry_budget is not None and outcome != "barred" and not self.retry_budget.take(now):
            return False  # what was barred has reached nobody: another try adds to no load
        if not self.admission.admits(now, r) or not self.send(now, r):
            if r.open_attempts:
                return True
            self.admission.hold(r)
        return True

    def may_send(self, now: float, r: Request) -> bool:
        """Whether the rules allow one more attempt and it can still be of use."""
        if r.is_closed or r.is_streaming or len(r.attempts) >= self.limits.max_attempts:
            return False
        if now + MIN_LATENCIES_LEFT * r.klass.mean_latency > r.target_at and (r.attempts or now >= r.target_at):
            return False
        if r.open_attempts and (not r.klass.idempotent or not self.limits.second_copies):
            return False
        if r.first_possible_run is None or r.klass.idempotent:
            return True
        return (
            r.klass.settings.repeat == "deduplicated" and now < r.first_possible_run.sent_at + r.klass.settings.window
        )

    def may_refuse(self, r: Request) -> bool:
        """A refusal says that a repeat is harmless."""
        if r.klass.idempotent or (r.first_possible_run is None and not r.open_attempts):
            return True
        return r.klass.settings.repeat == "deduplicated" and r.klass.settings.group == "all"

    def refuse_or_fail(self, now: float, r: Request) -> None:
        """The final answer, where no attempt will bring one."""
        # A late answer is worth nothing to some classes: their clients are asked not to come back in vain.
        vain = self.limits.retry_after and r.klass.settings.late_worth == 0
        advice = self.limits.max_retry_after if vain else 0.0
        self.actions.append(interface.Refuse(r.id, advice) if self.may_refuse(r) else interface.Fail(r.id))
        self.close(now, r)

    def close(self, now: float, r: Request) -> None:
        """Nothing more is owed; what is still out is cancelled, and its outcome will still teach."""
        if not r.is_closed:
            r.is_closed = True
            if r.is_held:
                self.admission.release(r)
            if not r.is_streaming:
                self.cancel_others(r, None)
        if not r.open_attempts:
            self.requests.pop(r.id, None)

    def cancel_others(self, r: Request, kept: Attempt | None) -> None:
        """Cancel the open attempts of a request but one, where the limits permit it."""
        if self.limits.cancel and r.open_attempts:
            for n, a in enumerate(r.attempts):
                if a.is_open and a is not kept:
                    self.actions.append(interface.Cancel(r.id, n))

    def send_held(self, now: float) -> None:
        """A refusal for who can no longer be served in time, and room for who is worth most."""
        for r in self.admission.expire_held(now):
            self.refuse_or_fail(now, r)
        if not self.admission.has_capacity():
            return
        for queue in self.admission.held_queues(now):
            while queue and self.admission.has_capacity():
                r = queue[-1]  # the newest: under lasting overload the oldest would all be served too late
                if r.is_held and not self.may_send(now, r):
                    # Guards against a repeat past the window, which may have closed while it was held.
                    self.admission.release(r)
                    self.refuse_or_fail(now, r)
                elif r.is_held:
                    if not self.admission.admits(now, r):
                        break
                    if not self.send(now, r):
                        break
                    self.admission.release(r)
                queue.pop()

    # --- attempts ---

    def send(self, now: float, r: Request) -> bool:
        """Start an attempt on the endpoint that the draw gives; False where none is to be had."""
        e = self.selector.select(now, r)
        if e is None:
            return False
        self.slow_start.on_sent(now, e)
        if not r.attempts:
            self.admission.on_sent(now, r)
        a = Attempt(e, self.endpoint_list.partition_of(e), now, now + self.stalled_attempts.expected_time(r))
        r.attempts.append(a)
        r.open_attempts += 1
        if not r.is_uploading:
            self.count_in_flight(now, r, a)
        # In a crowd work that misses its aim is stopped; else it may run on: a late answer spares a retry.
        self.actions.append(interface.Send(r.id, e.name, r.target_at if self.admission.is_saturated() else r.deadline))
        if not r.is_uploading:
            self.schedule_hedge(now, r)
        return True

    def count_in_flight(self, now: float, r: Request, a: Attempt) -> None:
        """An attempt is in flight from now on, and is to be heard of in its time."""
        e = a.endpoint
        if not e.inflight:
            e.silent_since = now - e.silence(now)
        e.inflight += 1
        a.partition.inflight += 1
        a.is_in_flight = True
        self.stalled_attempts.add(r, a)

    def schedule_hedge(self, now: float, r: Request) -> None:
        """Send one more attempt after the class's delay, where an attempt may run twice."""
        if r.klass.idempotent and self.limits.second_copies:
            r.klass.pending_hedges.append((now + r.klass.hedge_delay, r))

    def send_due_hedges(self, now: float) -> None:
        """A copy for each request whose fixed delay has passed unanswered.

        None in a crowd, nor before the window is known: they could push over a fleet that is barely up
        to its load.
        """
        barred = self.admission.is_saturated() or now < self.learner.first_answer_at + RATE_SPAN
        for k in self.classes:
            while k.pending_hedges and k.pending_hedges[0][0] <= now:
                r = k.pending_hedges.popleft()[1]
                if r.is_closed or not r.open_attempts or barred or self.hedge_tokens < 1.0 or not self.may_send(now, r):
                    continue
                if (self.hedge_budget is None or self.hedge_budget.take(now)) and self.send(now, r):
                    self.hedge_tokens -= 1.0

    # --- time ---

    def set_timer(self, now: float) -> None:
        """One timer is kept, for whatever is due first."""
        due = min(self.endpoint_list.fetch_at, self.stalled_attempts.next_due())
        if self.admission.held_count:
            due = min(due, self.admission.next_due(now))
        for k in self.classes:
            copies = k.pending_hedges
            while copies and copies[0][1].is_closed:
                copies.popleft()
            if copies and copies[0][0] < due:
                due = copies[0][0]
        if due < self.timer_at:
            self.timer_at = due
            self.actions.append(interface.SetTimer(due, "due"))

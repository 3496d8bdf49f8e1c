"""Every decision of the balancer. Settings, events and actions: see interface.py.

The ordinary path: a request goes to the better of two random unused ready endpoints by payoff over
(1 + own in-flight); after each fixed delay without an answer an idempotent one gets a copy on an unused
endpoint; the first good answer wins and the losers are cancelled. The modules beside this one say what is
ready, where to draw, who waits when the fleet is full, and what outcomes teach.
"""

from __future__ import annotations

import random

from .. import interface as i
from ..fleet.limits import Budget
from ..fleet.returns import Returns
from ..fleet.smooth import NEVER
from ..fleet.window import RATE_SPAN
from .admission import Admission
from .cold import Cold
from .crossing import Crossing
from .draws import Draws
from .learning import Learning
from .membership import Membership
from .overdue import FINISH, Overdue
from .requests import Attempt, Klass, Request, Share

COPY_BUDGET = 0.2  # copies per request on the long run: what bounds the extra load
COPY_BURST = 10.0  # copies: what may be saved up of the budget


class Balancer:
    """The decisions of one balancer: feed :meth:`handle` every event, carry out what it returns, in order."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.limits, self.rules = settings.limits, settings.rules
        shares, part = settings.shares, random.Random(seed)
        self.classes = [Klass(c) for c in settings.classes]
        tenants = [t.quota_per_s for t in settings.tenants] or [1.0]
        self.tenants = [Share(q, len(self.classes)) for q in tenants]
        self.list = Membership(settings, self.rng, part)
        self.cold = Cold(settings, self.list)
        self.crossing = Crossing(settings, self.rng)
        self.admission = Admission(settings, self.classes, self.tenants, self.list, self.crossing, self.rng)
        returns = Returns()
        self.draws = Draws(settings, self.classes, self.list, self.cold, self.crossing, returns, self.rng)
        self.learning = Learning(settings, self.list, self.cold, self.crossing, self.admission, returns, self.rng)
        self.overdue = Overdue(settings)
        self.requests: dict[str, Request] = {}
        self.copy_tokens = COPY_BURST
        self.retries = Budget(shares.retry_ratio, part) if shares.retry_ratio else None
        self.copies = Budget(shares.copy_ratio, part) if shares.copy_ratio else None
        self.timer_at = NEVER
        self.out: list[i.Action] = []

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Take in one event and return what to do, in order."""
        self.out = []
        if isinstance(event, i.AttemptEnded):
            self.on_ended(now, event)
        elif isinstance(event, i.RequestArrived):
            self.on_arrived(now, event)
        elif isinstance(event, i.TimerFired):
            if now >= self.timer_at:  # else one that an earlier timer overtook: it is not to be set again
                self.timer_at = NEVER
            self.run_copies(now)
        elif isinstance(event, i.MembershipNews):
            self.on_membership(now, event)
        elif isinstance(event, i.RequestClosed):
            if event.request in self.requests:
                self.close(now, self.requests[event.request])
        elif isinstance(event, i.StreamStarted):
            self.on_stream(now, event)
        elif isinstance(event, i.UploadEnded):
            self.on_uploaded(now, event)
        self.overdue.look(now, self.out)
        if self.admission.held:
            self.serve_held(now)
        if now >= self.list.ask_at:
            self.out.append(i.WatchMembership(True))
            self.list.asked(now)
        self.set_timer(now)
        return self.out

    def on_arrived(self, now: float, event: i.RequestArrived) -> None:
        klass = self.classes[event.klass]
        r = Request(event, klass, self.tenants[event.tenant], now)
        self.requests[r.id] = r
        self.cold.demand.add(now, 0.0)
        klass.demand.add(now, 0.0, klass.mean)
        self.crossing.asked.add(now, self.crossing.gives(r))
        r.place = self.admission.place(now, r)
        self.draws.recent.append(r.key)
        self.copy_tokens = min(COPY_BURST, self.copy_tokens + COPY_BUDGET)
        for budget in (self.retries, self.copies):
            if budget is not None:
                budget.asked(now)
        if r.uploading:
            self.send_early(now, r)
        elif event.client_retry and klass.told.late_worth == 0 and self.admission.crowded():
            # Its first try waited out most of the aim: in a crowd others can still be served in time.
            self.conclude(now, r)
        elif not self.admission.admits(now, r) or not self.send(now, r):
            self.admission.hold(r)

    def on_ended(self, now: float, event: i.AttemptEnded) -> None:
        r = self.requests.get(event.request)
        if r is None or event.attempt >= len(r.attempts):
            return
        a = r.attempts[event.attempt]
        if not a.live:
            return
        if not a.begun:  # its body was still coming in: it was nowhere in flight, and took no time
            self.begin(now, r, a)
            event = event._replace(elapsed=0.0)
        a.live = False
        r.live -= 1
        a.side.inflight -= 1
        if a.passed:
            a.side.overdue -= 1
        if event.outcome == "served" and self.overdue.tells(r) and not a.long:
            self.overdue.silent.add(now, 0.0)
        outcome: i.Outcome = "timeout" if a.given_up and event.outcome == "cancelled" else event.outcome
        self.learning.learn(now, r, a, event, outcome)
        if outcome not in i.NEVER_RAN and r.bound is None:
            r.bound = a
        if r.closed or event.complete:
            self.close(now, r)
        elif r.uploading:
            if r.bound is not None and not r.klass.idempotent:
                self.conclude(now, r)
            elif not r.live:
                self.send_early(now, r)
        elif not r.begun and not r.held and not self.move_on(now, r, outcome) and not r.live:
            self.conclude(now, r)

    def send_early(self, now: float, r: Request) -> None:
        """An attempt for a body that is still coming in, where there is room: what it has of it by the end is not
        waited for then. One attempt is left for when it is whole."""
        if len(r.attempts) < self.limits.max_attempts - 1 and self.admission.admits(now, r):
            self.send(now, r)

    def on_uploaded(self, now: float, event: i.UploadEnded) -> None:
        """A body is whole: the request's time begins, and its attempts are in flight from now on."""
        r = self.requests.get(event.request)
        if r is None or r.closed or not r.uploading:
            return
        r.uploading = False
        r.start(now, event.deadline)
        for a in r.attempts:
            if a.live:
                a.sent_at, a.overdue_at = now, now + self.overdue.usual(r)
                self.begin(now, r, a)
        if r.live:
            self.plan_copy(now, r)
        elif r.attempts and not self.may_send(now, r):
            self.conclude(now, r)
        elif not self.admission.admits(now, r) or not self.send(now, r):
            self.admission.hold(r)

    def on_stream(self, now: float, event: i.StreamStarted) -> None:
        r = self.requests.get(event.request)
        if r is None or r.closed or event.attempt >= len(r.attempts):
            return
        r.begun = True
        winner = r.attempts[event.attempt]
        winner.endpoint.quiet_from = NEVER
        self.cancel_others(r, winner)

    def on_membership(self, now: float, news: i.MembershipNews) -> None:
        if not self.list.take(now, news):
            return
        floor = self.settings.shares.floor_per_s / 1000.0 * (news.of or len(self.list.ready)) / self.settings.group_size
        for budget in (self.retries, self.copies):
            if budget is not None:
                budget.configure(floor)
        self.admission.start()

    # --- requests ---

    def move_on(self, now: float, r: Request, outcome: str) -> bool:
        """An attempt failed: try elsewhere, or wait for room. False where nothing may be sent."""
        if outcome in ("cancelled", "not_sent") or not self.may_send(now, r):
            return False
        if self.retries is not None and outcome != "barred" and not self.retries.take(now):
            return False  # what was barred has reached nobody: another try adds to no load
        if not self.admission.admits(now, r) or not self.send(now, r):
            if r.live:
                return True
            self.admission.hold(r)
        return True

    def may_send(self, now: float, r: Request) -> bool:
        """Whether the rules allow one more attempt and it can still be of use."""
        if r.closed or r.begun or len(r.attempts) >= self.limits.max_attempts:
            return False
        if now + FINISH * r.klass.mean > r.aim_at and (r.attempts or now >= r.aim_at):
            return False
        if r.live and (not r.klass.idempotent or not self.limits.second_copies):
            return False
        if r.bound is None or r.klass.idempotent:
            return True
        return r.klass.told.repeat == "deduplicated" and now < r.bound.sent_at + r.klass.told.window

    def may_refuse(self, r: Request) -> bool:
        """A refusal says that a repeat is harmless."""
        if r.klass.idempotent or (r.bound is None and not r.live):
            return True
        return r.klass.told.repeat == "deduplicated" and r.klass.told.group == "all"

    def conclude(self, now: float, r: Request) -> None:
        """The final answer, where no attempt will bring one."""
        # A late answer is worth nothing to some classes: their clients are asked not to come back in vain.
        vain = self.limits.retry_after and r.klass.told.late_worth == 0
        advice = self.limits.max_retry_after if vain else 0.0
        self.out.append(i.Refuse(r.id, advice) if self.may_refuse(r) else i.Fail(r.id))
        self.close(now, r)

    def close(self, now: float, r: Request) -> None:
        """Nothing more is owed; what is still out is cancelled, and its outcome will still teach."""
        if not r.closed:
            r.closed = True
            if r.held:
                self.admission.release(r)
            if not r.begun:
                self.cancel_others(r, None)
        if not r.live:
            self.requests.pop(r.id, None)

    def cancel_others(self, r: Request, kept: Attempt | None) -> None:
        if self.limits.cancel and r.live:
            for n, a in enumerate(r.attempts):
                if a.live and a is not kept:
                    self.out.append(i.Cancel(r.id, n))

    def serve_held(self, now: float) -> None:
        """A refusal for who can no longer be served in time, and room for who is worth most."""
        for r in self.admission.over(now):
            self.conclude(now, r)
        if not self.admission.room():
            return
        for queue in self.admission.waiting(now):
            while queue and self.admission.room():
                r = queue[-1]  # the newest: under lasting overload the oldest would all be served too late
                if r.held and not self.may_send(now, r):
                    # Guards against a repeat past the window, which may have closed while it was held.
                    self.admission.release(r)
                    self.conclude(now, r)
                elif r.held:
                    if not self.admission.admits(now, r):
                        break
                    if not self.send(now, r):
                        break
                    self.admission.release(r)
                queue.pop()

    # --- attempts ---

    def send(self, now: float, r: Request) -> bool:
        """Start an attempt on the endpoint that the draw gives; False where none is to be had."""
        e = self.draws.draw(now, r)
        if e is None:
            return False
        self.cold.sent(now, e)
        if not r.attempts:
            self.admission.sent(now, r)
        a = Attempt(e, self.list.side(e), now, now + self.overdue.usual(r))
        r.attempts.append(a)
        r.live += 1
        if not r.uploading:
            self.begin(now, r, a)
        # In a crowd work that misses its aim is stopped; else it may run on: a late answer spares a retry.
        self.out.append(i.Send(r.id, e.name, r.aim_at if self.admission.crowded() else r.deadline))
        if not r.uploading:
            self.plan_copy(now, r)
        return True

    def begin(self, now: float, r: Request, a: Attempt) -> None:
        """An attempt is in flight from now on, and is to be heard of in its time."""
        e = a.endpoint
        if not e.inflight:
            e.quiet_from = now - e.silence(now)
        e.inflight += 1
        a.side.inflight += 1
        a.begun = True
        self.overdue.add(r, a)

    def plan_copy(self, now: float, r: Request) -> None:
        if r.klass.idempotent and self.limits.second_copies:
            r.klass.copies.append((now + r.klass.delay, r))

    def run_copies(self, now: float) -> None:
        """A copy for each request whose fixed delay has passed unanswered.

        None in a crowd, nor before the window is known: they could push over a fleet that is barely up
        to its load.
        """
        barred = self.admission.crowded() or now < self.learning.began + RATE_SPAN
        for k in self.classes:
            while k.copies and k.copies[0][0] <= now:
                r = k.copies.popleft()[1]
                if r.closed or not r.live or barred or self.copy_tokens < 1.0 or not self.may_send(now, r):
                    continue
                if (self.copies is None or self.copies.take(now)) and self.send(now, r):
                    self.copy_tokens -= 1.0

    # --- time ---

    def set_timer(self, now: float) -> None:
        """One timer is kept, for whatever is due first."""
        due = min(self.list.ask_at, self.overdue.due())
        if self.admission.held:
            due = min(due, self.admission.due(now))
        for k in self.classes:
            copies = k.copies
            while copies and copies[0][1].closed:
                copies.popleft()
            if copies and copies[0][0] < due:
                due = copies[0][0]
        if due < self.timer_at:
            self.timer_at = due
            self.out.append(i.SetTimer(due, "due"))

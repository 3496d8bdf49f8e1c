"""The balancer: turns events into actions. Settings, events and actions are defined in :mod:`zinclever.interface`.

Usually a request goes to the better of two random ready endpoints that it has not used yet. They are compared by their
payoff (share of good answers over relative latency), divided by (1 + own in-flight requests). After each fixed delay
without an answer an idempotent request is hedged on an endpoint that it has not used; the first good answer wins and
the other attempts are cancelled. The other modules of this package keep the endpoint list,
select endpoints, admit requests and learn from outcomes.
"""

from __future__ import annotations

import random

from .. import interface
from ..fleet.decaying_mean import NEVER
from ..fleet.limits import Budget
from ..fleet.window import RATE_SPAN
from ..fleet.zone_reachability import ZoneReachability
from .admission import Admission
from .endpoint_list import EndpointList
from .learning import OutcomeLearner
from .requests import Attempt, ClassState, Request, TenantState
from .selection import EndpointSelector
from .slow_start import SlowStart
from .stalled_attempts import MIN_LATENCIES_LEFT, StalledAttempts
from .zone_crossing import ZoneCrossing

HEDGES_PER_REQUEST = 0.2  # hedges per request in the long run, which bounds the extra load
HEDGE_BURST = 10.0  # hedges that may be saved up in the budget


class Balancer:
    """The decisions of one balancer.

    Pass every event to :meth:`handle` and carry out the actions that it returns, in their order.
    """

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.limits, self.rules = settings.limits, settings.rules
        shares, limits_rng = settings.shares, random.Random(seed)
        self.classes = [ClassState(c) for c in settings.classes]
        tenants = [tenant.quota_per_s for tenant in settings.tenants] or [1.0]
        self.tenants = [TenantState(q, len(self.classes)) for q in tenants]
        self.endpoint_list = EndpointList(settings, self.rng, limits_rng)
        self.slow_start = SlowStart(settings, self.endpoint_list)
        self.zone_crossing = ZoneCrossing(settings, self.rng)
        self.admission = Admission(
            settings, self.classes, self.tenants, self.endpoint_list, self.zone_crossing, self.rng
        )
        reachability = ZoneReachability()
        self.selector = EndpointSelector(
            settings, self.classes, self.endpoint_list, self.slow_start, self.zone_crossing, reachability, self.rng
        )
        self.learner = OutcomeLearner(
            settings, self.endpoint_list, self.slow_start, self.zone_crossing, self.admission, reachability, self.rng
        )
        self.stalled_attempts = StalledAttempts(settings)
        self.requests: dict[str, Request] = {}
        self.hedge_tokens = HEDGE_BURST
        self.retry_budget = Budget(shares.retry_ratio, limits_rng) if shares.retry_ratio else None
        self.hedge_budget = Budget(shares.copy_ratio, limits_rng) if shares.copy_ratio else None
        self.timer_at = NEVER
        self.actions: list[interface.Action] = []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Process an event and return the resulting actions, in order."""
        self.actions = []
        if isinstance(event, interface.AttemptEnded):
            self.on_ended(now, event)
        elif isinstance(event, interface.RequestArrived):
            self.on_arrived(now, event)
        elif isinstance(event, interface.TimerFired):
            if now >= self.timer_at:  # otherwise this timer was superseded by an earlier one
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
        """Send, hold or refuse a new request."""
        klass = self.classes[event.klass]
        request = Request(event, klass, self.tenants[event.tenant], now)
        self.requests[request.id] = request
        self.slow_start.demand.add(now, 0.0)
        klass.demand.add(now, 0.0, klass.mean_latency)
        self.zone_crossing.request_value.add(now, self.zone_crossing.value(request))
        request.value_rank = self.admission.value_rank(now, request)
        self.selector.recent_keys.append(request.key)
        self.hedge_tokens = min(HEDGE_BURST, self.hedge_tokens + HEDGES_PER_REQUEST)
        for budget in (self.retry_budget, self.hedge_budget):
            if budget is not None:
                budget.on_request(now)
        if request.is_uploading:
            self.send_early(now, request)
        elif event.client_retry and klass.settings.late_worth == 0 and self.admission.is_saturated():
            # The client's first try has used up most of the target; others can still be answered in time.
            self.refuse_or_fail(now, request)
        elif not self.admission.admits(now, request) or not self.send(now, request):
            self.admission.hold(request)

    def on_ended(self, now: float, event: interface.AttemptEnded) -> None:
        """Learn from an attempt that has ended, and retry the request if needed."""
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.is_open:
            return
        if not attempt.is_in_flight:  # its body was still being received, so that its time had not started
            self.count_in_flight(now, request, attempt)
            event = event._replace(elapsed=0.0)
        attempt.is_open = False
        request.open_attempts -= 1
        attempt.partition.inflight -= 1
        if attempt.is_stalled:
            attempt.partition.stalled -= 1
        if event.outcome == "served" and self.stalled_attempts.is_indicative(request) and not attempt.is_long_overdue:
            self.stalled_attempts.stalled_share.add(now, 0.0)
        outcome: interface.Outcome = (
            "timeout" if attempt.is_given_up and event.outcome == "cancelled" else event.outcome
        )
        self.learner.learn(now, request, attempt, event, outcome)
        if outcome not in interface.NEVER_RAN and request.first_possible_run is None:
            request.first_possible_run = attempt
        if request.is_closed or event.complete:
            self.close(now, request)
        elif request.is_uploading:
            if request.first_possible_run is not None and not request.klass.idempotent:
                self.refuse_or_fail(now, request)
            elif not request.open_attempts:
                self.send_early(now, request)
        elif (
            not request.is_streaming
            and not request.is_held
            and not self.retry_elsewhere(now, request, outcome)
            and not request.open_attempts
        ):
            self.refuse_or_fail(now, request)

    def send_early(self, now: float, request: Request) -> None:
        """Start an attempt while the request's body is still being received, if there is capacity.

        The endpoint then has most of the body when the upload ends. One attempt is reserved for the complete body.
        """
        if len(request.attempts) < self.limits.max_attempts - 1 and self.admission.admits(now, request):
            self.send(now, request)

    def on_uploaded(self, now: float, event: interface.UploadEnded) -> None:
        """Start the request's time, as its body is complete. Its open attempts count as in flight from now on."""
        request = self.requests.get(event.request)
        if request is None or request.is_closed or not request.is_uploading:
            return
        request.is_uploading = False
        request.start(now, event.deadline)
        for attempt in request.attempts:
            if attempt.is_open:
                attempt.sent_at, attempt.overdue_at = now, now + self.stalled_attempts.expected_time(request)
                self.count_in_flight(now, request, attempt)
        if request.open_attempts:
            self.schedule_hedge(now, request)
        elif request.attempts and not self.may_send(now, request):
            self.refuse_or_fail(now, request)
        elif not self.admission.admits(now, request) or not self.send(now, request):
            self.admission.hold(request)

    def on_stream(self, now: float, event: interface.StreamStarted) -> None:
        """Cancel the other attempts of a streamed request, as its response has begun."""
        request = self.requests.get(event.request)
        if request is None or request.is_closed or event.attempt >= len(request.attempts):
            return
        request.is_streaming = True
        winner = request.attempts[event.attempt]
        winner.endpoint.silent_since = NEVER
        self.cancel_others(request, winner)

    def on_membership(self, now: float, update: interface.MembershipUpdate) -> None:
        """Apply an update of the endpoint list to windows and budgets."""
        if not self.endpoint_list.apply(now, update):
            return
        floor = (
            self.settings.shares.floor_per_s
            / 1000.0
            * (update.total or len(self.endpoint_list.ready))
            / self.settings.group_size
        )
        for budget in (self.retry_budget, self.hedge_budget):
            if budget is not None:
                budget.configure(floor)
        self.admission.start()

    # --- requests ---

    def retry_elsewhere(self, now: float, request: Request, outcome: str) -> bool:
        """Retry or hold a request whose attempt failed. Returns False if it may not be sent again."""
        if outcome in ("cancelled", "not_sent") or not self.may_send(now, request):
            return False
        if self.retry_budget is not None and outcome != "barred" and not self.retry_budget.take(now):
            return False  # the retry of a barred attempt takes no token: that attempt added no load to an endpoint
        if not self.admission.admits(now, request) or not self.send(now, request):
            if request.open_attempts:
                return True
            self.admission.hold(request)
        return True

    def may_send(self, now: float, request: Request) -> bool:
        """Return whether the limits allow one more attempt and it can still succeed in time."""
        if request.is_closed or request.is_streaming or len(request.attempts) >= self.limits.max_attempts:
            return False
        if now + MIN_LATENCIES_LEFT * request.klass.mean_latency > request.target_at and (
            request.attempts or now >= request.target_at
        ):
            return False
        if request.open_attempts and (not request.klass.idempotent or not self.limits.second_copies):
            return False
        if request.first_possible_run is None or request.klass.idempotent:
            return True
        return (
            request.klass.settings.repeat == "deduplicated"
            and now < request.first_possible_run.sent_at + request.klass.settings.window
        )

    def may_refuse(self, request: Request) -> bool:
        """Return whether the request may be refused: a refusal promises that a retry is harmless."""
        if request.klass.idempotent or (request.first_possible_run is None and not request.open_attempts):
            return True
        return request.klass.settings.repeat == "deduplicated" and request.klass.settings.group == "all"

    def refuse_or_fail(self, now: float, request: Request) -> None:
        """Give the final answer to a request that no attempt will answer."""
        # If late answers have no value, the longest retry delay keeps clients from retrying a request in vain.
        is_futile = self.limits.retry_after and request.klass.settings.late_worth == 0
        retry_after = self.limits.max_retry_after if is_futile else 0.0
        self.actions.append(
            interface.Refuse(request.id, retry_after) if self.may_refuse(request) else interface.Fail(request.id)
        )
        self.close(now, request)

    def close(self, now: float, request: Request) -> None:
        """Close a request and cancel its open attempts unless it streams. Their outcomes are still learned from."""
        if not request.is_closed:
            request.is_closed = True
            if request.is_held:
                self.admission.release(request)
            if not request.is_streaming:
                self.cancel_others(request, None)
        if not request.open_attempts:
            self.requests.pop(request.id, None)

    def cancel_others(self, request: Request, winner: Attempt | None) -> None:
        """Cancel the open attempts of a request except one, if the limits permit it."""
        if self.limits.cancel and request.open_attempts:
            for n, attempt in enumerate(request.attempts):
                if attempt.is_open and attempt is not winner:
                    self.actions.append(interface.Cancel(request.id, n))

    def send_held(self, now: float) -> None:
        """Refuse held requests that would be answered too late; send the most valuable ones while there is capacity."""
        for request in self.admission.expire_held(now):
            self.refuse_or_fail(now, request)
        if not self.admission.has_capacity():
            return
        for queue in self.admission.held_queues(now):
            while queue and self.admission.has_capacity():
                request = queue[-1]  # the newest first: in lasting overload the oldest would all be answered too late
                if request.is_held and not self.may_send(now, request):
                    # The deduplication window may have ended while the request was held.
                    self.admission.release(request)
                    self.refuse_or_fail(now, request)
                elif request.is_held:
                    if not self.admission.admits(now, request):
                        break
                    if not self.send(now, request):
                        break
                    self.admission.release(request)
                queue.pop()

    # --- attempts ---

    def send(self, now: float, request: Request) -> bool:
        """Start an attempt on the selected endpoint. Returns False if there is none."""
        endpoint = self.selector.select(now, request)
        if endpoint is None:
            return False
        self.slow_start.on_sent(now, endpoint)
        if not request.attempts:
            self.admission.on_sent(now, request)
        attempt = Attempt(
            endpoint, self.endpoint_list.partition_of(endpoint), now, now + self.stalled_attempts.expected_time(request)
        )
        request.attempts.append(attempt)
        request.open_attempts += 1
        if not request.is_uploading:
            self.count_in_flight(now, request, attempt)
        # In overload, work that misses its target is stopped. Otherwise it may go on: a late answer saves a retry.
        self.actions.append(
            interface.Send(
                request.id, endpoint.name, request.target_at if self.admission.is_saturated() else request.deadline
            )
        )
        if not request.is_uploading:
            self.schedule_hedge(now, request)
        return True

    def count_in_flight(self, now: float, request: Request, attempt: Attempt) -> None:
        """Count an attempt as in flight from now on, and watch whether it becomes overdue."""
        endpoint = attempt.endpoint
        if not endpoint.inflight:
            endpoint.silent_since = now - endpoint.silence(now)
        endpoint.inflight += 1
        attempt.partition.inflight += 1
        attempt.is_in_flight = True
        self.stalled_attempts.add(request, attempt)

    def schedule_hedge(self, now: float, request: Request) -> None:
        """Schedule a hedge after the class's delay, if the request may run twice."""
        if request.klass.idempotent and self.limits.second_copies:
            request.klass.pending_hedges.append((now + request.klass.hedge_delay, request))

    def send_due_hedges(self, now: float) -> None:
        """Hedge each request that is still unanswered after its delay.

        No hedge is sent in overload or before the in-flight window is known: hedges could overload a fleet that
        has little capacity left.
        """
        is_blocked = self.admission.is_saturated() or now < self.learner.first_answer_at + RATE_SPAN
        for klass in self.classes:
            while klass.pending_hedges and klass.pending_hedges[0][0] <= now:
                request = klass.pending_hedges.popleft()[1]
                if (
                    request.is_closed
                    or not request.open_attempts
                    or is_blocked
                    or self.hedge_tokens < 1.0
                    or not self.may_send(now, request)
                ):
                    continue
                if (self.hedge_budget is None or self.hedge_budget.take(now)) and self.send(now, request):
                    self.hedge_tokens -= 1.0

    # --- time ---

    def set_timer(self, now: float) -> None:
        """Set a timer for the earliest due instant unless an earlier one is set."""
        due = min(self.endpoint_list.fetch_at, self.stalled_attempts.next_due())
        if self.admission.held_count:
            due = min(due, self.admission.next_due(now))
        for klass in self.classes:
            hedges = klass.pending_hedges
            while hedges and hedges[0][1].is_closed:
                hedges.popleft()
            if hedges and hedges[0][0] < due:
                due = hedges[0][0]
        if due < self.timer_at:
            self.timer_at = due
            self.actions.append(interface.SetTimer(due, "due"))

"""Learning from the outcomes of attempts."""

from __future__ import annotations

import random

from .. import interface
from ..fleet.decaying_mean import NEVER
from ..fleet.zone_reachability import ZoneReachability
from .admission import Admission
from .endpoint_list import EndpointList
from .endpoints import Endpoint
from .requests import UNLOADED_LATENCY_SHARE, Attempt, Request
from .slow_start import SlowStart
from .zone_crossing import ZoneCrossing

UNLOADED_MIN_ANSWERS = 50.0  # recent answers above which the lowest mean is kept; before, the current mean is used
UNLOADED_DRIFT = 0.0002  # relative increase of the unloaded latency with each answer


class OutcomeLearner:
    """Updates the statistics of endpoints, classes and zones with the outcome of each attempt."""

    def __init__(
        self,
        settings: interface.Settings,
        endpoint_list: EndpointList,
        slow_start: SlowStart,
        zone_crossing: ZoneCrossing,
        admission: Admission,
        reachability: ZoneReachability,
        rng: random.Random,
    ) -> None:
        self.settings, self.limits, self.rng, self.reachability = settings, settings.limits, rng, reachability
        self.endpoint_list, self.slow_start, self.zone_crossing, self.admission = (
            endpoint_list,
            slow_start,
            zone_crossing,
            admission,
        )
        self.first_answer_at = NEVER  # instant of the first answer

    def learn(
        self, now: float, request: Request, attempt: Attempt, event: interface.AttemptEnded, outcome: interface.Outcome
    ) -> None:
        """Learn from an outcome about the endpoint, the class and the fleet."""
        endpoint, klass = attempt.endpoint, request.klass
        endpoint.inflight -= 1
        if outcome == "barred":
            # No endpoint was reached, so nothing is learned about load. Counting a failure makes others preferred.
            endpoint.success.add(now, 0.0)
            if not endpoint.inflight:
                endpoint.silent_until = now
            return
        # The cost of an answer is the time in flight of all attempts of its request, including cancelled ones.
        count = 1.0 if outcome == "served" else 0.0
        duration = min(event.elapsed, attempt.overdue_at - attempt.sent_at) if attempt.is_stalled else event.elapsed
        klass.occupancy.add(now, duration, 1.0, count)
        if not attempt.is_stalled:  # a stalled attempt is no sign of load
            attempt.partition.window.relative_latency.add(now, duration / klass.unloaded_latency, 1.0, count)
        ratio = event.elapsed / klass.mean_latency
        if outcome == "cancelled":
            # A cancelled attempt counts as served in the time it had waited, with less weight if that was short: one
            # cancelled right after its send would otherwise make the endpoint look fast.
            weight = min(1.0, ratio)
            endpoint.success.add(now, 1.0, weight)
            endpoint.latency.add(now, max(1.0, ratio), weight)
        elif outcome != "not_sent":
            endpoint.success.add(now, count)
        if outcome != "not_sent" and not attempt.is_stalled and (outcome != "cancelled" or ratio >= 1.0):
            # Neither a short wait before a cancellation nor a stalled attempt says anything about load.
            zone = self.zone_crossing.home if endpoint.zone == self.settings.zone else self.zone_crossing.away
            answered = outcome in ("served", "cancelled")
            zone.add(now, max(0.0, 1.0 - event.elapsed / klass.settings.aim) if answered else 0.0)
        if outcome == "served":
            self.on_answer(now, endpoint, event.elapsed / klass.unloaded_latency)
            endpoint.latency.add(now, ratio)
            endpoint.served_at = now
            endpoint.served.add(now, 0.0)
            endpoint.down_until, endpoint.failures = -NEVER, 0
            if endpoint.phase == "ready":
                self.endpoint_list.partition_of(endpoint).mark_up(endpoint)
            klass.latency.add(now, event.elapsed)
            klass.mean_latency = klass.latency.mean(now, UNLOADED_LATENCY_SHARE * klass.settings.aim, 0.3)
            has_history = klass.occupancy.weight > UNLOADED_MIN_ANSWERS
            per_answer = klass.occupancy.mean(now, UNLOADED_LATENCY_SHARE * klass.settings.aim, 0.3)
            klass.unloaded_latency = min(
                klass.unloaded_latency * (1.0 + UNLOADED_DRIFT)
                if has_history
                else UNLOADED_LATENCY_SHARE * klass.settings.aim,
                per_answer,
            )
            attempt.partition.window.served.add(now, 0.0, klass.unloaded_latency)
            self.first_answer_at = min(self.first_answer_at, now)
            self.admission.adapt_window(now, attempt.partition)
        elif outcome == "connect_failed" and endpoint.served_at < attempt.sent_at:
            # Without an answer since the send the endpoint is down; otherwise its connections are used up.
            endpoint.failures += 1
            if self.reachability.state_of(endpoint.zone).on_failure(now) is (endpoint.presumed_cold_at < NEVER):
                self.slow_start.mark_cold(now, endpoint, NEVER if endpoint.presumed_cold_at < NEVER else -NEVER)
            duration = self.limits.connect_timeout * 2.0 ** min(endpoint.failures, 5)
            endpoint.down_until = now + duration * (0.5 + self.rng.random())
            if endpoint.phase == "ready":
                self.endpoint_list.partition_of(endpoint).mark_down(now, endpoint)
        if outcome in ("served", "error", "full"):
            endpoint.silent_since = now if endpoint.inflight else NEVER
        elif not endpoint.inflight:
            endpoint.silent_until = now

    def on_answer(self, now: float, endpoint: Endpoint, ratio: float) -> None:
        """Update reachability and slow start with an answer that took ``ratio`` times the unloaded latency.

        Protects endpoints that have just started while the lists of hundreds of balancers are late: each balancer would
        send them as much as it sends to a warm endpoint.
        """
        since = self.reachability.on_answer(now, endpoint.zone)
        if since is not None:
            self.slow_start.presume_cold(now, endpoint.zone, since)
            self.zone_crossing.on_zone_returned(endpoint.zone)
        elif endpoint.presumed_cold_at == NEVER:
            self.slow_start.mark_cold(now, endpoint, now if self.slow_start.is_cold(now, endpoint) else -NEVER)
        elif -NEVER < endpoint.presumed_cold_at == self.reachability.zones[
            endpoint.zone
        ].returned_at and self.reachability.zones[endpoint.zone].confirms_warm(ratio):
            self.slow_start.withdraw_presumption(now, endpoint.zone, endpoint.presumed_cold_at)

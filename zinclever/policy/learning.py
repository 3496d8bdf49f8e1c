"""What outcomes teach of endpoints, classes and the fleet."""

from __future__ import annotations

import random

from .. import interface as i
from ..fleet.returns import Returns
from ..fleet.smooth import NEVER
from .admission import Admission
from .cold import Cold
from .crossing import Crossing
from .endpoints import Endpoint
from .membership import Membership
from .requests import BASE_SHARE, Attempt, Request

BASE_FROM = 50.0  # answers from which on the lowest mean is kept; before, the mean of the moment is taken
BASE_DRIFT = 0.0002  # part by which the uncrowded latency may rise again with each answer


class Learning:
    """Takes in how attempts ended."""

    def __init__(
        self,
        settings: i.Settings,
        members: Membership,
        cold: Cold,
        crossing: Crossing,
        admission: Admission,
        returns: Returns,
        rng: random.Random,
    ) -> None:
        self.settings, self.limits, self.rng, self.returns = settings, settings.limits, rng, returns
        self.list, self.cold, self.crossing, self.admission = members, cold, crossing, admission
        self.began = NEVER  # first answer

    def learn(self, now: float, r: Request, a: Attempt, event: i.AttemptEnded, outcome: i.Outcome) -> None:
        """What an outcome teaches of the endpoint, of the class and of the fleet."""
        e, k = a.endpoint, r.klass
        e.inflight -= 1
        if outcome == "barred":
            # It reached nobody and tells of no crowd; but those that are connected are to be drawn now.
            e.good.add(now, 0.0)
            if not e.inflight:
                e.quiet_to = now
            return
        # An answer costs what all its attempts were out for, losers included.
        count = 1.0 if outcome == "served" else 0.0
        span = min(event.elapsed, a.overdue_at - a.sent_at) if a.passed else event.elapsed
        k.occupied.add(now, span, 1.0, count)
        if not a.passed:  # what is swallowed makes no crowd
            a.side.window.load.add(now, span / k.low, 1.0, count)
        ratio = event.elapsed / k.mean
        if outcome == "cancelled":
            # A loser counts as served at the time it had waited, and for less if that was short: one
            # cancelled right after its send would else make the endpoint look fast.
            weight = min(1.0, ratio)
            e.good.add(now, 1.0, weight)
            e.latency.add(now, max(1.0, ratio), weight)
        elif outcome != "not_sent":
            e.good.add(now, count)
        if outcome != "not_sent" and not a.passed and (outcome != "cancelled" or ratio >= 1.0):
            # The short wait of a loser says nothing of the crowd, nor does what was swallowed.
            zone = self.crossing.home if e.zone == self.settings.zone else self.crossing.away
            answered = outcome in ("served", "cancelled")
            zone.add(now, max(0.0, 1.0 - event.elapsed / k.told.aim) if answered else 0.0)
        if outcome == "served":
            self.reached(now, e, event.elapsed / k.low)
            e.latency.add(now, ratio)
            e.served_at = now
            e.served.add(now, 0.0)
            e.down_until, e.failures = -NEVER, 0
            if e.phase == "ready":
                self.list.side(e).rise(e)
            k.latency.add(now, event.elapsed)
            k.mean = k.latency.mean(now, BASE_SHARE * k.told.aim, 0.3)
            known = k.occupied.weight > BASE_FROM
            per_answer = k.occupied.mean(now, BASE_SHARE * k.told.aim, 0.3)
            k.low = min(k.low * (1.0 + BASE_DRIFT) if known else BASE_SHARE * k.told.aim, per_answer)
            a.side.window.served.add(now, 0.0, k.low)
            self.began = min(self.began, now)
            self.admission.steer(now, a.side)
        elif outcome == "connect_failed" and e.served_at < a.sent_at:
            # No word since the send: down. With answers in between, its connection table is full.
            e.failures += 1
            if self.returns.outage(e.zone).failed(now) is (e.presumed_at < NEVER):
                self.cold.take_for_cold(now, e, NEVER if e.presumed_at < NEVER else -NEVER)
            span = self.limits.connect_timeout * 2.0 ** min(e.failures, 5)
            e.down_until = now + span * (0.5 + self.rng.random())
            if e.phase == "ready":
                self.list.side(e).fell(now, e)
        if outcome in ("served", "error", "full"):
            e.quiet_from = now if e.inflight else NEVER
        elif not e.inflight:
            e.quiet_to = now

    def reached(self, now: float, e: Endpoint, ratio: float) -> None:
        """An answer, after ``ratio`` times what an uncrowded fleet takes.

        Guards cold endpoints against hundreds of balancers whose lists are late: each sends what a warm one gets.
        """
        since = self.returns.answered(now, e.zone)
        if since is not None:
            self.cold.presume(now, e.zone, since)
            self.crossing.returned(e.zone)
        elif e.presumed_at == NEVER:
            self.cold.take_for_cold(now, e, now if self.cold.cold(now, e) else -NEVER)
        elif -NEVER < e.presumed_at == self.returns.zones[e.zone].back_at and self.returns.zones[e.zone].judge(ratio):
            self.cold.dispel(now, e.zone, e.presumed_at)

"""Zone crossing and load shedding, by how much of the latency target the answers of each side leave."""

from __future__ import annotations

import random

from .. import interface
from ..fleet.decaying_mean import DECAY_TIME, DecayingMean
from .requests import UNLOADED_LATENCY_SHARE, Request

CROSSING_STEP = 0.25  # of the price: gain, as a share of the target, above which some requests leave home
HOME_PRIOR = 0.3  # weight, in answers, of the prior that home is as good as the other zones
TARGET_SLACK = 0.5  # requests are shed if answers leave less than this share of the target; most at half of it
SHED_PRIOR = 3.0  # weight of the prior, in attempts; nothing is shed before more attempts have ended
MAX_SHED_SHARE = 0.95  # largest share of the demand that is shed; the rest shows when the overload is over


class ZoneCrossing:
    """Compares the home zone with the other zones, and decides which requests cross and what share is shed."""

    def __init__(self, settings: interface.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.home, self.away = DecayingMean(2 * DECAY_TIME), DecayingMean(2 * DECAY_TIME)  # share of the target left
        self.request_value = DecayingMean(2 * DECAY_TIME)  # mean value of a request

    def on_zone_returned(self, zone: int) -> None:
        """Forget the statistics of a zone that has returned: those of its outage would keep requests away too long."""
        if zone == self.settings.zone:
            self.home = DecayingMean(2 * DECAY_TIME)
        else:
            self.away = DecayingMean(2 * DECAY_TIME)

    def value(self, request: Request) -> float:
        """Return the value of an answer in time to a request."""
        return request.klass.settings.value * (
            (request.work or request.klass.mean_latency) if self.settings.value_by == "work" else 1.0
        )

    def relative_value(self, now: float, request: Request) -> float:
        """Return the value of a request relative to the mean."""
        return self.value(request) / self.request_value.mean(now, self.value(request), 1.0)

    def crosses(self, now: float, request: Request) -> bool:
        """Return whether an attempt leaves the home zone, at random between one and two thresholds.

        It is more likely the further home falls behind and the more valuable the request is, as the price of
        crossing is the same for all. This relieves a home zone with more traffic than its endpoints can carry. Requests
        of little value stay, so that a home zone does not become idle and unobserved.
        """
        threshold = CROSSING_STEP * self.settings.prices.cross_zone
        away = self.away.mean(now, 1.0 - UNLOADED_LATENCY_SHARE, 1.0)
        gain = away - self.home.mean(now, away, HOME_PRIOR)  # an old record of home fades, so that it is tried again
        gain *= self.relative_value(now, request)
        return gain > threshold and gain > threshold * (1.0 + self.rng.random())

    def shed_share(self, now: float) -> float:
        """Return the share of the demand to shed, the least valuable first, when answers leave little of their target.

        Covers overload that no in-flight window shows: hundreds of balancers with one or two requests each.
        """
        home_weight, away_weight = self.home.decay(now), self.away.decay(now)
        weight = self.home.weight * home_weight + self.away.weight * away_weight
        if weight <= SHED_PRIOR:
            return 0.0
        total = self.home.total * home_weight + self.away.total * away_weight
        slack = (total + SHED_PRIOR * (1.0 - UNLOADED_LATENCY_SHARE)) / (weight + SHED_PRIOR)
        return min(MAX_SHED_SHARE, max(0.0, 2.0 - 2.0 * slack / TARGET_SLACK))

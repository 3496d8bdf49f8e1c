"""What answers leave of their aim at home and away: when to cross, and when to hold back."""

from __future__ import annotations

import random

from .. import interface
from ..fleet.smooth import DECAY_TIME, DecayingMean
from .requests import UNCROWDED_LATENCY_SHARE, Request

CROSSING_STEP = 0.25  # of the price: gain in aims from which on some leave the zone; it also relieves who stay
HOME_PRIOR = 0.3  # answers that it takes to outweigh the guess that home is as good as the other zones
TARGET_SLACK = 0.5  # share of the aim that answers leave on average, below which some are held; all at half
SHED_PRIOR = 3.0  # attempts that tell nothing yet, and that it takes to outweigh what is usual
MAX_SHED_SHARE = 0.95  # share of the demand held back at the most: the rest tells when the crowd has gone


class ZoneCrossing:
    """What the home zone and the others leave of the aim, and which requests are worth a crossing."""

    def __init__(self, settings: interface.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.home, self.away = (
            DecayingMean(2 * DECAY_TIME),
            DecayingMean(2 * DECAY_TIME),
        )  # share of the aim that answers left
        self.request_value = DecayingMean(2 * DECAY_TIME)  # worth of a request

    def on_zone_returned(self, zone: int) -> None:
        """A zone is back: what its outage taught would keep requests away for as long again."""
        if zone == self.settings.zone:
            self.home = DecayingMean(2 * DECAY_TIME)
        else:
            self.away = DecayingMean(2 * DECAY_TIME)

    def value(self, request: Request) -> float:
        """What an answer in time to this request is worth."""
        return request.klass.settings.value * (
            (request.work or request.klass.mean_latency) if self.settings.value_by == "work" else 1.0
        )

    def relative_value(self, now: float, request: Request) -> float:
        """What an answer to this request is worth, over the usual."""
        return self.value(request) / self.request_value.mean(now, self.value(request), 1.0)

    def crosses(self, now: float, request: Request) -> bool:
        """Whether an attempt leaves the zone: the likelier the further home falls behind and the more the
        request is worth, as crossing costs the same for all.

        Guards against a home zone with more traffic than its endpoints can carry, and against one that is
        left by all, stands idle and is not heard of again: what is worth little stays.
        """
        threshold = CROSSING_STEP * self.settings.prices.cross_zone
        away = self.away.mean(now, 1.0 - UNCROWDED_LATENCY_SHARE, 1.0)
        gain = away - self.home.mean(now, away, HOME_PRIOR)  # a home not heard of lately is given another chance
        gain *= self.relative_value(now, request)
        return gain > threshold and gain > threshold * (1.0 + self.rng.random())

    def shed_share(self, now: float) -> float:
        """Share of the demand that is held back, least worth first, as answers leave little of their aim.

        Guards against a crowd that no window shows: hundreds of balancers with one or two requests each.
        """
        home_weight, away_weight = self.home.decay(now), self.away.decay(now)
        weight = self.home.weight * home_weight + self.away.weight * away_weight
        if weight <= SHED_PRIOR:
            return 0.0
        total = self.home.total * home_weight + self.away.total * away_weight
        slack = (total + SHED_PRIOR * (1.0 - UNCROWDED_LATENCY_SHARE)) / (weight + SHED_PRIOR)
        return min(MAX_SHED_SHARE, max(0.0, 2.0 - 2.0 * slack / TARGET_SLACK))

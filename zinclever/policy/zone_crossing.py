"""What answers leave of their aim at home and away: when to cross, and when to hold back."""

from __future__ import annotations

import random

from .. import interface
from ..fleet.smooth import MEMORY, Smooth
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
        self.home, self.away = Smooth(2 * MEMORY), Smooth(2 * MEMORY)  # share of the aim that answers left
        self.request_worth = Smooth(2 * MEMORY)  # worth of a request

    def on_zone_returned(self, zone: int) -> None:
        """A zone is back: what its outage taught would keep requests away for as long again."""
        if zone == self.settings.zone:
            self.home = Smooth(2 * MEMORY)
        else:
            self.away = Smooth(2 * MEMORY)

    def worth(self, r: Request) -> float:
        """What an answer in time to this request is worth."""
        return r.klass.settings.value * ((r.work or r.klass.mean_latency) if self.settings.value_by == "work" else 1.0)

    def relative_worth(self, now: float, r: Request) -> float:
        """What an answer to this request is worth, over the usual."""
        return self.worth(r) / self.request_worth.mean(now, self.worth(r), 1.0)

    def crosses(self, now: float, r: Request) -> bool:
        """Whether an attempt leaves the zone: the likelier the further home falls behind and the more the
        request is worth, as crossing costs the same for all.

        Guards against a home zone with more traffic than its endpoints can carry, and against one that is
        left by all, stands idle and is not heard of again: what is worth little stays.
        """
        step = CROSSING_STEP * self.settings.prices.cross_zone
        away = self.away.mean(now, 1.0 - UNCROWDED_LATENCY_SHARE, 1.0)
        gain = away - self.home.mean(now, away, HOME_PRIOR)  # a home not heard of lately is given another chance
        gain *= self.relative_worth(now, r)
        return gain > step and gain > step * (1.0 + self.rng.random())

    def shed_share(self, now: float) -> float:
        """Share of the demand that is held back, least worth first, as answers leave little of their aim.

        Guards against a crowd that no window shows: hundreds of balancers with one or two requests each.
        """
        near, far = self.home.kept(now), self.away.kept(now)
        weight = self.home.weight * near + self.away.weight * far
        if weight <= SHED_PRIOR:
            return 0.0
        total = self.home.total * near + self.away.total * far
        ease = (total + SHED_PRIOR * (1.0 - UNCROWDED_LATENCY_SHARE)) / (weight + SHED_PRIOR)
        return min(MAX_SHED_SHARE, max(0.0, 2.0 - 2.0 * ease / TARGET_SLACK))

"""Admission in the mesh: whoever keeps an endpoint knows its turns, so that nobody else guesses at them."""

from __future__ import annotations

import heapq
import math

from ...policy import Balancer
from ...policy.admission import Admission
from ...policy.cold import Cold
from ...policy.endpoints import Endpoint
from ...policy.requests import Request
from ...policy.sides import Side

HOLD_SHARE = (
    0.2  # of its aim for which a request may wait here for an endpoint to appear: refused then, it may come again
)


class IngressAdmission(Admission):
    """Lets everything out. The windows of a sidecar that is alone are a guess at what endpoints can carry, made of a
    few answers each; their keepers say it of each request, at once, and a request moves on from one that is full."""

    def room(self) -> bool:
        return True

    def crowded(self) -> bool:
        """Copies are barred by the keepers, each where it is busy."""
        return False

    def admits(self, now: float, r: Request) -> bool:
        return True

    def steer(self, now: float, side: Side) -> None:
        """There is no window."""

    def start(self) -> None:
        for side in (self.list.near, self.list.far):
            side.window.size = math.inf

    def hold(self, r: Request) -> None:
        """No endpoint is to be had: one may be in a moment."""
        super().hold(r)
        told = r.klass.told
        heapq.heappush(self.patience, (r.deadline - told.deadline + HOLD_SHARE * told.aim, self.count, r))


class IngressSlowStart(Cold):
    """Fresh endpoints need no guard here: their keepers send them no more than they have slots. What the guard of a
    sidecar that is alone goes by, what warm ones answer to it, is nothing after a start of all."""

    def cold(self, now: float, e: Endpoint) -> bool:
        return False

    def warm_enough(self, now: float, e: Endpoint) -> bool:
        return True

    def sent(self, now: float, e: Endpoint) -> None:
        """Nothing is saved up."""


def delegate_to_ingress(balancer: Balancer) -> None:
    """Have a balancer that has served nothing yet leave admission, and the guard of what is cold, to the keepers."""
    old = balancer.admission
    made = IngressAdmission(old.settings, old.classes, old.tenants, old.list, old.crossing, old.rng)
    balancer.admission = balancer.learning.admission = made
    made.start()
    cold = IngressSlowStart(balancer.settings, balancer.list)
    balancer.cold = balancer.draws.cold = balancer.learning.cold = cold

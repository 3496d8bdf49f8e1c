"""Admission in the mesh: the ingress in front of an endpoint knows its free slots, so that no sidecar has to guess."""

from __future__ import annotations

import heapq
import math

from ...policy import Balancer
from ...policy.admission import Admission
from ...policy.endpoints import Endpoint
from ...policy.partition import ZonePartition
from ...policy.requests import Request
from ...policy.slow_start import SlowStart

HOLD_SHARE = 0.2  # of its latency target for which a request waits for an endpoint to appear, before it is refused


class IngressAdmission(Admission):
    """Admits everything.

    The concurrency windows of a sidecar that is alone are a guess at what endpoints can carry, made of a few answers
    each; their ingress says it of each request, at once, and a request moves on from one that has no capacity.
    """

    def has_capacity(self) -> bool:
        """There is no concurrency window."""
        return True

    def is_saturated(self) -> bool:
        """Hedges are refused by the ingress, each where it is busy."""
        return False

    def admits(self, now: float, r: Request) -> bool:
        """Every request is sent at once."""
        return True

    def adapt_window(self, now: float, side: ZonePartition) -> None:
        """There is no window to adapt."""

    def start(self) -> None:
        """Open all windows."""
        for side in (self.endpoint_list.near, self.endpoint_list.far):
            side.window.size = math.inf

    def hold(self, r: Request) -> None:
        """No endpoint is known: one may be in a moment."""
        super().hold(r)
        told = r.klass.settings
        heapq.heappush(self.hold_deadlines, (r.deadline - told.deadline + HOLD_SHARE * told.aim, self.sequence, r))


class IngressSlowStart(SlowStart):
    """Doesn't protect endpoints that start: their ingress sends them no more than they have slots.

    What the slow start of a sidecar that is alone goes by, what warm endpoints answer to it, is nothing after a start
    of all.
    """

    def is_cold(self, now: float, e: Endpoint) -> bool:
        """No endpoint counts as cold."""
        return False

    def admits(self, now: float, e: Endpoint) -> bool:
        """Every endpoint counts as warm."""
        return True

    def on_sent(self, now: float, e: Endpoint) -> None:
        """Nothing is counted."""


def delegate_to_ingress(balancer: Balancer) -> None:
    """Have a balancer that has served nothing yet leave admission and slow start to the ingress."""
    old = balancer.admission
    admission = IngressAdmission(old.settings, old.classes, old.tenants, old.endpoint_list, old.zone_crossing, old.rng)
    balancer.admission = balancer.learner.admission = admission
    admission.start()
    slow_start = IngressSlowStart(balancer.settings, balancer.endpoint_list)
    balancer.slow_start = balancer.selector.slow_start = balancer.learner.slow_start = slow_start

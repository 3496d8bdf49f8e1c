"""Admission control in the mesh, which is left to the ingress of each endpoint, as the ingress knows the free slots."""

from __future__ import annotations

import heapq
import math

from ...policy import Balancer
from ...policy.admission import Admission
from ...policy.endpoints import Endpoint
from ...policy.partition import ZonePartition
from ...policy.requests import Request
from ...policy.slow_start import SlowStart

HOLD_SHARE = 0.2  # of the latency target; a request is refused if no endpoint becomes known within this time


class IngressAdmission(Admission):
    """Admits every request.

    A standalone sidecar estimates the capacity of endpoints from the few answers that it gets, and limits its
    concurrency accordingly. In the mesh, the ingress in front of an endpoint rejects requests beyond its capacity
    immediately, and they are retried at other endpoints.
    """

    def has_capacity(self) -> bool:
        """Return True: there is no concurrency window."""
        return True

    def is_saturated(self) -> bool:
        """Return False: a busy ingress refuses hedges itself."""
        return False

    def admits(self, now: float, r: Request) -> bool:
        """Return True: every request is sent immediately."""
        return True

    def adapt_window(self, now: float, side: ZonePartition) -> None:
        """Do nothing: there is no window to adapt."""

    def start(self) -> None:
        """Set the concurrency windows to unlimited."""
        for side in (self.endpoint_list.near, self.endpoint_list.far):
            side.window.size = math.inf

    def hold(self, r: Request) -> None:
        """Hold a request briefly while no endpoint is known, as one may appear."""
        super().hold(r)
        class_settings = r.klass.settings
        heapq.heappush(
            self.hold_deadlines,
            (r.deadline - class_settings.deadline + HOLD_SHARE * class_settings.aim, self.sequence, r),
        )


class IngressSlowStart(SlowStart):
    """Applies no slow start: the ingress of an endpoint sends it no more requests than it has slots.

    The slow start of a standalone sidecar is based on the answer rate of endpoints that have completed theirs, which is
    unknown when all endpoints have just started.
    """

    def is_cold(self, now: float, e: Endpoint) -> bool:
        """Return False: no endpoint is in slow start."""
        return False

    def admits(self, now: float, e: Endpoint) -> bool:
        """Return True: no endpoint is limited by slow start."""
        return True

    def on_sent(self, now: float, e: Endpoint) -> None:
        """Do nothing: no sends are counted."""


def delegate_to_ingress(balancer: Balancer) -> None:
    """Make an unused balancer leave admission and slow start to the ingress."""
    old = balancer.admission
    admission = IngressAdmission(old.settings, old.classes, old.tenants, old.endpoint_list, old.zone_crossing, old.rng)
    balancer.admission = balancer.learner.admission = admission
    admission.start()
    slow_start = IngressSlowStart(balancer.settings, balancer.endpoint_list)
    balancer.slow_start = balancer.selector.slow_start = balancer.learner.slow_start = slow_start

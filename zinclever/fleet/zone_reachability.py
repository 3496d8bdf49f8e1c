"""Zones that were unreachable and have returned: whether to presume that their servers are cold.

In a large group the list is late: when discovery reports a new process to hundreds of instances, each of them has
already sent it a request, as to a warm server. So an instance goes by its own observation: a zone that could not be
reached for a while and now can be has most likely been restarted. If its first answers are as quick as usual, it was
not (a network path was cut, for instance), and the presumption ends.
"""

from __future__ import annotations

import math
from random import Random
from typing import Literal

# Fewer failures may be a short disturbance; this many show that the path is lost.
OUTAGE_FAILURES = 3  # consecutive failures to connect, without an answer between, that count as an outage
MIN_OUTAGE = 1000.0  # ms from the first failure to the return; a process does not restart in less
MIN_JUDGED_ANSWERS = 3  # answers after which their latency is judged
PROBE_SHARE = 0.1  # share of draws that go to the unreachable side
MAX_WARM_RATIO = 1.4  # mean answer time of a warm zone, over the unloaded latency; a cold server takes at least 1.5


Side = Literal["home", "away", "either"]


def is_presumed_cold(warm_before: float, cold_since: float, failures: int, refusals: int) -> bool:
    """Return whether an endpoint that has been marked as cold at ``cold_since`` still counts as cold.

    An instant up to ``warm_before`` is long enough ago. Infinity stands for an endpoint that was unreachable while its
    zone was not; when it answers, it has probably been restarted. A single failure does not count, unless calls to
    discovery were refused (``refusals``), so that a restart would not be reported.
    """
    if cold_since < math.inf:
        return cold_since > warm_before
    return failures > 1 or (failures > 0 and refusals > 0)


class ZoneState:
    """What this instance has observed of a zone."""

    __slots__ = ("answered_at", "answers", "failing_since", "failures", "ratio_sum", "returned_at")

    def __init__(self) -> None:
        self.failures = 0
        self.failing_since = math.inf  # ms: instant of the first of the failures
        self.answered_at = self.returned_at = -math.inf  # ms: instants of the latest answer and return
        self.answers, self.ratio_sum = 0, 0.0  # answers since the return, sum of their latency ratios

    def on_failure(self, now: float) -> bool:
        """Count a failure to connect. Returns whether the zone still counts as reachable."""
        if not self.failures:
            self.failing_since = now
        self.failures += 1
        return not self.is_out()

    def is_out(self) -> bool:
        """Return whether the zone counts as unreachable."""
        return self.failures >= OUTAGE_FAILURES

    def on_answer(self, now: float) -> bool:
        """Count an answer. Returns whether the zone has returned from an outage."""
        is_return = self.is_out() and now - self.failing_since >= MIN_OUTAGE
        self.failures, self.failing_since, self.answered_at = 0, math.inf, now
        if is_return:
            self.returned_at, self.answers, self.ratio_sum = now, 0, 0.0
        return is_return

    def has_answered_since(self, since: float) -> bool:
        """Return whether the zone has answered since an instant without having returned from an outage since then."""
        return self.answered_at > since > self.returned_at

    def confirms_warm(self, ratio: float) -> bool:
        """Count an answer of a zone that is presumed cold, which took ``ratio`` times the unloaded latency.

        Returns whether its answers show that the zone is not cold.
        """
        self.answers += 1
        self.ratio_sum += ratio
        return self.answers >= MIN_JUDGED_ANSWERS and self.ratio_sum <= MAX_WARM_RATIO * self.answers


class ZoneReachability:
    """The state of each zone of an instance's list: unreachable, or returned from an outage."""

    def __init__(self) -> None:
        self.zones: dict[int, ZoneState] = {}

    def state_of(self, zone: int) -> ZoneState:
        """Return the state of a zone, which is created if needed."""
        if zone not in self.zones:
            self.zones[zone] = ZoneState()
        return self.zones[zone]

    def reachable_side(self, home: int, rng: Random) -> Side:
        """Return the side to draw from if the other one can't be reached, else ``either``.

        A share of PROBE_SHARE of the draws goes to the unreachable side, so that its return is noticed.
        """
        home_out, others_out, others = False, 0, 0
        for zone, zone_state in self.zones.items():
            if zone == home:
                home_out = zone_state.is_out()
            else:
                others += 1
                others_out += zone_state.is_out()
        if home_out is (0 < others_out == others):
            return "either"
        return "home" if home_out is (rng.random() < PROBE_SHARE) else "away"

    def on_answer(self, now: float, zone: int) -> float | None:
        """Count an answer from a zone. Returns the start of the zone's outage if it has just returned, else None.

        Endpoints of the zone that have not answered since then are to be presumed cold. If all zones were unreachable,
        the fault may be on this instance's side, and the result is None.
        """
        state = self.state_of(zone)
        since = state.failing_since
        if not state.on_answer(now) or not any(s.has_answered_since(since) for z, s in self.zones.items() if z != zone):
            return None
        return since

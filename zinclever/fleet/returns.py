"""Servers that were out and are back: whether they are to be taken for cold before any list says so.

At scale a list is late: by the time that discovery has told hundreds of instances of a new process, each has sent it
what a warm one gets, one request each. What an instance has seen itself comes first: that nothing could be reached for
a while, and that it can be now. Whoever comes back so has most likely started anew. Where the first answers are as
quick as usual it has not (a path was cut, say), and the presumption ends.
"""

from __future__ import annotations

import math
from random import Random
from typing import Literal

OUTAGE_FAILURES = (
    3  # failures to connect, one after another with no answer between: a path that is lost, not a bad moment
)
MIN_OUTAGE = 1000.0  # ms between the first of them and the return: a process doesn't start anew in less
MIN_JUDGED_ANSWERS = 3  # answers from which on their time is judged
PROBE_SHARE = 0.1  # of the draws that go to what is lost
MAX_WARM_RATIO = 1.4  # of the uncrowded time, on average: a cold server takes at least half as long again


Side = Literal["home", "away", "either"]


def is_presumed_cold(warm_before: float, cold_since: float, failures: int, refusals: int) -> bool:
    """Whether an endpoint taken for cold at an instant is so still; it would be warm if that was before ``since``.

    At infinity: it was out, by itself, and will have started anew when it answers. One failure in a row may be a bad
    moment, unless discovery, which refused so often, would not tell of a start.
    """
    if cold_since < math.inf:
        return cold_since > warm_before
    return failures > 1 or (failures > 0 and refusals > 0)


class ZoneState:
    """What one instance has seen of one zone."""

    __slots__ = ("answered_at", "answers", "failing_since", "failures", "ratio_sum", "returned_at")

    def __init__(self) -> None:
        self.failures = 0
        self.failing_since = math.inf  # ms: first of the failures
        self.answered_at = self.returned_at = -math.inf  # ms: latest answer, latest return
        self.answers, self.ratio_sum = 0, 0.0  # since its return

    def on_failure(self, now: float) -> bool:
        """An attempt found no way there; whether the endpoint it went to may be out by itself: where the whole zone
        can't be reached, that says nothing of the one."""
        if not self.failures:
            self.failing_since = now
        self.failures += 1
        return not self.is_out()

    def is_out(self) -> bool:
        return self.failures >= OUTAGE_FAILURES

    def on_answer(self, now: float) -> bool:
        """Something was reached; whether that is a return from an outage."""
        is_return = self.is_out() and now - self.failing_since >= MIN_OUTAGE
        self.failures, self.failing_since, self.answered_at = 0, math.inf, now
        if is_return:
            self.returned_at, self.answers, self.ratio_sum = now, 0, 0.0
        return is_return

    def has_answered_since(self, since: float) -> bool:
        """Whether it has answered since, and not only after an outage of its own."""
        return self.answered_at > since > self.returned_at

    def confirms_warm(self, ratio: float) -> bool:
        """What is presumed to be cold took ``ratio`` times the uncrowded time for an answer; whether that ends it."""
        self.answers += 1
        self.ratio_sum += ratio
        return self.answers >= MIN_JUDGED_ANSWERS and self.ratio_sum <= MAX_WARM_RATIO * self.answers


class ZoneReachability:
    """The zones of one instance's list: which can't be reached, and which are back."""

    def __init__(self) -> None:
        self.zones: dict[int, ZoneState] = {}

    def state_of(self, zone: int) -> ZoneState:
        if zone not in self.zones:
            self.zones[zone] = ZoneState()
        return self.zones[zone]

    def reachable_side(self, home: int, rng: Random) -> Side:
        """Where draws are to go alone, as the rest can't be reached: the home zone, the others, or either.

        One in :data:`PROBE_SHARE` tries what is lost, so that its return is seen.
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
        """An endpoint of a zone has answered. Where the zone has been out while another answered, since when; what has
        not been heard of since is to be taken for cold. Where all were out the fault is as likely on this side."""
        state = self.state_of(zone)
        since = state.failing_since
        if not state.on_answer(now) or not any(s.has_answered_since(since) for z, s in self.zones.items() if z != zone):
            return None
        return since

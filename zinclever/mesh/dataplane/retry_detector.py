"""Which requests have come back after a refusal, and how much of their clients' time is gone. Pure.

A client's first try says how long it will wait in all, and that is the same for all requests of a kind; a further try
says what is left. So what is short of the longest time seen lately on a route has been used up before. Where times
are all different, as those of calls that end with their parents', nothing is told from them.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

WINDOW = 20.0  # s for which what was seen holds
TIMEOUT_SLACK = 0.005  # s that a first try may be short by: it is told in whole ms, and has taken a while to come
MIN_FIRST_TRY_SHARE = 0.3  # of the requests of a route that have to be first tries, for any to count as a further one
MIN_USED = 0.01  # s: what is less is not told from nothing


@dataclass(slots=True)
class TimeoutWindow:
    """Of one route: the longest time in s, how many told it, and how many there were."""

    started_at: float
    longest: float = 0.0
    first_tries: int = 0
    total: int = 0

    def add(self, told: float) -> None:
        self.total += 1
        if told > self.longest + TIMEOUT_SLACK:
            self.longest, self.first_tries = told, 1
        elif told >= self.longest - TIMEOUT_SLACK:
            self.first_tries += 1


class RetryDetector:
    """By route: what has been seen in the span before, and in this one."""

    def __init__(self) -> None:
        self.routes: dict[str, tuple[TimeoutWindow, TimeoutWindow]] = {}

    def time_used(self, now: float, route: str, told: float) -> float:
        """s of its time that a request which says ``told`` s has used up before it came; 0 for a first try."""
        before, seen = self.routes.get(route) or (TimeoutWindow(now), TimeoutWindow(now))
        if now - seen.started_at > WINDOW:
            before, seen = (seen if now - seen.started_at < 2 * WINDOW else TimeoutWindow(now)), TimeoutWindow(now)
        seen.add(told)
        self.routes[route] = before, seen
        longest = max(before.longest, seen.longest)
        first = sum(s.first_tries for s in (before, seen) if s.longest >= longest - TIMEOUT_SLACK)
        if first < MIN_FIRST_TRY_SHARE * (before.total + seen.total):
            return 0.0
        used = longest - told
        return used if used >= MIN_USED else 0.0

    def keep_only(self, routes: Container[str]) -> None:
        """Only these routes are there from now on."""
        self.routes = {r: s for r, s in self.routes.items() if r in routes}

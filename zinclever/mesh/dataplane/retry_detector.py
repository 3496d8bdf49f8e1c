"""Which requests are retries of their clients, and how much of the clients' time is used up. Pure.

A client's first try says how long it will wait in all, and that is the same for all requests of a kind; a further try
says what is left. So what is short of the longest time seen lately on a route has been used up before. Where times are
all different, as those of calls that end with their parents', nothing is concluded from them.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

WINDOW = 20.0  # s for which what was seen holds
TIMEOUT_SLACK = 0.005  # s that a first try may be short by: it is told in whole ms, and has taken a while to come
MIN_FIRST_TRY_SHARE = 0.3  # of the requests of a route that have to be first tries, for any to count as a retry
MIN_USED = 0.01  # s: what is less is not told from nothing


@dataclass(slots=True)
class TimeoutWindow:
    """What was seen of one route in a window."""

    started_at: float
    longest: float = 0.0
    """The longest time that a client said, in s."""
    first_tries: int = 0
    """Requests that said the longest time."""
    total: int = 0

    def add(self, timeout: float) -> None:
        """A request says how long its client waits, in s."""
        self.total += 1
        if timeout > self.longest + TIMEOUT_SLACK:
            self.longest, self.first_tries = timeout, 1
        elif timeout >= self.longest - TIMEOUT_SLACK:
            self.first_tries += 1


class RetryDetector:
    """By route: what has been seen in the window before, and in this one."""

    def __init__(self) -> None:
        self.routes: dict[str, tuple[TimeoutWindow, TimeoutWindow]] = {}

    def time_used(self, now: float, route: str, timeout: float) -> float:
        """The time in s that a request which says ``timeout`` s has used up before it came; 0 for a first try."""
        previous, current = self.routes.get(route) or (TimeoutWindow(now), TimeoutWindow(now))
        age = now - current.started_at
        if age > WINDOW:
            previous = current if age < 2 * WINDOW else TimeoutWindow(now)
            current = TimeoutWindow(now)
        current.add(timeout)
        self.routes[route] = previous, current
        longest = max(previous.longest, current.longest)
        windows = (previous, current)
        first_tries = sum(w.first_tries for w in windows if w.longest >= longest - TIMEOUT_SLACK)
        if first_tries < MIN_FIRST_TRY_SHARE * (previous.total + current.total):
            return 0.0
        used = longest - timeout
        return used if used >= MIN_USED else 0.0

    def keep_only(self, routes: Container[str]) -> None:
        """Forget all routes but these."""
        self.routes = {name: windows for name, windows in self.routes.items() if name in routes}

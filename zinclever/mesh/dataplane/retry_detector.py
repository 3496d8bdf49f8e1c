"""Detection of client retries, and of the time that a client has used up before a retry. Performs no I/O.

Each request states its client's timeout. All first tries of a route state the same total timeout, while a retry states
the remaining part of it. So a timeout below the longest one recently seen on the route shows how much time was used up
by earlier tries. No conclusion is drawn if the timeouts of a route all differ, as those of nested calls do, which
expire with their parents.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

WINDOW = 20.0  # s; length of a window
TIMEOUT_SLACK = 0.005  # s by which a first try's timeout may be shorter, due to its resolution of 1 ms and transit time
MIN_FIRST_TRY_SHARE = 0.3  # of a route's requests that have to be first tries before any counts as a retry
MIN_TIME_USED = 0.01  # s; less counts as no time used


@dataclass(slots=True)
class TimeoutWindow:
    """The timeouts seen on one route within a window."""

    started_at: float
    longest_timeout: float = 0.0
    """The longest timeout, in s."""
    first_tries: int = 0
    """Requests with the longest timeout."""
    total: int = 0

    def add(self, timeout: float) -> None:
        """Add the timeout in s of a request."""
        self.total += 1
        if timeout > self.longest_timeout + TIMEOUT_SLACK:
            self.longest_timeout, self.first_tries = timeout, 1
        elif timeout >= self.longest_timeout - TIMEOUT_SLACK:
            self.first_tries += 1


class RetryDetector:
    """Detects client retries by the timeouts that requests state."""

    def __init__(self) -> None:
        self.routes: dict[str, tuple[TimeoutWindow, TimeoutWindow]] = {}
        """By route: the previous and the current window."""

    def time_used(self, now: float, route: str, timeout: float) -> float:
        """Return the time in s that the client of a request with this timeout used up before; 0 for a first try."""
        previous, current = self.routes.get(route) or (TimeoutWindow(now), TimeoutWindow(now))
        age = now - current.started_at
        if age > WINDOW:
            previous = current if age < 2 * WINDOW else TimeoutWindow(now)
            current = TimeoutWindow(now)
        current.add(timeout)
        self.routes[route] = previous, current
        longest_timeout = max(previous.longest_timeout, current.longest_timeout)
        windows = (previous, current)
        first_tries = sum(w.first_tries for w in windows if w.longest_timeout >= longest_timeout - TIMEOUT_SLACK)
        if first_tries < MIN_FIRST_TRY_SHARE * (previous.total + current.total):
            return 0.0
        used = longest_timeout - timeout
        return used if used >= MIN_TIME_USED else 0.0

    def keep_only(self, routes: Container[str]) -> None:
        """Drop the state of all routes but these."""
        self.routes = {name: windows for name, windows in self.routes.items() if name in routes}

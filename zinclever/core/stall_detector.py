"""Whether this process stood still a moment ago (SIGSTOP, a machine that slept or swapped), and what comes first then.

What resumes believes that no time has passed: the kernel has kept requests whose clients have given up, and news of
servers that are told to drain, behind timers that are long due. Nothing may go out before all of that is read.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from typing import TypeVar

QUIET = 0.05  # s without a word from anything: what is read then may have waited; else the loop was there to read it
STALL_THRESHOLD_MS = (
    50.0  # ms that a timer is late, or bytes have waited, from which on it stood still; else 2 ms are lost
)
SETTLE_TIME = (
    0.002  # s for which nothing goes out: a turn of the loop, which counts ms, reads all that the kernel holds
)
WATCHED = 1.0  # s after that for which everything read is asked for its age: a queue of new connections takes its time
FADED = 1000.0  # ms of standing still from which on it is no use to learn from it: payoffs forget in 2.5 s

Of = TypeVar("Of")
E = TypeVar("E")


class StallDetector:
    """What one loop knows of itself. Pure: s of the loop's clock are handed in."""

    __slots__ = ("gap", "held", "noticed_at", "ran_at")

    def __init__(self, now: float) -> None:
        self.ran_at = now
        self.gap = 0.0
        """s for which nothing ran, before what runs now."""
        self.noticed_at = -math.inf
        """When it was seen last that it had stood still."""
        self.held = False
        """Nothing goes out: what the kernel holds is to be read first."""

    def ran(self, now: float) -> None:
        """Something runs."""
        if now > self.ran_at:
            self.gap, self.ran_at = now - self.ran_at, now

    def may_have(self) -> bool:
        """Whether what is read now may have waited for this process."""
        return self.gap > QUIET or self.ran_at - self.noticed_at < WATCHED

    def has(self, late: float) -> bool:
        """Whether what comes so many ms late shows that it stood still, and what is kept back is not yet."""
        if late < STALL_THRESHOLD_MS or self.held:
            return False
        self.held, self.noticed_at = True, self.ran_at
        return True


def news_first(events: Iterable[tuple[Of, E]], news: type) -> deque[tuple[Of, E]]:
    """Events that were kept back, each with whose it is: what was told comes before all that might be decided without
    it."""
    kept = list(events)
    return deque([e for e in kept if isinstance(e[1], news)] + [e for e in kept if not isinstance(e[1], news)])

"""Detection of stalls of this process (SIGSTOP, a suspended or swapping machine), and the order of events after one.

A process that resumes has not noticed that time has passed. The kernel may hold requests whose clients have given up,
and list updates that report draining servers, while overdue timers fire first. Nothing may be sent before all buffered
data has been read.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from typing import TypeVar

IDLE_THRESHOLD = 0.05  # s without any activity, after which data may have waited in the kernel before it is read
STALL_THRESHOLD_MS = 50.0  # ms by which a timer or data has to be late to count as a stall; a false alarm costs 2 ms
SETTLE_TIME = 0.002  # s for which sending pauses, long enough for the loop to read all that the kernel holds
RECHECK_TIME = 1.0  # s after a stall in which the age of all data is checked: the accept queue takes a while to empty
STALE_AFTER_MS = 1000.0  # ms of a stall after which learned state is stale: payoff estimates decay within 2.5 s

Owner = TypeVar("Owner")
E = TypeVar("E")


class StallDetector:
    """Detects stalls from the activity of one event loop.

    Does no I/O: callers pass in the loop's clock, in s.
    """

    __slots__ = ("detected_at", "holding", "idle_time", "last_activity")

    def __init__(self, now: float) -> None:
        self.last_activity = now
        self.idle_time = 0.0
        """s without any activity before the current callbacks."""
        self.detected_at = -math.inf
        """When a stall was last detected."""
        self.holding = False
        """Sending is on hold until the kernel's buffers have been read."""

    def record_activity(self, now: float) -> None:
        """Records that a callback of the loop is running."""
        if now > self.last_activity:
            self.idle_time, self.last_activity = now - self.last_activity, now

    def may_have_stalled(self) -> bool:
        """Returns whether data read now may have waited for this process."""
        return self.idle_time > IDLE_THRESHOLD or self.last_activity - self.detected_at < RECHECK_TIME

    def detect(self, delay: float) -> bool:
        """Puts sending on hold if a delay in ms shows a stall; returns False if it doesn't, or if already on hold."""
        if delay < STALL_THRESHOLD_MS or self.holding:
            return False
        self.holding, self.detected_at = True, self.last_activity
        return True


def move_to_front(events: Iterable[tuple[Owner, E]], first: type) -> deque[tuple[Owner, E]]:
    """Returns held events, each with its owner, with those of type ``first`` ahead of the others.

    Otherwise decisions would be made without what these events report.
    """
    kept = list(events)
    return deque([e for e in kept if isinstance(e[1], first)] + [e for e in kept if not isinstance(e[1], first)])

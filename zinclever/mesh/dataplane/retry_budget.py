"""The budget that all sidecars share, kept by each without asking: what one may add is a part of what it was asked.

Any window of the rule holds at most what each sidecar was asked in two windows before each of its further tries, times
PART; as that is half of the rule's ratio, the sum stays below it whatever the sidecars are, and however many. What is
free without any request (``slack``) is shared out by the number of sidecars, and half of it is never touched. Pure.
"""

from __future__ import annotations

from collections import deque

PART = 0.45  # of the rule's ratio: a window of ours reaches back into the one before it
FREE = 0.4  # of the rule's slack
STEP = 0.25  # s that are counted together


class Tally:
    """A count over a sliding window, rounded up to a STEP."""

    __slots__ = ("span", "steps", "total")

    def __init__(self, span: float) -> None:
        self.span = span
        self.steps: deque[list[float]] = deque()
        self.total = 0

    def add(self, now: float, count: int) -> None:
        self.look(now)
        if not self.steps or now - self.steps[-1][0] >= STEP:
            self.steps.append([now, 0])
        self.steps[-1][1] += count
        self.total += count

    def look(self, now: float) -> int:
        while self.steps and now - self.steps[0][0] > self.span + STEP:
            self.total -= int(self.steps.popleft()[1])
        return self.total


class RetryBudget:
    """Of one service: requests that this sidecar was asked, and further tries that it made."""

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        self.ratio, self.slack = ratio, slack
        self.asked, self.spent = Tally(window), Tally(window)
        self.sidecars = 1

    def ask(self, now: float) -> None:
        self.asked.add(now, 1)

    def may(self, now: float) -> bool:
        """Whether one more further try is within this sidecar's part."""
        free = FREE * self.slack / max(1, self.sidecars)
        return self.spent.look(now) + 1 <= PART * self.ratio * self.asked.look(now) + free

    def spend(self, now: float) -> None:
        self.spent.add(now, 1)

    def refund(self, now: float) -> None:
        """One has reached no endpoint."""
        self.spent.add(now, -1)

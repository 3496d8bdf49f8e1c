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


class Step:
    """What was counted within one STEP of a tally."""

    __slots__ = ("began", "count")

    def __init__(self, began: float) -> None:
        self.began = began
        """Instant in s of the first one counted."""
        self.count = 0


class Tally:
    """A count over a sliding window, rounded up to a STEP."""

    __slots__ = ("span", "steps", "total")

    def __init__(self, span: float) -> None:
        self.span = span
        self.steps: deque[Step] = deque()
        self.total = 0

    def add(self, now: float) -> Step:
        """Count one; the step that holds it."""
        self.look(now)
        if not self.steps or now - self.steps[-1].began >= STEP:
            self.steps.append(Step(now))
        self.steps[-1].count += 1
        self.total += 1
        return self.steps[-1]

    def take_out(self, now: float, step: Step) -> None:
        """One of those that a step holds did not happen. Nothing changes where the window has passed the step."""
        self.look(now)
        if self.steps and step.began >= self.steps[0].began:
            step.count -= 1
            self.total -= 1

    def look(self, now: float) -> int:
        """How many the window holds."""
        while self.steps and now - self.steps[0].began > self.span + STEP:
            self.total -= self.steps.popleft().count
        return self.total


class Spending:
    """One further try that counts against the budget until :meth:`RetryBudget.refund`."""

    __slots__ = ("counts", "step")

    def __init__(self, step: Step) -> None:
        self.step = step
        self.counts = True


class RetryBudget:
    """Of one service: requests that this sidecar was asked, and further tries that it made."""

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        self.ratio, self.slack = ratio, slack
        self.asked, self.spent = Tally(window), Tally(window)
        self.sidecars = 1

    def ask(self, now: float) -> None:
        """A client sent a request for the service."""
        self.asked.add(now)

    def may(self, now: float) -> bool:
        """Whether one more further try is within this sidecar's part."""
        free = FREE * self.slack / max(1, self.sidecars)
        return self.spent.look(now) + 1 <= PART * self.ratio * self.asked.look(now) + free

    def spend(self, now: float) -> Spending:
        """Count a further try, before it is sent."""
        return Spending(self.spent.add(now))

    def refund(self, now: float, spending: Spending) -> None:
        """The try certainly reached no endpoint. Has an effect once for each try, in the window that holds it."""
        if spending.counts:
            spending.counts = False
            self.spent.take_out(now, spending.step)

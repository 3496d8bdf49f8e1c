"""The budget that all sidecars share, kept by each without asking: what one may add is a part of what it was asked.

Any window of the rule holds at most what each sidecar was asked in two windows before each of its further tries, times
PART; as that is half of the rule's ratio, the sum stays below it whatever the sidecars are, and however many. What is
free without any request (``slack``) is shared out by the number of sidecars, and half of it is never touched. Pure.
"""

from __future__ import annotations

from collections import deque

RATIO_SHARE = 0.45  # of the rule's ratio: a window of ours reaches back into the one before it
SLACK_SHARE = 0.4  # of the rule's slack
BUCKET_SPAN = 0.25  # s that are counted together


class Bucket:
    """What was counted within one STEP of a tally."""

    __slots__ = ("count", "started_at")

    def __init__(self, began: float) -> None:
        self.started_at = began
        """Instant in s of the first one counted."""
        self.count = 0


class SlidingCount:
    """A count over a sliding window, rounded up to a STEP."""

    __slots__ = ("buckets", "span", "total")

    def __init__(self, span: float) -> None:
        self.span = span
        self.buckets: deque[Bucket] = deque()
        self.total = 0

    def add(self, now: float) -> Bucket:
        """Count one; the step that holds it."""
        self.value(now)
        if not self.buckets or now - self.buckets[-1].started_at >= BUCKET_SPAN:
            self.buckets.append(Bucket(now))
        self.buckets[-1].count += 1
        self.total += 1
        return self.buckets[-1]

    def remove(self, now: float, step: Bucket) -> None:
        """One of those that a step holds did not happen. Nothing changes where the window has passed the step."""
        self.value(now)
        if self.buckets and step.started_at >= self.buckets[0].started_at:
            step.count -= 1
            self.total -= 1

    def value(self, now: float) -> int:
        """How many the window holds."""
        while self.buckets and now - self.buckets[0].started_at > self.span + BUCKET_SPAN:
            self.total -= self.buckets.popleft().count
        return self.total


class BudgetCharge:
    """One further try that counts against the budget until :meth:`RetryBudget.refund`."""

    __slots__ = ("bucket", "is_counted")

    def __init__(self, step: Bucket) -> None:
        self.bucket = step
        self.is_counted = True


class RetryBudget:
    """Of one service: requests that this sidecar was asked, and further tries that it made."""

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        self.ratio, self.slack = ratio, slack
        self.requests, self.retries = SlidingCount(window), SlidingCount(window)
        self.sidecars = 1

    def on_request(self, now: float) -> None:
        """A client sent a request for the service."""
        self.requests.add(now)

    def allows_retry(self, now: float) -> bool:
        """Whether one more further try is within this sidecar's part."""
        free = SLACK_SHARE * self.slack / max(1, self.sidecars)
        return self.retries.value(now) + 1 <= RATIO_SHARE * self.ratio * self.requests.value(now) + free

    def charge(self, now: float) -> BudgetCharge:
        """Count a further try, before it is sent."""
        return BudgetCharge(self.retries.add(now))

    def refund(self, now: float, spending: BudgetCharge) -> None:
        """The try certainly reached no endpoint. Has an effect once for each try, in the window that holds it."""
        if spending.is_counted:
            spending.is_counted = False
            self.retries.remove(now, spending.bucket)

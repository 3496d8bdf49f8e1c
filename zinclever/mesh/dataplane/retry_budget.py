"""The retry budget that all sidecars share, kept by each without asking the others. Pure.

What a sidecar may add follows from the requests that it was asked for. Any window of the rule holds at most what each
sidecar was asked in two windows before each of its retries, times :data:`RATIO_SHARE`; as that is below half of the
rule's ratio, the sum stays below it whatever the sidecars are, and however many. What is free without any request
(``slack``) is shared out by the number of sidecars, and half of it is never touched.
"""

from __future__ import annotations

from collections import deque

RATIO_SHARE = 0.45  # of the rule's ratio: a window here reaches back into the one before it
SLACK_SHARE = 0.4  # of the rule's slack
BUCKET_SPAN = 0.25  # s that are counted together


class Bucket:
    """What was counted within one :data:`BUCKET_SPAN`."""

    __slots__ = ("count", "started_at")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        """Instant in s of the first one counted."""
        self.count = 0


class SlidingCount:
    """A count over a sliding window, rounded up to a :data:`BUCKET_SPAN`."""

    __slots__ = ("buckets", "total", "window")

    def __init__(self, window: float) -> None:
        """``window`` in s."""
        self.window = window
        self.buckets: deque[Bucket] = deque()
        self.total = 0

    def add(self, now: float) -> Bucket:
        """Count one; the bucket that holds it."""
        self.value(now)
        if not self.buckets or now - self.buckets[-1].started_at >= BUCKET_SPAN:
            self.buckets.append(Bucket(now))
        self.buckets[-1].count += 1
        self.total += 1
        return self.buckets[-1]

    def remove(self, now: float, bucket: Bucket) -> None:
        """One that a bucket holds did not happen. Nothing changes where the window has passed the bucket."""
        self.value(now)
        if self.buckets and bucket.started_at >= self.buckets[0].started_at:
            bucket.count -= 1
            self.total -= 1

    def value(self, now: float) -> int:
        """How many the window holds."""
        while self.buckets and now - self.buckets[0].started_at > self.window + BUCKET_SPAN:
            self.total -= self.buckets.popleft().count
        return self.total


class BudgetCharge:
    """One retry that counts against the budget until :meth:`RetryBudget.refund`."""

    __slots__ = ("bucket", "is_counted")

    def __init__(self, bucket: Bucket) -> None:
        self.bucket = bucket
        self.is_counted = True


class RetryBudget:
    """The budget of one service: requests that this sidecar was asked for, and retries that it made."""

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        """By the rule: retries per request within ``window`` s, and ``slack`` retries more."""
        self.ratio, self.slack = ratio, slack
        self.requests, self.retries = SlidingCount(window), SlidingCount(window)
        self.sidecars = 1
        """How many share the budget."""

    def on_request(self, now: float) -> None:
        """A client sent a request for the service."""
        self.requests.add(now)

    def allows_retry(self, now: float) -> bool:
        """Whether one more retry is within this sidecar's part."""
        free = SLACK_SHARE * self.slack / max(1, self.sidecars)
        return self.retries.value(now) + 1 <= RATIO_SHARE * self.ratio * self.requests.value(now) + free

    def charge(self, now: float) -> BudgetCharge:
        """Count a retry, before it is sent."""
        return BudgetCharge(self.retries.add(now))

    def refund(self, now: float, charge: BudgetCharge) -> None:
        """The retry certainly reached no endpoint. Has an effect once for each, in the window that holds it."""
        if charge.is_counted:
            charge.is_counted = False
            self.retries.remove(now, charge.bucket)

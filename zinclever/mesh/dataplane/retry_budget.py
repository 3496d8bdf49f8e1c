"""The retry budget that all sidecars share, enforced by each sidecar without coordination. Performs no I/O.

The budget limits the retries within any window to a ratio of the requests, plus a slack. A sidecar allows a retry if,
in the window that ends now, the ratio of its retries to its requests stays within :data:`RATIO_SHARE` of the budget's
ratio. So the retries of a sidecar in any window are limited by its requests in that window and in the one before. As
the share is below one half, the sum over all sidecars stays below the budget's ratio, however many there are. The
slack, which doesn't depend on the number of requests, is divided by the number of sidecars, and less than half of it
is used.
"""

from __future__ import annotations

from collections import deque

RATIO_SHARE = 0.45  # of the budget's ratio; below one half, as requests of the previous window allow retries, too
SLACK_SHARE = 0.4  # of the budget's slack that the sidecars use together
BUCKET_SPAN = 0.25  # s; the resolution of a sliding count


class Bucket:
    """The count within one :data:`BUCKET_SPAN`."""

    __slots__ = ("count", "started_at")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        """Instant in s of its first event."""
        self.count = 0


class SlidingCount:
    """A count over a sliding window, which is longer than requested by up to one :data:`BUCKET_SPAN`."""

    __slots__ = ("buckets", "total", "window")

    def __init__(self, window: float) -> None:
        """Create an empty count over ``window`` s."""
        self.window = window
        self.buckets: deque[Bucket] = deque()
        self.total = 0

    def add(self, now: float) -> Bucket:
        """Count an event, and return the bucket that holds it."""
        self.value(now)
        if not self.buckets or now - self.buckets[-1].started_at >= BUCKET_SPAN:
            self.buckets.append(Bucket(now))
        self.buckets[-1].count += 1
        self.total += 1
        return self.buckets[-1]

    def remove(self, now: float, bucket: Bucket) -> None:
        """Remove an event from its bucket. Has no effect if the bucket has already left the window."""
        self.value(now)
        if self.buckets and bucket.started_at >= self.buckets[0].started_at:
            bucket.count -= 1
            self.total -= 1

    def value(self, now: float) -> int:
        """Return the count in the window."""
        while self.buckets and now - self.buckets[0].started_at > self.window + BUCKET_SPAN:
            self.total -= self.buckets.popleft().count
        return self.total


class BudgetCharge:
    """One retry that is charged to the budget until :meth:`RetryBudget.refund`."""

    __slots__ = ("bucket", "is_counted")

    def __init__(self, bucket: Bucket) -> None:
        self.bucket = bucket
        self.is_counted = True


class RetryBudget:
    """This sidecar's part of one service's retry budget: counts its requests and retries."""

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        """Create a budget: ``ratio`` retries per request within ``window`` s, and ``slack`` further retries."""
        self.ratio, self.slack = ratio, slack
        self.requests, self.retries = SlidingCount(window), SlidingCount(window)
        self.sidecars = 1
        """Number of sidecars that share the budget."""

    def on_request(self, now: float) -> None:
        """Count a client's request to the service."""
        self.requests.add(now)

    def allows_retry(self, now: float) -> bool:
        """Return whether this sidecar's part of the budget allows one more retry."""
        own_slack = SLACK_SHARE * self.slack / max(1, self.sidecars)
        return self.retries.value(now) + 1 <= RATIO_SHARE * self.ratio * self.requests.value(now) + own_slack

    def charge(self, now: float) -> BudgetCharge:
        """Charge a retry to the budget, before it is sent."""
        return BudgetCharge(self.retries.add(now))

    def refund(self, now: float, charge: BudgetCharge) -> None:
        """Refund a retry that certainly reached no endpoint. Idempotent."""
        if charge.is_counted:
            charge.is_counted = False
            self.retries.remove(now, charge.bucket)

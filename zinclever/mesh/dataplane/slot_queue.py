"""The slots of one endpoint and the queue for them: order, expected wait and early rejection. Performs no I/O."""

from __future__ import annotations

EXTRA_SLOTS = 0  # requests sent to an endpoint beyond its slots
INITIAL_SERVICE_TIME = 0.1  # s; assumed until the first request has been served
SERVICE_TIME_WEIGHT = 0.1  # of one request in the moving average
MAX_WAIT_SHARE = 0.35  # of the latency target left; beyond this expected wait, a retry elsewhere or later is better
QUEUE_TIMEOUT_SHARE = 0.5  # of the latency target left: the maximum wait in the queue; the expected one is an estimate
QUEUE_TIMEOUT_MARGIN = 0.005  # s
MAX_NESTED_WAIT_SHARE = 0.7  # of the time left to the deadline; if a nested call fails, its parent's work is lost, too
MAX_HEDGE_UTILIZATION = 0.7  # share of the slots in use from which no hedge is admitted


class QueueEntry:
    """A request that waits for a slot, or holds one. Durations and instants in s."""

    __slots__ = (
        "begun_at",
        "deadline_left",
        "is_hedge",
        "is_nested",
        "latency_target_left",
        "may_queue",
        "priority",
        "received_at",
    )

    def __init__(
        self,
        received_at: float,
        deadline_left: float,
        latency_target_left: float,
        priority: int,
        is_nested: bool = False,
        is_hedge: bool = False,
        may_queue: bool = True,
    ) -> None:
        """Create an entry.

        Args:
            received_at: Instant at which the request arrived.
            deadline_left: Time left until its deadline, at arrival.
            latency_target_left: Time left until its latency target, at arrival; 0 if that has passed.
            priority: 0 is the highest.
            is_nested: Whether it is a nested call.
            is_hedge: Whether it is a hedge.
            may_queue: Whether it may wait for a slot; False if other endpoints may still have free capacity.
        """
        self.received_at = received_at
        self.deadline_left = deadline_left
        self.latency_target_left = latency_target_left
        self.priority = priority
        self.is_nested = is_nested
        self.is_hedge = is_hedge
        self.may_queue = may_queue
        self.begun_at = 0.0

    def rank(self, now: float) -> tuple[bool, bool, int, float]:
        """Return the sort key of the entry; the lowest is served first.

        The order is: nested calls, as their parents hold a slot elsewhere; requests that can still meet their latency
        target; priority; age.
        """
        has_missed_target = self.received_at + self.latency_target_left <= now
        return not self.is_nested, has_missed_target, self.priority, self.received_at

    def usable_time(self) -> float:
        """Return the time left until the latency target or, if that has passed, until the deadline."""
        return self.latency_target_left if self.latency_target_left > 0.0 else self.deadline_left


class SlotQueue:
    """The slots of one endpoint and the requests that wait for one. Callers pass the current time in s."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.busy = 0
        """Number of slots in use."""
        self.waiting: list[QueueEntry] = []
        self.mean_service_time = 0.0

    def expected_service_time(self) -> float:
        """Return the mean service time in s."""
        return self.mean_service_time or INITIAL_SERVICE_TIME

    def record_service_time(self, seconds: float) -> None:
        """Update the mean service time."""
        if not self.mean_service_time:
            self.mean_service_time = seconds
        else:
            self.mean_service_time += SERVICE_TIME_WEIGHT * (seconds - self.mean_service_time)

    def expected_wait(self, entry: QueueEntry) -> float:
        """Return the estimated time in s that a request would wait for a slot."""
        ahead = sum(
            1 for other in self.waiting if other.is_nested or (not entry.is_nested and other.priority <= entry.priority)
        )
        excess = self.busy + ahead + 1 - self.slots - EXTRA_SLOTS
        return max(0.0, excess / self.slots * self.expected_service_time())

    def admits(self, now: float, entry: QueueEntry) -> bool:
        """Return whether a request can be expected to get a slot in time."""
        if entry.is_hedge:
            return not self.waiting and self.busy < MAX_HEDGE_UTILIZATION * self.slots
        wait = self.expected_wait(entry)
        if wait <= 0.0:
            return True
        if entry.is_nested:
            return wait <= MAX_NESTED_WAIT_SHARE * entry.deadline_left
        return entry.may_queue and wait <= MAX_WAIT_SHARE * entry.usable_time()

    def queue_timeout(self, entry: QueueEntry) -> float:
        """Return the time in s after which a request that is still queued is rejected.

        The request may wait longer than expected, as nested calls can overtake it.
        """
        if entry.is_nested:
            return MAX_NESTED_WAIT_SHARE * entry.deadline_left
        return min(entry.deadline_left, QUEUE_TIMEOUT_MARGIN + QUEUE_TIMEOUT_SHARE * entry.usable_time())

    def add(self, entry: QueueEntry) -> None:
        """Queue a request."""
        self.waiting.append(entry)

    def next(self, now: float) -> QueueEntry | None:
        """Assign a slot to the next request, and return it; None if none waits or no slot is free."""
        if not self.waiting or self.busy >= self.slots + EXTRA_SLOTS:
            return None
        chosen = min(self.waiting, key=lambda entry: entry.rank(now))
        self.waiting.remove(chosen)
        self.busy += 1
        return chosen

    def release_slot(self) -> None:
        """Release the slot of a request that has ended."""
        self.busy -= 1

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request from the queue, if it is still queued."""
        if entry in self.waiting:
            self.waiting.remove(entry)

"""The slots of one endpoint: who waits for one, who is next, and who is better rejected at once. Pure."""

from __future__ import annotations

EXTRA_SLOTS = 0  # requests beyond its slots that an endpoint is sent
INITIAL_SERVICE_TIME = 0.1  # s that is assumed until one has ended
SERVICE_TIME_WEIGHT = 0.1  # of one run in the mean
MAX_WAIT_SHARE = 0.35  # of the latency target left, up to which waiting beats going elsewhere, or coming again
QUEUE_TIMEOUT_SHARE = 0.5  # of it, after which one that waits is rejected: the expected wait was a guess
QUEUE_TIMEOUT_MARGIN = 0.005  # s
MAX_NESTED_WAIT_SHARE = 0.7  # of the deadline left, for a nested call: with it its parent's run is lost
MAX_HEDGE_UTILIZATION = 0.7  # of the slots in use, from which on no hedge is admitted


class QueueEntry:
    """A request that waits for a slot, or has it. Spans and instants in s."""

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
        """What was left of its deadline and of its latency target when it came; 0 for a target that has passed.

        ``may_queue``: other endpoints had no capacity. A request that may still find some elsewhere doesn't wait.
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
        """The lowest goes first.

        Nested calls, whose parents hold a slot elsewhere; who can still meet the latency target; by priority; by age.
        """
        has_missed_target = self.received_at + self.latency_target_left <= now
        return not self.is_nested, has_missed_target, self.priority, self.received_at

    def usable_time(self) -> float:
        """The time left of its latency target or, where that has passed, of its deadline."""
        return self.latency_target_left if self.latency_target_left > 0.0 else self.deadline_left


class SlotQueue:
    """The slots of one endpoint. Instants in s are handed in."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.busy = 0
        """Slots in use."""
        self.waiting: list[QueueEntry] = []
        self.mean_service_time = 0.0

    def expected_service_time(self) -> float:
        """The mean time of a run, in s."""
        return self.mean_service_time or INITIAL_SERVICE_TIME

    def record_service_time(self, seconds: float) -> None:
        """A run has ended."""
        if not self.mean_service_time:
            self.mean_service_time = seconds
        else:
            self.mean_service_time += SERVICE_TIME_WEIGHT * (seconds - self.mean_service_time)

    def expected_wait(self, entry: QueueEntry) -> float:
        """The time that a request would wait, in s, as far as can be told."""
        ahead = sum(
            1 for other in self.waiting if other.is_nested or (not entry.is_nested and other.priority <= entry.priority)
        )
        excess = self.busy + ahead + 1 - self.slots - EXTRA_SLOTS
        return max(0.0, excess / self.slots * self.expected_service_time())

    def admits(self, now: float, entry: QueueEntry) -> bool:
        """Whether waiting here can end in time."""
        if entry.is_hedge:
            return not self.waiting and self.busy < MAX_HEDGE_UTILIZATION * self.slots
        wait = self.expected_wait(entry)
        if wait <= 0.0:
            return True
        if entry.is_nested:
            return wait <= MAX_NESTED_WAIT_SHARE * entry.deadline_left
        return entry.may_queue and wait <= MAX_WAIT_SHARE * entry.usable_time()

    def queue_timeout(self, entry: QueueEntry) -> float:
        """The time after which a request that still waits is rejected, in s: nested calls may have come before it."""
        if entry.is_nested:
            return MAX_NESTED_WAIT_SHARE * entry.deadline_left
        return min(entry.deadline_left, QUEUE_TIMEOUT_MARGIN + QUEUE_TIMEOUT_SHARE * entry.usable_time())

    def add(self, entry: QueueEntry) -> None:
        """Let a request wait."""
        self.waiting.append(entry)

    def next(self, now: float) -> QueueEntry | None:
        """Give a slot to the next request; None where none waits, or no slot is free."""
        if not self.waiting or self.busy >= self.slots + EXTRA_SLOTS:
            return None
        chosen = min(self.waiting, key=lambda entry: entry.rank(now))
        self.waiting.remove(chosen)
        self.busy += 1
        return chosen

    def release_slot(self) -> None:
        """A request that had a slot has ended."""
        self.busy -= 1

    def remove(self, entry: QueueEntry) -> None:
        """A request waits no more."""
        if entry in self.waiting:
            self.waiting.remove(entry)

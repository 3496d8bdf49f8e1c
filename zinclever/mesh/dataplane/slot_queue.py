"""Who waits at an endpoint's keeper, who is next, and who is better told at once that there is no room. Pure."""

from __future__ import annotations

EXTRA_SLOTS = 0  # requests beyond its slots that an endpoint is sent
INITIAL_SERVICE_TIME = 0.1  # s that a run is taken for until one has ended
SERVICE_TIME_WEIGHT = 0.1  # of a run in the mean
MAX_WAIT_SHARE = 0.35  # of the aim that is left, up to which waiting is better than going elsewhere, or coming again
QUEUE_TIMEOUT_SHARE = 0.5  # of it, after which one that waits is told: the wait was a guess
MAX_NESTED_WAIT_SHARE = 0.7  # of the deadline that is left, for an inner call: with it its parent's run is lost
MAX_HEDGE_UTILIZATION = 0.7  # of the slots in use, from which on no copy is taken


class QueueEntry:
    """One that waits for its turn, or has it."""

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
        self.received_at, self.deadline_left, self.latency_target_left, self.priority = (
            received_at,
            deadline_left,
            latency_target_left,
            priority,
        )
        """Instants and spans in s: when it came, what was left of its deadline then, and of its aim."""
        self.is_nested, self.is_hedge, self.may_queue = is_nested, is_hedge, may_queue
        """``patient``: others had no room for it. One that may still find room elsewhere doesn't wait."""
        self.begun_at = 0.0

    def rank(self, now: float) -> tuple[bool, bool, int, float]:
        """Lower goes first: inner calls, whose parents hold a slot elsewhere; who can still be in aim; by priority; by
        age."""
        return not self.is_nested, self.received_at + self.latency_target_left <= now, self.priority, self.received_at


class SlotQueue:
    """The turns of one endpoint. Instants in s are handed in."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.busy = 0
        self.waiting: list[QueueEntry] = []
        self.mean_service_time = 0.0

    def expected_service_time(self) -> float:
        return self.mean_service_time or INITIAL_SERVICE_TIME

    def record_service_time(self, worked: float) -> None:
        """A run has ended after so many s."""
        self.mean_service_time = (
            worked
            if not self.mean_service_time
            else self.mean_service_time + SERVICE_TIME_WEIGHT * (worked - self.mean_service_time)
        )

    def expected_wait(self, w: QueueEntry) -> float:
        """s that one would wait, as far as can be told."""
        ahead = sum(1 for o in self.waiting if o.is_nested or (not w.is_nested and o.priority <= w.priority))
        over = self.busy + ahead + 1 - self.slots - EXTRA_SLOTS
        return max(0.0, over / self.slots * self.expected_service_time())

    def admits(self, now: float, w: QueueEntry) -> bool:
        """Whether waiting here can end in time."""
        if w.is_hedge:
            return not self.waiting and self.busy < MAX_HEDGE_UTILIZATION * self.slots
        wait = self.expected_wait(w)
        if wait <= 0.0:
            return True
        if w.is_nested:
            return wait <= MAX_NESTED_WAIT_SHARE * w.deadline_left
        return w.may_queue and wait <= MAX_WAIT_SHARE * (
            w.latency_target_left if w.latency_target_left > 0.0 else w.deadline_left
        )

    def queue_timeout(self, w: QueueEntry) -> float:
        """s after which one that still waits is told that there is no room: inner calls may have come before it."""
        if w.is_nested:
            return MAX_NESTED_WAIT_SHARE * w.deadline_left
        return min(
            w.deadline_left,
            0.005 + QUEUE_TIMEOUT_SHARE * (w.latency_target_left if w.latency_target_left > 0.0 else w.deadline_left),
        )

    def add(self, w: QueueEntry) -> None:
        self.waiting.append(w)

    def next(self, now: float) -> QueueEntry | None:
        """The next one to begin; None where there is none, or no room."""
        if not self.waiting or self.busy >= self.slots + EXTRA_SLOTS:
            return None
        chosen = min(self.waiting, key=lambda w: w.rank(now))
        self.waiting.remove(chosen)
        self.busy += 1
        return chosen

    def release_slot(self, w: QueueEntry) -> None:
        """One that had its turn is through."""
        self.busy -= 1

    def remove(self, w: QueueEntry) -> None:
        if w in self.waiting:
            self.waiting.remove(w)

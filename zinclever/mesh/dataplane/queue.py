"""Who waits at an endpoint's keeper, who is next, and who is better told at once that there is no room. Pure."""

from __future__ import annotations

SPARE = 0  # requests beyond its slots that an endpoint is sent
FIRST = 0.1  # s that a run is taken for until one has ended
WEIGHT = 0.1  # of a run in the mean
MOST_WAIT = 0.35  # of the aim that is left, up to which waiting is better than going elsewhere, or coming again
LONGEST = 0.5  # of it, after which one that waits is told: the wait was a guess
MOST_INNER = 0.7  # of the deadline that is left, for an inner call: with it its parent's run is lost
COPIES = 0.7  # of the slots in use, from which on no copy is taken


class Waiting:
    """One that waits for its turn, or has it."""

    __slots__ = ("aim", "begun", "copy", "inner", "left", "patient", "priority", "since")

    def __init__(
        self,
        since: float,
        left: float,
        aim: float,
        priority: int,
        inner: bool = False,
        copy: bool = False,
        patient: bool = True,
    ) -> None:
        self.since, self.left, self.aim, self.priority = since, left, aim, priority
        """Instants and spans in s: when it came, what was left of its deadline then, and of its aim."""
        self.inner, self.copy, self.patient = inner, copy, patient
        """``patient``: others had no room for it. One that may still find room elsewhere doesn't wait."""
        self.begun = 0.0

    def rank(self, now: float) -> tuple[bool, bool, int, float]:
        """Lower goes first: inner calls, whose parents hold a slot elsewhere; who can still be in aim; by priority; by
        age."""
        return not self.inner, self.since + self.aim <= now, self.priority, self.since


class Queue:
    """The turns of one endpoint. Instants in s are handed in."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.busy = 0
        self.waiting: list[Waiting] = []
        self.mean = 0.0

    def usual(self) -> float:
        return self.mean or FIRST

    def learn(self, worked: float) -> None:
        """A run has ended after so many s."""
        self.mean = worked if not self.mean else self.mean + WEIGHT * (worked - self.mean)

    def wait_for(self, w: Waiting) -> float:
        """s that one would wait, as far as can be told."""
        ahead = sum(1 for o in self.waiting if o.inner or (not w.inner and o.priority <= w.priority))
        over = self.busy + ahead + 1 - self.slots - SPARE
        return max(0.0, over / self.slots * self.usual())

    def admits(self, now: float, w: Waiting) -> bool:
        """Whether waiting here can end in time."""
        if w.copy:
            return not self.waiting and self.busy < COPIES * self.slots
        wait = self.wait_for(w)
        if wait <= 0.0:
            return True
        if w.inner:
            return wait <= MOST_INNER * w.left
        return w.patient and wait <= MOST_WAIT * (w.aim if w.aim > 0.0 else w.left)

    def bound(self, w: Waiting) -> float:
        """s after which one that still waits is told that there is no room: inner calls may have come before it."""
        if w.inner:
            return MOST_INNER * w.left
        return min(w.left, 0.005 + LONGEST * (w.aim if w.aim > 0.0 else w.left))

    def add(self, w: Waiting) -> None:
        self.waiting.append(w)

    def next(self, now: float) -> Waiting | None:
        """The next one to begin; None where there is none, or no room."""
        if not self.waiting or self.busy >= self.slots + SPARE:
            return None
        chosen = min(self.waiting, key=lambda w: w.rank(now))
        self.waiting.remove(chosen)
        self.busy += 1
        return chosen

    def left(self, w: Waiting) -> None:
        """One that had its turn is through."""
        self.busy -= 1

    def drop(self, w: Waiting) -> None:
        if w in self.waiting:
            self.waiting.remove(w)

"""The virtual clock and the event queue of a simulation. Deterministic: one seed yields one order of events.

Instants are integers in ns, so that sums don't depend on the order of the additions.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any

NS = 1_000_000_000
"""ns per second."""
MAX_EVENTS = 1 << 40  # exceeds every serial number, so that a random number times this one outweighs it


class Event:
    """A callback that is due at an instant, until it has run or has been cancelled."""

    __slots__ = ("args", "callback", "when")

    def __init__(self, when: int, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.when = when
        self.callback: Callable[..., object] | None = callback
        self.args = args

    def call_off(self) -> None:
        """Cancel the event; has no effect once it has run."""
        self.callback, self.args = None, ()


#: Given the number of events that are due at one instant, returns the index of the one to run next.
TieBreaker = Callable[[int], int]


class Scheduler:
    """Runs events in the order of their instants.

    Events of one instant run in the order of their scheduling, in an order drawn from a seed, or as ``choose`` decides.
    Code that needs two events in order must schedule them at different instants.
    """

    __slots__ = ("choose", "now", "queue", "ran", "serial", "tie_rng")

    def __init__(self, permute: int | None = None, choose: TieBreaker | None = None) -> None:
        """``permute`` seeds the order of events of one instant."""
        self.now = 0
        """The virtual time in ns."""
        self.serial = 0
        self.ran = 0
        """Number of events that have run."""
        self.queue: list[tuple[int, int, Event]] = []
        self.tie_rng = Random(permute) if permute is not None else None
        self.choose = choose

    def at(self, when: int, callback: Callable[..., object], *args: Any) -> Event:
        """Schedule a callback at an instant, or now if that is past."""
        event = Event(max(when, self.now), callback, args)
        self.serial += 1
        order = self.serial
        if self.tie_rng is not None:
            order += self.tie_rng.getrandbits(20) * MAX_EVENTS
        heapq.heappush(self.queue, (event.when, order, event))
        return event

    def after(self, span: int, callback: Callable[..., object], *args: Any) -> Event:
        """Schedule a callback ``span`` ns from now."""
        return self.at(self.now + span, callback, *args)

    def next_at(self) -> int | None:
        """Return the instant of the next event, or None if there is none."""
        queue = self.queue
        while queue and queue[0][2].callback is None:
            heapq.heappop(queue)
        return queue[0][0] if queue else None

    def run(self, until: int) -> None:
        """Run all events that are due up to an instant, and advance the clock to it."""
        while (when := self.next_at()) is not None and when <= until:
            self.run_one(when)
        self.now = max(self.now, until)

    def run_one(self, when: int) -> None:
        """Run the next event, which is due at ``when``."""
        self.now = when
        event = heapq.heappop(self.queue)[2] if self.choose is None else self.pop_chosen(when, self.choose)
        callback, args = event.callback, event.args
        event.call_off()
        self.ran += 1
        if callback is not None:
            callback(*args)

    def pop_chosen(self, when: int, choose: TieBreaker) -> Event:
        """Remove one of the events that are due at ``when``, as selected by ``choose``, and return it."""
        tied = []
        while self.next_at() == when:
            tied.append(heapq.heappop(self.queue))
        chosen = tied.pop(choose(len(tied)) if len(tied) > 1 else 0)
        for other in tied:
            heapq.heappush(self.queue, other)
        return chosen[2]

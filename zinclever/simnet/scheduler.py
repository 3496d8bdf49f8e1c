"""The one clock of a simulated world, and what happens when. Deterministic: one seed, one order.

Instants are whole nanoseconds, so that sums don't depend on the order in which they were made.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any

NS = 1_000_000_000
"""A second."""
TIES = 1 << 40  # more events than any world has: the second part of the key of one


class Event:
    """What is due at an instant, until it has happened or has been called off."""

    __slots__ = ("act", "args", "when")

    def __init__(self, when: int, act: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.when = when
        self.act: Callable[..., object] | None = act
        self.args = args

    def call_off(self) -> None:
        """Nothing happens then; harmless once it has."""
        self.act, self.args = None, ()


#: Which of so many events of one instant comes next.
TieBreaker = Callable[[int], int]


class Scheduler:
    """Runs events in the order of their instants; those of one instant in the order in which they were made, in one
    drawn from a seed, or as ``choose`` says.

    Whoever needs two events in order makes them at different instants: the order within one is nobody's to rely on.
    """

    __slots__ = ("choose", "due", "now", "permuted", "ran", "serial")

    def __init__(self, permute: int | None = None, choose: TieBreaker | None = None) -> None:
        """``permute``: a seed for the order within one instant."""
        self.now = 0
        """ns"""
        self.serial = 0
        self.ran = 0
        """How many events have happened."""
        self.due: list[tuple[int, int, Event]] = []
        self.permuted = Random(permute) if permute is not None else None
        self.choose = choose

    def at(self, when: int, act: Callable[..., object], *args: Any) -> Event:
        """Let something happen at an instant, now at the earliest."""
        event = Event(max(when, self.now), act, args)
        self.serial += 1
        order = self.serial
        if self.permuted is not None:
            order += self.permuted.getrandbits(20) * TIES
        heapq.heappush(self.due, (event.when, order, event))
        return event

    def after(self, span: int, act: Callable[..., object], *args: Any) -> Event:
        return self.at(self.now + span, act, *args)

    def next_at(self) -> int | None:
        """When something happens next; None: never."""
        due = self.due
        while due and due[0][2].act is None:
            heapq.heappop(due)
        return due[0][0] if due else None

    def run(self, until: int) -> None:
        """Let happen all that is due up to an instant, and let time pass to it."""
        while (when := self.next_at()) is not None and when <= until:
            self.run_one(when)
        self.now = max(self.now, until)

    def run_one(self, when: int) -> None:
        """Let happen the next event, which is due at that instant."""
        self.now = when
        event = heapq.heappop(self.due)[2] if self.choose is None else self.chosen(when, self.choose)
        act, args = event.act, event.args
        event.call_off()
        self.ran += 1
        if act is not None:
            act(*args)

    def chosen(self, when: int, choose: TieBreaker) -> Event:
        """One of the events of this instant; the others stay due."""
        tied = []
        while self.next_at() == when:
            tied.append(heapq.heappop(self.due))
        picked = tied.pop(choose(len(tied)) if len(tied) > 1 else 0)
        for other in tied:
            heapq.heappush(self.due, other)
        return picked[2]

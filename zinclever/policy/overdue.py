"""Attempts that are swallowed: they are taken for lost once enough of them stay out."""

from __future__ import annotations

import heapq

from .. import interface as i
from ..fleet.smooth import MEMORY, NEVER, Smooth
from .requests import Attempt, Klass, Request

OVERDUE = 1.8  # mean latencies after which most attempts that are still out stay out
SLOW = 2.0  # times its own work that a request may take beyond that: a large one is not begun anew in vain
LONG = 1.5  # times the usual span after which one that is still out is taken for swallowed
SILENT = 0.08  # share of attempts that are out for so long from which on they are acted upon
SILENT_FROM = 20.0  # attempts: how many it takes to outweigh that none are
QUICK = 0.3  # share of the aim below which a class's answers show no crowd
FINISH = 0.7  # mean latencies that an attempt needs to have a chance of finishing


class Overdue:
    """Attempts by when they should have been answered."""

    def __init__(self, settings: i.Settings) -> None:
        self.limits = settings.limits
        self.late: list[tuple[float, int, Request, Attempt]] = []  # attempts by when they are overdue
        self.silent = Smooth(MEMORY)  # share of attempts that came to be overdue
        self.count = 0

    def add(self, r: Request, a: Attempt) -> None:
        self.count += 1
        heapq.heappush(self.late, (a.overdue_at, self.count, r, a))

    def due(self) -> float:
        return self.late[0][0] if self.late else NEVER

    def usual(self, r: Request) -> float:
        """The time within which an attempt is answered, if it is at all."""
        return max(r.klass.delay, OVERDUE * r.klass.mean) + SLOW * r.work

    def tells(self, r: Request) -> bool:
        """Whether a request's attempts show what is swallowed: keyed ones are given up before."""
        return r.klass.told.repeat != "deduplicated"

    def swallowing(self, now: float, k: Klass) -> bool:
        """Whether more attempts are overdue than slow answers account for, while those that come are quick.

        In a crowd they are not: guards against pushing on what is overrun already.
        """
        return k.mean < QUICK * k.told.aim and self.silent.mean(now, 0.0, SILENT_FROM) > SILENT

    def look(self, now: float, out: list[i.Action]) -> None:
        """Attempts without a word in their time, where too many are: they leave their place in the window to
        others, and a keyed request goes elsewhere within its group.

        Guards against endpoints, connections or paths that swallow part of what they are sent, on as much of
        the fleet as may be: answers are as quick as ever, so that no latency shows it, each attempt stays in
        flight until its request's time is up, and what looks like a crowd bars the very copies that help. It
        should cover requests lost on the way and endpoints that freeze, too. It could hurt where a fleet is
        overrun so fast that the mean latency doesn't follow: bounded by FORGIVEN, and by the time that a
        request has to have left.
        """
        while self.late and (self.late[0][0] <= now or not self.late[0][3].live):
            _, _, r, a = heapq.heappop(self.late)
            if not a.live:
                continue
            long_at = a.sent_at + LONG * (a.overdue_at - a.sent_at)
            a.long = now >= long_at
            if a.long and self.tells(r):
                self.silent.add(now, 1.0)
            if not a.long:
                self.count += 1
                heapq.heappush(self.late, (long_at, self.count, r, a))
            if r.begun or a.passed or not self.swallowing(now, r.klass):
                continue
            a.passed = True
            a.side.overdue += 1
            if self.may_hand_over(now, r, a):
                r.bound = r.bound or a
                a.given_up = True
                out.append(i.Cancel(r.id, r.attempts.index(a)))

    def may_hand_over(self, now: float, r: Request, a: Attempt) -> bool:
        """Whether a keyed request gains by going to another endpoint of its group."""
        told, bound = r.klass.told, r.bound or a
        if told.repeat != "deduplicated" or not self.limits.cancel or r.closed or r.live > 1:
            return False
        if len(r.attempts) >= self.limits.max_attempts or now >= bound.sent_at + told.window:
            return False
        return now + FINISH * r.klass.mean + r.work <= r.aim_at and a.side.room()

"""Attempts that are swallowed: they are taken for lost once enough of them stay out."""

from __future__ import annotations

import heapq

from .. import interface
from ..fleet.smooth import MEMORY, NEVER, Smooth
from .requests import Attempt, ClassState, Request

OVERDUE_LATENCIES = 1.8  # mean latencies after which most attempts that are still out stay out
OWN_WORK_FACTOR = 2.0  # times its own work that a request may take beyond that: a large one is not begun anew in vain
STALLED_FACTOR = 1.5  # times the usual span after which one that is still out is taken for swallowed
STALLED_THRESHOLD = 0.08  # share of attempts that are out for so long from which on they are acted upon
STALLED_PRIOR = 20.0  # attempts: how many it takes to outweigh that none are
UNCROWDED_SHARE = 0.3  # share of the aim below which a class's answers show no crowd
MIN_LATENCIES_LEFT = 0.7  # mean latencies that an attempt needs to have a chance of finishing


class StalledAttempts:
    """Attempts by when they should have been answered."""

    def __init__(self, settings: interface.Settings) -> None:
        self.limits = settings.limits
        self.pending: list[tuple[float, int, Request, Attempt]] = []  # attempts by when they are overdue
        self.stalled_share = Smooth(MEMORY)  # share of attempts that came to be overdue
        self.sequence = 0

    def add(self, r: Request, a: Attempt) -> None:
        """Watch an attempt from now on."""
        self.sequence += 1
        heapq.heappush(self.pending, (a.overdue_at, self.sequence, r, a))

    def next_due(self) -> float:
        """When the next attempt is overdue, in ms."""
        return self.pending[0][0] if self.pending else NEVER

    def expected_time(self, r: Request) -> float:
        """The time within which an attempt is answered, if it is at all."""
        return max(r.klass.hedge_delay, OVERDUE_LATENCIES * r.klass.mean_latency) + OWN_WORK_FACTOR * r.work

    def is_indicative(self, r: Request) -> bool:
        """Whether a request's attempts show what is swallowed: keyed ones are given up before."""
        return r.klass.settings.repeat != "deduplicated"

    def is_stalling(self, now: float, k: ClassState) -> bool:
        """Whether more attempts are overdue than slow answers account for, while those that come are quick.

        In a crowd they are not: guards against pushing on what is overrun already.
        """
        return (
            k.mean_latency < UNCROWDED_SHARE * k.settings.aim
            and self.stalled_share.mean(now, 0.0, STALLED_PRIOR) > STALLED_THRESHOLD
        )

    def check(self, now: float, out: list[interface.Action]) -> None:
        """Attempts without a word in their time, where too many are: they leave their place in the window to
        others, and a keyed request goes elsewhere within its group.

        Guards against endpoints, connections or paths that swallow part of what they are sent, on as much of
        the fleet as may be: answers are as quick as ever, so that no latency shows it, each attempt stays in
        flight until its request's time is up, and what looks like a crowd bars the very copies that help. It
        should cover requests lost on the way and endpoints that freeze, too. It could hurt where a fleet is
        overrun so fast that the mean latency doesn't follow: bounded by FORGIVEN, and by the time that a
        request has to have left.
        """
        while self.pending and (self.pending[0][0] <= now or not self.pending[0][3].is_open):
            _, _, r, a = heapq.heappop(self.pending)
            if not a.is_open:
                continue
            long_at = a.sent_at + STALLED_FACTOR * (a.overdue_at - a.sent_at)
            a.is_long_overdue = now >= long_at
            if a.is_long_overdue and self.is_indicative(r):
                self.stalled_share.add(now, 1.0)
            if not a.is_long_overdue:
                self.sequence += 1
                heapq.heappush(self.pending, (long_at, self.sequence, r, a))
            if r.is_streaming or a.is_stalled or not self.is_stalling(now, r.klass):
                continue
            a.is_stalled = True
            a.partition.stalled += 1
            if self.may_move(now, r, a):
                r.first_possible_run = r.first_possible_run or a
                a.is_given_up = True
                out.append(interface.Cancel(r.id, r.attempts.index(a)))

    def may_move(self, now: float, r: Request, a: Attempt) -> bool:
        """Whether a keyed request gains by going to another endpoint of its group."""
        told, bound = r.klass.settings, r.first_possible_run or a
        if told.repeat != "deduplicated" or not self.limits.cancel or r.is_closed or r.open_attempts > 1:
            return False
        if len(r.attempts) >= self.limits.max_attempts or now >= bound.sent_at + told.window:
            return False
        return now + MIN_LATENCIES_LEFT * r.klass.mean_latency + r.work <= r.target_at and a.partition.has_capacity()

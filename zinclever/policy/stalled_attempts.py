"""Attempts that are swallowed: they are taken for lost once enough of them stay out."""

from __future__ import annotations

import heapq

from .. import interface
from ..fleet.smooth import DECAY_TIME, NEVER, DecayingMean
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
        self.stalled_share = DecayingMean(DECAY_TIME)  # share of attempts that came to be overdue
        self.sequence = 0

    def add(self, request: Request, attempt: Attempt) -> None:
        """Watch an attempt from now on."""
        self.sequence += 1
        heapq.heappush(self.pending, (attempt.overdue_at, self.sequence, request, attempt))

    def next_due(self) -> float:
        """When the next attempt is overdue, in ms."""
        return self.pending[0][0] if self.pending else NEVER

    def expected_time(self, request: Request) -> float:
        """The time within which an attempt is answered, if it is at all."""
        return (
            max(request.klass.hedge_delay, OVERDUE_LATENCIES * request.klass.mean_latency)
            + OWN_WORK_FACTOR * request.work
        )

    def is_indicative(self, request: Request) -> bool:
        """Whether a request's attempts show what is swallowed: keyed ones are given up before."""
        return request.klass.settings.repeat != "deduplicated"

    def is_stalling(self, now: float, klass: ClassState) -> bool:
        """Whether more attempts are overdue than slow answers account for, while those that come are quick.

        In a crowd they are not: guards against pushing on what is overrun already.
        """
        return (
            klass.mean_latency < UNCROWDED_SHARE * klass.settings.aim
            and self.stalled_share.mean(now, 0.0, STALLED_PRIOR) > STALLED_THRESHOLD
        )

    def check(self, now: float, actions: list[interface.Action]) -> None:
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
            _, _, request, attempt = heapq.heappop(self.pending)
            if not attempt.is_open:
                continue
            long_at = attempt.sent_at + STALLED_FACTOR * (attempt.overdue_at - attempt.sent_at)
            attempt.is_long_overdue = now >= long_at
            if attempt.is_long_overdue and self.is_indicative(request):
                self.stalled_share.add(now, 1.0)
            if not attempt.is_long_overdue:
                self.sequence += 1
                heapq.heappush(self.pending, (long_at, self.sequence, request, attempt))
            if request.is_streaming or attempt.is_stalled or not self.is_stalling(now, request.klass):
                continue
            attempt.is_stalled = True
            attempt.partition.stalled += 1
            if self.may_move(now, request, attempt):
                request.first_possible_run = request.first_possible_run or attempt
                attempt.is_given_up = True
                actions.append(interface.Cancel(request.id, request.attempts.index(attempt)))

    def may_move(self, now: float, request: Request, attempt: Attempt) -> bool:
        """Whether a keyed request gains by going to another endpoint of its group."""
        settings, origin = request.klass.settings, request.first_possible_run or attempt
        if (
            settings.repeat != "deduplicated"
            or not self.limits.cancel
            or request.is_closed
            or request.open_attempts > 1
        ):
            return False
        if len(request.attempts) >= self.limits.max_attempts or now >= origin.sent_at + settings.window:
            return False
        return (
            now + MIN_LATENCIES_LEFT * request.klass.mean_latency + request.work <= request.target_at
            and attempt.partition.has_room()
        )

"""Detection of stalled attempts: requests that endpoints, connections or paths have lost."""

from __future__ import annotations

import heapq

from .. import interface
from ..fleet.decaying_mean import DECAY_TIME, NEVER, DecayingMean
from .requests import Attempt, ClassState, Request

OVERDUE_LATENCIES = 1.8  # mean latencies after which most attempts that are still open are never answered
OWN_WORK_FACTOR = 2.0  # multiple of the request's own work added to that, so that large requests are not moved in vain
STALLED_FACTOR = 1.5  # times the expected time after which an open attempt counts as lost
STALLED_THRESHOLD = 0.08  # share of lost attempts above which stalled attempts are acted upon
STALLED_PRIOR = 20.0  # weight, in attempts, of the prior that none is lost
UNLOADED_SHARE = 0.3  # share of the target below which a class's mean latency shows no overload
MIN_LATENCIES_LEFT = 0.7  # mean latencies that an attempt needs to have a chance of finishing


class StalledAttempts:
    """The open attempts by the instant at which they are overdue, and the share of attempts that are lost."""

    def __init__(self, settings: interface.Settings) -> None:
        self.limits = settings.limits
        self.pending: list[tuple[float, int, Request, Attempt]] = []  # heap by overdue_at
        self.stalled_share = DecayingMean(DECAY_TIME)  # share of attempts that became long overdue
        self.sequence = 0

    def add(self, request: Request, attempt: Attempt) -> None:
        """Watch an attempt from now on."""
        self.sequence += 1
        heapq.heappush(self.pending, (attempt.overdue_at, self.sequence, request, attempt))

    def next_due(self) -> float:
        """Return the instant at which the next attempt is overdue, in ms."""
        return self.pending[0][0] if self.pending else NEVER

    def expected_time(self, request: Request) -> float:
        """Return the time within which an attempt is answered if it is answered at all, in ms."""
        return (
            max(request.klass.hedge_delay, OVERDUE_LATENCIES * request.klass.mean_latency)
            + OWN_WORK_FACTOR * request.work
        )

    def is_indicative(self, request: Request) -> bool:
        """Return whether a request's attempts count in the share of lost ones.

        Those of deduplicated requests don't, as such requests may move to another endpoint before that.
        """
        return request.klass.settings.repeat != "deduplicated"

    def is_stalling(self, now: float, klass: ClassState) -> bool:
        """Return whether more attempts are overdue than slow answers explain, while the answers that come are quick.

        In overload the answers are slow and the result is False, so that no load is added to an overloaded fleet.
        """
        return (
            klass.mean_latency < UNLOADED_SHARE * klass.settings.aim
            and self.stalled_share.mean(now, 0.0, STALLED_PRIOR) > STALLED_THRESHOLD
        )

    def check(self, now: float, actions: list[interface.Action]) -> None:
        """Act on overdue attempts if too many are lost: they no longer count against the window, and a deduplicated
        request moves to another endpoint of its group.

        Covers endpoints, connections or paths that lose part of the requests, on any part of the fleet, and endpoints
        that freeze. Answers are then as quick as ever, so that no latency shows the fault. Each lost attempt stays in
        flight until its request's deadline, and the full window looks like overload and blocks the hedges that would
        help.

        If overload begins faster than the mean latency rises, this adds load. The amount is bounded by
        MAX_STALLED_SHARE and by the latest instant at which a request may be sent.
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
        """Return whether a deduplicated request gains by moving to another endpoint of its group."""
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
            and attempt.partition.has_capacity()
        )

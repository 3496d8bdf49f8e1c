"""Which requests a sidecar still takes after SIGTERM. No I/O, and no clock of its own.

Clients go on sending until they have noticed the shutdown. A request that is taken should be completed before the
process exits. One whose deadline comes later may be cut off: it is taken only in the first seconds, in which clients
can't know better and most requests end long before their deadline.

Times are in seconds.
"""

from __future__ import annotations

ANY_DEADLINE_PERIOD = 2.7  # from SIGTERM; a request sent up to 3 s after it may be cut off if it lasts until the exit
COMPLETION_PERIOD = 2.0  # before the exit, in which new requests are refused and open ones are completed
COMPLETION_SLACK = 0.1  # between the deadline of a request and the exit, in which its answer is written
MAX_EXIT_MARGIN = 0.6  # before the end of the grace period at which the process exits, even with open requests
EXIT_MARGIN_SHARE = 1 / 8  # of the grace period, in a short one


def exit_margin(grace: float) -> float:
    """Return the time before the end of the grace period at which the process exits.

    It is less than the last sixth of the period, the earliest time at which requests may be cut off.
    """
    return min(MAX_EXIT_MARGIN, EXIT_MARGIN_SHARE * grace)


class ShutdownAdmission:
    """Decides which requests are taken from SIGTERM to the exit."""

    def __init__(self, started_at: float, grace: float) -> None:
        """Begin a shutdown at the instant ``started_at``, with ``grace`` s until the process is killed."""
        self.started_at = started_at
        self.exits_at = started_at + grace - exit_margin(grace)
        self.refuses_at = max(started_at + grace / 2, self.exits_at - COMPLETION_PERIOD)
        """The instant from which all new requests are refused."""

    def refuse_all(self, now: float) -> None:
        """Refuse all new requests from now on."""
        self.refuses_at = min(self.refuses_at, now)

    def can_complete(self, now: float, time_left: float) -> bool:
        """Return whether a request is taken that arrives now and ends in ``time_left`` s at the latest."""
        return now < self.refuses_at and now + time_left + COMPLETION_SLACK <= self.exits_at

    def admits(self, now: float, time_left: float) -> bool:
        """Return whether a client's request is taken that arrives now and ends in ``time_left`` s at the latest."""
        is_early = now < min(self.refuses_at, self.started_at + ANY_DEADLINE_PERIOD)
        return is_early or self.can_complete(now, time_left)

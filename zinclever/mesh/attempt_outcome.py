"""Whether a request was executed: what every process on its way says of an attempt."""

from __future__ import annotations

import enum


class AttemptOutcome(enum.IntEnum):
    """The outcome of an attempt. Of two processes that know of one the higher outcome holds."""

    NOT_EXECUTED = 1
    """It has not run and never will: it may be sent elsewhere, or refused."""
    NO_CAPACITY = 2
    """The same, as whoever was asked has no capacity."""
    UNKNOWN = 3
    """It may have run, or may yet: a request that is not idempotent goes nowhere else."""
    EXECUTED = 4
    """An endpoint has answered it."""

    @property
    def proves_not_executed(self) -> bool:
        """Whether the request may be sent elsewhere, even if it is not idempotent."""
        return self <= AttemptOutcome.NO_CAPACITY

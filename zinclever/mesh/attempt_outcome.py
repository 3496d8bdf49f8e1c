"""Whether a request may have run: what every hop says of an attempt."""

from __future__ import annotations

import enum


class AttemptOutcome(enum.IntEnum):
    """Ordered: of two hops that know of an attempt the higher one holds."""

    NOT_EXECUTED = 1
    """It has not run and never will: it may go elsewhere, and it may be refused."""
    NO_CAPACITY = 2
    """The same, and what was asked has no room."""
    UNKNOWN = 3
    """It may have run, or may yet: an unsafe one goes nowhere else."""
    EXECUTED = 4
    """An endpoint has answered it."""

    @property
    def proves_not_executed(self) -> bool:
        return self <= AttemptOutcome.NO_CAPACITY

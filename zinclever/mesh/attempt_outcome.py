"""The outcome of a request attempt: whether the request was executed."""

from __future__ import annotations

import enum


class AttemptOutcome(enum.IntEnum):
    """The outcome of an attempt. If two processes report different outcomes, the higher one holds."""

    NOT_EXECUTED = 1
    """It was not executed and never will be: it may be retried elsewhere, or refused."""
    NO_CAPACITY = 2
    """As ``NOT_EXECUTED``, because the sidecar or endpoint that was asked had no free capacity."""
    UNKNOWN = 3
    """It may have been executed, or may still be: a request that is not idempotent is not retried."""
    EXECUTED = 4
    """An endpoint answered it."""

    @property
    def proves_not_executed(self) -> bool:
        """Whether the request may be retried elsewhere, even if it is not idempotent."""
        return self <= AttemptOutcome.NO_CAPACITY

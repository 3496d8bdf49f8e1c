"""How many endpoints one request may have reached. Pure.

A route's ``MaxAttempts`` bounds the endpoints that one try of a client may be sent to. It is a bound on what may have
happened, not on what is known so far: an attempt counts from before its first byte is sent until it is certain that it
reached no endpoint. One that is in flight, waits for a slot, or was cancelled but may have run still counts.
"""

from __future__ import annotations


class Reservation:
    """One attempt that counts against the bound of its request until :meth:`AttemptCount.release`."""

    __slots__ = ("is_counted",)

    def __init__(self) -> None:
        self.is_counted = True


class AttemptCount:
    """The attempts of one request that reached an endpoint, or may have."""

    __slots__ = ("limit", "reserved")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.reserved = 0

    def reserve(self) -> Reservation | None:
        """Count one more attempt, before it is sent; None where the bound allows no more."""
        if self.reserved >= self.limit:
            return None
        self.reserved += 1
        return Reservation()

    def release(self, reservation: Reservation) -> None:
        """The attempt certainly reached no endpoint and never will. Has an effect once for each reservation."""
        if reservation.is_counted:
            reservation.is_counted = False
            self.reserved -= 1

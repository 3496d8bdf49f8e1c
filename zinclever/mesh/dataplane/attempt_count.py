"""Limit on the number of endpoints that one request may have reached. Performs no I/O.

A route's ``MaxAttempts`` limits the number of endpoints that one request may reach; a client's retry is a new request.
An attempt counts from before its first byte is sent, and stops counting only when it is certain that the attempt
reached no endpoint. So attempts that are in flight, wait for a slot, or were cancelled but may have run still count.
"""

from __future__ import annotations


class Reservation:
    """One attempt that counts against the limit of its request until :meth:`AttemptCount.release`."""

    __slots__ = ("is_counted",)

    def __init__(self) -> None:
        self.is_counted = True


class AttemptCount:
    """The number of attempts of one request that reached an endpoint, or may have."""

    __slots__ = ("limit", "reserved")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.reserved = 0

    def reserve(self) -> Reservation | None:
        """Count an attempt before it is sent. Returns None if the limit is reached."""
        if self.reserved >= self.limit:
            return None
        self.reserved += 1
        return Reservation()

    def release(self, reservation: Reservation) -> None:
        """Stop counting an attempt that certainly reached no endpoint and never will. Idempotent."""
        if reservation.is_counted:
            reservation.is_counted = False
            self.reserved -= 1

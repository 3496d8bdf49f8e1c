"""Fetches of peers for a configuration that is not active here yet. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

MAX_WAITERS = 1024  # connections whose peers wait for a version
WAITER_TIMEOUT = 1.5  # s after which a waiting fetch is dropped; the peer has asked other processes by then

ConnectionT = TypeVar("ConnectionT")
RequestT = TypeVar("RequestT")


@dataclass(frozen=True, slots=True)
class Waiter(Generic[RequestT]):
    """A fetch request that waits for a version, with the time of its arrival."""

    request: RequestT
    since: float


class FetchWaiters(Generic[ConnectionT, RequestT]):
    """Fetch requests of peers for a version that is not active here yet: the latest one of each connection."""

    def __init__(self) -> None:
        self.waiters: dict[ConnectionT, Waiter[RequestT]] = {}

    def add(self, now: float, connection: ConnectionT, request: RequestT) -> bool:
        """Add a request, replacing an earlier one of the connection. Returns False if the limit is reached."""
        if connection not in self.waiters and len(self.waiters) >= MAX_WAITERS:
            self.waiters = {
                other: waiter for other, waiter in self.waiters.items() if now - waiter.since < WAITER_TIMEOUT
            }
            if len(self.waiters) >= MAX_WAITERS:
                return False
        self.waiters[connection] = Waiter(request, now)
        return True

    def take_all(self, now: float) -> list[tuple[ConnectionT, RequestT]]:
        """Remove all requests, and return those that have not timed out."""
        waiters, self.waiters = self.waiters, {}
        return [
            (connection, waiter.request)
            for connection, waiter in waiters.items()
            if now - waiter.since < WAITER_TIMEOUT
        ]

    def drop(self, connection: ConnectionT) -> None:
        """Remove the request of a lost connection."""
        self.waiters.pop(connection, None)

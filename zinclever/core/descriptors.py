"""The descriptors of the process, shared by every service's clients and endpoints."""

from __future__ import annotations

from collections.abc import Callable

DESCRIPTOR_RESERVE = 40  # descriptors for the listener, discovery, the loop, the runtime and those being closed


class Descriptors:
    """Counts connections against one bound; makes room by closing idle ones to endpoints."""

    __slots__ = ("clients", "evictors", "limit", "most", "open")

    def __init__(self, limit: int) -> None:
        self.clients = 0
        """Connections of clients."""
        self.open = 0
        """Connections to endpoints, those being dialled among them."""
        self.evictors: list[Callable[[], bool]] = []
        """Of each wire: closes its connection that has been idle for longest; False if there is none."""
        self.configure(limit)

    def configure(self, limit: int) -> None:
        """``limit``: descriptors that the process may hold."""
        self.limit = limit
        self.most = limit - DESCRIPTOR_RESERVE

    def full(self) -> bool:
        return self.open + self.clients >= self.most

    def evict(self) -> bool:
        """Close an idle connection to an endpoint; its descriptor is free in the loop's next round, before
        a new one is connected."""
        return any(evict() for evict in self.evictors)

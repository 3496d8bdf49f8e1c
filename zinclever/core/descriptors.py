"""The limit on file descriptors of the process, shared by the connections of all services."""

from __future__ import annotations

from collections.abc import Callable

DESCRIPTOR_RESERVE = 40  # descriptors for the listener, discovery, the loop, the runtime and connections being closed


class Descriptors:
    """Counts connections against one limit and closes idle connections to endpoints to stay within it."""

    __slots__ = ("clients", "evictors", "limit", "max_connections", "open")

    def __init__(self, limit: int) -> None:
        self.clients = 0
        """Connections of clients."""
        self.open = 0
        """Connections to endpoints, including those being dialled."""
        self.evictors: list[Callable[[], bool]] = []
        """One function per wire: closes its connection that has been idle longest; False if none is idle."""
        self.configure(limit)

    def configure(self, limit: int) -> None:
        """Sets the number of descriptors that the process may use."""
        self.limit = limit
        self.max_connections = limit - DESCRIPTOR_RESERVE

    def full(self) -> bool:
        """Returns whether all descriptors available for connections are in use."""
        return self.open + self.clients >= self.max_connections

    def evict(self) -> bool:
        """Closes an idle connection to an endpoint; returns False if none is idle.

        Its descriptor is released in the next iteration of the loop, before a new connection is made.
        """
        return any(evict() for evict in self.evictors)

"""Pools of connections that carry one request at a time."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Sequence
from typing import Generic, Protocol, TypeVar

from .. import interface
from ..fleet.limits import ConnectionLimiter
from .descriptors import Descriptors
from .protocol import Address

IDLE_SHARE = 0.9  # share of the endpoint's idle timeout after which the sidecar closes idle connections first


class ExclusiveConnection(Protocol):
    """A connection that carries one request at a time."""

    def reusable(self) -> bool:
        """Returns whether it is open and nothing was received since the last answer."""

    def abort(self) -> None:
        """Closes the connection at once."""


C = TypeVar("C", bound=ExclusiveConnection)
C_contra = TypeVar("C_contra", contravariant=True)


class PendingAttempt(Protocol[C_contra]):
    """An attempt that waits for a connection."""

    def waiting(self) -> bool:
        """Returns whether it still needs a connection; False once it is cancelled."""

    def run(self, connection: C_contra) -> None:
        """Sends the request on a connection."""

    def end(self, outcome: interface.Outcome) -> None:
        """Ends the attempt without a connection."""


#: Dials an address with a timeout in seconds; the callbacks report that the connection is free, or has ended.
Dial = Callable[[Address, float, Callable[[C], None], Callable[[C], None]], Awaitable[C]]


class Pool(Generic[C]):
    """The idle connections to one endpoint, oldest first."""

    __slots__ = ("address", "answered_at", "idle", "open", "removed")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.open = 0
        """Connections to the endpoint, including those in use and those being dialled."""
        self.removed = False
        """The endpoint has been removed or has moved: connections are no longer kept."""
        self.idle: list[C] = []
        self.answered_at = -math.inf
        """When a connection last became free after an answer, in ms on the loop's clock."""


class ExclusivePools(Generic[C]):
    """All connections of one wire that carry one request at a time, within the limit on descriptors.

    Owns connections while they are idle.
    """

    def __init__(self, dial: Dial[C], descriptors: Descriptors) -> None:
        self.dial, self.descriptors = dial, descriptors
        descriptors.evictors.append(self.evict)
        self.loop = asyncio.get_running_loop()
        self.pools: dict[str, Pool[C]] = {}
        self.idle: dict[C, tuple[float, Pool[C]]] = {}
        """Idle connections, longest idle first, each with the time at which to close it and its pool."""
        self.dials: set[asyncio.Task[None]] = set()
        self.open = 0
        """Connections of this wire, including those in use and those being dialled."""
        self.reaper: asyncio.TimerHandle | None = None

    def configure(self, connect_timeout: float, idle_limit: float, connections: ConnectionLimiter) -> None:
        """Sets the timeouts, in ms, and the limits on opening connections."""
        self.connections = connections
        self.connect_timeout = connect_timeout / 1000.0
        self.idle_timeout = IDLE_SHARE * idle_limit / 1000.0

    # --- endpoints ---

    def set_address(self, endpoint: str, address: Address) -> None:
        """Adds an endpoint, or changes its address."""
        pool = self.pools.get(endpoint)
        if pool is None:
            self.pools[endpoint] = Pool(address)
        elif pool.address != address:
            self.forget(endpoint)
            self.pools[endpoint] = Pool(address)

    def forget(self, endpoint: str) -> None:
        """Removes an endpoint; attempts that have been sent to it run on."""
        self.close_idle(endpoint)
        if pool := self.pools.pop(endpoint, None):
            pool.removed = True

    def drain(self, endpoint: str) -> None:
        """Does nothing: attempts wait only for a dial, which has a timeout."""

    def listed(self) -> Sequence[str]:
        """Returns the endpoints that have an address."""
        return list(self.pools)

    # --- attempts ---

    def send_attempt(self, endpoint: str, attempt: PendingAttempt[C]) -> None:
        """Runs an attempt on an idle connection, or dials a new one for it."""
        pool = self.pools.get(endpoint)
        if pool is None:
            self.loop.call_soon(attempt.end, "connect_failed")
            return
        while pool.idle:
            connection = pool.idle.pop()
            del self.idle[connection]
            if connection.reusable():
                attempt.run(connection)
                return
            connection.abort()
        now = 1000.0 * self.loop.time()
        spare = 1 if self.connections.is_exhausted(now, self.open) and self.evict() else 0  # closed, but still counted
        if not self.connections.may_open(now, pool.open, self.open - spare):
            self.loop.call_soon(attempt.end, "barred")
            return
        if self.descriptors.full() and not self.descriptors.evict():
            self.loop.call_soon(attempt.end, "connect_failed")
            return
        self.count(pool, 1)
        task = self.loop.create_task(self.connect(pool, attempt))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)

    async def connect(self, pool: Pool[C], attempt: PendingAttempt[C]) -> None:
        """Dials for one attempt; if it is cancelled meanwhile, the connection is kept for the next one."""
        try:
            connection = await self.dial(
                pool.address, self.connect_timeout, lambda c: self.free(pool, c), lambda c: self.lost(pool, c)
            )
        except OSError:
            self.count(pool, -1)
            self.connections.on_connect_failed(1000.0 * self.loop.time(), pool.answered_at)
            attempt.end("connect_failed")
            return
        if attempt.waiting():
            attempt.run(connection)
        else:
            self.free(pool, connection)  # a successful dial shows that the endpoint is alive, as an answer does

    def count(self, pool: Pool[C], by: int) -> None:
        """Adds ``by`` to the counts of open connections."""
        pool.open += by
        self.open += by
        self.descriptors.open += by

    # --- idle connections ---

    def evict(self) -> bool:
        """Closes the connection that has been idle longest; returns False if there is none."""
        for connection in self.idle:
            self.drop(connection)
            return True
        return False

    def drop(self, connection: C) -> None:
        """Closes an idle connection."""
        _, pool = self.idle.pop(connection)
        pool.idle.remove(connection)
        connection.abort()

    def free(self, pool: Pool[C], connection: C) -> None:
        """Takes back a connection that can carry another request."""
        if pool.removed:
            connection.abort()
            return
        now = self.loop.time()
        pool.answered_at = 1000.0 * now
        pool.idle.append(connection)
        self.idle[connection] = (now + self.idle_timeout, pool)
        if self.reaper is None:
            self.reaper = self.loop.call_later(self.idle_timeout, self.reap)

    def reap(self) -> None:
        """Closes connections whose idle timeout has passed, before the endpoint does."""
        self.reaper = None
        now = self.loop.time()
        while self.idle:
            connection, (due, _) = next(iter(self.idle.items()))
            if due > now:
                self.reaper = self.loop.call_later(due - now, self.reap)
                return
            self.drop(connection)

    def close_idle(self, endpoint: str) -> None:
        """Closes the idle connections to an endpoint."""
        pool = self.pools.get(endpoint)
        for connection in list(pool.idle) if pool else ():
            self.drop(connection)

    def lost(self, pool: Pool[C], connection: C) -> None:
        """Handles the end of a connection."""
        self.count(pool, -1)
        if self.idle.pop(connection, None) is not None:
            pool.idle.remove(connection)

    def close(self) -> None:
        """Closes idle connections at shutdown."""
        if self.reaper is not None:
            self.reaper.cancel()
        while self.evict():
            pass

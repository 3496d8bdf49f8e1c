"""Pools of connections that carry many requests at once (multiplexing)."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from typing import Generic, Protocol, TypeVar

from .. import interface
from ..fleet.limits import ConnectionLimiter
from .descriptors import Descriptors
from .pools import IDLE_SHARE, PendingAttempt
from .protocol import Address

EASY = 64  # pending requests that each connection of an endpoint has when another one is opened
MOST_CONNECTIONS = 4  # connections per endpoint, so that a slow endpoint is not flooded with sockets
MOST_PENDING = 8192  # maximum of requests on one connection, and of attempts waiting for one; others fail at once


class SharedConnection(Protocol):
    """A connection that carries many requests at once."""

    def pending(self) -> int:
        """Returns the number of requests that are sent or queued on it."""

    def sound(self) -> bool:
        """Returns whether it can take more requests; checks the socket if nothing is pending."""

    def drop_unsent(self) -> None:
        """Ends the requests that have not started to be sent, as never run."""

    def finish(self) -> None:
        """Accepts no new requests and closes after the last pending one."""

    def abort(self) -> None:
        """Closes at once; pending requests end with it."""


C = TypeVar("C", bound=SharedConnection)
C_contra = TypeVar("C_contra", contravariant=True)


class Watcher(Protocol[C_contra]):
    """Receives the events of a connection."""

    def idle(self, connection: C_contra) -> None:
        """Called when no request is pending any more."""

    def retired(self, connection: C_contra) -> None:
        """Called when the connection accepts no new requests."""

    def lost(self, connection: C_contra) -> None:
        """Called when the connection and all its pending requests have ended."""


Dial = Callable[[Address, float, Watcher[C]], Awaitable[C]]


class Pool(Generic[C]):
    """The connections to one endpoint that accept requests, and the attempts that wait for a new one."""

    __slots__ = ("address", "connections", "dialling", "removed", "waiting")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.removed = False
        """The endpoint has been removed or has moved: connections are no longer kept."""
        self.connections: list[C] = []
        self.waiting: deque[PendingAttempt[C]] = deque()
        self.dialling = False

    def least_loaded(self) -> C | None:
        """Returns the connection with the fewest pending requests."""
        return min(self.connections, key=lambda c: c.pending(), default=None)


class SharedPools(Generic[C]):
    """All multiplexed connections of one wire, within the limit on descriptors.

    Owns connections from dialling to their end.
    """

    def __init__(self, dial: Dial[C], descriptors: Descriptors) -> None:
        self.dial, self.descriptors = dial, descriptors
        descriptors.evictors.append(self.evict)
        self.loop = asyncio.get_running_loop()
        self.pools: dict[str, Pool[C]] = {}
        self.pool_by_connection: dict[C, Pool[C]] = {}
        """The pool of each open connection."""
        self.idle_until: dict[C, float] = {}
        """Connections without pending requests, longest idle first, each with the time at which to close it."""
        self.dials: set[asyncio.Task[None]] = set()
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
        if pool is not None and pool.address != address:
            self.forget(endpoint)
            pool = None
        if pool is None:
            self.pools[endpoint] = Pool(address)

    def drain(self, endpoint: str) -> None:
        """Ends the attempts that have not started to be sent to an endpoint; those in flight finish."""
        pool = self.pools.get(endpoint)
        if pool is not None:
            self.drop_unsent(pool)

    def drop_unsent(self, pool: Pool[C]) -> None:
        """Ends the attempts of one pool that have not started to be sent."""
        waiting, pool.waiting = pool.waiting, deque()
        for attempt in waiting:
            attempt.end("dropped")
        for connection in list(pool.connections):
            connection.drop_unsent()

    def forget(self, endpoint: str) -> None:
        """Removes an endpoint; attempts that have been sent to it run on."""
        pool = self.pools.pop(endpoint, None)
        if pool is not None:
            pool.removed = True
            self.drop_unsent(pool)
            for connection in list(pool.connections):
                connection.finish()

    def listed(self) -> Sequence[str]:
        """Returns the endpoints that have an address."""
        return list(self.pools)

    # --- attempts ---

    def send_attempt(self, endpoint: str, attempt: PendingAttempt[C]) -> None:
        """Runs an attempt on the least loaded connection, or lets it wait for a new one."""
        pool = self.pools.get(endpoint)
        if pool is None:
            self.loop.call_soon(attempt.end, "connect_failed")
            return
        connection = self.pick(pool)
        if connection is not None and connection.pending() < MOST_PENDING:
            self.idle_until.pop(connection, None)
            attempt.run(connection)
            return
        failure: interface.Outcome | None = "connect_failed" if len(pool.waiting) >= MOST_PENDING else None
        if failure is None and not pool.dialling:
            failure = self.open_connection(pool)
        if failure is None:
            pool.waiting.append(attempt)
        else:
            self.loop.call_soon(attempt.end, failure)

    def pick(self, pool: Pool[C]) -> C | None:
        """Returns the least loaded usable connection; opens another one if all have many pending requests."""
        connection = pool.least_loaded()
        while connection is not None and not connection.sound():
            connection.finish()
            connection = pool.least_loaded()
        crowded = connection is not None and connection.pending() >= EASY
        if crowded and not pool.dialling:
            self.open_connection(pool)
        return connection

    def open_connection(self, pool: Pool[C]) -> interface.Outcome | None:
        """Starts to dial one more connection; returns the outcome for the attempt if that isn't possible."""
        if len(pool.connections) >= MOST_CONNECTIONS:
            return "connect_failed"
        total = len(self.pool_by_connection) + len(self.dials)
        if not self.connections.may_open(1000.0 * self.loop.time(), len(pool.connections), total):
            return "barred"
        if self.descriptors.full() and not self.descriptors.evict():
            return "connect_failed"
        self.descriptors.open += 1
        pool.dialling = True
        task = self.loop.create_task(self.connect(pool))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)
        return None

    async def connect(self, pool: Pool[C]) -> None:
        """Dials; the waiting attempts share the new connection, or fail with it."""
        try:
            connection = await self.dial(pool.address, self.connect_timeout, self)
        except OSError:
            self.descriptors.open -= 1
            now = 1000.0 * self.loop.time()
            # If another connection is open the endpoint is alive, and refuses further connections.
            self.connections.on_connect_failed(now, now if pool.connections else -math.inf)
            pool.dialling = False
            waiting, pool.waiting = pool.waiting, deque()
            for attempt in waiting:
                attempt.end("connect_failed")
            return
        pool.dialling = False
        self.pool_by_connection[connection] = pool
        pool.connections.append(connection)
        waiting, pool.waiting = pool.waiting, deque()
        for attempt in waiting:
            if attempt.waiting():
                attempt.run(connection)
        if pool.removed:
            connection.finish()
        elif not connection.pending():
            self.idle(connection)

    # --- connection events ---

    def idle(self, connection: C) -> None:
        """See :meth:`Watcher.idle`."""
        if connection not in self.pool_by_connection or connection in self.idle_until:
            return
        self.idle_until[connection] = self.loop.time() + self.idle_timeout
        if self.reaper is None:
            self.reaper = self.loop.call_later(self.idle_timeout, self.reap)

    def retired(self, connection: C) -> None:
        """See :meth:`Watcher.retired`."""
        pool = self.pool_by_connection.get(connection)
        if pool is not None and connection in pool.connections:
            pool.connections.remove(connection)

    def lost(self, connection: C) -> None:
        """See :meth:`Watcher.lost`."""
        self.retired(connection)
        self.idle_until.pop(connection, None)
        if self.pool_by_connection.pop(connection, None) is not None:
            self.descriptors.open -= 1

    # --- idle connections ---

    def evict(self) -> bool:
        """Closes the connection that has been idle longest; returns False if there is none."""
        for connection in self.idle_until:
            connection.abort()
            return True
        return False

    def reap(self) -> None:
        """Closes connections whose idle timeout has passed, before the endpoint does."""
        self.reaper = None
        now = self.loop.time()
        while self.idle_until:
            connection, due = next(iter(self.idle_until.items()))
            if due > now:
                self.reaper = self.loop.call_later(due - now, self.reap)
                return
            connection.abort()

    def close_idle(self, endpoint: str) -> None:
        """Closes the idle connections to an endpoint."""
        pool = self.pools.get(endpoint)
        for connection in list(pool.connections) if pool else ():
            if connection in self.idle_until:
                connection.abort()

    def close(self) -> None:
        """Closes all connections at shutdown."""
        if self.reaper is not None:
            self.reaper.cancel()
        for task in self.dials:
            task.cancel()
        for connection in list(self.pool_by_connection):
            connection.abort()

"""Pools of connections that carry many requests at once."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from typing import Generic, Protocol, TypeVar

from .. import interface
from ..fleet.limits import ConnectionLimiter
from .descriptors import Descriptors
from .pools import IDLE_SHARE, Carried
from .protocol import Address

EASY = 64  # requests pending on each connection from which on another one is opened
MOST_CONNECTIONS = 4  # to an endpoint: beyond that they share, so that a slow one isn't buried in sockets
MOST_PENDING = 8192  # on a connection, and waiting for one: what is beyond never goes out


class Shared(Protocol):
    """A connection that carries many requests at once."""

    def pending(self) -> int:
        """Requests that are out on it or wait to go out."""

    def sound(self) -> bool:
        """Whether more may be put on it: asked of the kernel where nothing is pending."""

    def drop_unsent(self) -> None:
        """End what has not begun to go out, as never run."""

    def finish(self) -> None:
        """Take nothing new, and end with the last that is pending."""

    def abort(self) -> None:
        """End at once; what is pending ends with it."""


C = TypeVar("C", bound=Shared)
C_contra = TypeVar("C_contra", contravariant=True)


class Watcher(Protocol[C_contra]):
    """What a connection tells its owner."""

    def idle(self, connection: C_contra) -> None:
        """Nothing is pending any more."""

    def retired(self, connection: C_contra) -> None:
        """It takes nothing new from now on."""

    def lost(self, connection: C_contra) -> None:
        """It has ended, and so has all that was pending."""


Dial = Callable[[Address, float, Watcher[C]], Awaitable[C]]


class Pool(Generic[C]):
    """The connections to one endpoint that take requests, and who waits for the next one."""

    __slots__ = ("address", "connections", "dialling", "left", "waiting")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.left = False
        self.connections: list[C] = []
        self.waiting: deque[Carried[C]] = deque()
        self.dialling = False

    def least(self) -> C | None:
        """The connection with the fewest requests pending."""
        return min(self.connections, key=lambda c: c.pending(), default=None)


class SharedPools(Generic[C]):
    """All connections of one wire, within the bound on descriptors. Owns them from dialling to their end."""

    def __init__(self, dial: Dial[C], descriptors: Descriptors) -> None:
        self.dial, self.descriptors = dial, descriptors
        descriptors.evictors.append(self.evict)
        self.loop = asyncio.get_running_loop()
        self.pools: dict[str, Pool[C]] = {}
        self.pool_by_connection: dict[C, Pool[C]] = {}
        """Every open connection, and the pool that it belongs to."""
        self.resting: dict[C, float] = {}
        """Those with nothing pending, longest so first: when each is to be closed."""
        self.dials: set[asyncio.Task[None]] = set()
        self.reaper: asyncio.TimerHandle | None = None

    def configure(self, connect_timeout: float, idle_limit: float, connections: ConnectionLimiter) -> None:
        self.connections = connections
        self.connect_timeout = connect_timeout / 1000.0
        self.max_idle_time = IDLE_SHARE * idle_limit / 1000.0

    # --- where endpoints are ---

    def set_address(self, endpoint: str, address: Address) -> None:
        pool = self.pools.get(endpoint)
        if pool is not None and pool.address != address:
            self.forget(endpoint)
            pool = None
        if pool is None:
            self.pools[endpoint] = Pool(address)

    def drain(self, endpoint: str) -> None:
        """What has not begun to go out is turned back; what is out finishes."""
        pool = self.pools.get(endpoint)
        if pool is not None:
            self.drop_unsent(pool)

    def drop_unsent(self, pool: Pool[C]) -> None:
        waiting, pool.waiting = pool.waiting, deque()
        for attempt in waiting:
            attempt.end("dropped")
        for connection in list(pool.connections):
            connection.drop_unsent()

    def forget(self, endpoint: str) -> None:
        pool = self.pools.pop(endpoint, None)
        if pool is not None:
            pool.left = True
            self.drop_unsent(pool)
            for connection in list(pool.connections):
                connection.finish()

    def listed(self) -> Sequence[str]:
        return list(self.pools)

    # --- attempts ---

    def send_attempt(self, endpoint: str, attempt: Carried[C]) -> None:
        """Put an attempt on the connection with the fewest pending, or on a new one where all have many."""
        pool = self.pools.get(endpoint)
        if pool is None:
            self.loop.call_soon(attempt.end, "connect_failed")
            return
        connection = self.pick(pool)
        if connection is not None and connection.pending() < MOST_PENDING:
            self.resting.pop(connection, None)
            attempt.run(connection)
            return
        why: interface.Outcome | None = "connect_failed" if len(pool.waiting) >= MOST_PENDING else None
        if why is None and not pool.dialling:
            why = self.open_one(pool)
        if why is None:
            pool.waiting.append(attempt)
        else:
            self.loop.call_soon(attempt.end, why)

    def pick(self, pool: Pool[C]) -> C | None:
        """A connection to share. Where all have many pending, another one is opened beside."""
        connection = pool.least()
        while connection is not None and not connection.sound():
            connection.finish()
            connection = pool.least()
        crowded = connection is not None and connection.pending() >= EASY
        if crowded and not pool.dialling:
            self.open_one(pool)
        return connection

    def open_one(self, pool: Pool[C]) -> interface.Outcome | None:
        """Dial one more; or how an attempt ends that can't go out without."""
        if len(pool.connections) >= MOST_CONNECTIONS:
            return "connect_failed"
        in_all = len(self.pool_by_connection) + len(self.dials)
        if not self.connections.may_open(1000.0 * self.loop.time(), len(pool.connections), in_all):
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
        """Dial; who has waited for it shares the connection, or fails with it."""
        try:
            connection = await self.dial(pool.address, self.connect_timeout, self)
        except OSError:
            self.descriptors.open -= 1
            now = 1000.0 * self.loop.time()
            # Where another connection is up the endpoint lives, and has no room for one more.
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
        if pool.left:
            connection.finish()
        elif not connection.pending():
            self.idle(connection)

    # --- what connections tell ---

    def idle(self, connection: C) -> None:
        if connection not in self.pool_by_connection or connection in self.resting:
            return
        self.resting[connection] = self.loop.time() + self.max_idle_time
        if self.reaper is None:
            self.reaper = self.loop.call_later(self.max_idle_time, self.reap)

    def retired(self, connection: C) -> None:
        pool = self.pool_by_connection.get(connection)
        if pool is not None and connection in pool.connections:
            pool.connections.remove(connection)

    def lost(self, connection: C) -> None:
        self.retired(connection)
        self.resting.pop(connection, None)
        if self.pool_by_connection.pop(connection, None) is not None:
            self.descriptors.open -= 1

    # --- idle connections ---

    def evict(self) -> bool:
        """Close the connection that has been idle for longest; False if there is none."""
        for connection in self.resting:
            connection.abort()
            return True
        return False

    def reap(self) -> None:
        self.reaper = None
        now = self.loop.time()
        while self.resting:
            connection, due = next(iter(self.resting.items()))
            if due > now:
                self.reaper = self.loop.call_later(due - now, self.reap)
                return
            connection.abort()

    def close_idle(self, endpoint: str) -> None:
        pool = self.pools.get(endpoint)
        for connection in list(pool.connections) if pool else ():
            if connection in self.resting:
                connection.abort()

    def close(self) -> None:
        """Close every connection, at the end."""
        if self.reaper is not None:
            self.reaper.cancel()
        for task in self.dials:
            task.cancel()
        for connection in list(self.pool_by_connection):
            connection.abort()

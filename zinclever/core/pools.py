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

IDLE_SHARE = 0.9  # of the time after which an endpoint closes an idle connection: ours has to go before


class Exclusive(Protocol):
    """A connection that carries one request at a time."""

    def reusable(self) -> bool:
        """Whether it is sound and nothing has come since the last answer."""

    def abort(self) -> None: ...


C = TypeVar("C", bound=Exclusive)
C_contra = TypeVar("C_contra", contravariant=True)


class Carried(Protocol[C_contra]):
    """An attempt that waits for its connection."""

    def waiting(self) -> bool:
        """False once it has been cancelled."""

    def run(self, connection: C_contra) -> None: ...

    def end(self, outcome: interface.Outcome) -> None: ...


#: Dials an address within so many seconds; told of the connection's being free, and of its end.
Dial = Callable[[Address, float, Callable[[C], None], Callable[[C], None]], Awaitable[C]]


class Pool(Generic[C]):
    """The connections to one endpoint that are free, oldest first."""

    __slots__ = ("address", "answered_at", "idle", "left", "open")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.open = 0
        """Connections to it, those in use and those being dialled among them."""
        self.left = False
        """The endpoint is gone from there: connections are not kept."""
        self.idle: list[C] = []
        self.answered_at = -math.inf
        """ms on the loop's clock: when a connection to it last became free by an answer."""


class ExclusivePools(Generic[C]):
    """All connections of one wire, within the bound on descriptors. Owns them while they are idle."""

    def __init__(self, dial: Dial[C], descriptors: Descriptors) -> None:
        self.dial, self.descriptors = dial, descriptors
        descriptors.evictors.append(self.evict)
        self.loop = asyncio.get_running_loop()
        self.pools: dict[str, Pool[C]] = {}
        self.idle: dict[C, tuple[float, Pool[C]]] = {}
        """Those free, longest idle first: when each is to be closed, and its pool."""
        self.dials: set[asyncio.Task[None]] = set()
        self.open = 0
        """Of this wire's, as a pool counts its own."""
        self.reaper: asyncio.TimerHandle | None = None

    def configure(self, connect_timeout: float, idle_limit: float, connections: ConnectionLimiter) -> None:
        self.connections = connections
        self.connect_timeout = connect_timeout / 1000.0
        self.max_idle_time = IDLE_SHARE * idle_limit / 1000.0

    # --- where endpoints are ---

    def set_address(self, endpoint: str, address: Address) -> None:
        """An endpoint is found at this address from now on."""
        pool = self.pools.get(endpoint)
        if pool is None:
            self.pools[endpoint] = Pool(address)
        elif pool.address != address:
            self.forget(endpoint)
            self.pools[endpoint] = Pool(address)

    def forget(self, endpoint: str) -> None:
        """An endpoint is gone; what is out on it ends by itself."""
        self.close_idle(endpoint)
        if pool := self.pools.pop(endpoint, None):
            pool.left = True

    def drain(self, endpoint: str) -> None:
        """Nothing waits here but for a dial, whose time is bounded."""

    def listed(self) -> Sequence[str]:
        return list(self.pools)

    # --- attempts ---

    def send_attempt(self, endpoint: str, attempt: Carried[C]) -> None:
        """Find a connection for an attempt: one that is idle, or a new one."""
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
        spare = 1 if self.connections.is_exhausted(now, self.open) and self.evict() else 0  # it is closing
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

    async def connect(self, pool: Pool[C], attempt: Carried[C]) -> None:
        """Dial for one attempt; if that is cancelled meanwhile, the connection is kept for the next."""
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
            self.free(pool, connection)  # it has come up, which tells as much as an answer

    def count(self, pool: Pool[C], by: int) -> None:
        """One connection more, or less."""
        pool.open += by
        self.open += by
        self.descriptors.open += by

    # --- idle connections ---

    def evict(self) -> bool:
        """Close the connection that has been idle for longest; False if there is none."""
        for connection in self.idle:
            self.drop(connection)
            return True
        return False

    def drop(self, connection: C) -> None:
        _, pool = self.idle.pop(connection)
        pool.idle.remove(connection)
        connection.abort()

    def free(self, pool: Pool[C], connection: C) -> None:
        if pool.left:
            connection.abort()
            return
        now = self.loop.time()
        pool.answered_at = 1000.0 * now
        pool.idle.append(connection)
        self.idle[connection] = (now + self.max_idle_time, pool)
        if self.reaper is None:
            self.reaper = self.loop.call_later(self.max_idle_time, self.reap)

    def reap(self) -> None:
        """Close what has been idle long enough, before its endpoint does."""
        self.reaper = None
        now = self.loop.time()
        while self.idle:
            connection, (due, _) = next(iter(self.idle.items()))
            if due > now:
                self.reaper = self.loop.call_later(due - now, self.reap)
                return
            self.drop(connection)

    def close_idle(self, endpoint: str) -> None:
        pool = self.pools.get(endpoint)
        for connection in list(pool.idle) if pool else ():
            self.drop(connection)

    def lost(self, pool: Pool[C], connection: C) -> None:
        self.count(pool, -1)
        if self.idle.pop(connection, None) is not None:
            pool.idle.remove(connection)

    def close(self) -> None:
        """Close all that is idle, at the end."""
        if self.reaper is not None:
            self.reaper.cancel()
        while self.evict():
            pass

"""Attempts on endpoints and the connections that carry them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .. import interface as i
from .http import Address, Broken, ClientConnection, Reply, dial

IDLE_SHARE = 0.9  # of the time after which an endpoint closes an idle connection: ours has to go before
Ended = Callable[[i.Outcome, Reply | None], None]


def outcome_of(reply: Reply) -> i.Outcome:
    """What an endpoint's whole answer means; only a marked 503 or 504 proves that nothing ran."""
    if reply.status == 200:
        return "served"
    if reply.status in (503, 504) and reply.header(b"srv-declined") == b"1":
        return "full"
    return "error"


class Exchange:
    """One attempt on the wire: waiting for its connection, then for its answer."""

    __slots__ = ("connection", "data", "ended", "hold")

    def __init__(self, data: bytes, ended: Ended, hold: float) -> None:
        self.data, self.hold = data, hold
        self.ended: Ended | None = ended
        self.connection: ClientConnection | None = None

    def end(self, outcome: i.Outcome, reply: Reply | None = None) -> None:
        ended, self.ended = self.ended, None
        self.connection = None
        if ended is not None:
            ended(outcome, reply)

    def run(self, connection: ClientConnection) -> None:
        self.connection = connection
        connection.request(self.data, self.done, self.hold)

    def done(self, result: Reply | Broken) -> None:
        if isinstance(result, Reply):
            self.end(outcome_of(result), result)
        else:
            self.end("dropped" if result.unsent else "reset")

    def begun(self) -> bool:
        """Whether the endpoint may have the whole request."""
        return self.connection is not None and self.connection.held is None

    def cancel(self) -> None:
        """Stop waiting and end the connection. Nothing is reported."""
        self.ended = None
        if self.connection is not None:
            self.connection.abort()
            self.connection = None


class Pool:
    """The connections to one endpoint that are free, oldest first."""

    __slots__ = ("address", "idle", "left")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.left = False
        """The endpoint is gone from there: connections are not kept."""
        self.idle: list[ClientConnection] = []


class Endpoints:
    """All connections to endpoints, within a bound on their number."""

    def __init__(self, connect_timeout: float, idle_limit: float, most: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.configure(connect_timeout, idle_limit, most)
        self.clients = 0
        """Connections of clients, which share the bound and come first."""
        self.open = 0
        self.pools: dict[str, Pool] = {}
        self.idle: dict[ClientConnection, tuple[float, Pool]] = {}  # in the order in which they became idle
        self.reaper: asyncio.TimerHandle | None = None
        self.dials: set[asyncio.Task[None]] = set()

    def configure(self, connect_timeout: float, idle_limit: float, most: int) -> None:
        self.connect_timeout = connect_timeout / 1000.0
        self.idle_for = IDLE_SHARE * idle_limit / 1000.0
        self.most = most

    # --- where endpoints are ---

    def place(self, endpoint: str, address: Address) -> None:
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

    # --- attempts ---

    def start(self, endpoint: str, data: bytes, ended: Ended, hold: float = 0.0) -> Exchange:
        """Begin an attempt; ``ended`` is called once, unless it is cancelled before."""
        exchange = Exchange(data, ended, hold)
        pool = self.pools.get(endpoint)
        if pool is None:
            self.loop.call_soon(exchange.end, "connect_failed")
            return exchange
        while pool.idle:
            connection = pool.idle.pop()
            del self.idle[connection]
            if connection.reusable():
                exchange.run(connection)
                return exchange
            connection.abort()
        if self.full() and not self.evict():
            self.loop.call_soon(exchange.end, "connect_failed")
            return exchange
        self.open += 1
        task = self.loop.create_task(self.connect(pool, exchange))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)
        return exchange

    async def connect(self, pool: Pool, exchange: Exchange) -> None:
        """Dial for one attempt; if that is cancelled meanwhile, the connection is kept for the next."""
        try:
            connection = await dial(
                pool.address, self.connect_timeout, lambda c: self.free(pool, c), self.lost
            )
        except OSError:
            self.open -= 1
            exchange.end("connect_failed")
            return
        if exchange.ended is not None:
            exchange.run(connection)
        else:
            self.free(pool, connection)

    # --- idle connections ---

    def full(self) -> bool:
        return self.open + self.clients >= self.most

    def evict(self) -> bool:
        """Close the connection that has been idle for longest; False if there is none.

        Its descriptor is free in the loop's next round, before a new one is connected.
        """
        for connection in self.idle:
            self.drop(connection)
            return True
        return False

    def drop(self, connection: ClientConnection) -> None:
        _, pool = self.idle.pop(connection)
        pool.idle.remove(connection)
        connection.abort()

    def free(self, pool: Pool, connection: ClientConnection) -> None:
        if pool.left:
            connection.abort()
            return
        pool.idle.append(connection)
        self.idle[connection] = (self.loop.time() + self.idle_for, pool)
        if self.reaper is None:
            self.reaper = self.loop.call_later(self.idle_for, self.reap)

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

    def lost(self, connection: ClientConnection) -> None:
        self.open -= 1
        if connection in self.idle:
            _, pool = self.idle.pop(connection)
            pool.idle.remove(connection)

    def close(self) -> None:
        """Close all that is idle, at the end."""
        if self.reaper is not None:
            self.reaper.cancel()
        while self.evict():
            pass

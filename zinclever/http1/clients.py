"""Registry of client connections: enforces timeouts, and closes connections to make place for new ones."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from ..core.descriptors import Descriptors

if TYPE_CHECKING:
    from .server import ServerConnection

CLIENT_SHARE_DIVISOR = 2  # clients may use 1/2 of the descriptors: 1/3 of it for requests, the rest is idle or misused
IDLE_SHARE_DIVISOR = 16  # up to 1/16 of the descriptors may be idle for IDLE_TIMEOUT, any more for MIN_IDLE_TIME
SINGLE_USE_DIVISOR = 8  # once 1/8 of the descriptors is idle, a connection is closed after its first response
READ_FOR = 2.4  # s for receiving a request, from its first byte or from connecting; MIN_UPLOAD_RATE extends it
MEMORY_TIMEOUT = 2.0  # s that a body may wait for memory
IDLE_TIMEOUT = 30.0  # s that a connection may be idle while few are
MIN_IDLE_TIME = 2.0  # s that a connection may be idle while many are
WRITE_TIMEOUT = 5.0  # s in which a client has to continue reading its response
LINGER_TIMEOUT = 1.0  # s for which the rest of a rejected request is read and discarded, so that the response arrives
STALLED_AFTER = 0.5  # s without a byte after which an incomplete request is evicted first: the pauses of clients that
# write slowly are shorter, and clients that stopped midway never continue
NEW_CONNECTION_GRACE = 0.1  # s after connecting in which a client is about to send: others are evicted before it
MAX_REFUSED_CONNECTIONS = 24  # connections above the limit that stay open for one 503, from the descriptor reserve
SWEEP_INTERVAL = 0.2  # s between two checks of the timeouts


class ConnectionState(enum.Enum):
    """What a connection waits for."""

    __hash__ = object.__hash__  # hashed several times per request, and Enum's own __hash__ is a call in Python

    READING = "a complete request"
    WAITING_FOR_MEMORY = "memory for its request body"
    UPLOADING = "the rest of a body that is forwarded while it is received"
    PROCESSING = "a response from the request handler"
    STREAMING = "the rest of a streamed response"
    WRITING = "its client to read the response"
    IDLE = "the next request"
    LINGERING = "its client to read an error response"
    CLOSING = "the end of the connection"


class ConnectionRegistry:
    """The connections of clients, by state. They use the clients' share of the descriptors."""

    def __init__(self, descriptors: Descriptors) -> None:
        self.descriptors = descriptors
        self.loop = asyncio.get_running_loop()
        self.entered_at: dict[ConnectionState, dict[ServerConnection, float]] = {state: {} for state in ConnectionState}
        """For each state, its connections and the instant at which each entered it, earliest first."""
        self.open_connections = 0
        self.read_timeout = self.max_idle_time = 0.0
        """s; if 0, READ_FOR and IDLE_TIMEOUT apply."""
        self.refused_connections = 0
        """Number of open connections whose first request is refused."""
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.all_disconnected = asyncio.Event()  # set when the last connection has ended
        self.compute_limits()

    def compute_limits(self) -> None:
        """Derive the limits on connections from the limit on descriptors."""
        limit = self.descriptors.limit
        self.most = max(1, limit // CLIENT_SHARE_DIVISOR)
        self.relaxed_idle_limit = limit // IDLE_SHARE_DIVISOR
        self.single_use_limit = limit // SINGLE_USE_DIVISOR

    def count(self) -> int:
        """Return the number of open connections."""
        return self.open_connections

    def on_connected(self, connection: ServerConnection) -> None:
        """Register a new connection; its descriptor is no longer available to endpoints.

        Guards against running out of descriptors: above the clients' share, or if all descriptors are in use and no
        connection to an endpoint is idle, :meth:`evict_one` makes room.
        """
        descriptors = self.descriptors
        descriptors.clients += 1
        self.open_connections += 1
        self.entered_at[ConnectionState.READING][connection] = self.loop.time()
        if self.open_connections > self.most or (descriptors.full() and not descriptors.evict()):
            self.evict_one(connection)
        if self.sweep_timer is None:
            self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self.sweep)

    def on_disconnected(self, connection: ServerConnection) -> None:
        """Remove a connection that has ended."""
        self.entered_at[connection.state].pop(connection, None)
        self.descriptors.clients -= 1
        self.open_connections -= 1
        self.refused_connections -= connection.is_refused
        if not self.count():
            self.all_disconnected.set()

    def set_state(self, connection: ServerConnection, state: ConnectionState) -> None:
        """Move a connection to a state; the timeout of that state, if any, starts."""
        del self.entered_at[connection.state][connection]
        connection.state = state
        self.entered_at[state][connection] = self.loop.time()

    def evict_one(self, new_connection: ServerConnection) -> None:
        """Close the least useful connection; if all are in use, refuse the new one if it exceeds the clients' share."""
        for connection in self.entered_at[ConnectionState.LINGERING]:
            connection.drop()
            return
        reading, now = self.entered_at[ConnectionState.READING], self.loop.time()
        most_stalled = min(reading, key=last_received_at)  # the new connection is one of them
        if most_stalled.last_received_at + STALLED_AFTER < now:
            most_stalled.drop()
            return
        oldest = next(iter(reading))
        if reading[oldest] + NEW_CONNECTION_GRACE < now:
            oldest.drop()
            return
        for connection in self.entered_at[ConnectionState.IDLE]:
            if connection.close_idle():
                return
        if self.count() > self.most:
            self.refuse(new_connection)

    def refuse(self, new_connection: ServerConnection) -> None:
        """Let a connection above the limit answer one request with 503; drop it if too many do so already.

        Its client is about to send a request: that is lost on a closed connection, but a refused one can be retried.
        """
        if self.refused_connections < MAX_REFUSED_CONNECTIONS:
            self.refused_connections += 1
            new_connection.is_refused = True
        else:
            new_connection.drop()

    def has_too_many_idle(self) -> bool:
        """Return whether idle connections leave too few descriptors for requests.

        Guards against many clients that send one request and keep their connection: the idle timeout would close these
        connections too late.
        """
        return len(self.entered_at[ConnectionState.IDLE]) >= self.single_use_limit

    def sweep(self) -> None:
        """Enforce the timeouts of the states that have one, on the connections that entered their state first."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self.sweep) if self.count() else None
        now = self.loop.time()
        for state in (ConnectionState.READING, ConnectionState.UPLOADING):
            for connection in self.overdue(state, self.read_timeout or READ_FOR):
                if connection.allowed_read_time() + self.entered_at[state][connection] <= now:
                    connection.on_read_timeout()
        for connection in self.overdue(ConnectionState.WAITING_FOR_MEMORY, MEMORY_TIMEOUT):
            connection.on_memory_timeout()
        for state in (ConnectionState.WRITING, ConnectionState.CLOSING):
            for connection in self.overdue(state, WRITE_TIMEOUT):
                connection.on_write_timeout()
        for connection in self.overdue(ConnectionState.LINGERING, LINGER_TIMEOUT):
            connection.drop()
        excess = len(self.entered_at[ConnectionState.IDLE]) - self.relaxed_idle_limit
        for connection in self.overdue(ConnectionState.IDLE, MIN_IDLE_TIME):
            if excess <= 0:
                break
            excess -= connection.close_idle()
        for connection in self.overdue(ConnectionState.IDLE, self.max_idle_time or IDLE_TIMEOUT):
            connection.close_idle()

    def overdue(self, state: ConnectionState, limit: float) -> list[ServerConnection]:
        """Return the connections that have been in a state for at least ``limit`` seconds, longest first."""
        latest = self.loop.time() - limit
        found: list[ServerConnection] = []
        for connection, entered_at in self.entered_at[state].items():
            if entered_at > latest:
                break
            found.append(connection)
        return found

    def has_unwritten_responses(self) -> bool:
        """Return whether a client has yet to read the rest of a response."""
        return any(
            connection.transport.get_write_buffer_size() > 0
            for connections in self.entered_at.values()
            for connection in connections
        )

    async def wait_disconnected(self) -> None:
        """Wait until no client is connected."""
        while self.count():
            self.all_disconnected.clear()
            await self.all_disconnected.wait()

    def close_idle(self) -> None:
        """Close all connections between requests, at shutdown."""
        for state in (ConnectionState.IDLE, ConnectionState.READING):
            for connection in list(self.entered_at[state]):
                connection.close_idle()

    def stop(self) -> None:
        """Stop checking timeouts."""
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
            self.sweep_timer = None


def last_received_at(connection: ServerConnection) -> float:
    """Return when a connection last received bytes, as a sort key."""
    return connection.last_received_at

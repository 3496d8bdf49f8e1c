"""Who is connected and since when: room is made for newcomers, and who takes too long is ended."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from ..core.descriptors import Descriptors

if TYPE_CHECKING:
    from .server import ServerConnection

SHARE = 2  # clients get one part in so many of the descriptors: a third for requests, the rest idle or bad
EASY = 16  # one part in so many that may be idle without being hurried
BRIEF = 8  # one part in so many, from which on a connection ends with its first answer
READ_FOR = 2.4  # s from connecting, or from its first byte, in which a request has to be whole, and more for ...
ROOM_FOR = 2.0  # s that a body may wait for room
IDLE_FOR = 30.0  # s that a connection may be idle while there are few
IDLE_AT_LEAST = 2.0  # s that a connection may be idle while there are many
WRITE_FOR = 5.0  # s in which a client has to go on reading its answer
LINGER = 1.0  # s in which the rest of a rejected request is read and dropped, so that its answer arrives
STALE = 0.5  # s without a byte after which a request that is not whole is missed least: clients that write slowly
# pause for less, those that stop half way are silent for ever
FRESH = 0.1  # s after connecting in which a client is about to send: others make room first
TURNED = 24  # connections beyond the share that are kept for one refusal each: out of the reserve of descriptors
SWEEP = 0.2  # s between two looks at who has been too slow


class State(enum.Enum):
    """What a connection waits for."""

    __hash__ = object.__hash__  # looked up several times a request; Enum's own is a call in Python

    READING = "a whole request"
    WAITING = "room for its body"
    UPLOADING = "the rest of a body that goes on as it comes"
    BUSY = "an answer from the ledger"
    PASSING = "the rest of an answer that is passed on as it comes"
    WRITING = "its client to read the answer"
    IDLE = "the next request"
    LINGERING = "its client to read a rejection"
    CLOSING = "its end"


class Clients:
    """The connections of clients, by what each waits for; they take their part of the descriptors."""

    def __init__(self, descriptors: Descriptors) -> None:
        self.descriptors = descriptors
        self.loop = asyncio.get_running_loop()
        self.since: dict[State, dict[ServerConnection, float]] = {state: {} for state in State}
        """The connections in each state, those longest in it first."""
        self.clients = 0
        self.read_timeout = self.max_idle_time = 0.0
        """s, where somebody says so: else READ_FOR and IDLE_FOR."""
        self.turned = 0
        """Of them, those that are to be turned away."""
        self.sweeper: asyncio.TimerHandle | None = None
        self.empty = asyncio.Event()  # set once the last connection has ended while draining
        self.divide()

    def divide(self) -> None:
        """Take the clients' share of the descriptors."""
        limit = self.descriptors.limit
        self.most = max(1, limit // SHARE)
        self.easy = limit // EASY
        self.brief = limit // BRIEF

    def count(self) -> int:
        return self.clients

    def joined(self, connection: ServerConnection) -> None:
        """A client has connected: its descriptor comes out of what endpoints may use.

        Guards against running out of descriptors: beyond the clients' share, or where no connection to an
        endpoint is idle, one of theirs is closed, and it is the new one if all the others are in use.
        """
        descriptors = self.descriptors
        descriptors.clients += 1
        self.clients += 1
        self.since[State.READING][connection] = self.loop.time()
        if self.clients > self.most or (descriptors.full() and not descriptors.evict()):
            self.make_room(connection)
        if self.sweeper is None:
            self.sweeper = self.loop.call_later(SWEEP, self.sweep)

    def left(self, connection: ServerConnection) -> None:
        self.since[connection.state].pop(connection, None)
        self.descriptors.clients -= 1
        self.clients -= 1
        self.turned -= connection.turned_away
        if not self.count():
            self.empty.set()

    def enter(self, connection: ServerConnection, state: State) -> None:
        del self.since[connection.state][connection]
        connection.state = state
        self.since[state][connection] = self.loop.time()

    def make_room(self, newcomer: ServerConnection) -> None:
        """Close the connection that is missed least: the new one only where it goes beyond the share."""
        for connection in self.since[State.LINGERING]:
            connection.drop()
            return
        reading, now = self.since[State.READING], self.loop.time()
        stalest = min(reading, key=heard_at)  # the newcomer is one of them
        if stalest.heard_at + STALE < now:
            stalest.drop()
            return
        oldest = next(iter(reading))
        if reading[oldest] + FRESH < now:
            oldest.drop()
            return
        for connection in self.since[State.IDLE]:
            if connection.close_idle():
                return
        if self.count() > self.most:
            self.turn_away(newcomer)

    def turn_away(self, newcomer: ServerConnection) -> None:
        """There is no room for it, and its client is about to send: a request that finds its connection closed is lost,
        one that is refused is not."""
        if self.turned < TURNED:
            self.turned += 1
            newcomer.turned_away = True
        else:
            newcomer.drop()

    def short_of_connections(self) -> bool:
        """Whether idle connections take up so much that there would be none left for requests.

        Guards against clients that ask once and keep their connection: closing it once it has been idle for
        long enough comes too late where many do.
        """
        return len(self.since[State.IDLE]) >= self.brief

    def sweep(self) -> None:
        """End what has taken too long, those that have waited longest first."""
        self.sweeper = self.loop.call_later(SWEEP, self.sweep) if self.count() else None
        now = self.loop.time()
        for state in (State.READING, State.UPLOADING):
            for connection in self.overdue(state, self.read_timeout or READ_FOR):
                if connection.patience() + self.since[state][connection] <= now:
                    connection.too_slow()
        for connection in self.overdue(State.WAITING, ROOM_FOR):
            connection.finds_no_room()
        for state in (State.WRITING, State.LINGERING, State.CLOSING):
            for connection in self.overdue(state, LINGER if state is State.LINGERING else WRITE_FOR):
                connection.drop()
        many = len(self.since[State.IDLE]) - self.easy
        for connection in self.overdue(State.IDLE, IDLE_AT_LEAST):
            if many <= 0:
                break
            many -= connection.close_idle()
        for connection in self.overdue(State.IDLE, self.max_idle_time or IDLE_FOR):
            connection.close_idle()

    def overdue(self, state: State, limit: float) -> list[ServerConnection]:
        due = self.loop.time() - limit
        found: list[ServerConnection] = []
        for connection, since in self.since[state].items():
            if since > due:
                break
            found.append(connection)
        return found

    async def wait_disconnected(self) -> None:
        """Wait until no client is connected."""
        while self.count():
            self.empty.clear()
            await self.empty.wait()

    def close_idle(self) -> None:
        """Close all connections between requests, at the end."""
        for state in (State.IDLE, State.READING):
            for connection in list(self.since[state]):
                connection.close_idle()

    def stop(self) -> None:
        if self.sweeper is not None:
            self.sweeper.cancel()
            self.sweeper = None


def heard_at(connection: ServerConnection) -> float:
    return connection.heard_at

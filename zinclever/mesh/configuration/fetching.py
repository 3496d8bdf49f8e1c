"""Which peers are asked for a configuration that is newer than the one in force, and who waits here for one. Pure.

A version's record comes by gossip, its text from a peer that has it. A peer that lags, is stalled or at the end of a
slow link answers late: others are asked beside it, each after a longer pause, and whichever answer comes first is used,
also a late one.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

INITIAL_PATIENCE = 0.6  # s for which the first peer is waited for before another is asked beside it
MAX_PATIENCE = 4.8  # s; it doubles from the first on: on a slow link texts that cross only hold each other up
MAX_OPEN_FETCHES = 3
FETCH_TIMEOUT = 30.0  # s after which an answer is waited for no more
MAX_WAITERS = 1024  # connections on which a peer waits here for a version
WAITER_TIMEOUT = 5.0  # s for which a peer waits: it has asked another long before

ConnectionT = TypeVar("ConnectionT")
RequestT = TypeVar("RequestT")


class FetchScheduler:
    """The peers that are asked for the newest version known of."""

    def __init__(self) -> None:
        self.open_since: dict[str, float] = {}
        """Peers whose answer is outstanding, and since when."""
        self.patience = INITIAL_PATIENCE

    def next_peer(
        self, now: float, preferred: str, peers: Sequence[str], draw: Callable[[Sequence[str]], str]
    ) -> str | None:
        """The next peer to ask: ``preferred``, which is known to have the version, else any that isn't asked yet.

        None where there is none, or where enough are asked already.
        """
        for peer in [peer for peer, since in self.open_since.items() if now - since >= FETCH_TIMEOUT]:
            del self.open_since[peer]
        if len(self.open_since) >= MAX_OPEN_FETCHES:
            return None
        free = [peer for peer in peers if peer not in self.open_since]
        if not free:
            return None
        peer = preferred if preferred in free else draw(free)
        self.open_since[peer] = now
        return peer

    def next_delay(self) -> float:
        """s for which the peer that was asked last is waited for before the next one is asked beside it."""
        patience = self.patience
        self.patience = min(MAX_PATIENCE, 2 * patience)
        return patience

    def on_answered(self, peer: str) -> None:
        """A peer has answered, or its connection is lost."""
        self.open_since.pop(peer, None)

    def finish(self) -> list[str]:
        """The newest version is in force: the peers whose answers are not needed any more."""
        unneeded = list(self.open_since)
        self.open_since.clear()
        self.patience = INITIAL_PATIENCE
        return unneeded


@dataclass(frozen=True, slots=True)
class Waiter(Generic[RequestT]):
    """A request that waits for a version, and since when."""

    request: RequestT
    since: float


class FetchWaiters(Generic[ConnectionT, RequestT]):
    """Requests that wait here for a version: one on each connection, the latest."""

    def __init__(self) -> None:
        self.waiters: dict[ConnectionT, Waiter[RequestT]] = {}

    def add(self, now: float, connection: ConnectionT, request: RequestT) -> bool:
        """Let a request wait; whether there is room for it."""
        if connection not in self.waiters and len(self.waiters) >= MAX_WAITERS:
            self.waiters = {
                other: waiter for other, waiter in self.waiters.items() if now - waiter.since < WAITER_TIMEOUT
            }
            if len(self.waiters) >= MAX_WAITERS:
                return False
        self.waiters[connection] = Waiter(request, now)
        return True

    def take_all(self, now: float) -> list[tuple[ConnectionT, RequestT]]:
        """The requests that still wait; none does afterwards."""
        waiters, self.waiters = self.waiters, {}
        return [
            (connection, waiter.request)
            for connection, waiter in waiters.items()
            if now - waiter.since < WAITER_TIMEOUT
        ]

    def drop(self, connection: ConnectionT) -> None:
        """A connection is lost."""
        self.waiters.pop(connection, None)
